//! Names and numbers that identify services, entries, targets and revisions.
//!
//! Names contain [`Bytes`], so that cloning one only increments a reference
//! count and a name read from the network is kept without a copy. The parser
//! accepts only ASCII, so the conversion to text cannot fail later.

use std::{
    fmt,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    str::FromStr,
};

use bytes::Bytes;

use super::ParseError;

/// The maximum length of a name, in bytes. It is the maximum length of a label
/// in a host name, because service names appear in the `Host` header.
const MAX_NAME_LEN: usize = 63;

const NAME_RULE: &str = "1 to 63 lower-case letters, digits, '-' or '.'";

const LIMIT_NAME_RULE: &str = "1 to 190 lower-case letters, digits, '-', '.', ':' or '/'";

fn is_name_byte(b: u8) -> bool {
    b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.'
}

fn is_limit_name_byte(b: u8) -> bool {
    is_name_byte(b) || b == b'/' || b == b':'
}

fn is_graphic_byte(b: u8) -> bool {
    b.is_ascii_graphic()
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $max:expr, $byte:expr, $rule:expr) => {
        $(#[$doc])*
        #[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(Bytes);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                std::str::from_utf8(&self.0).unwrap_or_default()
            }

            /// Returns the name as bytes, which hashing and messages use.
            #[must_use]
            pub fn as_bytes(&self) -> &[u8] {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(s: &str) -> Result<Self, ParseError> {
                let valid = !s.is_empty() && s.len() <= $max && s.bytes().all($byte);
                if !valid {
                    return Err(ParseError::new($kind, s, $rule));
                }
                Ok(Self(Bytes::copy_from_slice(s.as_bytes())))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(self.as_str())
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

name!(
    /// An availability zone.
    AzName, "availability zone", MAX_NAME_LEN, is_name_byte, NAME_RULE
);
name!(
    /// An entry VM, identified by the name in its settings.
    EntryId, "entry VM name", MAX_NAME_LEN, is_name_byte, NAME_RULE
);
name!(
    /// One run of a target, identified by the id with which it registers.
    InstanceId, "target id", 200, is_graphic_byte, "1 to 200 printable ASCII characters"
);
name!(
    /// A limit shared between entries, for example `slots/10.0.0.1:8080`.
    LimitName, "limit name", 190, is_limit_name_byte, LIMIT_NAME_RULE
);
name!(
    /// A place where a service runs.
    PlaceName, "place name", MAX_NAME_LEN, is_name_byte, NAME_RULE
);
name!(
    /// A region, which contains one or more availability zones.
    RegionName, "region", MAX_NAME_LEN, is_name_byte, NAME_RULE
);
name!(
    /// A service, which one team owns.
    ServiceName, "service name", MAX_NAME_LEN, is_name_byte, NAME_RULE
);
name!(
    /// A team, which owns documents and holds a token.
    TeamName, "team name", MAX_NAME_LEN, is_name_byte, NAME_RULE
);

name!(
    /// A workspace: a customer whose callers share a limit.
    WorkspaceName, "workspace name", 190, is_graphic_byte, "1 to 190 printable ASCII characters"
);

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(s: &str) -> Result<Self, ParseError> {
                s.parse().map(Self).map_err(|_| ParseError::new($kind, s, "a whole number"))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

number!(
    /// The version of the roster. It is incremented only by a compare-and-swap
    /// in the store.
    Epoch, "epoch"
);
number!(
    /// An era of the platform's store. It is incremented each time the store comes
    /// back from an older copy; a store that names no era is in the first one, 0.
    Era, "era"
);
number!(
    /// One run of an entry process. A restarted entry has a greater
    /// incarnation, so that messages to its former run are recognised.
    Incarnation, "incarnation"
);
number!(
    /// The store's modification revision of a document. It only increases.
    Revision, "revision"
);

/// A target, identified by the address at which it accepts requests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetId(pub SocketAddr);

impl TargetId {
    /// Returns whether a connection to the address can reach a target. The
    /// unspecified address connects to the host itself.
    #[must_use]
    pub fn is_reachable(self) -> bool {
        let ip = self.0.ip().to_canonical();
        let broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
        self.0.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast
    }
}

impl FromStr for TargetId {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let addr = s.parse().map(Self);
        addr.map_err(|_| {
            ParseError::new("target", s, "an IP number and a port, as in 10.0.0.1:8080")
        })
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

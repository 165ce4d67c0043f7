//! Workspaces: the customers whose callers a configuration admits.
//!
//! A caller proves with a key that it belongs to a workspace. The configuration of
//! a process holds only digests of the keys, so that a key cannot leak through
//! messages to other entries, logs or a dump of the state. See
//! [docs/design/workspaces.md](../../docs/design/workspaces.md).

use std::{fmt, str::FromStr};

use bytes::Bytes;
use sha2::{Digest, Sha256};

use super::{ParseError, RegionName, WorkspaceName};

/// The length of a digest, in bytes.
const DIGEST_LEN: usize = 32;

const DIGEST_RULE: &str = "64 hexadecimal digits";

const KEY_RULE: &str = "one line of printable ASCII characters without blanks";

/// The SHA-256 digest of a caller's key. It identifies the key and does not reveal
/// it, since keys are long and random.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest(pub [u8; DIGEST_LEN]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl FromStr for KeyDigest {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let err = || ParseError::new("key digest", s, DIGEST_RULE);
        let digits = s.as_bytes();
        if digits.len() != 2 * DIGEST_LEN || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(err());
        }
        let mut digest = [0; DIGEST_LEN];
        for (byte, pair) in digest.iter_mut().zip(s.as_bytes().chunks(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| err())?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| err())?;
        }
        Ok(Self(digest))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The key that came with a request. It prints as redacted, so that no log line or
/// error message reveals it.
pub struct CallerKey(Bytes);

impl CallerKey {
    /// Returns the key with the given bytes.
    #[must_use]
    pub fn new(key: Bytes) -> Self {
        Self(key)
    }

    /// Returns the digest by which the key is known.
    #[must_use]
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(&self.0)
    }

    /// Reads a key as a person enters it: without the end of the line.
    ///
    /// # Errors
    ///
    /// Returns an error if no caller can send the key in a header: it is empty, or it is
    /// not printable ASCII without blanks. The error does not contain the key.
    pub fn from_line(line: &[u8]) -> Result<Self, ParseError> {
        let key = line.strip_suffix(b"\n").unwrap_or(line);
        let key = key.strip_suffix(b"\r").unwrap_or(key);
        if key.is_empty() || !key.iter().all(u8::is_ascii_graphic) {
            return Err(ParseError::new("key", "(redacted)", KEY_RULE));
        }
        Ok(Self(Bytes::copy_from_slice(key)))
    }
}

impl fmt::Display for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(redacted)")
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A rate of requests per second, which may be a fraction.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let err = || ParseError::new("rate", s, "a number of at least 0 and \"rps\"");
        let number = s.strip_suffix("rps").ok_or_else(err)?.trim_end();
        let rate: f64 = number.parse().map_err(|_| err())?;
        if rate.is_finite() && rate >= 0.0 {
            Ok(Self(rate))
        } else {
            Err(err())
        }
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} rps", self.0)
    }
}

/// The urgency of a request when not all can be served. 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank(pub u32);

impl FromStr for Rank {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let rank = s.parse().map(Self);
        rank.map_err(|_| ParseError::new("rank", s, "a whole number from 0"))
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// How many requests of a workspace may run, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// The rate that the workspace may keep up.
    pub rate: Rate,
    /// The number of requests that it may send at once in addition.
    pub burst: f64,
}

impl fmt::Display for Quota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} and a burst of {}", self.rate, self.burst)
    }
}

/// A customer whose callers may send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// The name, which targets are told.
    pub name: WorkspaceName,
    /// The digests of the keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// The rank of its requests. It replaces that of their route.
    pub rank: Option<Rank>,
    /// The limit on its requests, if there is one.
    pub quota: Option<Quota>,
    /// The regions in which its requests may run. Empty allows all regions.
    pub home_regions: Vec<RegionName>,
}

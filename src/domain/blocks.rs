//! Blocks of client addresses and the sites to which they belong.

use std::{
    fmt,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    str::FromStr,
};

use super::ParseError;

const PREFIX_RULE: &str = "an IP number without host bits, '/' and a length, as in 10.1.0.0/16";

/// A block of client addresses, as an IP prefix: an address and the number of
/// its leading bits that all addresses of the block share.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Prefix {
    addr: IpAddr,
    len: u8,
}

impl Prefix {
    /// Returns the block given by the `len` leading bits of `addr`, or `None`
    /// if the address has fewer bits. Host bits are cleared. A block of
    /// IPv4-mapped IPv6 addresses becomes the IPv4 block, since callers are
    /// looked up by their IPv4 address.
    #[must_use]
    pub fn new(addr: IpAddr, len: u8) -> Option<Self> {
        let (addr, len) = match (addr, addr.to_canonical()) {
            (IpAddr::V6(_), IpAddr::V4(v4)) if (96..=128).contains(&len) => (v4.into(), len - 96),
            _ => (addr, len),
        };
        let addr = match addr {
            IpAddr::V4(v4) if len <= 32 => {
                let mask = u32::MAX.checked_shl(32 - u32::from(len)).unwrap_or(0);
                Ipv4Addr::from_bits(v4.to_bits() & mask).into()
            }
            IpAddr::V6(v6) if len <= 128 => {
                let mask = u128::MAX.checked_shl(128 - u32::from(len)).unwrap_or(0);
                Ipv6Addr::from_bits(v6.to_bits() & mask).into()
            }
            _ => return None,
        };
        Some(Self { addr, len })
    }

    /// Returns the first address of the block.
    #[must_use]
    pub fn addr(&self) -> IpAddr {
        self.addr
    }

    /// Returns the prefix length in bits.
    #[must_use]
    pub fn bits(&self) -> u8 {
        self.len
    }

    /// Returns whether the block contains `addr`.
    #[must_use]
    pub fn contains(&self, addr: IpAddr) -> bool {
        let addr = addr.to_canonical();
        addr.is_ipv4() == self.addr.is_ipv4() && Self::new(addr, self.len) == Some(*self)
    }
}

impl FromStr for Prefix {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let parse = || {
            let (addr, len) = s.split_once('/')?;
            let addr: IpAddr = addr.parse().ok()?;
            let len = len.parse().ok()?;
            let prefix = Self::new(addr, len)?;
            (prefix.addr == addr.to_canonical() || prefix.addr == addr).then_some(prefix)
        };
        parse().ok_or_else(|| ParseError::new("client block", s, PREFIX_RULE))
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.addr, self.len)
    }
}

/// A site to which client blocks belong. It is a number to save memory, since
/// each of 1.3 million blocks refers to a site.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SiteId(pub u32);

impl FromStr for SiteId {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let id = s.parse().map(Self);
        id.map_err(|_| ParseError::new("site", s, "a whole number below 2^32"))
    }
}

impl fmt::Display for SiteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

//! Parsing and printing of administration addresses.

use std::{fmt, net::SocketAddr, str::FromStr};

use crate::domain::ParseError;

/// The address of the administration interface of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdminAddr(pub SocketAddr);

impl FromStr for AdminAddr {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let addr = s.strip_prefix("http://").unwrap_or(s);
        let addr = addr.trim_end_matches('/').parse().map(Self);
        addr.map_err(|_| ParseError {
            kind: "administration address",
            found: s.to_owned(),
            expected: "an IP number and a port, as in 10.0.0.1:7002 or http://10.0.0.1:7002",
        })
    }
}

impl fmt::Display for AdminAddr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}", self.0)
    }
}

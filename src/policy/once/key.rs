//! Idempotency keys, buckets of keys, attempts, and fingerprints of requests.

use std::{fmt, net::IpAddr, str::FromStr};

use bytes::Bytes;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::domain::{ParseError, ServiceName, Size, WorkspaceName};

/// The longest key, in bytes. It bounds the memory of a claim. Callers use UUIDs
/// of 36 bytes or short compound names.
const KEY_MAX: usize = 255;

/// The value of an `Idempotency-Key` header.
#[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct IdempotencyKey(Bytes);

impl IdempotencyKey {
    /// Returns the key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl FromStr for IdempotencyKey {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let valid = (1..=KEY_MAX).contains(&s.len()) && s.bytes().all(|b| b.is_ascii_graphic());
        if !valid {
            let rule = "1 to 255 visible ASCII characters without blanks";
            return Err(ParseError::new("idempotency key", s, rule));
        }
        Ok(Self(Bytes::copy_from_slice(s.as_bytes())))
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl fmt::Debug for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An idempotency key within the scope of its service. Equal keys of different
/// services are unrelated.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    /// The service.
    pub service: ServiceName,
    /// The caller's key.
    pub key: IdempotencyKey,
}

impl ClaimKey {
    /// Returns the bucket that the key hashes to.
    #[must_use]
    pub fn bucket(&self) -> Bucket {
        let seed = xxh3_64_with_seed(self.service.as_bytes(), 0);
        let hash = xxh3_64_with_seed(&self.key.0, seed);
        Bucket(u16::try_from(hash % u64::from(Bucket::COUNT)).unwrap_or_default())
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.key)
    }
}

/// A hash bucket of keys. All keys of a bucket have the same homes.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Bucket(pub u16);

impl Bucket {
    /// The number of buckets. With 2,800 entries, each entry is a home of about
    /// four buckets, so replacing an entry transfers about four buckets. If homes
    /// were chosen per key, each entry would have to read from nearly all others.
    pub const COUNT: u16 = 4096;

    /// Returns all buckets.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT).map(Self)
    }
}

impl FromStr for Bucket {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        match s.parse() {
            Ok(n) if n < Self::COUNT => Ok(Self(n)),
            _ => Err(ParseError::new("bucket", s, "a whole number below 4096")),
        }
    }
}

impl fmt::Display for Bucket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Identifies one attempt to execute a keyed request. The claimant chooses it at
/// random, so that it is unique across restarts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u64);

impl FromStr for AttemptId {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let err = || ParseError::new("attempt id", s, "16 hexadecimal digits");
        if s.len() != 16 {
            return Err(err());
        }
        u64::from_str_radix(s, 16).map(Self).map_err(|_| err())
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A digest of a request's content.
///
/// It detects a key that is used for two different requests, and a request that
/// crashes several targets. The hash does not resist deliberate collisions, but a
/// caller that constructs one only affects requests to services that it is
/// allowed to call anyway.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The size of the body prefix that is digested. Larger bodies are streamed;
    /// buffering them would take more memory than the check is worth.
    pub const BODY_PREFIX: Size = Size::kib(64);

    /// Returns the digest of a request.
    ///
    /// `length` is the declared length of the body, if any, and `body` its
    /// first [`Self::BODY_PREFIX`] bytes. Two larger bodies with the same length
    /// and prefix have the same digest.
    #[must_use]
    pub fn of_request(
        service: &ServiceName,
        method: &str,
        path: &str,
        length: Option<u64>,
        body: &[u8],
    ) -> Self {
        let max = usize::try_from(Self::BODY_PREFIX.0).unwrap_or(usize::MAX);
        let head = &body[..body.len().min(max)];
        let length = length.map_or(u64::MAX, |n| n).to_be_bytes();
        let parts = [
            service.as_bytes(),
            method.as_bytes(),
            path.as_bytes(),
            &length,
            head,
        ];
        Self::digest(b'r', &parts)
    }

    /// Returns the digest of the same request of a workspace.
    #[must_use]
    pub fn of_workspace(self, name: &WorkspaceName) -> Self {
        Self::digest(b'w', &[&self.0.to_be_bytes(), name.as_bytes()])
    }

    /// Returns the digest of the same request of the caller at an address.
    #[must_use]
    pub fn of_caller(self, addr: IpAddr) -> Self {
        Self::digest(b'c', &[&self.0.to_be_bytes(), addr.to_string().as_bytes()])
    }

    /// Hashes the parts. `kind` distinguishes digests of different things. Each part is
    /// preceded by its length, so that `("ab", "c")` and `("a", "bc")` have different
    /// digests. Entries compare digests, so that those of different versions must hash
    /// the same bytes.
    fn digest(kind: u8, parts: &[&[u8]]) -> Self {
        let mut hash = Xxh3::new();
        hash.update(&[kind]);
        for part in parts {
            hash.update(&(part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.digest128())
    }
}

impl FromStr for Fingerprint {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let err = || ParseError::new("fingerprint", s, "32 hexadecimal digits");
        if s.len() != 32 {
            return Err(err());
        }
        u128::from_str_radix(s, 16).map(Self).map_err(|_| err())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

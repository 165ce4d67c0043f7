//! Parts of a service's traffic.

use std::{fmt, str::FromStr};

use crate::domain::ParseError;

/// The part of a service's requests that a place takes, in millionths. Whole
/// numbers keep the sum of the places exact over any number of steps.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Share(pub u32);

impl Share {
    /// All requests.
    pub const WHOLE: Self = Self(1_000_000);
}

impl FromStr for Share {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let digits = s.strip_suffix("ppm").map(str::trim_end);
        let share = digits.and_then(|d| d.parse().ok()).map(Self);
        let valid = share.filter(|s| *s <= Self::WHOLE);
        valid.ok_or_else(|| ParseError::new("share", s, "a whole number up to 1000000 and \"ppm\""))
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ppm", self.0)
    }
}

/// Divides the whole in proportion to `parts`.
pub(super) fn divide(parts: &[u64]) -> Vec<Share> {
    apportion(Share::WHOLE, parts)
}

/// Divides `total` in proportion to `parts`, by the largest remainder. Returns
/// shares of zero if all parts are zero.
pub(super) fn apportion(total: Share, parts: &[u64]) -> Vec<Share> {
    let sum: u128 = parts.iter().copied().map(u128::from).sum();
    if sum == 0 {
        return vec![Share(0); parts.len()];
    }
    let exact = |part: &u64| u128::from(*part) * u128::from(total.0);
    let floor = |part| u32::try_from(exact(part) / sum).unwrap_or(total.0);
    let mut shares: Vec<Share> = parts.iter().map(floor).map(Share).collect();
    let given: u32 = shares.iter().map(|s| s.0).sum();
    let mut order: Vec<usize> = (0..parts.len()).collect();
    order.sort_by_key(|i| std::cmp::Reverse(exact(&parts[*i]) % sum));
    let missing = usize::try_from(total.0 - given).unwrap_or_default();
    for at in order.into_iter().take(missing) {
        shares[at].0 += 1;
    }
    shares
}

/// Returns the shares `num / den` of the way between two divisions.
pub(super) fn blend(from: &[Share], to: &[Share], num: u64, den: u64) -> Vec<Share> {
    let num = num.min(den);
    let pairs = from.iter().zip(to);
    let mix = |(a, b): (&Share, &Share)| u64::from(a.0) * (den - num) + u64::from(b.0) * num;
    let parts: Vec<u64> = pairs.map(mix).collect();
    divide(&parts)
}

/// Returns how much must move to get from one division to another.
pub(super) fn distance(from: &[Share], to: &[Share]) -> u32 {
    let pairs = from.iter().zip(to);
    pairs.map(|(a, b)| b.0.saturating_sub(a.0)).sum()
}

//! Shares of a service's traffic.

use std::{fmt, str::FromStr};

use crate::domain::ParseError;

/// The share of a service's requests that a place gets, in parts per million.
/// Integers keep the sum over the places exact after any number of steps.
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

/// Divides all requests in proportion to `weights`.
pub(super) fn apportion_whole(weights: &[u64]) -> Vec<Share> {
    apportion(Share::WHOLE, weights)
}

/// Divides `total` in proportion to `weights`, with the largest remainder
/// method. Returns shares of zero if all weights are zero.
pub(super) fn apportion(total: Share, weights: &[u64]) -> Vec<Share> {
    let sum: u128 = weights.iter().copied().map(u128::from).sum();
    if sum == 0 {
        return vec![Share(0); weights.len()];
    }
    let scaled = |weight: &u64| u128::from(*weight) * u128::from(total.0);
    let floor = |weight| u32::try_from(scaled(weight) / sum).unwrap_or(total.0);
    let mut shares: Vec<Share> = weights.iter().map(floor).map(Share).collect();
    let assigned: u32 = shares.iter().map(|s| s.0).sum();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|i| std::cmp::Reverse(scaled(&weights[*i]) % sum));
    let remainder = usize::try_from(total.0 - assigned).unwrap_or_default();
    for at in order.into_iter().take(remainder) {
        shares[at].0 += 1;
    }
    shares
}

/// Interpolates linearly: returns the shares at the fraction `num / den` of the
/// way between two distributions.
pub(super) fn interpolate(from: &[Share], to: &[Share], num: u64, den: u64) -> Vec<Share> {
    let num = num.min(den);
    let pairs = from.iter().zip(to);
    let weighted = |(a, b): (&Share, &Share)| u64::from(a.0) * (den - num) + u64::from(b.0) * num;
    let weights: Vec<u64> = pairs.map(weighted).collect();
    apportion_whole(&weights)
}

/// Returns how much has to move to get from one distribution to another.
pub(super) fn distance(from: &[Share], to: &[Share]) -> u32 {
    let pairs = from.iter().zip(to);
    pairs.map(|(a, b)| b.0.saturating_sub(a.0)).sum()
}

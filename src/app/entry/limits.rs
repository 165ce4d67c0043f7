//! The names of the limits that entries share.

use crate::domain::{LimitName, RegionName, ServiceName, TargetId};

/// Returns the name of a target's limit.
#[must_use]
pub fn slots_limit(target: TargetId) -> LimitName {
    let text = target.to_string();
    // IPv6 addresses print with brackets, which names do not have.
    limit_name(&format!("slots/{}", text.replace(['[', ']'], "")))
}

/// Returns the name of a region's limit.
#[must_use]
pub fn region_limit(region: &RegionName) -> LimitName {
    limit_name(&format!("region/{region}"))
}

/// Returns the name of the limit of a link in one direction.
#[must_use]
pub fn link_limit(from: &RegionName, to: &RegionName) -> LimitName {
    limit_name(&format!("link/{from}/{to}"))
}

/// Returns the name of the cap on a service's shifts.
#[must_use]
pub fn shift_limit(service: &ServiceName) -> LimitName {
    limit_name(&format!("shift/{service}"))
}

fn limit_name(text: &str) -> LimitName {
    // The parts are valid names already, and their sum is shorter than a limit's
    // name may be.
    text.parse().unwrap_or_else(|e| unreachable!("{e}"))
}

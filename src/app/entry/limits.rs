//! The names of the limits that entries share.

use crate::domain::{LimitName, RegionName, ServiceName, TargetId, WorkspaceName};

/// Returns the name of the limit on a target's slots.
#[must_use]
pub fn slots_limit(target: TargetId) -> LimitName {
    let text = target.to_string();
    // IPv6 addresses print with brackets, which names of limits do not allow.
    limit_name(&format!("slots/{}", text.replace(['[', ']'], "")))
}

/// Returns the name of the limit on a region's requests.
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

/// Returns the name of the limit on the requests of a workspace of a service.
#[must_use]
pub fn workspace_limit(service: &ServiceName, workspace: &WorkspaceName) -> LimitName {
    limit_name(&format!("{WORKSPACE_PREFIX}{service}/{workspace}"))
}

/// Returns whether a limit is that of a workspace.
#[must_use]
pub fn is_workspace_limit(name: &LimitName) -> bool {
    name.as_str().starts_with(WORKSPACE_PREFIX)
}

/// The beginning of the names of the limits of workspaces.
const WORKSPACE_PREFIX: &str = "workspace/";

fn limit_name(text: &str) -> LimitName {
    // The parts are valid names, and together they are shorter than the longest
    // valid name of a limit.
    text.parse().unwrap_or_else(|e| unreachable!("{e}"))
}

//! The regions in which a request may run.

use super::{RegionName, RouteRule, Workspace};

/// The home regions of a route and of a workspace, both of which bind. An empty list
/// allows all regions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Homes<'a> {
    route: &'a [RegionName],
    workspace: &'a [RegionName],
}

impl<'a> Homes<'a> {
    /// Returns the homes of the requests of a route and a workspace, if they belong to
    /// one.
    #[must_use]
    pub fn new(rule: &'a RouteRule, workspace: Option<&'a Workspace>) -> Self {
        Self {
            route: &rule.home_regions,
            workspace: workspace.map_or(&[], |w| &w.home_regions),
        }
    }

    /// Returns the homes of the requests of a workspace on the interface whose routes
    /// have no homes.
    #[must_use]
    pub fn of_workspace(workspace: Option<&'a Workspace>) -> Self {
        Self {
            route: &[],
            workspace: workspace.map_or(&[], |w| &w.home_regions),
        }
    }

    /// Returns whether the request may run in a region.
    #[must_use]
    pub fn contains(&self, region: &RegionName) -> bool {
        let allows = |homes: &[RegionName]| homes.is_empty() || homes.contains(region);
        allows(self.route) && allows(self.workspace)
    }

    /// Returns whether all regions are allowed.
    #[must_use]
    pub fn is_unbound(&self) -> bool {
        self.route.is_empty() && self.workspace.is_empty()
    }

    /// Returns whether the lists have no region in common, so that the request may not
    /// run anywhere.
    #[must_use]
    pub fn is_void(&self) -> bool {
        let bound = !self.route.is_empty() && !self.workspace.is_empty();
        bound && !self.route.iter().any(|r| self.workspace.contains(r))
    }
}

//! Where clients are.

use std::net::IpAddr;

use crate::{
    adapters::ini::Site,
    domain::{Prefix, RegionName, SiteId},
    policy::lookup::{BlockChange, BlockTable, SiteRegions},
};

/// Where clients are, by their addresses.
#[derive(Debug)]
pub struct Locations {
    blocks: BlockTable,
    sites: SiteRegions,
}

impl Locations {
    /// Collects the sites of the settings.
    #[must_use]
    pub fn new(list: &[Site]) -> Self {
        let id = |n: usize| SiteId(u32::try_from(n).unwrap_or(u32::MAX));
        let sites = list.iter().enumerate();
        let changes: Vec<BlockChange> = sites
            .clone()
            .flat_map(|(n, site)| {
                let change = move |prefix: &Prefix| BlockChange {
                    prefix: *prefix,
                    site: Some(id(n)),
                };
                site.blocks.iter().map(change)
            })
            .collect();
        let blocks = BlockTable::new();
        blocks.apply(&changes);
        Self {
            blocks,
            sites: SiteRegions::new(sites.map(|(n, site)| (id(n), site.region.clone()))),
        }
    }

    /// Returns the region that is nearest to a client, if its site is known.
    #[must_use]
    pub fn region(&self, client: IpAddr) -> Option<&RegionName> {
        self.sites.region(self.blocks.find(client)?)
    }
}

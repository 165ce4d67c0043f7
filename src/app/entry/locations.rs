//! The locations of clients.

use std::net::IpAddr;

use crate::{
    adapters::ini::Site,
    domain::{Prefix, RegionName, SiteId},
    policy::lookup::{BlockChange, BlockTable, SiteRegions},
};

/// Maps addresses of clients to sites, and sites to regions.
#[derive(Debug)]
pub struct Locations {
    blocks: BlockTable,
    sites: SiteRegions,
}

impl Locations {
    /// Builds the tables from the sites in the settings.
    #[must_use]
    pub fn new(list: &[Site]) -> Self {
        let site_id = |n: usize| SiteId(u32::try_from(n).unwrap_or(u32::MAX));
        let sites = list.iter().enumerate();
        let changes: Vec<BlockChange> = sites
            .clone()
            .flat_map(|(n, site)| {
                let change = move |prefix: &Prefix| BlockChange {
                    prefix: *prefix,
                    site: Some(site_id(n)),
                };
                site.blocks.iter().map(change)
            })
            .collect();
        let blocks = BlockTable::new();
        blocks.apply(&changes);
        Self {
            blocks,
            sites: SiteRegions::new(sites.map(|(n, site)| (site_id(n), site.region.clone()))),
        }
    }

    /// Returns the region of a client's site, or `None` if no site has the
    /// address.
    #[must_use]
    pub fn region(&self, client: IpAddr) -> Option<&RegionName> {
        self.sites.region(self.blocks.find(client)?)
    }
}

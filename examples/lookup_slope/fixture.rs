//! Builds a table of client blocks, and sites and a view of entries of the size
//! that is expected in two years.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{Millis, Prefix, ServiceName, SiteId},
    policy::lookup::{
        BlockChange, BlockTable, Candidate, EntryState, EntryView, LoadLevel, RegionDelays,
        SiteRegions, rank,
    },
};

/// The sizes expected in two years, from docs/design.md, section 1.6.
pub const SITE_COUNT: u32 = 1_900;
pub const MEMBER_COUNT: usize = 2_800;
const REGION_COUNT: usize = 60;
const AZ_COUNT: usize = 187;

/// The number of prepared client addresses, and of lookups per thread and round.
pub const LOOKUP_COUNT: usize = 200_000;

/// The data that the lookups read.
pub struct Fixture {
    pub table: BlockTable,
    pub sites: SiteRegions,
    pub view: EntryView,
    members: Vec<Candidate>,
    delays: RegionDelays,
    lookup_addresses: Vec<IpAddr>,
    services: Vec<ServiceName>,
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse().ok();
    parsed.expect("a valid name")
}

/// Returns a random block. Seven in ten are IPv4, most of them /24. The others
/// are IPv6 blocks of /32 to /48 from the ranges of a few registries, so that the
/// leading bits are skewed, as those of assigned addresses are.
pub fn prefix(rng: &mut SmallRng) -> Prefix {
    let prefix = if rng.random_ratio(7, 10) {
        let len = if rng.random_ratio(6, 10) {
            24
        } else {
            rng.random_range(16..24)
        };
        Prefix::new(
            Ipv4Addr::from_bits(rng.random_range(1 << 24..223 << 24)).into(),
            len,
        )
    } else {
        let registry =
            [0x2001, 0x2400, 0x2600, 0x2a00][rng.random_range(0..4)] + rng.random_range(0..16);
        let addr = registry << 112 | u128::from(rng.random::<u64>()) << 48;
        Prefix::new(Ipv6Addr::from_bits(addr).into(), rng.random_range(32..=48))
    };
    prefix.expect("a length within the address")
}

/// Builds a fixture with `blocks` distinct client blocks.
pub fn fixture(blocks: usize) -> Fixture {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut changes = BTreeMap::new();
    while changes.len() < blocks {
        changes.insert(prefix(&mut rng), SiteId(rng.random_range(0..SITE_COUNT)));
    }
    let changes: Vec<BlockChange> = changes
        .into_iter()
        .map(|(prefix, site)| BlockChange {
            prefix,
            site: Some(site),
        })
        .collect();
    let table = BlockTable::new();
    table.apply(&changes);
    let region = |index: usize| name(&format!("region-{index}"));
    let member = |index: usize| Candidate {
        id: name(&format!("entry-{index}")),
        region: region(index % AZ_COUNT % REGION_COUNT),
        az: name(&format!("az-{}", index % AZ_COUNT)),
        address: ([10, 0, 0, 1], 80).into(),
        level: if index.is_multiple_of(9) {
            LoadLevel::Busy
        } else {
            LoadLevel::Normal
        },
        state: EntryState::Live,
        changed_at: Millis(0),
    };
    let members: Vec<Candidate> = (0..MEMBER_COUNT).map(member).collect();
    let pairs = (0..REGION_COUNT).flat_map(|a| (0..a).map(move |b| (a, b)));
    let region_delays =
        pairs.map(|(a, b)| (region(a), region(b), Millis(20 + (a * b % 90) as u64)));
    let lookup_address = |_| changes[rng.random_range(0..changes.len())].prefix.addr();
    let delays = RegionDelays::new(region_delays);
    Fixture {
        table,
        sites: SiteRegions::new(
            (0..SITE_COUNT).map(|site| (SiteId(site), region(site as usize % REGION_COUNT))),
        ),
        view: EntryView::new(&members, &delays),
        members,
        delays,
        lookup_addresses: (0..LOOKUP_COUNT).map(lookup_address).collect(),
        services: ["slotboard", "bokun", "status-desk"].map(name).to_vec(),
    }
}

impl Fixture {
    /// Returns the site of a prepared client address.
    pub fn find(&self, index: usize) -> Option<SiteId> {
        self.table.find(self.lookup_addresses[index % LOOKUP_COUNT])
    }

    /// Builds the view again, as after a membership change.
    pub fn rebuild(&self) -> EntryView {
        EntryView::new(&self.members, &self.delays)
    }

    /// Performs a whole lookup and returns the number of entries in its answer.
    pub fn look_up(&self, index: usize) -> usize {
        let region = self.find(index).and_then(|site| self.sites.region(site));
        let service = &self.services[index % self.services.len()];
        let answer = region.map(|region| rank(service, region, &self.view, Millis(60_000)));
        answer.map_or(0, |answer| answer.entries.len())
    }
}

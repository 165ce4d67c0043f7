//! A table of client blocks and a view of entries at the two-year size.

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

/// The two-year size of docs/design.md, section 1.6.
pub const SITES: u32 = 1_900;
pub const MEMBERS: usize = 2_800;
const REGIONS: usize = 60;
const ZONES: usize = 187;

/// The look-ups that are prepared, and that a round takes.
pub const LOOKUPS: usize = 200_000;

pub struct World {
    pub table: BlockTable,
    pub sites: SiteRegions,
    pub view: EntryView,
    members: Vec<Candidate>,
    delays: RegionDelays,
    probes: Vec<IpAddr>,
    services: Vec<ServiceName>,
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse().ok();
    parsed.expect("the name is valid")
}

/// Seven blocks in ten are IPv4, most of them /24; the others are IPv6 /32 to
/// /48 below a few registries, which is the skew that the leading bits meet.
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
    prefix.expect("the lengths fit")
}

pub fn world(blocks: usize) -> World {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut changes = BTreeMap::new();
    while changes.len() < blocks {
        changes.insert(prefix(&mut rng), SiteId(rng.random_range(0..SITES)));
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
    let region = |at: usize| name(&format!("region-{at}"));
    let member = |at: usize| Candidate {
        id: name(&format!("entry-{at}")),
        region: region(at % ZONES % REGIONS),
        az: name(&format!("az-{}", at % ZONES)),
        address: ([10, 0, 0, 1], 80).into(),
        level: if at.is_multiple_of(9) {
            LoadLevel::Busy
        } else {
            LoadLevel::Normal
        },
        state: EntryState::Live,
        changed_at: Millis(0),
    };
    let members: Vec<Candidate> = (0..MEMBERS).map(member).collect();
    let pairs = (0..REGIONS).flat_map(|a| (0..a).map(move |b| (a, b)));
    let links = pairs.map(|(a, b)| (region(a), region(b), Millis(20 + (a * b % 90) as u64)));
    let probe = |_| changes[rng.random_range(0..changes.len())].prefix.addr();
    let delays = RegionDelays::new(links);
    World {
        table,
        sites: SiteRegions::new((0..SITES).map(|s| (SiteId(s), region(s as usize % REGIONS)))),
        view: EntryView::new(&members, &delays),
        members,
        delays,
        probes: (0..LOOKUPS).map(probe).collect(),
        services: ["slotboard", "bokun", "status-desk"].map(name).to_vec(),
    }
}

impl World {
    pub fn find(&self, at: usize) -> Option<SiteId> {
        self.table.find(self.probes[at % LOOKUPS])
    }

    /// Prepares the view anew, as after a change of the membership.
    pub fn rebuild(&self) -> EntryView {
        EntryView::new(&self.members, &self.delays)
    }

    pub fn look_up(&self, at: usize) -> usize {
        let region = self.find(at).and_then(|site| self.sites.region(site));
        let service = &self.services[at % self.services.len()];
        let answer = region.map(|r| rank(service, r, &self.view, Millis(60_000)));
        answer.map_or(0, |a| a.entries.len())
    }
}

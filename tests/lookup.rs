//! Tests of lookups. A wrong site for an address, or a ranking that differs
//! between entries, sends callers to distant entries or to entries that are
//! stopping.

use std::{
    collections::BTreeMap,
    fmt::Write,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    thread,
};

use quickcheck::quickcheck;
use savorybeam::{
    domain::{Millis, Prefix, RegionName, ServiceName, SiteId},
    policy::lookup::{
        Answer, BlockChange, BlockTable, Candidate, EntryState, EntryView, LoadGauge, LoadLevel,
        RegionDelays, SiteRegions, rank,
    },
};
use xxhash_rust::xxh3::xxh3_64;

/// Returns an address with one of few values of the leading bits, so that
/// blocks of such addresses enclose each other.
fn address(seed: u32) -> IpAddr {
    let low = u128::from(seed & 0x00ff_00ff);
    match seed >> 30 {
        0 | 1 => Ipv4Addr::from_bits(0x0a00_0000 | seed & 0x0071_00ff).into(),
        2 => Ipv6Addr::from_bits(0x2a00 << 112 | low << 90).into(),
        _ => Ipv6Addr::from_bits(0x2a01 << 112 | low).into(),
    }
}

fn change((seed, len, site): (u32, u8, u8)) -> BlockChange {
    let addr = address(seed);
    let len = if addr.is_ipv4() { len % 33 } else { len % 129 };
    let prefix = Prefix::new(addr, len).expect("the prefix length is valid");
    let site = (site % 4 > 0).then_some(SiteId(site.into()));
    BlockChange { prefix, site }
}

/// Finds the block with the longest prefix by a scan of all blocks.
fn scan(blocks: &BTreeMap<Prefix, SiteId>, addr: IpAddr) -> Option<SiteId> {
    let matching = blocks.iter().filter(|(p, _)| p.contains(addr));
    matching
        .max_by_key(|(p, _)| p.bits())
        .map(|(_, site)| *site)
}

/// Converts an IPv4 address to an IPv4-mapped IPv6 address.
fn mapped(addr: IpAddr) -> IpAddr {
    match addr {
        IpAddr::V4(v4) => v4.to_ipv6_mapped().into(),
        IpAddr::V6(v6) => v6.into(),
    }
}

quickcheck! {
    /// Guards against wrong results for nested blocks, after a removal, and at
    /// the boundary of shards.
    fn the_table_agrees_with_a_linear_scan(changes: Vec<(u32, u8, u8)>, probes: Vec<u32>) -> bool {
        let table = BlockTable::new();
        let mut reference = BTreeMap::new();
        let changes: Vec<BlockChange> = changes.into_iter().map(change).collect();
        changes.chunks(40).all(|delta| {
            table.apply(delta);
            for change in delta {
                match change.site {
                    Some(site) => reference.insert(change.prefix, site),
                    None => reference.remove(&change.prefix),
                };
            }
            let starts = reference.keys().map(Prefix::addr);
            let mut probes = probes.iter().map(|p| address(*p)).chain(starts);
            let agrees = |a: IpAddr| {
                let site = scan(&reference, a);
                table.find(a) == site && table.find(mapped(a)) == site
            };
            probes.all(agrees) && table.len() == reference.len()
        })
    }

    /// Guards against a text form of a prefix that parses to another prefix.
    fn prefixes_round_trip(seed: u32, len: u8) -> bool {
        let prefix = change((seed, len, 1)).prefix;
        prefix.to_string().parse() == Ok(prefix)
    }
}

/// Guards against a reader that sees only a part of a delta for an address:
/// with the shorter block changed and the longer one not yet added, it would
/// find the new site of the shorter block.
#[test]
fn lookups_of_one_address_are_atomic() {
    let table = BlockTable::new();
    let change = |text: &str, site| BlockChange {
        prefix: text.parse().expect("the block is valid"),
        site,
    };
    let old = [
        change("10.0.0.0/8", Some(SiteId(1))),
        change("10.1.2.0/24", None),
    ];
    let new = [
        change("10.0.0.0/8", Some(SiteId(2))),
        change("10.1.2.0/24", Some(SiteId(3))),
    ];
    let caller: IpAddr = "10.1.2.3".parse().expect("the address is valid");
    table.apply(&old);
    let count_partial = || {
        let sites = (0..20_000).map(|_| table.find(caller));
        sites
            .filter(|s| ![Some(SiteId(1)), Some(SiteId(3))].contains(s))
            .count()
    };
    let partial: usize = thread::scope(|s| {
        let readers: Vec<_> = (0..4).map(|_| s.spawn(count_partial)).collect();
        while !readers.iter().all(thread::ScopedJoinHandle::is_finished) {
            table.apply(&new);
            table.apply(&old);
        }
        readers
            .into_iter()
            .map(|r| r.join().expect("the reader does not panic"))
            .sum()
    });
    insta::assert_snapshot!(partial, @"0");
}

/// Guards against concurrent deltas of one shard that overwrite each other.
#[test]
fn concurrent_deltas_are_all_applied() {
    let table = BlockTable::new();
    let change = |writer: u8, block: u8| BlockChange {
        prefix: Prefix::new([10, 0, writer, block].into(), 32).expect("the prefix length is valid"),
        site: Some(SiteId(1)),
    };
    let write = |writer| (0..100).for_each(|block| table.apply(&[change(writer, block)]));
    thread::scope(|s| {
        for writer in 0..4 {
            s.spawn(move || write(writer));
        }
    });
    insta::assert_snapshot!(table.len(), @"400");
}

const STATES: [EntryState; 6] = [
    EntryState::Live,
    EntryState::Live,
    EntryState::Live,
    EntryState::Suspect,
    EntryState::Leaving,
    EntryState::Dead,
];
const LEVELS: [LoadLevel; 3] = [LoadLevel::Normal, LoadLevel::Busy, LoadLevel::Overloaded];

fn name<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse().ok();
    parsed.expect("the name is valid")
}

fn candidate(id: usize, (region, az, state, level): (u8, u8, u8, u8)) -> Candidate {
    let region = region % 4;
    Candidate {
        id: name(&format!("e{id}")),
        region: name(&format!("r{region}")),
        az: name(&format!("r{region}-{}", az % 2)),
        address: ([127, 0, 0, 1], 8000).into(),
        level: LEVELS[usize::from(level) % 3],
        state: STATES[usize::from(state) % 6],
        changed_at: Millis(u64::from(state) * 100),
    }
}

fn delays() -> RegionDelays {
    let link = |a, b, ms| (name(a), name(b), Millis(ms));
    RegionDelays::new([
        link("r0", "r1", 35),
        link("r0", "r2", 35),
        link("r1", "r2", 20),
        link("r0", "r3", 80),
    ])
}

/// Ranks the entries as specified: sorts all of them, takes the first four and
/// looks for a second availability zone.
fn rank_by_sorting<'a>(
    service: &ServiceName,
    from: &RegionName,
    all: &'a [Candidate],
) -> Vec<&'a Candidate> {
    let score = |c: &Candidate| {
        let mut h = xxh3_64(service.as_bytes()) ^ xxh3_64(c.id.as_bytes());
        h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        h ^= h >> 31;
        #[allow(clippy::cast_precision_loss)] // 53 bits fit in an f64.
        let uniform = ((h >> 11) as f64 + 0.5) / 2f64.powi(53);
        -uniform.ln() * if c.level == LoadLevel::Busy { 2.0 } else { 1.0 }
    };
    let key = |c: &Candidate| {
        let suspect = c.state == EntryState::Suspect;
        let overloaded = c.level == LoadLevel::Overloaded;
        (suspect, delays().between(from, &c.region), overloaded)
    };
    let is_eligible = |c: &&Candidate| matches!(c.state, EntryState::Live | EntryState::Suspect);
    let mut order: Vec<&Candidate> = all.iter().filter(is_eligible).collect();
    order.sort_by(|a, b| key(a).cmp(&key(b)).then(score(a).total_cmp(&score(b))));
    let rest = order.split_off(order.len().min(4));
    if let Some(first) = order.first().map(|c| &c.az)
        && order.iter().all(|c| c.az == *first)
        && let Some(other) = rest.into_iter().find(|c| c.az != *first)
    {
        order[3] = other;
    }
    order
}

quickcheck! {
    /// Guards against a search that stops too early or ranks a leaving entry.
    fn rank_agrees_with_a_full_sort(members: Vec<(u8, u8, u8, u8)>, from: u8, service: u8) -> bool {
        let members = members.into_iter().enumerate();
        let all: Vec<Candidate> = members.map(|(id, m)| candidate(id, m)).collect();
        let view = EntryView::new(&all, &delays());
        let (service, from) = (name(&format!("s{service}")), name(&format!("r{}", from % 4)));
        let ids = |c: Vec<&Candidate>| c.iter().map(|c| c.id.clone()).collect::<Vec<_>>();
        ids(rank(&service, &from, &view, Millis(0)).entries) == ids(rank_by_sorting(&service, &from, &all))
    }

    /// Guards against the loss of an entry that moves services which did not
    /// use it.
    fn a_lost_entry_moves_only_its_own_services(count: u8, lost: u8, service: u8) -> bool {
        let count = usize::from(count % 30) + 2;
        let lost = usize::from(lost) % count;
        let mut all: Vec<_> = (0..count).map(|id| candidate(id, (0, 0, 0, 0))).collect();
        let (service, from) = (name(&format!("s{service}")), name("r0"));
        let first = |all: &[Candidate]| {
            let view = EntryView::new(all, &delays());
            rank(&service, &from, &view, Millis(0)).entries[0].id.clone()
        };
        let before = first(&all);
        all[lost].state = EntryState::Dead;
        before == all[lost].id || before == first(&all)
    }
}

fn format_answer(answer: &Answer<'_>) -> String {
    let entry = |c: &&Candidate| format!("{}@{}", c.id, c.az);
    let entries: Vec<String> = answer.entries.iter().map(entry).collect();
    format!("{} for {}", entries.join(" "), answer.max_age)
}

/// Guards against a change of the ranking or of the age of answers between
/// versions, which would move callers during an upgrade.
#[test]
fn answers_are_stable_across_versions() {
    let mut all: Vec<Candidate> = (0..9u8)
        .map(|id| candidate(id.into(), (id % 3, id / 3, 0, 0)))
        .collect();
    let sites = SiteRegions::new([(SiteId(7), name("r0")), (SiteId(8), name("r3"))]);
    let mut out = String::new();
    let mut record = |event: &str, all: &[Candidate], site: u32, now: u64| {
        let view = EntryView::new(all, &delays());
        let from = sites.region(SiteId(site)).expect("the site is known");
        for service in ["slotboard", "bokun"] {
            let answer = rank(&name(service), from, &view, Millis(now));
            writeln!(out, "{event}, {service}: {}", format_answer(&answer))
                .expect("writing to a string succeeds");
        }
    };
    record("start", &all, 7, 1_000);
    record("settled", &all, 7, 20_000);
    record("region without entries", &all, 8, 20_000);
    all[3].level = LoadLevel::Overloaded;
    record("e3 overloaded", &all, 7, 20_000);
    all[3].level = LoadLevel::Normal;
    (all[3].state, all[3].changed_at) = (EntryState::Suspect, Millis(21_000));
    record("e3 suspect", &all, 7, 23_000);
    record("e3 suspect for long", &all, 7, 40_000);
    (all[3].state, all[3].changed_at) = (EntryState::Leaving, Millis(24_000));
    record("e3 leaving", &all, 7, 25_000);
    record("e3 left", &all, 7, 40_000);
    for entry in all.iter_mut().filter(|c| c.region == name("r0")) {
        (entry.state, entry.changed_at) = (EntryState::Dead, Millis(50_000));
    }
    record("r0 lost", &all, 7, 50_000);
    insta::assert_snapshot!(out);
}

/// Guards against a load level that changes with each report near a threshold.
#[test]
fn load_levels_have_hysteresis() {
    let mut gauge = LoadGauge::default();
    let mut level = |percent: &u64| format!("{percent}% {}", gauge.observe(*percent, 100));
    let percentages = [50, 69, 70, 68, 56, 54, 70, 89, 90, 76, 74, 92, 80, 54];
    let levels: Vec<String> = percentages.iter().map(&mut level).collect();
    insta::assert_snapshot!(levels.join("\n"));
}

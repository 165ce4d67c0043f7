//! Guards look-ups: an address that leads to the wrong site, or an order that
//! differs between entries, sends callers far away or to entries that stop.

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
        Answer, BlockTable, Candidate, Change, Delays, EntryState, LoadGauge, LoadLevel, Sites,
        View, rank,
    },
};
use xxhash_rust::xxh3::xxh3_64;

/// Few distinct leading bits, so that blocks enclose each other.
fn address(seed: u32) -> IpAddr {
    let low = u128::from(seed & 0x00ff_00ff);
    match seed >> 30 {
        0 | 1 => Ipv4Addr::from_bits(0x0a00_0000 | seed & 0x0071_00ff).into(),
        2 => Ipv6Addr::from_bits(0x2a00 << 112 | low << 90).into(),
        _ => Ipv6Addr::from_bits(0x2a01 << 112 | low).into(),
    }
}

fn change((seed, len, site): (u32, u8, u8)) -> Change {
    let addr = address(seed);
    let len = if addr.is_ipv4() { len % 33 } else { len % 129 };
    let prefix = Prefix::new(addr, len).expect("the length fits");
    let site = (site % 4 > 0).then_some(SiteId(site.into()));
    Change { prefix, site }
}

/// The naive version: a scan of all blocks for the longest one.
fn scan(blocks: &BTreeMap<Prefix, SiteId>, addr: IpAddr) -> Option<SiteId> {
    let fits = blocks.iter().filter(|(p, _)| p.contains(addr));
    fits.max_by_key(|(p, _)| p.bits()).map(|(_, site)| *site)
}

fn mapped(addr: IpAddr) -> IpAddr {
    match addr {
        IpAddr::V4(v4) => v4.to_ipv6_mapped().into(),
        IpAddr::V6(v6) => v6.into(),
    }
}

quickcheck! {
    /// Fails if nesting, removal or a shard's border is handled wrongly.
    fn the_table_finds_what_a_scan_finds(changes: Vec<(u32, u8, u8)>, probes: Vec<u32>) -> bool {
        let table = BlockTable::new();
        let mut plain = BTreeMap::new();
        let changes: Vec<Change> = changes.into_iter().map(change).collect();
        changes.chunks(40).all(|delta| {
            table.apply(delta);
            for change in delta {
                match change.site {
                    Some(site) => plain.insert(change.prefix, site),
                    None => plain.remove(&change.prefix),
                };
            }
            let starts = plain.keys().map(Prefix::addr);
            let mut probes = probes.iter().map(|p| address(*p)).chain(starts);
            let same = |a: IpAddr| {
                let site = scan(&plain, a);
                table.find(a) == site && table.find(mapped(a)) == site
            };
            probes.all(same) && table.len() == plain.len()
        })
    }

    fn blocks_read_back(seed: u32, len: u8) -> bool {
        let prefix = change((seed, len, 1)).prefix;
        prefix.to_string().parse() == Ok(prefix)
    }
}

/// Fails if a reader sees part of a change: the short block's new site would
/// show through while the long block is missing.
#[test]
fn readers_see_an_address_before_or_after_a_change() {
    let table = BlockTable::new();
    let set = |text: &str, site| Change {
        prefix: text.parse().expect("a block"),
        site,
    };
    let old = [set("10.0.0.0/8", Some(SiteId(1))), set("10.1.2.0/24", None)];
    let new = [
        set("10.0.0.0/8", Some(SiteId(2))),
        set("10.1.2.0/24", Some(SiteId(3))),
    ];
    let caller: IpAddr = "10.1.2.3".parse().expect("an address");
    table.apply(&old);
    let read = || {
        let answers = (0..20_000).map(|_| table.find(caller));
        answers
            .filter(|a| ![Some(SiteId(1)), Some(SiteId(3))].contains(a))
            .count()
    };
    let mixed: usize = thread::scope(|s| {
        let readers: Vec<_> = (0..4).map(|_| s.spawn(read)).collect();
        while !readers.iter().all(thread::ScopedJoinHandle::is_finished) {
            table.apply(&new);
            table.apply(&old);
        }
        readers
            .into_iter()
            .map(|r| r.join().expect("the reader ends"))
            .sum()
    });
    insta::assert_snapshot!(mixed, @"0");
}

/// Fails if two deltas of one shard lose a change of each other.
#[test]
fn deltas_at_the_same_time_are_all_kept() {
    let table = BlockTable::new();
    let delta = |writer: u8, block: u8| Change {
        prefix: Prefix::new([10, 0, writer, block].into(), 32).expect("the length fits"),
        site: Some(SiteId(1)),
    };
    let write = |writer| (0..100).for_each(|block| table.apply(&[delta(writer, block)]));
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
        since: Millis(u64::from(state) * 100),
    }
}

fn delays() -> Delays {
    let link = |a, b, ms| (name(a), name(b), Millis(ms));
    Delays::new([
        link("r0", "r1", 35),
        link("r0", "r2", 35),
        link("r1", "r2", 20),
        link("r0", "r3", 80),
    ])
}

/// The plain version: sort all entries, take four, look for a second zone.
fn sorted<'a>(
    service: &ServiceName,
    from: &RegionName,
    all: &'a [Candidate],
) -> Vec<&'a Candidate> {
    let score = |c: &Candidate| {
        let mut h = xxh3_64(service.as_bytes()) ^ xxh3_64(c.id.as_bytes());
        h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        h ^= h >> 31;
        #[allow(clippy::cast_precision_loss)] // 53 bits fit.
        let uniform = ((h >> 11) as f64 + 0.5) / 2f64.powi(53);
        -uniform.ln() * if c.level == LoadLevel::Busy { 2.0 } else { 1.0 }
    };
    let key = |c: &Candidate| {
        let suspect = c.state == EntryState::Suspect;
        let overloaded = c.level == LoadLevel::Overloaded;
        (suspect, delays().between(from, &c.region), overloaded)
    };
    let named = |c: &&Candidate| matches!(c.state, EntryState::Live | EntryState::Suspect);
    let mut order: Vec<&Candidate> = all.iter().filter(named).collect();
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
    /// Fails if the search stops too early or ranks a leaving entry.
    fn rank_orders_as_a_plain_sort(members: Vec<(u8, u8, u8, u8)>, from: u8, service: u8) -> bool {
        let members = members.into_iter().enumerate();
        let all: Vec<Candidate> = members.map(|(id, m)| candidate(id, m)).collect();
        let view = View::new(&all, &delays());
        let (service, from) = (name(&format!("s{service}")), name(&format!("r{}", from % 4)));
        let ids = |c: Vec<&Candidate>| c.iter().map(|c| c.id.clone()).collect::<Vec<_>>();
        ids(rank(&service, &from, &view, Millis(0)).entries) == ids(sorted(&service, &from, &all))
    }

    /// Fails if the loss of one entry moves services that did not use it.
    fn a_lost_entry_moves_only_its_own_services(count: u8, lost: u8, service: u8) -> bool {
        let count = usize::from(count % 30) + 2;
        let lost = usize::from(lost) % count;
        let mut all: Vec<_> = (0..count).map(|id| candidate(id, (0, 0, 0, 0))).collect();
        let (service, from) = (name(&format!("s{service}")), name("r0"));
        let first = |all: &[Candidate]| {
            let view = View::new(all, &delays());
            rank(&service, &from, &view, Millis(0)).entries[0].id.clone()
        };
        let before = first(&all);
        all[lost].state = EntryState::Dead;
        before == all[lost].id || before == first(&all)
    }
}

fn row(answer: &Answer<'_>) -> String {
    let entry = |c: &&Candidate| format!("{}@{}", c.id, c.az);
    let entries: Vec<String> = answer.entries.iter().map(entry).collect();
    format!("{} for {}", entries.join(" "), answer.max_age)
}

/// Fails if the order or the age of answers changes, which would move callers
/// during an upgrade.
#[test]
fn answers_over_time() {
    let mut all: Vec<Candidate> = (0..9u8)
        .map(|id| candidate(id.into(), (id % 3, id / 3, 0, 0)))
        .collect();
    let sites = Sites::new([(SiteId(7), name("r0")), (SiteId(8), name("r3"))]);
    let mut out = String::new();
    let mut note = |what: &str, all: &[Candidate], site: u32, now: u64| {
        let view = View::new(all, &delays());
        let from = sites.region(SiteId(site)).expect("the site is known");
        for service in ["slotboard", "bokun"] {
            let answer = rank(&name(service), from, &view, Millis(now));
            writeln!(out, "{what}, {service}: {}", row(&answer)).expect("memory");
        }
    };
    note("start", &all, 7, 1_000);
    note("settled", &all, 7, 20_000);
    note("region without entries", &all, 8, 20_000);
    all[3].level = LoadLevel::Overloaded;
    note("e3 overloaded", &all, 7, 20_000);
    all[3].level = LoadLevel::Normal;
    (all[3].state, all[3].since) = (EntryState::Suspect, Millis(21_000));
    note("e3 suspect", &all, 7, 23_000);
    note("e3 suspect for long", &all, 7, 40_000);
    (all[3].state, all[3].since) = (EntryState::Leaving, Millis(24_000));
    note("e3 leaving", &all, 7, 25_000);
    note("e3 left", &all, 7, 40_000);
    for entry in all.iter_mut().filter(|c| c.region == name("r0")) {
        (entry.state, entry.since) = (EntryState::Dead, Millis(50_000));
    }
    note("r0 lost", &all, 7, 50_000);
    insta::assert_snapshot!(out);
}

/// Fails if a level follows each report near a threshold.
#[test]
fn load_levels_have_hysteresis() {
    let mut gauge = LoadGauge::default();
    let mut level = |percent: &u64| format!("{percent}% {}", gauge.observe(*percent, 100));
    let use_ = [50, 69, 70, 68, 56, 54, 70, 89, 90, 76, 74, 92, 80, 54];
    let levels: Vec<String> = use_.iter().map(&mut level).collect();
    insta::assert_snapshot!(levels.join("\n"));
}

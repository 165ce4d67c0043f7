//! Simulates the entries of one or two services, whose shifts share the units
//! of a cap. The checks use only the requests that the entries sent, not the
//! state of the shifts.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::Write,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{Document, Millis, Place, PlaceName, PlaceState, RegionName, Revision, Slots, Weight},
    policy::{
        refusal::Outcome,
        shift::{PlaceShare, Progress, Share, Shift, TickOutcome},
    },
};

pub fn name<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse().ok();
    parsed.expect("the name is valid")
}

/// Returns a document with one place in each of the regions, with these
/// weights.
pub fn document(weights: &[(&str, u32)]) -> Document {
    let place = |(region, weight): &(&str, u32)| Place {
        name: name(&format!("{region}-1")),
        region: name(region),
        az: name(&format!("{region}-a")),
        weight: Weight(*weight),
        state: PlaceState::Active,
        targets: vec![name("10.0.0.1:8080")],
        leaving: Vec::new(),
        slots: Slots(5),
    };
    Document {
        service: name("slotboard"),
        team: name("kitchens"),
        deadline: Millis(5_000),
        shift_cap: "40 rps".parse().expect("the rate is valid"),
        places: weights.iter().map(place).collect(),
        routes: Vec::new(),
        workspaces: Vec::new(),
    }
}

/// A rate limit that admits at most `limit` requests within any second.
#[derive(Clone, Default)]
pub struct RateLimit {
    limit: usize,
    /// When requests were admitted, within the last second.
    admitted: VecDeque<u64>,
}

impl RateLimit {
    fn try_take(&mut self, now: u64) -> bool {
        while self.admitted.front().is_some_and(|t| t + 1_000 <= now) {
            self.admitted.pop_front();
        }
        let is_free = self.admitted.len() < self.limit;
        if is_free {
            self.admitted.push_back(now);
        }
        is_free
    }
}

/// A request that an entry sent.
pub struct SentRequest {
    at: u64,
    service: usize,
    /// The region, or none if the request was refused.
    region: Option<RegionName>,
    /// Whether the request took a unit of the cap.
    extra: bool,
}

/// How entries choose the place of a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    /// With a [`Shift`].
    Shift,
    /// The naive version: by the final weights at once, and with the whole cap
    /// for each entry.
    Naive,
}

/// The entries of one or two services. Each has a shift, and those of a service
/// share the units of its cap.
pub struct Fleet {
    mode: Mode,
    rng: SmallRng,
    pub now: u64,
    /// The service of each entry, its shift and, in the naive version, its own
    /// cap.
    pub entries: Vec<(usize, Shift, RateLimit)>,
    /// The cap of each service.
    caps: Vec<RateLimit>,
    /// The headroom of regions; other regions are not limited.
    pub regions: BTreeMap<RegionName, RateLimit>,
    /// How many more requests each region answers slowly because its caches are
    /// cold.
    pub cold: BTreeMap<RegionName, u32>,
    sent: Vec<SentRequest>,
    /// The outcomes of ticks other than `Waiting`.
    pub outcomes: Vec<String>,
}

/// The cap of a service, in requests per second.
pub const CAP_RPS: usize = 40;

/// The number of entries of each service.
const ENTRIES: usize = 3;

/// Returns a fleet after two seconds of traffic.
pub fn fleet(mode: Mode, documents: &[Document]) -> Fleet {
    let entry = |service: usize| {
        let shift = Shift::new(&documents[service], Revision(1), None, Millis(0));
        (service, shift, rate_limit(CAP_RPS))
    };
    let services = 0..documents.len();
    let mut fleet = Fleet {
        mode,
        rng: SmallRng::seed_from_u64(7),
        now: 0,
        entries: services
            .flat_map(|s| (0..ENTRIES).map(move |_| s))
            .map(entry)
            .collect(),
        caps: vec![rate_limit(CAP_RPS); documents.len()],
        regions: BTreeMap::new(),
        cold: BTreeMap::new(),
        sent: Vec::new(),
        outcomes: Vec::new(),
    };
    fleet.run(2);
    fleet
}

pub fn rate_limit(limit: usize) -> RateLimit {
    RateLimit {
        limit,
        ..RateLimit::default()
    }
}

impl Fleet {
    pub fn adopt(&mut self, service: usize, revision: u64, document: &Document) {
        let now = Millis(self.now);
        for entry in self.entries.iter_mut().filter(|e| e.0 == service) {
            entry.1.adopt(document, Revision(revision), now);
        }
    }

    /// Marks a region as lost or recovered at all entries.
    pub fn set_region_lost(&mut self, region: &str, lost: bool) {
        let now = Millis(self.now);
        for entry in &mut self.entries {
            entry.1.set_region_lost(&name(region), lost, now);
        }
    }

    /// Runs all entries for some seconds. Each sends one request per
    /// millisecond.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 {
            for at in 0..self.entries.len() {
                self.send(at);
            }
            if self.now.is_multiple_of(100) {
                self.tick();
            }
            self.now += 1;
        }
    }

    fn tick(&mut self) {
        let reports: Vec<Progress> = self.entries.iter().map(|e| e.1.progress()).collect();
        for at in 0..self.entries.len() {
            let service = self.entries[at].0;
            let of_service = |i: &usize| *i != at && self.entries[*i].0 == service;
            let others = (0..reports.len()).filter(of_service);
            let peers = others.map(|i| reports[i].clone()).reduce(Progress::merge);
            let outcome = self.entries[at].1.tick(peers.as_ref(), Millis(self.now));
            if outcome != TickOutcome::Waiting {
                self.outcomes.push(format!("{outcome:?}"));
            }
        }
    }

    fn send(&mut self, at: usize) {
        let (service, shift, own_cap) = &mut self.entries[at];
        let (now, service) = (self.now, *service);
        let mut extra = false;
        let regions = &mut self.regions;
        let headroom = |r: &RegionName| regions.get_mut(r).is_none_or(|l| l.try_take(now));
        let chosen = match self.mode {
            Mode::Shift => {
                let unit = || {
                    extra = self.caps[service].try_take(now);
                    extra
                };
                let place = shift.choose_place(&mut self.rng, unit, headroom);
                place.map(|p| (p.name.clone(), p.region.clone()))
            }
            Mode::Naive => {
                let (place, region) = choose_naively(shift, &mut self.rng);
                extra = region != name("east") && own_cap.try_take(now);
                let moved = region == name("east") || extra;
                Ok(if moved {
                    (place, region)
                } else {
                    (name("east-1"), name("east"))
                })
            }
        };
        let region = match chosen {
            Ok((place, region)) => {
                let cold = self.cold.get_mut(&region).filter(|count| **count > 0);
                let latency = cold.map_or(10, |count| {
                    *count -= 1;
                    60
                });
                shift.observe(&place, Millis(latency), false);
                Some(region)
            }
            Err(refusal) => {
                assert_eq!(refusal.outcome, Outcome::NotRun);
                extra = false;
                None
            }
        };
        self.sent.push(SentRequest {
            at: now,
            service,
            region,
            extra,
        });
    }

    /// Counts the requests in the second before `end` that match.
    fn count(&self, end: u64, matches: impl Fn(&SentRequest) -> bool) -> usize {
        let from = self.sent.partition_point(|s| s.at + 1_000 < end);
        let to = self.sent.partition_point(|s| s.at < end);
        self.sent[from..to].iter().filter(|s| matches(s)).count()
    }

    /// Counts the requests of a service to a region in the second before `end`.
    fn count_in_region(&self, end: u64, service: usize, region: &str) -> usize {
        let region: RegionName = name(region);
        self.count(end, |s| {
            s.service == service && s.region.as_ref() == Some(&region)
        })
    }

    /// Returns the violated limits: the cap, the rate at which `growing` may
    /// grow, and the headroom of regions. Only the sent requests are checked.
    pub fn violations(&self, growing: &str) -> Vec<String> {
        let mut violations = Vec::new();
        let ends = || (1_000..=self.now).step_by(50);
        for service in 0..self.caps.len() {
            let extra = |end| self.count(end, |s| s.service == service && s.extra);
            if ends().any(|end| extra(end) > CAP_RPS) {
                violations.push("more extra requests than the cap".to_owned());
            }
            let rate = |end| self.count_in_region(end, service, growing);
            // Both counts are random, so a deviation of four standard
            // deviations is allowed.
            let grew_too_fast = |end: u64| {
                let (before, after) = (rate(end - 1_000), rate(end));
                after.saturating_sub(before + CAP_RPS).pow(2) > 16 * (after + before)
            };
            if ends().skip(20).any(grew_too_fast) {
                violations.push(format!("{growing} grew faster than the cap"));
            }
        }
        for (region, headroom) in &self.regions {
            let load = |end| self.count(end, |s| s.region.as_ref() == Some(region));
            if ends().any(|end| load(end) > headroom.limit) {
                violations.push(format!("more in {region} than its headroom"));
            }
        }
        violations
    }

    /// Prints the number of requests within one second every `interval`
    /// seconds, and the shares of the first entry.
    pub fn timeline(&self, interval: usize, regions: &[&str]) -> String {
        let mut out = String::new();
        for end in (1_000..=self.now).step_by(1_000 * interval) {
            write!(out, "{:2} s:", end / 1_000).expect("writing to a string succeeds");
            for service in 0..self.caps.len() {
                for region in regions {
                    let count = self.count_in_region(end, service, region);
                    write!(out, " {region} {count}").expect("writing to a string succeeds");
                }
                let refused = self.count(end, |s| s.service == service && s.region.is_none());
                let extra = self.count(end, |s| s.service == service && s.extra);
                write!(out, " refused {refused} extra {extra};")
                    .expect("writing to a string succeeds");
            }
            out.push('\n');
        }
        out + &format_shares(&self.entries[0].1)
    }
}

/// Chooses a place by the target shares.
fn choose_naively(shift: &Shift, rng: &mut SmallRng) -> (PlaceName, RegionName) {
    let mut at = rng.random_range(0..Share::WHOLE.0);
    for share in shift.shares() {
        if at < share.target.0 {
            let region = share.name.as_str().trim_end_matches("-1");
            return (share.name.clone(), name(region));
        }
        at -= share.target.0;
    }
    (name("east-1"), name("east"))
}

/// Formats the base and the target shares.
pub fn format_shares(shift: &Shift) -> String {
    let row = |s: PlaceShare<'_>| format!("{} {} of {}", s.name, s.base, s.target);
    let rows: Vec<String> = shift.shares().map(row).collect();
    rows.join(", ")
}

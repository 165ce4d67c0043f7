//! Entries of one or two services whose shifts share units, driven second by
//! second, with checks that use nothing but the requests they sent.

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

/// A document with a place in each region, each with a weight.
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
        shift_cap: "40 rps".parse().expect("a rate"),
        places: weights.iter().map(place).collect(),
        routes: Vec::new(),
    }
}

/// A limit that admits at most `limit` within any second.
#[derive(Clone, Default)]
pub struct Meter {
    limit: usize,
    taken: VecDeque<u64>,
}

impl Meter {
    fn take(&mut self, now: u64) -> bool {
        while self.taken.front().is_some_and(|t| t + 1_000 <= now) {
            self.taken.pop_front();
        }
        let free = self.taken.len() < self.limit;
        if free {
            self.taken.push_back(now);
        }
        free
    }
}

/// One request as it was sent.
pub struct Sent {
    at: u64,
    service: usize,
    /// The region, or none if the request was refused.
    region: Option<RegionName>,
    extra: bool,
}

/// How entries choose.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    Paced,
    /// The naive version: the final weights at once, and the whole cap for each
    /// entry.
    Naive,
}

/// Entries of one or two services, each with a shift, that share units.
pub struct Fleet {
    mode: Mode,
    rng: SmallRng,
    pub now: u64,
    /// The service of each entry, its shift and, in the naive version, its cap.
    pub entries: Vec<(usize, Shift, Meter)>,
    caps: Vec<Meter>,
    pub regions: BTreeMap<RegionName, Meter>,
    /// The requests for which each region is cold.
    pub cold: BTreeMap<RegionName, u32>,
    sent: Vec<Sent>,
    pub paces: Vec<String>,
}

pub const CAP: usize = 40;
const ENTRIES: usize = 3;

pub fn fleet(mode: Mode, documents: &[Document]) -> Fleet {
    let entry = |service: usize| {
        let shift = Shift::new(&documents[service], Revision(1), None, Millis(0));
        (service, shift, meter(CAP))
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
        caps: vec![meter(CAP); documents.len()],
        regions: BTreeMap::new(),
        cold: BTreeMap::new(),
        sent: Vec::new(),
        paces: Vec::new(),
    };
    fleet.run(2);
    fleet
}

pub fn meter(limit: usize) -> Meter {
    Meter {
        limit,
        ..Meter::default()
    }
}

impl Fleet {
    pub fn adopt(&mut self, service: usize, revision: u64, document: &Document) {
        let now = Millis(self.now);
        for entry in self.entries.iter_mut().filter(|e| e.0 == service) {
            entry.1.adopt(document, Revision(revision), now);
        }
    }

    pub fn lose(&mut self, region: &str, lost: bool) {
        let now = Millis(self.now);
        for entry in &mut self.entries {
            entry.1.set_region_lost(&name(region), lost, now);
        }
    }

    /// Runs all entries for some seconds, each with a request a millisecond.
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
            let pace = self.entries[at].1.tick(peers.as_ref(), Millis(self.now));
            if pace != TickOutcome::Waiting {
                self.paces.push(format!("{pace:?}"));
            }
        }
    }

    fn send(&mut self, at: usize) {
        let (service, shift, own) = &mut self.entries[at];
        let (now, service) = (self.now, *service);
        let mut extra = false;
        let regions = &mut self.regions;
        let headroom = |r: &RegionName| regions.get_mut(r).is_none_or(|m| m.take(now));
        let chosen = match self.mode {
            Mode::Paced => {
                let unit = || {
                    extra = self.caps[service].take(now);
                    extra
                };
                let place = shift.choose_place(&mut self.rng, unit, headroom);
                place.map(|p| (p.name.clone(), p.region.clone()))
            }
            Mode::Naive => {
                let (last, region) = naive(shift, &mut self.rng);
                extra = region != name("east") && own.take(now);
                let moved = region == name("east") || extra;
                Ok(if moved {
                    (last, region)
                } else {
                    (name("east-1"), name("east"))
                })
            }
        };
        let region = match chosen {
            Ok((place, region)) => {
                let cold = self.cold.get_mut(&region).filter(|left| **left > 0);
                let latency = cold.map_or(10, |left| {
                    *left -= 1;
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
        self.sent.push(Sent {
            at: now,
            service,
            region,
            extra,
        });
    }

    /// Counts requests in the second before `end`.
    fn count(&self, end: u64, fits: impl Fn(&Sent) -> bool) -> usize {
        let from = self.sent.partition_point(|s| s.at + 1_000 < end);
        let to = self.sent.partition_point(|s| s.at < end);
        self.sent[from..to].iter().filter(|s| fits(s)).count()
    }

    fn in_region(&self, end: u64, service: usize, region: &str) -> usize {
        let region: RegionName = name(region);
        self.count(end, |s| {
            s.service == service && s.region.as_ref() == Some(&region)
        })
    }

    /// Returns what breaks a promise, checked from the requests alone.
    pub fn faults(&self, growing: &str) -> Vec<String> {
        let mut faults = Vec::new();
        let ends = || (1_000..=self.now).step_by(50);
        for service in 0..self.caps.len() {
            let extra = |end| self.count(end, |s| s.service == service && s.extra);
            if ends().any(|end| extra(end) > CAP) {
                faults.push("more extra requests than the cap".to_owned());
            }
            let rate = |end| self.in_region(end, service, growing);
            // Both counts are random; four times their deviation is allowed.
            let rise = |end: u64| {
                let (before, after) = (rate(end - 1_000), rate(end));
                after.saturating_sub(before + CAP).pow(2) > 16 * (after + before)
            };
            if ends().skip(20).any(rise) {
                faults.push(format!("{growing} grew faster than the cap"));
            }
        }
        for (region, meter) in &self.regions {
            let load = |end| self.count(end, |s| s.region.as_ref() == Some(region));
            if ends().any(|end| load(end) > meter.limit) {
                faults.push(format!("more in {region} than its headroom"));
            }
        }
        faults
    }

    /// Prints the requests of a second every few seconds, and the first entry.
    pub fn timeline(&self, step: usize, regions: &[&str]) -> String {
        let mut out = String::new();
        for end in (1_000..=self.now).step_by(1_000 * step) {
            write!(out, "{:2} s:", end / 1_000).expect("memory");
            for service in 0..self.caps.len() {
                for region in regions {
                    let count = self.in_region(end, service, region);
                    write!(out, " {region} {count}").expect("memory");
                }
                let refused = self.count(end, |s| s.service == service && s.region.is_none());
                let extra = self.count(end, |s| s.service == service && s.extra);
                write!(out, " refused {refused} extra {extra};").expect("memory");
            }
            out.push('\n');
        }
        out + &shares(&self.entries[0].1)
    }
}

fn naive(shift: &Shift, rng: &mut SmallRng) -> (PlaceName, RegionName) {
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

pub fn shares(shift: &Shift) -> String {
    let row = |s: PlaceShare<'_>| format!("{} {} of {}", s.name, s.base, s.target);
    let rows: Vec<String> = shift.shares().map(row).collect();
    rows.join(", ")
}

//! Guards whom an entry asks for changes: calls to the store must not grow with
//! the entries, and an entry whose source is lost must not fall behind.

use std::{collections::BTreeMap, fmt::Write, net::SocketAddr};

use quickcheck::quickcheck;
use savorybeam::{
    domain::{EntryId, Mbps, Millis, Presence, Revision},
    policy::upstream::{Log, Upstream, Upstreams},
};

fn entry(n: u16, link: u32) -> Presence {
    let addr = |port| SocketAddr::from(([10, 0, 0, 1], port));
    Presence {
        name: format!("edge-{n}").parse().expect("a name"),
        front: addr(1_000 + n),
        peer: Some(addr(2_000 + n)),
        link: Mbps(link),
        az: "a-1".parse().expect("a name"),
        region: "north".parse().expect("a name"),
    }
}

fn name(n: u16) -> EntryId {
    format!("edge-{n}").parse().expect("a name")
}

/// Fails if entries with the same view follow different ones, or if one stays
/// with an upstream that has failed.
#[test]
fn the_widest_link_leads_and_failures_are_passed_over() {
    let all = [entry(1, 10), entry(2, 100), entry(3, 100)];
    let mut text = String::new();
    let mut show = |what: &str, up: &mut Upstreams, now: u64, me: u16| {
        let choice = up.choose(Millis(now), &name(me), all.iter());
        let leads = up.leads();
        writeln!(text, "{what}: {choice:?}, leads {leads}").expect("a line");
        choice
    };
    let mut up = Upstreams::default();
    show("narrow link", &mut up, 0, 1);
    show("first in rank", &mut up, 0, 2);
    let source = show("second in rank", &mut up, 0, 3);
    up.failed(Millis(1_000), &source);
    show("second, source failed", &mut up, 1_000, 3);
    show("second, 3 s later", &mut up, 4_000, 3);
    show("second, 10 s later", &mut up, 11_000, 3);
    let mut up = Upstreams::default();
    let store = show("first in rank", &mut up, 0, 2);
    up.failed(Millis(0), &store);
    let around = show("first, the store refuses it", &mut up, 100, 2);
    up.failed(Millis(100), &around);
    show("first, the other failed, too", &mut up, 100, 2);
    show("first, 3 s later", &mut up, 3_200, 2);
    insta::assert_snapshot!(text);
}

/// The period of a source, and that of an entry that nobody follows.
const SOURCE: Millis = Millis(750);
const DIRECT: Millis = Millis(1_375);

/// How long an entry waits for one that is silent.
const SILENT: Millis = Millis(1_300);

/// The entries of a region in virtual time.
struct Region {
    all: Vec<Presence>,
    ups: Vec<Upstreams>,
    /// As of when each knows what the store knew.
    known: Vec<Millis>,
    due: Vec<Millis>,
    /// The one that fell silent, and when.
    silent: Option<(usize, Millis)>,
    calls: u32,
    oldest: Millis,
}

impl Region {
    fn new(count: u16) -> Self {
        let many = usize::from(count);
        Self {
            all: (0..count).map(|n| entry(n, 100)).collect(),
            ups: vec![Upstreams::default(); many],
            known: vec![Millis(0); many],
            due: (0..u64::from(count)).map(|n| Millis(n % 50)).collect(),
            silent: None,
            calls: 0,
            oldest: Millis(0),
        }
    }

    fn run(&mut self, until: Millis) {
        while let Some((now, n)) = self.due.iter().zip(0..).map(|(d, n)| (*d, n)).min()
            && now < until
        {
            self.due[n] = self.step(now, n);
        }
    }

    fn step(&mut self, now: Millis, n: usize) -> Millis {
        if self.silent.is_some_and(|(s, at)| s == n && now >= at) {
            return Millis(u64::MAX);
        }
        self.oldest = self.oldest.max(now - self.known[n]);
        let up = &mut self.ups[n];
        let choice = up.choose(now, &self.all[n].name, self.all.iter());
        let Upstream::Entry(name, _) = &choice else {
            self.calls += 1;
            self.known[n] = now;
            return now + if up.leads() { SOURCE } else { DIRECT };
        };
        let source = self.all.iter().position(|p| p.name == *name);
        let source = source.expect("a known entry");
        if self.silent.is_some_and(|(s, at)| s == source && now >= at) {
            let noticed = now + SILENT;
            up.failed(noticed, &choice);
            return noticed;
        }
        self.known[n] = self.known[n].max(self.known[source]);
        now + SOURCE
    }
}

/// Fails if calls to the store grow with the entries of a region, or if the loss
/// of the source leaves the others with knowledge older than the bound of 2.5 s.
#[test]
fn calls_do_not_grow_with_the_entries() {
    let mut text =
        String::from("entries, calls in 20 calm s, in the 10 s after the loss, oldest ms\n");
    for count in [1, 3, 30, 300] {
        let mut region = Region::new(count);
        region.run(Millis(20_000));
        let calm = region.calls;
        region.calls = 0;
        region.oldest = Millis(0);
        region.silent = Some((0, Millis(20_000)));
        region.run(Millis(30_000));
        let Region { calls, oldest, .. } = region;
        assert!(oldest <= Millis(2_500), "{count} entries: {oldest}");
        writeln!(text, "{count}, {calm}, {calls}, {}", oldest.0).expect("a line");
    }
    insta::assert_snapshot!(text);
}

quickcheck! {
    /// Fails if one who asks after any revision misses a change, or is told that
    /// it has all although some are gone.
    fn whoever_asks_misses_nothing(batches: Vec<Vec<(u8, u8)>>, after: u8) -> bool {
        let mut log = Log::default();
        let mut states = vec![BTreeMap::new()];
        log.restart(Millis(0), Revision(0));
        for (n, batch) in (1_u64..).zip(&batches) {
            // All of them fit into the log.
            let batch = &batch[..batch.len().min(10)];
            let mut state = states.last().cloned().unwrap_or_default();
            state.extend(batch.iter().copied());
            states.push(state);
            log.push(Millis(n), Revision(n), batch.to_vec());
        }
        let after = usize::from(after) % states.len();
        let mut state = states[after].clone();
        let Some(changes) = log.after(Revision(after as u64)) else {
            return false;
        };
        state.extend(changes);
        Some(&state) == states.last()
    }
}

/// Fails if a log keeps changes for ever, or tells one who is too far behind that
/// nothing has changed.
#[test]
fn old_changes_are_dropped_and_missed() {
    let mut log = Log::default();
    assert_eq!(log.after(Revision(5)), None, "an empty log knows nothing");
    log.restart(Millis(0), Revision(5));
    log.push(Millis(1_000), Revision(6), vec!["a"]);
    log.push(Millis(40_000), Revision(9), vec!["b"]);
    let seen: Vec<_> = [4, 5, 6, 8, 9, 12]
        .map(|r| format!("after {r}: {:?}", log.after(Revision(r))))
        .into();
    insta::assert_snapshot!(seen.join("\n"));
}

//! Guards the dissemination of documents: an entry that misses an edit goes on
//! sending traffic to a place that its team has closed.

mod records;

use std::collections::{BTreeMap, BTreeSet};

use prost::Message;
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use records::{id, member};
use savorybeam::{
    adapters::grpc::{Fetch, FetchReply, Sender},
    domain::{EntryId, Epoch, Incarnation, Millis, Revision, ServiceName},
    policy::{
        member::Member,
        spread::{Action, Announcement, Dissemination, RootHash, Tuning, watch_holders},
    },
};

fn service(n: usize) -> ServiceName {
    format!("service-{n}").parse().expect("a name")
}

fn item(n: usize, revision: u64) -> Announcement {
    Announcement {
        service: service(n),
        revision: Revision(revision),
    }
}

/// A few entries in one thread. A message takes one step of 50 ms.
struct Group {
    nodes: Vec<Dissemination>,
    ids: Vec<EntryId>,
    rng: SmallRng,
    now: Millis,
    /// The percentage of messages that are lost.
    loss: u32,
    /// Whether probes compare hashes.
    probes: bool,
}

impl Group {
    fn new(count: usize, seed: u64) -> Self {
        Self {
            nodes: vec![Dissemination::new(Tuning::default()); count],
            ids: (0..count).map(id).collect(),
            rng: SmallRng::seed_from_u64(seed),
            now: Millis(0),
            loss: 0,
            probes: true,
        }
    }

    fn step(&mut self) {
        self.now = self.now + Millis(50);
        let sent: Vec<_> = (0..self.nodes.len()).map(|n| self.tick(n)).collect();
        for (n, actions) in sent.into_iter().enumerate() {
            for action in actions {
                self.act(n, action);
            }
            if self.probes && self.now.0.is_multiple_of(1_000) {
                self.probe(n);
            }
        }
    }

    fn tick(&mut self, n: usize) -> Vec<Action> {
        let mut peers = self.ids.clone();
        peers.remove(n);
        self.nodes[n].tick(self.now, &peers, &mut self.rng)
    }

    fn probe(&mut self, n: usize) {
        let to = self.rng.random_range(0..self.nodes.len());
        if to != n && self.carries() {
            let (mine, theirs) = (self.nodes[n].root(), self.nodes[to].root());
            self.nodes[to].on_root(&id(n), mine);
            self.nodes[n].on_root(&id(to), theirs);
        }
    }

    fn act(&mut self, n: usize, action: Action) {
        let carried = self.carries();
        match action {
            Action::Announce { to, announcements } if carried => {
                self.nodes[number(&to)].on_announce(&id(n), &announcements);
            }
            Action::Compare { with, summary } if carried => {
                let list = self.nodes[number(&with)].on_compare(&summary, &mut self.rng);
                self.nodes[n].on_announce(&with, &list);
            }
            Action::Pull { from, services } if carried => {
                for s in &services {
                    let revision = self.nodes[number(&from)].revision(s);
                    self.nodes[n].on_adopted(s, revision);
                }
                self.nodes[n].on_pulled(&from, &services, services.len());
            }
            Action::Pull { from, services } => self.nodes[n].on_error(&from, &services),
            _ => {}
        }
    }

    fn carries(&mut self) -> bool {
        !self.rng.random_ratio(self.loss, 100)
    }

    fn having(&self, wanted: &Announcement) -> usize {
        let has = |n: &&Dissemination| n.revision(&wanted.service) >= wanted.revision;
        self.nodes.iter().filter(has).count()
    }
}

fn number(id: &EntryId) -> usize {
    let digits = id.as_str().trim_start_matches("entry-");
    digits.parse().expect("a number")
}

/// Fails if an edit does not reach everyone, or spreads hop by hop along a chain
/// instead of in parallel.
#[test]
fn an_edit_reaches_everyone() {
    let mut group = Group::new(100, 1);
    group.nodes[0].on_adopted(&service(1), Revision(5));
    let mut curve = Vec::new();
    while group.now < Millis(3_000) {
        group.step();
        curve.push(group.having(&item(1, 5)));
    }
    insta::assert_compact_debug_snapshot!(curve);
}

/// Shows why hashes are compared: announcements alone leave entries behind.
#[test]
fn announcements_alone_miss_entries() {
    let missed = |probes| {
        let mut group = Group::new(100, 2);
        group.probes = probes;
        group.nodes[0].on_adopted(&service(1), Revision(5));
        for _ in 0..400 {
            group.step();
        }
        100 - group.having(&item(1, 5))
    };
    assert_eq!(missed(true), 0);
    assert!(missed(false) > 0, "the naive version is expected to fail");
}

/// Fails if lost messages, or edits that overtake each other, leave entries
/// with different revisions.
#[test]
fn lost_messages_and_many_edits_leave_no_difference() {
    let mut group = Group::new(30, 3);
    group.loss = 30;
    for revision in 1..=200 {
        let (node, what) = (group.rng.random_range(0..30), group.rng.random_range(0..20));
        group.nodes[node].on_adopted(&service(what), Revision(revision));
        group.step();
    }
    for _ in 0..400 {
        group.step();
    }
    let roots: BTreeSet<RootHash> = group.nodes.iter().map(Dissemination::root).collect();
    assert_eq!(roots.len(), 1);
}

fn with_services(count: usize) -> Dissemination {
    let mut spread = Dissemination::new(Tuning::default());
    for n in 0..count {
        spread.on_adopted(&service(n), Revision(1));
    }
    let mut rng = SmallRng::seed_from_u64(0);
    spread.tick(Millis(0), &[], &mut rng);
    spread
}

/// Fails if an entry that starts during an outage of the store does not get all
/// documents from a peer, or asks for all bodies at once.
#[test]
fn an_entry_that_starts_pulls_all_documents() {
    let full = with_services(1_900);
    let mut group = Group::new(2, 4);
    group.nodes[1] = full.clone();
    let mut pulls = Vec::new();
    while group.nodes[0].root() != full.root() && group.now < Millis(60_000) {
        group.now = group.now + Millis(50);
        group.probe(0);
        let mut asked = 0;
        for action in group.tick(0) {
            if let Action::Pull { services, .. } = &action {
                assert!(services.len() <= 64);
                asked += services.len();
            }
            group.act(0, action);
        }
        assert!(asked <= 256);
        pulls.push(asked);
    }
    assert_eq!(group.nodes[0].root(), full.root());
    assert_eq!(pulls.iter().sum::<usize>(), 1_900);
}

/// Fails if the exchange for one edit grows beyond a packet or two at the
/// two-year number of services.
#[test]
fn one_edit_costs_little_with_1900_services() {
    let sender = Sender {
        entry: id(1),
        incarnation: Incarnation(1),
        epoch: Epoch(1),
    };
    let (mut new, old) = (with_services(1_900), with_services(1_900));
    new.on_adopted(&service(77), Revision(2));
    let request = Fetch {
        summary: Some(old.summary()),
        ..Fetch::new(sender.clone())
    };
    let mut rng = SmallRng::seed_from_u64(7);
    let revisions = new.on_compare(&old.summary(), &mut rng);
    assert!(revisions.contains(&item(77, 2)));
    let reply = FetchReply {
        sender,
        revisions,
        bodies: Vec::new(),
        root: new.root(),
    };
    let sizes = [request.encode().encoded_len(), reply.encode().encoded_len()];
    insta::assert_compact_debug_snapshot!((sizes, reply.revisions.len()));
    assert!(sizes.iter().all(|s| *s <= 1_400));
}

/// Fails if documents that this entry refuses, for example because they are of a
/// newer format, hide others behind the size limit of a reply.
#[test]
fn differences_that_persist_hide_no_others() {
    let long = |n: usize| -> ServiceName {
        let name = format!("service-{n:04}-{}", "x".repeat(48));
        name.parse().expect("a name")
    };
    let refused = |n: usize| n.is_multiple_of(10);
    let mut far = Dissemination::new(Tuning::default());
    (0..1_900).for_each(|n| far.on_adopted(&long(n), Revision(2)));
    let mut near = Dissemination::new(Tuning::default());
    let mut rng = SmallRng::seed_from_u64(8);
    let mut left = Vec::new();
    for _ in 0..8 {
        let list = far.on_compare(&near.summary(), &mut rng);
        let wanted = (0..1_900).filter(|n| !refused(*n)).map(&long);
        let wanted: BTreeSet<_> = wanted.collect();
        for item in list.iter().filter(|a| wanted.contains(&a.service)) {
            near.on_adopted(&item.service, item.revision);
        }
        left.push(
            wanted
                .iter()
                .filter(|s| near.revision(s) < Revision(2))
                .count(),
        );
    }
    assert!(
        left[0] > 0,
        "one reply held everything, so nothing could hide"
    );
    assert_eq!(left.last(), Some(&0), "{left:?}");
}

/// Fails if a peer that fails or has nothing is asked again while another has
/// the body, or if the pull is given up.
#[test]
fn another_peer_is_asked_after_a_failure() {
    let mut spread = Dissemination::new(Tuning::default());
    let mut rng = SmallRng::seed_from_u64(5);
    spread.on_announce(&id(1), &[item(1, 5)]);
    spread.on_announce(&id(2), &[item(1, 5)]);
    let mut asked = Vec::new();
    for now in [0, 100, 700, 800, 900] {
        for action in spread.tick(Millis(now), &[], &mut rng) {
            let Action::Pull { from, services } = action else {
                continue;
            };
            asked.push(format!("{now} ms: {from}"));
            if now >= 700 {
                spread.on_pulled(&from, &services, 0);
            }
        }
    }
    // The first pull gets no answer and is repeated after the timeout. The next
    // two return nothing, after which no peer is left.
    insta::assert_snapshot!(asked.join("\n"));
    spread.on_announce(&id(3), &[item(1, 5)]);
    let again = spread.tick(Millis(1_000), &[], &mut rng);
    assert_eq!(again.len(), 1);
}

/// Fails if a peer that is behind is not told.
#[test]
fn a_peer_that_is_behind_is_told() {
    let mut spread = Dissemination::new(Tuning::default());
    let mut rng = SmallRng::seed_from_u64(6);
    spread.on_adopted(&service(1), Revision(5));
    spread.tick(Millis(0), &[], &mut rng);
    spread.on_announce(&id(1), &[item(1, 4)]);
    let actions = spread.tick(Millis(100), &[], &mut rng);
    let told = Action::Announce {
        to: id(1),
        announcements: vec![item(1, 5)],
    };
    assert_eq!(actions, [told]);
}

/// Fails if the watches grow with the fleet, leave a region with a single one,
/// or move about when another region changes.
#[test]
fn watches_are_few_and_stay() {
    let fleet = |count| -> Vec<Member> { (0..count).map(member).collect() };
    let show = |members: &[Member]| -> Vec<String> {
        let regions: BTreeMap<_, _> = members.iter().map(|m| (&m.id, &m.region)).collect();
        let held = watch_holders(members.iter()).into_iter();
        held.map(|id| format!("{id} in {}", regions[id])).collect()
    };
    let nine = fleet(9);
    let first = show(&nine);
    insta::assert_snapshot!(first.join("\n"));
    let many: Vec<Member> = (0..600)
        .map(|n| Member {
            region: format!("region-{}", n % 60).parse().expect("a name"),
            ..member(n)
        })
        .collect();
    assert_eq!(show(&many).len(), 6);
    let holder = watch_holders(nine.iter())[0].clone();
    let left: Vec<Member> = nine.into_iter().filter(|m| m.id != holder).collect();
    let moved = show(&left).iter().filter(|h| !first.contains(h)).count();
    assert_eq!(moved, 1);
}

quickcheck! {
    /// Fails if the order in which revisions arrive matters, or if an older one
    /// replaces a newer one.
    fn adoption_is_the_same_in_any_order(list: Vec<(u8, u8)>, turn: usize) -> bool {
        let (mut forth, mut back) = (Dissemination::new(Tuning::default()), Dissemination::new(Tuning::default()));
        let adopt = |s: &mut Dissemination, (n, r): &(u8, u8)| {
            s.on_adopted(&service(usize::from(n % 4)), Revision(1 + u64::from(*r)));
        };
        for pair in &list {
            adopt(&mut forth, pair);
        }
        let turn = turn % list.len().max(1);
        for pair in list[turn..].iter().chain(&list[..turn]).rev() {
            adopt(&mut back, pair);
        }
        let newest = |n: u8| list.iter().filter(|p| p.0 % 4 == n).map(|p| 1 + u64::from(p.1)).max();
        forth.root() == back.root()
            && (0..4).all(|n| {
                forth.revision(&service(usize::from(n))) == Revision(newest(n).unwrap_or(0))
            })
    }
}

//! Tests the membership of entries. A live entry that is declared dead is lost
//! capacity; a failure that is missed directs callers to a dead entry.

mod fleet;
mod records;

use std::collections::BTreeMap;

use fleet::Fleet;
use prost::Message;
use quickcheck::quickcheck;
use rand::SeedableRng;
use records::{id, member};
use savorybeam::{
    adapters::grpc::MemberRecord,
    domain::{EntryId, Epoch, Incarnation, Millis},
    policy::member::{
        Action, Load, Member, Members, Proposer, Roster, State, Tuning, UPDATE_BYTES_MAX, Version,
        Vm, next_roster, proposers,
    },
};

const MINUTE: Millis = Millis(60_000);

fn count_events(fleet: &Fleet, word: &str) -> usize {
    fleet.timeline.iter().filter(|e| e.contains(word)).count()
}

fn converged(fleet: &Fleet) -> bool {
    let everyone = fleet.nodes.len();
    fleet.nodes.iter().all(|m| m.alive().count() == everyone)
}

/// Fails if entries that know one seed do not discover all others.
#[test]
fn one_seed_is_enough_to_discover_all_entries() {
    let mut fleet = Fleet::new(9, 1, Tuning::default());
    fleet.run(Millis(5_000));
    assert!(converged(&fleet), "{:#?}", fleet.views());
    assert_eq!(count_events(&fleet, "suspected"), 0);
}

/// Fails if a crash is not detected, or only by some of the entries.
#[test]
fn a_crash_is_detected_by_all_entries() {
    let mut fleet = Fleet::converged(5, 2, Tuning::default());
    fleet.paused = vec![3];
    fleet.run(Millis(12_000));
    insta::assert_snapshot!(fleet.timeline.join("\n"));
}

/// Fails if message loss makes live entries count as dead.
#[test]
fn ten_percent_message_loss_causes_no_false_failure() {
    let mut fleet = Fleet::converged(9, 3, Tuning::default());
    fleet.loss_percent = 10;
    fleet.run(Millis(20 * MINUTE.0));
    assert_eq!(count_events(&fleet, "failed"), 0);
    assert!(converged(&fleet));
}

/// Fails if the loss of one direction of one link makes an entry suspected.
/// With direct probes alone, the suspicion recurs.
#[test]
fn relays_bridge_an_asymmetric_link_failure() {
    let run = |relay_count| {
        let tuning = Tuning {
            relay_count,
            ..Tuning::default()
        };
        let mut fleet = Fleet::converged(9, 4, tuning);
        fleet.cut_links = vec![(1, 2)];
        fleet.run(Millis(5 * MINUTE.0));
        count_events(&fleet, "suspected")
    };
    assert_eq!(run(3), 0);
    assert!(run(0) > 20, "direct probes alone are expected to fail");
}

/// Fails if the suspicion of a live entry expires anywhere before the
/// refutation arrives. In this fleet, piggybacked records take longer than the
/// suspicion timeout to reach all entries.
#[test]
fn a_refutation_arrives_before_the_suspicion_expires() {
    let mut fleet = Fleet::converged(120, 9, Tuning::default());
    for suspected in [2, 40, 77, 101] {
        fleet.isolate_group(|n| n == suspected);
        let before = fleet.timeline.len();
        while fleet.timeline.len() == before {
            fleet.run(Millis(100));
        }
        // The entry is reachable again, except for the one that suspects it.
        let observer = fleet.timeline[before].split(' ').next();
        let observer = (0..120).find(|n| Some(id(*n).as_str()) == observer);
        let observer = observer.expect("an entry");
        fleet.cut_links = vec![(observer, suspected), (suspected, observer)];
        fleet.run(Millis(15_000));
    }
    assert!(count_events(&fleet, "suspected") > 0);
    assert_eq!(count_events(&fleet, "failed"), 0);
}

/// Fails if an entry that was paused for a long time stays out of use, does not
/// issue a new version of its record, or suspects others because of its own
/// pause.
#[test]
fn a_paused_entry_refutes_its_death_and_returns() {
    let mut fleet = Fleet::converged(5, 5, Tuning::default());
    fleet.paused = vec![2];
    fleet.run(Millis(20_000));
    assert!(fleet.views().iter().filter(|v| !v.contains(" 2")).count() == 4);
    fleet.timeline.clear();
    fleet.paused.clear();
    fleet.run(Millis(70_000));
    assert!(converged(&fleet), "{:#?}", fleet.views());
    assert_eq!(fleet.nodes[2].local().incarnation, Incarnation(1));
    assert!(fleet.nodes[2].local().version > Version(0));
    insta::assert_snapshot!(fleet.timeline.join("\n"));
}

/// Fails if any entry still directs callers to a leaving entry after 3 s, or if
/// a suspicion brings the leaving entry back into use. A leaving entry serves
/// for 3 s longer than the maximum age of lookups. After 500 ms at most 3
/// entries may not know of it, for each of five seeds.
#[test]
fn leaving_reaches_all_entries_in_time_and_is_final() {
    for seed in 20..25 {
        let mut fleet = Fleet::converged(30, seed, Tuning::default());
        fleet.nodes[4].leave();
        let uses = |m: &&Members| m.alive().any(|o| o.id == id(4));
        fleet.run(Millis(500));
        assert!(fleet.nodes.iter().filter(uses).count() <= 3, "seed {seed}");
        fleet.run(Millis(2_500));
        fleet.paused = vec![4];
        for _ in 0..300 {
            assert_eq!(fleet.nodes.iter().filter(uses).count(), 0, "seed {seed}");
            fleet.run(Millis(100));
        }
        let failed = |m: &Members| m.get(&id(4)).is_some_and(|(_, s)| s == State::Dead);
        assert_eq!(fleet.nodes.iter().filter(|m| failed(m)).count(), 29);
    }
}

/// Fails if an entry that joins a large fleet does not receive all members, or
/// if it requests the same records repeatedly after a partition.
#[test]
fn views_are_compared_in_parts_and_without_repetition() {
    let count = 900;
    let mut near = Members::new(member(0), Vec::new(), Tuning::default());
    let mut far = Members::new(member(1), Vec::new(), Tuning::default());
    for n in 2..count {
        far.on_update(Millis(0), member(n));
    }
    let mut rng = rand::rngs::SmallRng::seed_from_u64(11);
    let mut ask = |near: &mut Members, now| {
        let actions = near.tick(now, &mut rng);
        let syncs = actions.into_iter().filter_map(|a| match a {
            Action::Sync { digest, .. } => Some(digest),
            _ => None,
        });
        let digests: Vec<_> = syncs.collect();
        for digest in &digests {
            let (records, more) = far.on_digest(digest);
            near.on_records(now, &id(1), records, more);
        }
        digests.len()
    };
    near.on_probe(Millis(100), &id(1), vec![member(1)]);
    let replies = (10..40).map(|t| ask(&mut near, Millis(t * 100)));
    assert_eq!(replies.sum::<usize>(), 2);
    assert_eq!(near.alive().count(), count);
    for n in 2..count {
        let dead = Member {
            state: State::Dead,
            ..member(n)
        };
        near.on_update(Millis(4_000), dead);
    }
    for t in 40..80 {
        ask(&mut near, Millis(t * 100));
    }
    assert!(near.alive().count() <= 2);
    let refused = (2..count).map(member).collect();
    near.on_records(Millis(8_000), &id(1), refused, true);
    let replies = (80..100).map(|t| ask(&mut near, Millis(t * 100)));
    assert_eq!(replies.sum::<usize>(), 0);
}

/// Fails if an entry does not receive the load of an overloaded one, or if the
/// change of load is taken for a restart or a refutation.
#[test]
fn a_load_report_reaches_all_entries() {
    let mut fleet = Fleet::converged(30, 10, Tuning::default());
    fleet.nodes[7].set_load(Load::Severe);
    fleet.run(Millis(10_000));
    let received = |m: &&Members| m.get(&id(7)).is_some_and(|o| o.0.load == Load::Severe);
    assert_eq!(fleet.nodes.iter().filter(received).count(), 30);
    assert!(fleet.timeline.is_empty(), "{:#?}", fleet.timeline);
}

/// Fails if a member whose VM the platform has removed is kept, or if a late
/// report of the removal also removes the next incarnation.
#[test]
fn removing_an_incarnation_keeps_its_successor() {
    let mut members = Members::new(member(0), Vec::new(), Tuning::default());
    let successor = Member {
        incarnation: Incarnation(2),
        ..member(1)
    };
    members.on_update(Millis(0), successor);
    members.remove(&id(1), Incarnation(1));
    assert!(members.get(&id(1)).is_some());
    members.remove(&id(1), Incarnation(2));
    assert!(members.get(&id(1)).is_none());
}

/// Fails if the views do not converge after a partition of one hour, or if its
/// end takes entries out of use that were reachable all the time.
#[test]
fn views_converge_after_an_hour_of_partition() {
    let minority = |n: usize| n.is_multiple_of(3);
    let mut fleet = Fleet::converged(9, 7, Tuning::default());
    fleet.isolate_group(minority);
    fleet.run(Millis(60 * MINUTE.0));
    insta::assert_snapshot!(fleet.views().join("\n"));
    fleet.cut_links.clear();
    for _ in 0..1_200 {
        fleet.run(Millis(100));
        for (n, m) in fleet.nodes.iter().enumerate() {
            let near = m
                .alive()
                .filter(|o| (0..9).any(|k| minority(k) == minority(n) && o.id == id(k)));
            assert_eq!(
                near.count(),
                if minority(n) { 3 } else { 6 },
                "{:#?}",
                fleet.views()
            );
        }
    }
    assert!(converged(&fleet), "{:#?}", fleet.views());
}

/// Shows that the views converge after a partition only because dead members
/// are probed: without these probes they do not.
#[test]
fn without_probes_of_dead_members_a_partition_persists() {
    let tuning = Tuning {
        reconnect_period: Millis(1_000 * MINUTE.0),
        ..Tuning::default()
    };
    let mut fleet = Fleet::converged(9, 7, tuning);
    fleet.isolate_group(|n| n.is_multiple_of(3));
    fleet.run(Millis(5 * MINUTE.0));
    fleet.cut_links.clear();
    fleet.run(Millis(10 * MINUTE.0));
    assert!(!converged(&fleet), "the views are expected to stay apart");
}

/// Fails if the message rate of an entry grows with the fleet size, as that of
/// all-to-all heartbeats does.
#[test]
fn the_message_rate_of_an_entry_is_independent_of_the_fleet_size() {
    let rate = |count: usize| {
        let mut fleet = Fleet::converged(count, 8, Tuning::default());
        fleet.run(MINUTE);
        fleet.sent / u64::try_from(count).expect("few members")
    };
    let (small, large) = (rate(9), rate(90));
    assert!(
        large <= small * 11 / 10,
        "{small} and {large} messages per minute"
    );
    let heartbeats = |count: u64| 60 * (count - 1);
    assert!(
        heartbeats(90) > heartbeats(9) * 10,
        "all-to-all heartbeats are expected to grow"
    );
}

/// Fails if a message does not fit in one packet, or if records are sent
/// forever.
#[test]
fn piggybacked_records_are_bounded_in_size_and_number() {
    let mut members = Members::new(member(0), Vec::new(), Tuning::default());
    for n in 1..400 {
        members.on_update(Millis(0), member(n));
    }
    let mut sizes = Vec::new();
    for _ in 0..2_000 {
        let updates = members.on_probe(Millis(0), &id(1), Vec::new());
        let bytes = updates.iter().map(|m| MemberRecord::new(m).encoded_len());
        sizes.push(bytes.sum::<usize>());
    }
    assert!(sizes.iter().all(|s| *s <= UPDATE_BYTES_MAX));
    assert!(
        sizes[0] > UPDATE_BYTES_MAX / 2,
        "the first message is less than half full: {} bytes",
        sizes[0]
    );
    let last = members.on_probe(Millis(0), &id(1), Vec::new());
    assert_eq!(last, [member(0)]);
}

/// Fails if a reported death takes effect before the member could refute it, as
/// it would by the precedence of records alone.
#[test]
fn a_reported_death_can_be_refuted() {
    let mut members = Members::new(member(0), Vec::new(), Tuning::default());
    members.on_update(Millis(0), member(1));
    let dead = Member {
        state: State::Dead,
        ..member(1)
    };
    assert!(dead.supersedes(&member(1)));
    members.on_update(Millis(0), dead);
    assert_eq!(members.get(&id(1)).map(|m| m.1), Some(State::Suspect));
    let refuted = Member {
        version: Version(1),
        ..member(1)
    };
    members.on_update(Millis(100), refuted);
    assert_eq!(members.get(&id(1)).map(|m| m.1), Some(State::Alive));
}

/// Fails if a process is not told that a later incarnation of its entry exists.
#[test]
fn a_later_incarnation_is_reported_to_the_earlier_process() {
    let mut members = Members::new(member(0), Vec::new(), Tuning::default());
    let successor = Member {
        incarnation: Incarnation(7),
        ..member(0)
    };
    members.on_update(Millis(5), successor);
    let events: Vec<_> = members
        .take_events()
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_snapshot!(events.join("\n"), @"5 ms: entry-0 superseded by incarnation 7");
}

fn update((n, incarnation, version, state): (u8, u8, u8, u8)) -> Member {
    let states = [State::Alive, State::Suspect, State::Leaving, State::Dead];
    Member {
        incarnation: Incarnation(u64::from(incarnation % 3)),
        version: Version(u64::from(version % 3)),
        state: states[usize::from(state % 4)],
        ..member(1 + usize::from(n % 3))
    }
}

fn held_records(members: &Members) -> BTreeMap<EntryId, Member> {
    let all = members.all().map(|(m, _)| (m.id.clone(), m.clone()));
    all.collect()
}

quickcheck! {
    /// Fails if two entries that received the same records in different orders
    /// keep different ones.
    fn update_order_does_not_matter(updates: Vec<(u8, u8, u8, u8)>, rotation: usize) -> bool {
        let mut first = Members::new(member(0), Vec::new(), Tuning::default());
        let mut second = first.clone();
        for u in &updates {
            first.on_update(Millis(0), update(*u));
        }
        let rotation = rotation % updates.len().max(1);
        for u in updates[rotation..].iter().chain(&updates[..rotation]).rev() {
            second.on_update(Millis(0), update(*u));
        }
        held_records(&first) == held_records(&second)
    }

    /// Fails if a late record of an earlier incarnation replaces a later one.
    fn an_older_incarnation_never_overrides(updates: Vec<(u8, u8, u8, u8)>) -> bool {
        let mut members = Members::new(member(0), Vec::new(), Tuning::default());
        updates.iter().map(|u| update(*u)).all(|u| {
            let before = held_records(&members).get(&u.id).map(|m| m.incarnation);
            members.on_update(Millis(0), u.clone());
            held_records(&members).get(&u.id).map(|m| m.incarnation) >= before
        })
    }

    /// Fails if encoding and decoding change a record, or if its encoded size
    /// exceeds the bound that keeps a message within one packet.
    fn records_round_trip_within_bounds(
        n: u8,
        incarnation: u64,
        version: u64,
        state: u8,
        ip: u128,
        load: u8
    ) -> bool {
        let loads = [Load::Normal, Load::High, Load::Severe];
        let member = Member {
            incarnation: Incarnation(incarnation),
            version: Version(version),
            load: loads[usize::from(load % 3)],
            admin: (std::net::Ipv6Addr::from(ip), u16::from(n)).into(),
            ..update((n, 0, 0, state))
        };
        let record = MemberRecord::new(&member);
        let bytes = record.encode_to_vec();
        let framed = bytes.len() + 2 <= member.size_bound();
        let read = MemberRecord::decode(bytes.as_slice()).expect("it was encoded");
        framed && read.to_member() == Ok(member)
    }
}

fn vm(incarnation: u64, leaving: bool) -> Vm {
    Vm {
        incarnation: Incarnation(incarnation),
        leaving,
    }
}

fn show(roster: Option<&Roster>) -> String {
    let seat = |s: &savorybeam::policy::member::Seat| format!("{}.{}", s.entry, s.incarnation);
    roster.map_or("no change".to_owned(), |r| {
        let seats: Vec<_> = r.seats.iter().map(seat).collect();
        format!("epoch {}: {}", r.epoch, seats.join(" "))
    })
}

/// Fails if a seat is removed without a report of the platform, since its units
/// could then be used twice, or if an entry is added before the platform lists
/// its VM, since the missing VM would then be taken for a removed one.
#[test]
fn the_roster_follows_the_reports_of_the_platform() {
    let vms = |list: &[(usize, Vm)]| -> BTreeMap<EntryId, Vm> {
        list.iter().map(|(n, v)| (id(*n), v.clone())).collect()
    };
    let three = vms(&[(0, vm(0, false)), (1, vm(0, false)), (2, vm(0, false))]);
    let live: Vec<Member> = (0..3).map(member).collect();
    let first = next_roster(&Roster::default(), live.iter(), &three);
    let start = first.clone().expect("members join");
    let restarted = Member {
        incarnation: Incarnation(2),
        ..member(1)
    };
    let next = |live: &[Member], vms| next_roster(&start, live.iter(), vms);
    let gone = vms(&[(0, vm(0, false)), (2, vm(0, false))]);
    let leaving = vms(&[(0, vm(0, false)), (1, vm(0, true)), (2, vm(0, false))]);
    let reported = vms(&[(0, vm(0, false)), (1, vm(2, false)), (2, vm(0, false))]);
    let more = [&live[..], &[member(3)]].concat();
    let again = [member(0), restarted, member(2)];
    let cases = [
        ("three members join at once", first),
        ("nothing changed", next(&live, &three)),
        (
            "two members are dead according to membership only",
            next(&live[..1], &three),
        ),
        (
            "the platform does not list a fourth member yet",
            next(&more, &three),
        ),
        ("a VM is gone", next(&live, &gone)),
        ("a VM is leaving", next(&live, &leaving)),
        (
            "an entry restarted, the platform does not report its incarnation",
            next(&again, &three),
        ),
        (
            "an entry restarted, the platform reports the new incarnation",
            next(&again, &reported),
        ),
    ];
    let lines: Vec<_> = cases
        .iter()
        .map(|(what, r)| format!("{what}: {}", show(r.as_ref())))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if a proposer that cannot reach the store blocks changes, or if all
/// entries propose at the same time.
#[test]
fn proposers_are_staggered_by_rank() {
    let live: Vec<Member> = (0..3).map(member).collect();
    let ranked = |epoch| -> Vec<_> {
        proposers(Epoch(epoch), live.iter())
            .into_iter()
            .cloned()
            .collect()
    };
    let order: Vec<_> = (0..4).map(ranked).collect();
    insta::assert_debug_snapshot!(order);
    let mut times = Vec::new();
    for rank in 0..3 {
        let mut proposer = Proposer::default();
        let due: Vec<u64> = (0..120)
            .map(|t| t * 100)
            .filter(|t| proposer.due(Millis(*t), rank, true))
            .collect();
        times.push(due);
    }
    insta::assert_debug_snapshot!(times);
}

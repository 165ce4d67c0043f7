//! Messages and bytes a second under a steady skewed demand, in virtual time.

use std::{collections::VecDeque, sync::Arc};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::adapters::grpc::limit::pack;
use savorybeam::domain::{Epoch, Incarnation, Mbps, Millis, Rps, Slots};
use savorybeam::policy::limit::{Ledger, Limit, Member, Outgoing, Permit, Roster, RosterMember};

/// Two services of Eldhúsleiga's size: 16 targets of 5 slots, 36 of 3.
const TARGETS: usize = 52;
const TICK: u64 = 100;
const STEP: u64 = 10;
/// The delay of a message: 35 ms rounded up to a step.
const DELAY: u64 = 40;
/// Virtual time before and during the measurement, in milliseconds.
const WARM: u64 = 10_000;
const SPAN: u64 = 30_000;

/// An entry with its requests: the limit, the permit, and when it ends.
struct Entry {
    member: Member,
    ledgers: Vec<Ledger>,
    running: Vec<(usize, Permit, u64)>,
    /// Its part of the demand.
    weight: f64,
}

pub fn member(index: usize) -> Member {
    Member {
        entry: format!("entry-{index}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

fn limits() -> Vec<(String, Limit)> {
    let slots = |i| Limit::Slots(Slots(if i < 16 { 5 } else { 3 }));
    let slots = (0..TARGETS).map(|i| (format!("slots/10.0.{}.{}:8080", i / 16, i % 16), slots(i)));
    let names = ["reykjanes", "nordurland", "austurland"];
    let regions = names.map(|n| (format!("region/{n}"), Limit::requests(Rps(600))));
    let link = |i: usize| format!("link/{}/{}", names[i], names[(i + 1) % 3]);
    let links = (0..3).map(|i| (link(i), Limit::link(Mbps(280))));
    slots.chain(regions).chain(links).collect()
}

fn entries(count: usize) -> Vec<Entry> {
    let seat = |i| RosterMember {
        member: member(i),
        leaving: false,
    };
    let roster = Arc::new(Roster::new(Epoch(1), (0..count).map(seat).collect()));
    let ledger = |(name, limit): (String, Limit), i| {
        let name = name.parse().expect("a valid name");
        let mut ledger = Ledger::new(name, member(i), limit);
        ledger.set_roster(roster.clone(), Millis(0));
        ledger
    };
    // Zipf: the first entry has most of the demand.
    let sum: f64 = (1..=count).map(|i| 1.0 / i as f64).sum();
    let entry = |i: usize| Entry {
        member: member(i),
        ledgers: limits().into_iter().map(|l| ledger(l, i)).collect(),
        running: Vec::new(),
        weight: 1.0 / (i + 1) as f64 / sum,
    };
    (0..count).map(entry).collect()
}

/// Work for one step: 60% of all slots in use for 20 to 200 ms, and 60% of the
/// region and link rates.
fn work(entry: &mut Entry, now: u64, rng: &mut SmallRng) -> (Vec<Outgoing>, u32, u32) {
    let (mut out, mut tried, mut denied) = (Vec::new(), 0, 0);
    let clock = Millis(now);
    while let Some(at) = entry.running.iter().position(|r| r.2 <= now) {
        let (limit, permit, _) = entry.running.swap_remove(at);
        out.extend(entry.ledgers[limit].release(permit, clock));
    }
    for limit in 0..entry.ledgers.len() {
        let per_second = match limit {
            0..16 => 0.6 * 5.0 / 0.11,
            16..TARGETS => 0.6 * 3.0 / 0.11,
            _ => 0.6 * 600.0,
        };
        let mut expected = per_second * entry.weight * STEP as f64 / 1000.0;
        while expected > 0.0 && rng.random_bool(expected.min(1.0)) {
            expected -= 1.0;
            tried += 1;
            let ledger = &mut entry.ledgers[limit];
            let admitted = match ledger.limit() {
                Limit::Slots(_) => {
                    let permit = ledger.acquire();
                    let admitted = permit.is_some();
                    let end = now + rng.random_range(20..200);
                    entry.running.extend(permit.map(|p| (limit, p, end)));
                    admitted
                }
                Limit::Rate { rate, .. } => ledger.admit(rate / 600, clock),
            };
            if !admitted {
                denied += 1;
                out.extend(ledger.request_units(clock));
            }
        }
        if now.is_multiple_of(TICK) {
            out.extend(entry.ledgers[limit].tick(clock));
        }
    }
    (out, tried, denied)
}

/// Prints the traffic of `count` entries.
pub fn print(count: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut all = entries(count);
    let mut queue: VecDeque<(u64, Member, Outgoing)> = VecDeque::new();
    let (mut batches, mut items, mut bytes, mut most) = (0, 0, 0, 0);
    let (mut tried, mut denied) = (0, 0);
    let mut by_entry = vec![0; count];
    for now in (0..(WARM + SPAN) / STEP).map(|n| n * STEP) {
        let mut out: Vec<Vec<Outgoing>> = (0..count).map(|_| Vec::new()).collect();
        while queue.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, from, sent)) = queue.pop_front() else {
                break;
            };
            let to = (0..count)
                .find(|i| all[*i].member == sent.to)
                .expect("a known entry");
            let name = &sent.envelope.limit;
            let at = all[to]
                .ledgers
                .iter()
                .position(|l| l.name() == name)
                .expect("a known limit");
            out[to].extend(all[to].ledgers[at].on_message(
                &from,
                &sent.to,
                sent.envelope.clone(),
                Millis(now),
            ));
        }
        for index in 0..count {
            let (sent, t, d) = work(&mut all[index], now, &mut rng);
            out[index].extend(sent);
            let packed = pack(&all[index].member, &out[index]);
            if now >= WARM {
                let size: usize = packed.iter().map(prost::Message::encoded_len).sum();
                (batches, items, bytes) = (
                    batches + packed.len(),
                    items + out[index].len(),
                    bytes + size,
                );
                (tried, denied) = (tried + t, denied + d);
                by_entry[index] += size;
                most = most.max(
                    packed
                        .iter()
                        .map(prost::Message::encoded_len)
                        .max()
                        .unwrap_or(0),
                );
            }
            let from = all[index].member.clone();
            queue.extend(out[index].drain(..).map(|o| (now + DELAY, from.clone(), o)));
        }
    }
    let per = |n: usize| n as f64 / count as f64 / (SPAN as f64 / 1000.0);
    let worst = by_entry.iter().max().copied().unwrap_or(0) as f64 / (SPAN as f64 / 1000.0);
    println!(
        "{count:>3} entries: {:>6.1} batches/s {:>6.1} messages/s {:>7.0} B/s per entry, {worst:>7.0} B/s at the busiest, largest batch {most} B, denied {:.1}%",
        per(batches),
        per(items),
        per(bytes),
        100.0 * f64::from(denied) / f64::from(tried.max(1)),
    );
}

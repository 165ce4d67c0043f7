//! Measures the messages and bytes per second under constant, skewed demand, in
//! virtual time.

use std::{collections::VecDeque, sync::Arc};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::adapters::grpc::limit::pack;
use savorybeam::domain::{Epoch, Incarnation, Mbps, Millis, Rps, Slots};
use savorybeam::policy::limit::{Ledger, Limit, Member, Outgoing, Permit, Roster, RosterMember};

/// The targets of two services of Eldhúsleiga's size: 16 targets with 5 slots
/// each and 36 with 3.
const TARGET_COUNT: usize = 52;
const TICK_MS: u64 = 100;
const STEP_MS: u64 = 10;
/// The delay of a message: 35 ms, rounded up to a multiple of the step.
const DELAY_MS: u64 = 40;
/// The virtual time before the measurement.
const WARM_UP_MS: u64 = 10_000;
/// The virtual time that is measured.
const MEASURED_MS: u64 = 30_000;

/// An entry with its ledgers and its running requests.
struct Entry {
    member: Member,
    ledgers: Vec<Ledger>,
    /// The limit, the permit and the end time of each running request. The limit
    /// is an index into `ledgers`, the end time is in milliseconds.
    running: Vec<(usize, Permit, u64)>,
    /// The fraction of the total demand that arrives at this entry.
    demand_fraction: f64,
}

pub fn member(index: usize) -> Member {
    Member {
        entry: format!("entry-{index}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

fn limits() -> Vec<(String, Limit)> {
    let slots = |i| Limit::Slots(Slots(if i < 16 { 5 } else { 3 }));
    let slots =
        (0..TARGET_COUNT).map(|i| (format!("slots/10.0.{}.{}:8080", i / 16, i % 16), slots(i)));
    let names = ["reykjanes", "nordurland", "austurland"];
    let regions = names.map(|n| (format!("region/{n}"), Limit::requests(Rps(600))));
    let link = |i: usize| format!("link/{}/{}", names[i], names[(i + 1) % 3]);
    let links = (0..3).map(|i| (link(i), Limit::link(Mbps(280))));
    slots.chain(regions).chain(links).collect()
}

fn entries(count: usize) -> Vec<Entry> {
    let roster_member = |i| RosterMember {
        member: member(i),
        leaving: false,
    };
    let roster = Arc::new(Roster::new(
        Epoch(1),
        (0..count).map(roster_member).collect(),
    ));
    let ledger = |(name, limit): (String, Limit), index| {
        let name = name.parse().expect("a valid name");
        let mut ledger = Ledger::new(name, member(index), limit);
        ledger.set_roster(roster.clone(), Millis(0));
        ledger
    };
    // Demand follows a Zipf distribution: the first entry has the largest part.
    let harmonic_sum: f64 = (1..=count).map(|i| 1.0 / i as f64).sum();
    let entry = |i: usize| Entry {
        member: member(i),
        ledgers: limits().into_iter().map(|l| ledger(l, i)).collect(),
        running: Vec::new(),
        demand_fraction: 1.0 / (i + 1) as f64 / harmonic_sum,
    };
    (0..count).map(entry).collect()
}

/// Simulates one step of an entry. Returns the messages that it sends, the number
/// of admission attempts and the number of denials.
///
/// The demand of all entries uses 60% of the slots, each request for 20 to 200 ms,
/// and 60% of the region and link rates.
fn simulate_step(entry: &mut Entry, now: u64, rng: &mut SmallRng) -> (Vec<Outgoing>, u32, u32) {
    let (mut outgoing, mut attempts, mut denied) = (Vec::new(), 0, 0);
    let time = Millis(now);
    while let Some(index) = entry.running.iter().position(|request| request.2 <= now) {
        let (limit, permit, _) = entry.running.swap_remove(index);
        outgoing.extend(entry.ledgers[limit].release(permit, time));
    }
    for limit in 0..entry.ledgers.len() {
        let per_second = match limit {
            0..16 => 0.6 * 5.0 / 0.11,
            16..TARGET_COUNT => 0.6 * 3.0 / 0.11,
            _ => 0.6 * 600.0,
        };
        let mut expected_requests = per_second * entry.demand_fraction * STEP_MS as f64 / 1000.0;
        while expected_requests > 0.0 && rng.random_bool(expected_requests.min(1.0)) {
            expected_requests -= 1.0;
            attempts += 1;
            let ledger = &mut entry.ledgers[limit];
            let admitted = match ledger.limit() {
                Limit::Slots(_) => {
                    let permit = ledger.acquire();
                    let admitted = permit.is_some();
                    let end = now + rng.random_range(20..200);
                    entry
                        .running
                        .extend(permit.map(|permit| (limit, permit, end)));
                    admitted
                }
                Limit::Rate { rate, .. } => ledger.admit(rate / 600, time),
            };
            if !admitted {
                denied += 1;
                outgoing.extend(ledger.request_units(time));
            }
        }
        if now.is_multiple_of(TICK_MS) {
            outgoing.extend(entry.ledgers[limit].tick(time));
        }
    }
    (outgoing, attempts, denied)
}

/// Simulates `count` entries and prints their traffic.
pub fn print_traffic(count: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut all = entries(count);
    let mut in_flight: VecDeque<(u64, Member, Outgoing)> = VecDeque::new();
    let (mut batch_count, mut message_count, mut bytes, mut largest_batch) = (0, 0, 0, 0);
    let (mut attempts, mut denied) = (0, 0);
    let mut entry_bytes = vec![0; count];
    for now in (0..(WARM_UP_MS + MEASURED_MS) / STEP_MS).map(|n| n * STEP_MS) {
        let mut outgoing: Vec<Vec<Outgoing>> = (0..count).map(|_| Vec::new()).collect();
        while in_flight.front().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, from, sent)) = in_flight.pop_front() else {
                break;
            };
            let to = (0..count)
                .find(|i| all[*i].member == sent.to)
                .expect("a known entry");
            let name = &sent.envelope.limit;
            let position = all[to]
                .ledgers
                .iter()
                .position(|l| l.name() == name)
                .expect("a known limit");
            outgoing[to].extend(all[to].ledgers[position].on_message(
                &from,
                &sent.to,
                sent.envelope.clone(),
                Millis(now),
            ));
        }
        for index in 0..count {
            let (sent, step_attempts, step_denied) = simulate_step(&mut all[index], now, &mut rng);
            outgoing[index].extend(sent);
            let packed = pack(&all[index].member, &outgoing[index]);
            if now >= WARM_UP_MS {
                let size: usize = packed.iter().map(prost::Message::encoded_len).sum();
                (batch_count, message_count, bytes) = (
                    batch_count + packed.len(),
                    message_count + outgoing[index].len(),
                    bytes + size,
                );
                (attempts, denied) = (attempts + step_attempts, denied + step_denied);
                entry_bytes[index] += size;
                largest_batch = largest_batch.max(
                    packed
                        .iter()
                        .map(prost::Message::encoded_len)
                        .max()
                        .unwrap_or(0),
                );
            }
            let from = all[index].member.clone();
            in_flight.extend(
                outgoing[index]
                    .drain(..)
                    .map(|message| (now + DELAY_MS, from.clone(), message)),
            );
        }
    }
    let entry_rate = |total: usize| total as f64 / count as f64 / (MEASURED_MS as f64 / 1000.0);
    let busiest_rate =
        entry_bytes.iter().max().copied().unwrap_or(0) as f64 / (MEASURED_MS as f64 / 1000.0);
    println!(
        "{count:>3} entries: {:>6.1} batches/s {:>6.1} messages/s {:>7.0} B/s per entry, {busiest_rate:>7.0} B/s at the busiest, largest batch {largest_batch} B, denied {:.1}%",
        entry_rate(batch_count),
        entry_rate(message_count),
        entry_rate(bytes),
        100.0 * f64::from(denied) / f64::from(attempts.max(1)),
    );
}

//! Time per admission and memory per limit and loan.

use std::{hint::black_box, sync::Arc, time::Instant};

use savorybeam::domain::{Epoch, Millis, Rps, Slots};
use savorybeam::policy::limit::{Envelope, Ledger, Limit, Message, Roster, RosterMember};

use super::traffic::member;

const ROUNDS: u32 = 5_000_000;
const LEDGERS: usize = 4_000;

fn seats(count: usize) -> Vec<RosterMember> {
    let seat = |i| RosterMember {
        member: member(i),
        leaving: false,
    };
    (0..count).map(seat).collect()
}

/// Returns a ledger that is the only member and so owns everything.
fn alone(limit: Limit) -> Ledger {
    let name = "slots/10.0.0.1:8080".parse().expect("a valid name");
    let mut ledger = Ledger::new(name, member(0), limit);
    ledger.set_roster(Arc::new(Roster::new(Epoch(1), seats(1))), Millis(1));
    let _ = ledger.tick(Millis(100));
    ledger
}

/// Prints the time of an admission.
pub fn print_time() {
    let mut ledger = alone(Limit::Slots(Slots(5)));
    let start = Instant::now();
    for i in 0..ROUNDS {
        let permit = ledger.acquire().expect("a free slot");
        black_box(ledger.release(permit, Millis(u64::from(i))));
    }
    println!(
        "acquire and release: {:?} per pair",
        start.elapsed() / ROUNDS
    );
    let taken: Vec<_> = (0..5).filter_map(|_| ledger.acquire()).collect();
    let start = Instant::now();
    for i in 0..ROUNDS {
        black_box(ledger.acquire().is_none());
        black_box(ledger.request_units(Millis(u64::from(i))));
    }
    println!(
        "denial and request: {:?} per pair",
        start.elapsed() / ROUNDS
    );
    drop(taken);
    let mut ledger = alone(Limit::requests(Rps(1_000_000)));
    let start = Instant::now();
    for i in 0..ROUNDS {
        black_box(ledger.admit(1, Millis(u64::from(i))));
    }
    println!("admit: {:?}", start.elapsed() / ROUNDS);
    for (kind, limit) in [
        ("5 slots", Limit::Slots(Slots(5))),
        ("a rate", Limit::requests(Rps(600))),
    ] {
        let mut ledger = alone(limit);
        let rounds = ROUNDS / 50;
        let start = Instant::now();
        for i in 0..rounds {
            black_box(ledger.tick(Millis(u64::from(i) * 100)));
        }
        println!("tick of {kind}: {:?}", start.elapsed() / rounds);
    }
}

/// Returns the resident memory of this process in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0usize) * 4096
}

/// Prints the memory of limits for one entry among `count`.
///
/// Nothing is freed in between, since memory that is used again would not count.
pub fn print_memory(count: usize) -> Vec<Ledger> {
    let roster = Arc::new(Roster::new(Epoch(1), seats(count)));
    let mut all = Vec::with_capacity(4 * LEDGERS);
    for (kind, limit) in [
        ("5 slots", Limit::Slots(Slots(5))),
        ("a rate", Limit::requests(Rps(600))),
    ] {
        let start = resident();
        let first = all.len();
        for i in 0..LEDGERS {
            let name = format!("slots/10.0.{}.{}:8080", i / 250, i % 250);
            let name = name.parse().expect("a valid name");
            let mut ledger = Ledger::new(name, member(0), limit);
            ledger.set_roster(roster.clone(), Millis(1));
            all.push(ledger);
        }
        let each = resident().saturating_sub(start) / LEDGERS;
        let start = resident();
        let borrow_all = |l: &mut Ledger| borrow(l, limit.units());
        let loans: usize = all[first..].iter_mut().map(borrow_all).sum();
        let more = resident().saturating_sub(start) as f64 / loans.max(1) as f64;
        println!("{count:>3} entries: {each} B per limit of {kind}, {more:.1} B more per loan");
    }
    all
}

/// Lets a ledger borrow every unit from its peers.
fn borrow(ledger: &mut Ledger, units: u32) -> usize {
    let _ = ledger.admit(1, Millis(2));
    let _ = ledger.acquire();
    let mut asked = ledger.request_units(Millis(2));
    let Some(ask) = asked.pop() else { return 0 };
    let Message::Borrow { request_id: id, .. } = ask.envelope.message else {
        return 0;
    };
    let units: Vec<u32> = (0..units).collect();
    let message = Message::Grant {
        request_id: id,
        units,
        idle: 0,
    };
    let envelope = Envelope {
        message,
        ..ask.envelope
    };
    let _ = ledger.on_message(&ask.to, &member(0), envelope, Millis(3));
    ledger.status().borrowed as usize
}

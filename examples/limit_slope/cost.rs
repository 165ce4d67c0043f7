//! Time per admission and memory per limit and loan.

use std::{hint::black_box, sync::Arc, time::Instant};

use savorybeam::domain::{Epoch, Millis, Rps, Slots};
use savorybeam::policy::limit::{Item, Ledger, Limit, Message, Roster, Seat};

use super::traffic::member;

const ROUNDS: u32 = 5_000_000;
const LEDGERS: usize = 20_000;

fn seats(count: usize) -> Vec<Seat> {
    let seat = |i| Seat {
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
        black_box(ledger.request(Millis(u64::from(i))));
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
}

/// Returns the resident memory of this process in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0usize) * 4096
}

/// Prints the memory of limits for one entry among `count`.
pub fn print_memory(count: usize) {
    let roster = Arc::new(Roster::new(Epoch(1), seats(count)));
    for (kind, limit) in [
        ("5 slots", Limit::Slots(Slots(5))),
        ("a rate", Limit::requests(Rps(600))),
    ] {
        let start = resident();
        let make = |i: usize| {
            let name = format!("slots/10.0.{}.{}:8080", i / 250, i % 250);
            let name = name.parse().expect("a valid name");
            let mut ledger = Ledger::new(name, member(0), limit);
            ledger.set_roster(roster.clone(), Millis(1));
            ledger
        };
        let mut ledgers: Vec<Ledger> = (0..LEDGERS / 10).map(make).collect();
        let each = (resident() - start) / ledgers.len();
        let start = resident();
        let mut loans = 0;
        for ledger in &mut ledgers {
            loans += borrow(ledger, limit.units());
        }
        let more = resident().saturating_sub(start);
        println!(
            "{count:>3} entries: {each} B per limit of {kind}, {} B more per loan",
            more / loans.max(1)
        );
    }
}

/// Lets a ledger borrow every unit from its peers.
fn borrow(ledger: &mut Ledger, units: u32) -> usize {
    let _ = ledger.admit(1, Millis(2));
    let _ = ledger.acquire();
    let mut asked = ledger.request(Millis(2));
    let Some(ask) = asked.pop() else { return 0 };
    let Message::Ask { ask: id, .. } = ask.item.message else {
        return 0;
    };
    let units: Vec<u32> = (0..units).collect();
    let message = Message::Grant {
        ask: id,
        units,
        idle: 0,
    };
    let item = Item {
        message,
        ..ask.item
    };
    let _ = ledger.on_message(&ask.to, &member(0), item, Millis(3));
    ledger.status().borrowed as usize
}

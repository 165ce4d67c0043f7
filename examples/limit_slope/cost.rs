//! Measures the time per admission and the memory per limit and per loan.

use std::{hint::black_box, sync::Arc, time::Instant};

use savorybeam::domain::{Epoch, Millis, Rps, Slots};
use savorybeam::policy::limit::{Envelope, Ledger, Limit, Message, Roster, RosterMember};

use super::traffic::member;

const ITERATIONS: u32 = 5_000_000;
const LEDGER_COUNT: usize = 4_000;

fn roster_members(count: usize) -> Vec<RosterMember> {
    let roster_member = |i| RosterMember {
        member: member(i),
        leaving: false,
    };
    (0..count).map(roster_member).collect()
}

/// Returns the ledger of the only member of a roster, which owns all units.
fn sole_member_ledger(limit: Limit) -> Ledger {
    let name = "slots/10.0.0.1:8080".parse().expect("a valid name");
    let mut ledger = Ledger::new(name, member(0), limit);
    ledger.set_roster(
        Arc::new(Roster::new(Epoch(1), roster_members(1))),
        Millis(1),
    );
    let _ = ledger.tick(Millis(100));
    ledger
}

/// Prints the mean time of admissions, denials and ticks.
pub fn print_admission_time() {
    let mut ledger = sole_member_ledger(Limit::Slots(Slots(5)));
    let start = Instant::now();
    for i in 0..ITERATIONS {
        let permit = ledger.acquire().expect("a free slot");
        black_box(ledger.release(permit, Millis(u64::from(i))));
    }
    println!(
        "acquire and release: {:?} per pair",
        start.elapsed() / ITERATIONS
    );
    let held_permits: Vec<_> = (0..5).filter_map(|_| ledger.acquire()).collect();
    let start = Instant::now();
    for i in 0..ITERATIONS {
        black_box(ledger.acquire().is_none());
        black_box(ledger.request_units(Millis(u64::from(i))));
    }
    println!(
        "denial and request: {:?} per pair",
        start.elapsed() / ITERATIONS
    );
    drop(held_permits);
    let mut ledger = sole_member_ledger(Limit::requests(Rps(1_000_000)));
    let start = Instant::now();
    for i in 0..ITERATIONS {
        black_box(ledger.admit(1, Millis(u64::from(i))));
    }
    println!("admit: {:?}", start.elapsed() / ITERATIONS);
    for (kind, limit) in [
        ("5 slots", Limit::Slots(Slots(5))),
        ("a rate", Limit::requests(Rps(600))),
    ] {
        let mut ledger = sole_member_ledger(limit);
        let tick_count = ITERATIONS / 50;
        let start = Instant::now();
        for i in 0..tick_count {
            black_box(ledger.tick(Millis(u64::from(i) * 100)));
        }
        println!("tick of {kind}: {:?}", start.elapsed() / tick_count);
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0usize) * 4096
}

/// Prints the memory that limits take in one of `count` entries.
///
/// Returns the ledgers, so that the caller keeps them allocated: freed memory
/// would be reused, and the resident set would then not grow by the memory of
/// later ledgers.
pub fn print_memory(count: usize) -> Vec<Ledger> {
    let roster = Arc::new(Roster::new(Epoch(1), roster_members(count)));
    let mut all = Vec::with_capacity(4 * LEDGER_COUNT);
    for (kind, limit) in [
        ("5 slots", Limit::Slots(Slots(5))),
        ("a rate", Limit::requests(Rps(600))),
    ] {
        let initial_bytes = resident_bytes();
        let first_index = all.len();
        for i in 0..LEDGER_COUNT {
            let name = format!("slots/10.0.{}.{}:8080", i / 250, i % 250);
            let name = name.parse().expect("a valid name");
            let mut ledger = Ledger::new(name, member(0), limit);
            ledger.set_roster(roster.clone(), Millis(1));
            all.push(ledger);
        }
        let limit_bytes = resident_bytes().saturating_sub(initial_bytes) / LEDGER_COUNT;
        let initial_bytes = resident_bytes();
        let borrow_all = |ledger: &mut Ledger| borrow_units(ledger, limit.units());
        let loan_count: usize = all[first_index..].iter_mut().map(borrow_all).sum();
        let loan_bytes =
            resident_bytes().saturating_sub(initial_bytes) as f64 / loan_count.max(1) as f64;
        println!(
            "{count:>3} entries: {limit_bytes} B per limit of {kind}, {loan_bytes:.1} B more per loan"
        );
    }
    all
}

/// Makes a ledger request units and answers it with a grant of the units below
/// `units`. Returns the number of units that it has then borrowed.
fn borrow_units(ledger: &mut Ledger, units: u32) -> usize {
    let _ = ledger.admit(1, Millis(2));
    let _ = ledger.acquire();
    let mut sent = ledger.request_units(Millis(2));
    let Some(request) = sent.pop() else { return 0 };
    let Message::Borrow { request_id: id, .. } = request.envelope.message else {
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
        ..request.envelope
    };
    let _ = ledger.on_message(&request.to, &member(0), envelope, Millis(3));
    ledger.status().borrowed as usize
}

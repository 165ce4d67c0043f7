//! Timelines that show what each exchange looks like. They guard against a
//! change of the protocol that nobody intended.

use savorybeam::domain::{Millis, Rps, Slots};
use savorybeam::policy::limit::Limit;

use super::script::Script;

/// Guards the usual course: what is needed is lent and comes back.
#[test]
fn a_loan_comes_back() {
    let mut script = Script::new(3, Limit::Slots(Slots(4)));
    let permits = script.acquire(0, 4);
    script.holdings();
    script.release(0, permits);
    script.run(Millis(4_000));
    script.holdings();
    insta::assert_snapshot!(script.log);
}

/// Guards against a new home that uses a slot while a request still runs on it.
#[test]
fn a_new_home_waits_for_a_busy_slot() {
    let mut script = Script::new(2, Limit::Slots(Slots(8)));
    let first = script.acquire(1, 4);
    script.start(2, 1);
    script.adopt(2, 3);
    script.run(Millis(200));
    script.holdings();
    script.release(1, first);
    script.run(Millis(200));
    script.holdings();
    insta::assert_snapshot!(script.log);
}

/// Guards against loans of a rate that outlive a cut, and against units that do
/// not move any more after it.
#[test]
fn a_region_is_cut_off_for_an_hour() {
    let mut script = Script::new(3, Limit::requests(Rps(100)));
    let busy = |only: usize| {
        move |ledgers: &mut [savorybeam::policy::limit::Ledger], now| {
            for _ in 0..10 {
                let _ = ledgers[only].admit(1, now);
            }
        }
    };
    script.quiet = true;
    script.run_with(Millis(8_000), busy(2));
    script.holdings();
    script.note("e2 is cut off");
    script.border = 2;
    script.run_with(Millis(3_000), busy(2));
    script.holdings();
    script.run_with(Millis(3_600_000), busy(2));
    script.holdings();
    script.note("the cut ends");
    script.border = usize::MAX;
    script.quiet = false;
    script.run_with(Millis(4_000), busy(2));
    script.holdings();
    insta::assert_snapshot!(script.log);
}

/// Guards against a restarted lender that uses what its former life had lent.
#[test]
fn a_lender_restarts() {
    let mut script = Script::new(3, Limit::Slots(Slots(4)));
    let permits = script.acquire(0, 4);
    script.note("e1 and e2 restart");
    script.start(1, 2);
    script.start(2, 2);
    script.run(Millis(1_000));
    script.holdings();
    script.adopt(2, 3);
    script.run(Millis(600));
    script.holdings();
    script.release(0, permits);
    script.run(Millis(2_000));
    script.holdings();
    insta::assert_snapshot!(script.log);
}

//! Traces of the messages of typical exchanges and of specific orders of events.
//! They guard against unintended changes of the protocol.

use savorybeam::domain::{Millis, Rps, Slots};
use savorybeam::policy::limit::Limit;

use super::{scenario::Scenario, world::member};

/// Shows the usual exchange: units are lent when needed and returned when idle.
#[test]
fn a_loan_is_returned() {
    let mut scenario = Scenario::new(3, Limit::Slots(Slots(4)));
    let permits = scenario.acquire(0, 4);
    scenario.record_holdings();
    scenario.release(0, permits);
    scenario.run(Millis(4_000));
    scenario.record_holdings();
    insta::assert_snapshot!(scenario.trace);
}

/// Guards against a new home that uses a slot while a request of the former home
/// still runs on it.
#[test]
fn a_new_home_waits_for_a_busy_slot() {
    let mut scenario = Scenario::new(2, Limit::Slots(Slots(8)));
    let first = scenario.acquire(1, 4);
    scenario.start(2, 1);
    scenario.adopt_roster(2, 3);
    scenario.run(Millis(200));
    scenario.record_holdings();
    scenario.release(1, first);
    scenario.run(Millis(200));
    scenario.record_holdings();
    insta::assert_snapshot!(scenario.trace);
}

/// Guards against rate loans that remain in use during a network partition, and
/// against units that no longer move after it.
#[test]
fn an_entry_is_partitioned_for_an_hour() {
    let mut scenario = Scenario::new(3, Limit::requests(Rps(100)));
    let busy = |only: usize| {
        move |ledgers: &mut [savorybeam::policy::limit::Ledger], now| {
            for _ in 0..10 {
                let _ = ledgers[only].admit(1, now);
            }
        }
    };
    scenario.quiet = true;
    scenario.run_with(Millis(8_000), busy(2));
    scenario.record_holdings();
    scenario.note("e2 is partitioned");
    scenario.isolated_from = 2;
    scenario.run_with(Millis(3_000), busy(2));
    scenario.record_holdings();
    scenario.run_with(Millis(3_600_000), busy(2));
    scenario.record_holdings();
    scenario.note("the partition ends");
    scenario.isolated_from = usize::MAX;
    scenario.quiet = false;
    scenario.run_with(Millis(4_000), busy(2));
    scenario.record_holdings();
    insta::assert_snapshot!(scenario.trace);
}

/// Guards against a restarted lender that uses units that its former incarnation
/// had lent.
#[test]
fn a_lender_restarts() {
    let mut scenario = Scenario::new(3, Limit::Slots(Slots(4)));
    let permits = scenario.acquire(0, 4);
    scenario.note("e1 and e2 restart");
    scenario.start(1, 2);
    scenario.start(2, 2);
    scenario.run(Millis(1_000));
    scenario.record_holdings();
    scenario.adopt_roster(2, 3);
    scenario.run(Millis(600));
    scenario.record_holdings();
    scenario.release(0, permits);
    scenario.run(Millis(2_000));
    scenario.record_holdings();
    insta::assert_snapshot!(scenario.trace);
}

/// Guards against a planned stop whose units are unavailable until the platform
/// reports the entry gone.
#[test]
fn a_leaving_entry_hands_everything_over() {
    let mut scenario = Scenario::new(3, Limit::Slots(Slots(6)));
    let own = scenario.acquire(0, 1);
    let lent = scenario.acquire(1, 6);
    scenario.record_holdings();
    scenario.leaving = Some(0);
    scenario.adopt_roster(2, 3);
    scenario.run(Millis(300));
    scenario.release(0, own);
    scenario.release(1, lent);
    scenario.run(Millis(3_000));
    scenario.record_holdings();
    let empty = scenario.ledgers[0].is_empty();
    scenario.note(&format!("e0 may stop: {empty}"));
    insta::assert_snapshot!(scenario.trace);
}

/// Guards against the use of a grant that arrives after its lender is gone and the
/// new home has claimed the unit. Random runs seldom produce this order.
#[test]
fn a_late_grant_of_a_dead_lender_is_refused() {
    let mut scenario = Scenario::new(2, Limit::Slots(Slots(8)));
    scenario.start(2, 1);
    scenario.adopt_roster(2, 3);
    let _running = scenario.acquire(0, 4);
    assert!((0..3).all(|_| scenario.ledgers[0].acquire().is_none()));
    let now = scenario.now + Millis(100);
    let [borrower, lender, home] = [0, 1, 2].map(|i| member(i, 1));
    let mut grants = Vec::new();
    for request in scenario.ledgers[0].tick(now) {
        grants.extend(scenario.ledgers[1].on_message(
            &borrower,
            &request.to,
            request.envelope,
            now,
        ));
    }
    scenario.ledgers[0].on_gone(&lender, now);
    scenario.ledgers[2].on_gone(&lender, now);
    for survey in scenario.ledgers[2].tick(now) {
        for answer in scenario.ledgers[0].on_message(&home, &survey.to, survey.envelope, now) {
            scenario.ledgers[2].on_message(&borrower, &answer.to, answer.envelope, now);
        }
    }
    for grant in grants {
        let answers = scenario.ledgers[0].on_message(&lender, &grant.to, grant.envelope, now);
        scenario.note(&format!(
            "e0 answers the grant with {} messages",
            answers.len()
        ));
    }
    scenario.now = now;
    scenario.record_holdings();
    insta::assert_snapshot!(scenario.trace);
}

/// Guards against the use of a grant to the former incarnation of an entry. Its
/// request had the same id as one of the new incarnation, but the lender has already
/// ended that loan.
#[test]
fn a_grant_to_a_former_incarnation_is_ignored() {
    let mut scenario = Scenario::new(2, Limit::Slots(Slots(4)));
    let mut grants = Vec::new();
    for incarnation in [1, 2] {
        let _running = scenario.acquire(0, scenario.ledgers[0].status().usable as usize);
        assert!(scenario.ledgers[0].acquire().is_none());
        let requests = scenario.ledgers[0].request_units(scenario.now);
        scenario.note(&format!(
            "borrow requests of incarnation {incarnation} of e0: {}",
            requests.len()
        ));
        if incarnation == 1 {
            for request in requests {
                let (borrower, envelope) = (member(0, 1), request.envelope);
                grants.extend(scenario.ledgers[1].on_message(
                    &borrower,
                    &request.to,
                    envelope,
                    scenario.now,
                ));
            }
            scenario.start(0, 2);
            scenario.adopt_roster(2, 2);
            scenario.run(Millis(300));
            scenario.record_holdings();
        }
    }
    for mut grant in grants {
        grant.envelope.epoch = scenario.ledgers[0].epoch();
        let now = scenario.now;
        scenario.ledgers[0].on_message(&member(1, 1), &grant.to, grant.envelope, now);
    }
    scenario.record_holdings();
    insta::assert_snapshot!(scenario.trace);
}

/// Guards against counting an answer to an earlier survey round. The sender has
/// borrowed the unit since, from a lender that is gone by now.
#[test]
fn an_answer_to_an_earlier_round_is_ignored() {
    let mut scenario = Scenario::new(2, Limit::Slots(Slots(8)));
    scenario.start(2, 1);
    scenario.adopt_roster(2, 3);
    let [borrower, lender, home] = [0, 1, 2].map(|i| member(i, 1));
    let mut answers = Vec::new();
    for survey in scenario.ledgers[2].tick(scenario.now) {
        if survey.to == borrower {
            answers.extend(scenario.ledgers[0].on_message(
                &home,
                &survey.to,
                survey.envelope,
                scenario.now,
            ));
        }
    }
    let _running = scenario.acquire(0, 4);
    assert!((0..3).all(|_| scenario.ledgers[0].acquire().is_none()));
    scenario.now = scenario.now + Millis(100);
    for request in scenario.ledgers[0].tick(scenario.now) {
        for grant in
            scenario.ledgers[1].on_message(&borrower, &request.to, request.envelope, scenario.now)
        {
            scenario.ledgers[0].on_message(&lender, &grant.to, grant.envelope, scenario.now);
        }
    }
    scenario.ledgers[2].on_gone(&lender, scenario.now);
    scenario.now = scenario.now + Millis(1_000);
    let second = scenario.ledgers[2].tick(scenario.now);
    scenario.note(&format!("the second round has {} survey", second.len()));
    for answer in answers {
        scenario.ledgers[2].on_message(&borrower, &answer.to, answer.envelope, scenario.now);
    }
    scenario.record_holdings();
    insta::assert_snapshot!(scenario.trace);
}

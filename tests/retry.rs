//! Tests of retries, hedges and the detection of silent connections. Without the
//! budget, retries would multiply the load when targets fail.

use quickcheck::quickcheck;
use rand::{SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::Millis,
    policy::{
        retry::{self, Attempt, Budget, Denied, Percentiles, Window},
        silence::{self, Action, Disposition, Progress},
    },
};

const FIRST: Attempt = Attempt {
    idempotent: true,
    sent: true,
    count: 1,
    first: Millis(0),
    deadline: Millis(5000),
    expected_duration: Millis(20),
    strikes: 0,
    shedding: false,
};

fn full_budget() -> Budget {
    let mut budget = Budget::new();
    (0..1000).for_each(|_| budget.deposit());
    budget
}

#[test]
fn retries_add_at_most_five_percent_when_all_requests_fail() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budget = Budget::new();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        for count in 1..3 {
            let attempt = Attempt { count, ..FIRST };
            retries += u32::from(budget.retry(Millis(0), &mut rng, &attempt).is_ok());
        }
    }
    // Without a budget, two retries of each request would add 20,000 attempts.
    assert_eq!(retries, 500);
}

#[test]
fn retries_and_hedges_depend_on_the_attempt() {
    let cases = [
        ("usual", FIRST),
        (
            "not idempotent",
            Attempt {
                idempotent: false,
                ..FIRST
            },
        ),
        (
            "not idempotent, not sent",
            Attempt {
                idempotent: false,
                sent: false,
                ..FIRST
            },
        ),
        ("sent three times", Attempt { count: 3, ..FIRST }),
        (
            "one strike",
            Attempt {
                strikes: 1,
                ..FIRST
            },
        ),
        (
            "two strikes",
            Attempt {
                strikes: 2,
                ..FIRST
            },
        ),
        (
            "shedding",
            Attempt {
                shedding: true,
                ..FIRST
            },
        ),
        (
            "near deadline",
            Attempt {
                deadline: Millis(25),
                ..FIRST
            },
        ),
    ];
    let known = Percentiles {
        p95: Some(Millis(40)),
        p99: Some(Millis(90)),
    };
    let mut lines = Vec::new();
    for (name, attempt) in cases {
        let mut rng = SmallRng::seed_from_u64(1);
        let retry = full_budget().retry(Millis(10), &mut rng, &attempt);
        let hedge = full_budget().hedge(Millis(10), &attempt);
        let at = retry::hedge_time(&attempt, known);
        lines.push(format!(
            "{name}: retry {retry:?}, hedge {hedge:?}, at {at:?}"
        ));
    }
    insta::assert_snapshot!(lines.join("\n"), @r#"
usual: retry Ok(Millis(27)), hedge Ok(()), at Ok(Millis(40))
not idempotent: retry Err(NotIdempotent), hedge Err(NotIdempotent), at Err(NotIdempotent)
not idempotent, not sent: retry Ok(Millis(27)), hedge Err(NotIdempotent), at Err(NotIdempotent)
sent three times: retry Err(Attempts), hedge Err(Attempts), at Err(Attempts)
one strike: retry Ok(Millis(27)), hedge Err(SuspectedCrash), at Err(SuspectedCrash)
two strikes: retry Err(SuspectedCrash), hedge Err(SuspectedCrash), at Err(SuspectedCrash)
shedding: retry Err(Shedding), hedge Err(Shedding), at Err(Shedding)
near deadline: retry Err(Deadline), hedge Err(Deadline), at Err(Deadline)
"#);
}

#[test]
fn an_empty_budget_denies_until_a_refund() {
    let mut budget = Budget::new();
    assert_eq!(budget.hedge(Millis(0), &FIRST), Err(Denied::Budget));
    (0..20).for_each(|_| budget.deposit());
    assert_eq!(budget.hedge(Millis(0), &FIRST), Ok(()));
    assert_eq!(budget.hedge(Millis(0), &FIRST), Err(Denied::Budget));
    budget.refund();
    assert_eq!(budget.available(), 1);
}

quickcheck! {
    fn the_budget_is_never_exceeded(events: Vec<bool>) -> bool {
        let mut budget = Budget::new();
        let (mut earned, mut spent) = (0, 0);
        events.into_iter().all(|first| {
            if first {
                budget.deposit();
                earned += 1;
            } else {
                spent += u32::from(budget.hedge(Millis(0), &FIRST).is_ok());
            }
            spent * 20 <= earned && budget.available() <= 10
        })
    }

    fn percentiles_match_a_sorted_list(times: Vec<u16>) -> bool {
        let mut window = Window::new();
        let times: Vec<u64> = times.into_iter().map(|t| u64::from(t) + 1).collect();
        let times: Vec<u64> = times.iter().cycle().take(times.len() * 64).copied().collect();
        for &t in &times {
            window.add(Millis(1), Millis(t));
        }
        let mut sorted = times;
        sorted.sort_unstable();
        let near = |found: Option<Millis>, part: usize| {
            let rank = (sorted.len() * part).div_ceil(100).max(1) - 1;
            match (found, sorted.get(rank)) {
                (Some(found), Some(&exact)) => found.0.abs_diff(exact) <= exact / 50 + 1,
                (found, exact) => found.is_none() && exact.is_none(),
            }
        };
        let known = window.percentiles();
        near(known.p95, 95) && near(known.p99, 99)
    }
}

#[test]
fn old_durations_leave_the_window() {
    let mut window = Window::new();
    let mut p99 = |from: u64, time| {
        for n in 0..100 {
            window.add(Millis(from + n), Millis(time));
        }
        window.percentiles().p99
    };
    let seen = [p99(0, 500), p99(11_000, 10), p99(22_000, 10)];
    insta::assert_compact_debug_snapshot!(seen, @"[Some(Millis(501)), Some(Millis(501)), Some(Millis(10))]");
}

#[test]
fn a_silent_connection_is_hedged_and_retired() {
    let p99 = Some(Millis(500));
    let mut progress = Progress::new(Millis(0), Millis(30_000), true);
    let mut seen = vec![progress.check(Millis(0), p99)];
    progress.record_progress(Millis(300), false);
    seen.extend([1000, 2299, 2300].map(|now| progress.check(Millis(now), p99)));
    progress.record_hedge();
    seen.push(progress.check(Millis(2300), p99));
    let fates = [2200, 2300].map(|now| progress.disposition(Millis(now), p99));
    insta::assert_compact_debug_snapshot!((seen, fates), @"([Wait(Millis(2000)), Wait(Millis(2300)), Wait(Millis(2300)), Hedge, Wait(Millis(30000))], [Keep, Retire])");
}

#[test]
fn a_request_that_is_not_idempotent_waits_for_its_deadline() {
    let progress = Progress::new(Millis(0), Millis(8000), false);
    let check = |now| progress.check(Millis(now), None);
    assert_eq!(
        [7999, 8000].map(check),
        [Action::Wait(Millis(8000)), Action::GiveUp]
    );
}

#[test]
fn a_download_may_outlast_its_deadline_while_it_progresses() {
    let mut progress = Progress::new(Millis(0), Millis(1000), true);
    progress.record_progress(Millis(900), true);
    progress.record_progress(Millis(5000), false);
    let check = |now| progress.check(Millis(now), Some(Millis(10)));
    assert_eq!(
        [5500, 6000].map(check),
        [Action::Wait(Millis(6000)), Action::GiveUp]
    );
    assert_eq!(
        progress.disposition(Millis(5500), Some(Millis(10))),
        Disposition::Keep
    );
}

#[test]
fn silence_limits_are_bounded() {
    let known = [None, Some(Millis(1)), Some(Millis(700))].map(silence::timeout);
    let stale = [10_000, 10_001].map(|now| silence::is_stale(Millis(now), Millis(0)));
    insta::assert_compact_debug_snapshot!((known, stale), @"([Millis(5000), Millis(1000), Millis(2800)], [false, true])");
}

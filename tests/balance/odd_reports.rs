//! Tests load reports that no working target sends, and configurations with
//! extreme times. One such report must not end the process, and must not keep
//! requests from the other targets of its region.

use std::collections::BTreeSet;

use quickcheck::quickcheck;
use savorybeam::{
    domain::{Millis, RouteRule},
    policy::balance::{Choice, ChooseError, Ending, LoadReport, Pool},
};

use super::simulation::{addr, az, context, instance, region, request, rule, zones};

/// Two targets of two slots each and a virtual clock.
struct Fixture {
    pool: Pool,
    now: Millis,
    rule: RouteRule,
}

impl Fixture {
    fn new(rule: RouteRule) -> Self {
        let mut pool = Pool::new();
        for n in [0, 1] {
            pool.put(Millis(0), instance(n, 0, 2), &zones());
        }
        Self {
            pool,
            now: Millis(60_000),
            rule,
        }
    }

    fn choose(&mut self) -> Result<Choice, ChooseError> {
        let (az, region, evacuated) = (az(0), region(0), BTreeSet::new());
        let ctx = context(self.now, &az, &region, &evacuated);
        self.pool.choose(&ctx, &request(&self.rule))
    }

    /// Sends a request, which ends after 20 ms with the given report.
    fn send(&mut self, ending: Ending, report: Option<LoadReport>) -> Result<usize, ChooseError> {
        let choice = self.choose();
        self.now = self.now + Millis(20);
        let choice = choice?;
        self.pool.finish(self.now, &choice.ticket, ending, report);
        Ok((0..2).find(|n| addr(*n) == choice.addr).expect("a target"))
    }
}

const IDLE: LoadReport = LoadReport {
    running: 0,
    waiting: 0,
    slots: 2,
    slowdown_percent: 100,
};

/// Fails if one impossible report of a target makes requests to its region be
/// refused, or if the sum of its numbers overflows.
#[test]
fn an_impossible_report_refuses_no_request() {
    let mut lines = Vec::new();
    for (running, waiting, slots) in [
        (u32::MAX, u32::MAX, u32::MAX),
        (u32::MAX, u32::MAX, 2),
        (u32::MAX, 0, 0),
        (1_000_000, 0, 2),
    ] {
        let mut fixture = Fixture::new(rule());
        for _ in 0..60 {
            fixture
                .send(Ending::Answered, Some(IDLE))
                .expect("a target");
        }
        let report = LoadReport {
            running,
            waiting,
            slots,
            slowdown_percent: 100,
        };
        fixture
            .send(Ending::Answered, Some(report))
            .expect("a target");
        let sent = (0..100).filter(|_| fixture.send(Ending::Answered, Some(IDLE)).is_ok());
        lines.push(format!(
            "{running}, {waiting}, {slots}: {} of 100 sent",
            sent.count()
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if the expected duration of a request overflows when it is multiplied.
#[test]
fn an_extreme_objective_does_not_overflow() {
    for objective in [0, 1, u64::MAX / 4, u64::MAX] {
        let mut fixture = Fixture::new(RouteRule {
            objective: Millis(objective),
            timeout: Millis(u64::MAX),
            ..rule()
        });
        for _ in 0..40 {
            let _ = fixture.choose();
            fixture.now = fixture.now + Millis(1_000);
        }
    }
}

quickcheck! {
    fn any_reports_are_applied(reports: Vec<(u32, u32, u32, u32)>, kinds: Vec<bool>) -> bool {
        let mut fixture = Fixture::new(rule());
        let kinds = kinds.into_iter().chain([false, true]).collect::<Vec<_>>();
        for (n, (running, waiting, slots, slowdown_percent)) in reports.into_iter().enumerate() {
            let rejected = kinds[n % kinds.len()];
            let ending = if rejected { Ending::Rejected } else { Ending::Answered };
            let report = LoadReport { running, waiting, slots, slowdown_percent };
            let _ = fixture.send(ending, Some(report));
        }
        true
    }
}

//! Tests of limits that all entries share: retry budgets, the rate limit of
//! cold targets, and the cap on shifts between regions.

use quickcheck::quickcheck;
use savorybeam::{
    domain::Millis,
    policy::{
        balance::ColdQuota,
        budget::{RetryBudget, RetryLimits},
        overflow::{Overflow, Placement, RequestCount, ShiftLimit, Sides, SlotDemand, SlotLoads},
        presence::Entries,
    },
};

/// The cap on shifts, with the fewest requests in a window.
const SHIFT: ShiftLimit = ShiftLimit {
    cap: 0.15,
    requests: 0.0,
    lost: 0.0,
};

/// A demand that calls for no overflow.
const IDLE: SlotDemand = demand(0.1, 0.1);

/// A demand that is not known yet.
const UNKNOWN: SlotDemand = SlotDemand {
    needed: None,
    ..IDLE
};

/// Returns a demand of `needed` slots for each slot of the region, whose own load says
/// nothing about it.
const fn demand(needed: f64, others: f64) -> SlotDemand {
    SlotDemand {
        needed: Some(needed * 600.0),
        available: 600.0,
        loads: SlotLoads { local: 3.0, others },
        cold: false,
    }
}

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    slack: 58.0,
    window: Millis(10_000),
};

quickcheck! {
    /// Guards against retries that amplify an overload: in any window, all
    /// entries together send at most the ratio of retries plus the fixed
    /// number.
    fn all_entries_stay_within_the_retry_budget(entries: u8, steps: Vec<(u8, u8, bool)>) -> bool {
        let entries = usize::from(entries % 12) + 1;
        let mut budgets = vec![RetryBudget::new(); entries];
        let mut now = Millis(50_000);
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (wait, entry, is_request) in steps {
            now = now + Millis(u64::from(wait));
            let budget = &mut budgets[usize::from(entry) % entries];
            if is_request {
                budget.deposit(now, &LIMITS);
                requests.push(now);
            }
            if budget.withdraw(now, &LIMITS, entries) {
                retries.push(now);
            }
        }
        retries.iter().all(|end| {
            let within = |at: &&Millis| **at <= *end && *end - **at <= LIMITS.window;
            let retry_count = retries.iter().filter(within).count();
            // Earlier requests count as well, as in the measurement of the
            // users.
            let request_count = requests.iter().filter(|at| **at <= *end).count();
            #[expect(clippy::cast_precision_loss)]
            let limit = request_count as f64 * LIMITS.ratio + LIMITS.slack;
            f64::from(u32::try_from(retry_count).expect("few")) <= limit
        })
    }

    /// Guards against overloading a cold target because each entry uses the
    /// whole rate instead of its share.
    fn all_entries_stay_within_the_cold_rate(entries: u8, max_rate: u8, target: u64) -> bool {
        let names: Vec<u64> = (0..=u64::from(entries)).map(|n| n.wrapping_mul(0x9e37_79b9)).collect();
        let max_rate = f64::from(max_rate);
        let all: usize = names
            .iter()
            .map(|name| ColdQuota { max_rate, entries: &names, this_entry: *name }.share(target))
            .sum();
        f64::from(u32::try_from(all).expect("few")) <= max_rate
    }

    /// Guards the cap on shifts between regions: for any sequence of
    /// preferences, loads and numbers of requests, the overflow fraction changes by
    /// at most the cap within two seconds.
    fn overflow_changes_stay_within_the_shift_cap(
        preferences: Vec<(u8, bool, u8)>,
        requests: u16
    ) -> bool {
        let limit = ShiftLimit { requests: f64::from(requests), ..SHIFT };
        let mut overflow = Overflow::new(0.3);
        let mut now = Millis(1_000);
        let mut fractions = vec![(now, overflow.fraction())];
        // The first call only sets the time.
        overflow.assign(now, Placement::Local, IDLE, Some(0.5), limit);
        for (wait, remote, load) in preferences {
            let demand = demand(f64::from(load) / 64.0, 0.5);
            now = now + Millis(u64::from(wait));
            let preference = if remote { Placement::Remote } else { Placement::Local };
            overflow.assign(now, preference, demand, Some(0.5), limit);
            fractions.push((now, overflow.fraction()));
        }
        fractions.iter().skip(1).all(|(at, fraction)| {
            let before = fractions.iter().skip(1).rfind(|(t, _)| *t + Millis(2_000) <= *at);
            before.is_none_or(|(_, old)| (fraction - old).abs() <= 0.15)
        })
    }
}

/// The time between the polls of an entry.
const POLL_PERIOD: Millis = Millis(1_375);

/// Returns how many retries the entries of a fleet send within the window of the budget,
/// to which no requests add, and when the first one is sent. All entries start at 0 s,
/// find no announcements, and know each other from their second poll on.
fn retries_after_a_start(count: u16) -> (usize, Option<u64>) {
    let mut all = 0;
    let mut first = None;
    for _ in 0..count {
        let mut entries = Entries::default();
        entries.record_announced(Millis(0));
        entries.record_state(Millis(0));
        let mut budget = RetryBudget::new();
        let mut known = vec![0];
        for now in (0..LIMITS.window.0).step_by(25).map(Millis) {
            if now == POLL_PERIOD {
                known = (0..u64::from(count)).collect();
            }
            let sharers = entries.sharers(now, POLL_PERIOD, &known);
            if budget.withdraw(now, &LIMITS, sharers.len()) {
                all += 1;
                first = first.or(Some(now.0));
            }
        }
    }
    (all, first)
}

/// Fails if entries that start together, each of which takes itself for the only one, use
/// the whole slack of the retry budget each, or if an entry that is alone has none of it
/// for longer than 1.5 s and one time between polls.
#[test]
fn entries_that_start_together_share_the_slack_of_the_retry_budget() {
    let retries = [1, 9, 90, 295].map(|n| (n, retries_after_a_start(n)));
    assert!(retries.iter().all(|(_, (sent, _))| *sent <= 58));
    let lines = retries.map(|(n, (sent, first))| format!("{n}: {sent}, first at {first:?} ms"));
    insta::assert_snapshot!(lines.join("\n"), @r"
    1: 29, first at Some(2875) ms
    9: 27, first at Some(2875) ms
    90: 0, first at None ms
    295: 0, first at None ms
    ");
}

/// Guards against cold caches: while the overflow fraction grows, objects that
/// have moved to another region stay there.
#[test]
fn growing_overflow_only_adds_objects() {
    let mut overflow = Overflow::new(0.0);
    let mut moved = [false; 50];
    for step in 0..400 {
        for (n, was_remote) in moved.iter_mut().enumerate() {
            #[expect(clippy::cast_precision_loss)]
            let hash_position = n as f64 / 50.0;
            let now = Millis(1_000 + step * 50);
            let is_remote =
                overflow.assign(now, Placement::Remote, UNKNOWN, Some(hash_position), SHIFT)
                    == Placement::Remote;
            assert!(
                is_remote || !*was_remote,
                "object {n} returned to the local region in step {step}"
            );
            *was_remote = is_remote;
        }
    }
    assert!(
        moved.iter().any(|was_remote| *was_remote),
        "no object overflowed"
    );
}

/// Guards against a slope limit that delays overflow after the loss of targets, so that
/// those that are left refuse requests, and against entries that move requests for which
/// there is room, because they prefer another region. Entries that do not know the
/// demand may move what was lost.
#[test]
fn overflow_is_immediate_after_a_loss_of_targets() {
    let mut lines = Vec::new();
    for lost in [0.25, 0.5, 1.0] {
        let limit = ShiftLimit { lost, ..SHIFT };
        let mut fractions = Vec::new();
        for needed in [Some(0.6), Some(0.8), Some(1.2), Some(2.0), None] {
            let mut overflow = Overflow::new(0.1);
            let full = needed.map_or(UNKNOWN, |needed| demand(needed, 0.5));
            let left = SlotDemand {
                available: full.available * (1.0 - lost),
                ..full
            };
            overflow.assign(Millis(1_000), Placement::Remote, full, Some(0.9), SHIFT);
            for _ in 0..200 {
                overflow.assign(Millis(1_000), Placement::Remote, left, Some(0.9), limit);
            }
            fractions.push(format!("{:.2}", overflow.fraction()));
        }
        lines.push(format!("{lost:.2}: {}", fractions.join(" ")));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Returns the overflow fraction of a region in which all requests prefer the
/// local targets, after each of `seconds`, at ten requests a second.
fn fractions(start: f64, demand: SlotDemand, requests: f64, seconds: u64) -> Vec<String> {
    let mut overflow = Overflow::new(start);
    let limit = ShiftLimit { requests, ..SHIFT };
    let mut out = Vec::new();
    for step in 0..=seconds * 10 {
        let now = Millis(1_000 + step * 100);
        overflow.assign(now, Placement::Local, demand, Some(0.5), limit);
        if step % 10 == 0 {
            out.push(format!("{:.2}", overflow.fraction()));
        }
    }
    out
}

/// Fails if a region whose callers need more slots than it has, while others have room,
/// moves requests only after they are late, if it moves more than needed, or if it moves
/// requests to regions that are as full.
#[test]
fn overflow_follows_the_demand_before_requests_are_late() {
    let cases = [(2.0, 0.5), (1.0, 0.5), (0.9, 0.5), (2.0, 2.0), (2.0, 1.5)];
    let lines = cases.map(|(needed, others)| {
        let fractions = fractions(0.2, demand(needed, others), 2_000.0, 4).join(" ");
        format!("{needed} against {others}: {fractions}")
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if two entries that know the same demand end with different fractions because
/// they started with different ones, or because their requests prefer other regions.
#[test]
fn entries_with_the_same_demand_agree() {
    let mut fractions = Vec::new();
    for start in [0.0, 0.4, 1.0] {
        for preference in [Placement::Local, Placement::Remote] {
            let mut overflow = Overflow::new(start);
            for step in 0..300 {
                let now = Millis(1_000 + step * 100);
                overflow.assign(now, preference, demand(1.5, 0.5), Some(0.5), SHIFT);
            }
            fractions.push(format!("{:.2}", overflow.fraction()));
        }
    }
    insta::assert_snapshot!(fractions.join(" "));
}

/// Fails if an entry that sends all of its requests away does so for good, although its
/// region has room for them.
#[test]
fn an_entry_that_keeps_no_requests_takes_them_back() {
    insta::assert_snapshot!(fractions(1.0, IDLE, 2_000.0, 5).join(" "));
}

/// Fails if a region with many requests in a window uses as little of the cap as
/// one with few, or if requests return more slowly than they left, so that a share
/// stays in force for seconds after it was needed.
#[test]
fn the_slope_grows_with_the_number_of_requests() {
    let mut lines = Vec::new();
    for requests in [0.0, 200.0, 1_000.0, 5_000.0, 1e9] {
        let away = fractions(0.2, demand(4.0, 0.5), requests, 4).join(" ");
        let back = fractions(0.5, IDLE, requests, 4).join(" ");
        lines.push(format!("{requests}: away {away}, back {back}"));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if the number of requests in a window is counted without those that have
/// left it.
#[test]
fn requests_leave_the_window() {
    let mut count = RequestCount::default();
    for step in 0..1_000 {
        count.record(Millis(step * 10));
    }
    let at = |now| format!("{:.0}", count.recent(Millis(now)));
    insta::assert_snapshot!([at(10_000), at(12_000), at(20_000)].join(" "), @"198 73 1");
}

/// Returns the fraction of the requests that runs in other regions, of which 40 in
/// 100 are placed there, if the local side refuses some of its requests.
fn remote_fraction(refused: f64) -> String {
    let mut sides = Sides::default();
    let (mut sent, mut remote, mut due) = (0.0, 0.0, 0.0);
    for step in 0..4_000 {
        let placed_remote = step % 5 < 2;
        let runs_remote = placed_remote && !sides.is_distorted(SHIFT.cap);
        due += refused;
        let is_refused = !runs_remote && due >= 1.0;
        due -= f64::from(u8::from(is_refused));
        let side = (!is_refused).then_some(runs_remote);
        sides.record(Millis(step * 50), placed_remote, side);
        if let Some(is_remote) = side {
            sent += 1.0;
            remote += f64::from(u8::from(is_remote));
        }
    }
    format!("{refused:.1}: {:.2}", remote / sent)
}

/// Fails if refusals of one side raise the other's part of the requests that run
/// beyond a fraction of the cap, however many they are, or if the placement changes
/// although none is refused.
#[test]
fn refusals_raise_the_part_of_other_regions_by_a_fraction_of_the_cap() {
    let lines = [0.0, 0.1, 0.3, 0.6].map(remote_fraction);
    insta::assert_snapshot!(lines.join("\n"));
}

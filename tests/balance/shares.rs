//! Tests of limits that all entries share: retry budgets, the rate limit of
//! cold targets, and the cap on shifts between regions.

use quickcheck::quickcheck;
use savorybeam::{
    domain::Millis,
    policy::{
        balance::ColdQuota,
        budget::{RetryBudget, RetryLimits},
        overflow::{Overflow, Placement},
    },
};

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
    /// preferences, the overflow fraction changes by at most the cap within two
    /// seconds.
    fn overflow_changes_stay_within_the_shift_cap(preferences: Vec<(u8, bool)>) -> bool {
        let mut overflow = Overflow::new(0.3);
        let mut now = Millis(1_000);
        let mut fractions = vec![(now, overflow.fraction())];
        // The first call only sets the time.
        overflow.assign(now, Placement::Local, Some(0.5), 0.15, false);
        for (wait, remote) in preferences {
            now = now + Millis(u64::from(wait));
            let preference = if remote { Placement::Remote } else { Placement::Local };
            overflow.assign(now, preference, Some(0.5), 0.15, false);
            fractions.push((now, overflow.fraction()));
        }
        fractions.iter().skip(1).all(|(at, fraction)| {
            let before = fractions.iter().skip(1).rfind(|(t, _)| *t + Millis(2_000) <= *at);
            before.is_none_or(|(_, old)| (fraction - old).abs() <= 0.15)
        })
    }
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
                overflow.assign(now, Placement::Remote, Some(hash_position), 0.15, false)
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

/// Guards against a slope limit that delays overflow after the loss of targets.
#[test]
fn overflow_is_immediate_after_a_loss_of_targets() {
    let mut overflow = Overflow::new(0.0);
    let preference = overflow.assign(Millis(1_000), Placement::Remote, Some(0.9), 0.15, true);
    assert_eq!(preference, Placement::Remote);
}

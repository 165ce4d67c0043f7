//! Shares of limits that all entries have together: retry budgets, cold targets,
//! moves between regions.

use quickcheck::quickcheck;
use savorybeam::{
    domain::Millis,
    policy::{
        balance::Quota,
        budget::{Allowance, RetryBudget},
        overflow::{Overflow, Wish},
    },
};

const ALLOWED: Allowance = Allowance {
    ratio: 0.2,
    slack: 58.0,
    window: Millis(10_000),
};

quickcheck! {
    /// Guards against retries that amplify an overload: over any window, all
    /// entries together spend at most the ratio and the fixed number.
    fn entries_together_stay_within_the_retry_budget(entries: u8, steps: Vec<(u8, u8, bool)>) -> bool {
        let entries = usize::from(entries % 12) + 1;
        let mut budgets = vec![RetryBudget::new(); entries];
        let mut now = Millis(50_000);
        let mut requests = Vec::new();
        let mut spent = Vec::new();
        for (wait, entry, earns) in steps {
            now = now + Millis(u64::from(wait));
            let budget = &mut budgets[usize::from(entry) % entries];
            if earns {
                budget.earn(now, &ALLOWED);
                requests.push(now);
            }
            if budget.pay(now, &ALLOWED, entries) {
                spent.push(now);
            }
        }
        spent.iter().all(|end| {
            let within = |at: &&Millis| **at <= *end && *end - **at <= ALLOWED.window;
            let extra = spent.iter().filter(within).count();
            // Requests count in the window before as well, as for the users.
            let earned = requests.iter().filter(|at| **at <= *end).count();
            #[expect(clippy::cast_precision_loss)]
            let limit = earned as f64 * ALLOWED.ratio + ALLOWED.slack;
            f64::from(u32::try_from(extra).expect("few")) <= limit
        })
    }

    /// Guards against a cold target that crashes because each entry thinks that
    /// the rate is its own.
    fn entries_together_spare_a_cold_target(entries: u8, bound: u8, target: u64) -> bool {
        let names: Vec<u64> = (0..=u64::from(entries)).map(|n| n.wrapping_mul(0x9e37_79b9)).collect();
        let bound = f64::from(bound);
        let all: usize = names
            .iter()
            .map(|me| Quota { bound, entries: &names, me: *me }.share(target))
            .sum();
        f64::from(u32::try_from(all).expect("few")) <= bound
    }

    /// Guards the cap on moves: whatever the requests would choose, the part that
    /// leaves the region changes by less than the cap in two seconds.
    fn the_part_that_leaves_moves_slowly(wishes: Vec<(u8, bool)>) -> bool {
        let mut overflow = Overflow::new(0.3);
        let mut now = Millis(1_000);
        let mut parts = vec![(now, overflow.part())];
        // The first call only sets the time.
        overflow.assign(now, Wish::Stay, Some(0.5), 0.15, false);
        for (wait, leave) in wishes {
            now = now + Millis(u64::from(wait));
            let wish = if leave { Wish::Leave } else { Wish::Stay };
            overflow.assign(now, wish, Some(0.5), 0.15, false);
            parts.push((now, overflow.part()));
        }
        parts.iter().skip(1).all(|(at, part)| {
            let before = parts.iter().skip(1).rfind(|(t, _)| *t + Millis(2_000) <= *at);
            before.is_none_or(|(_, old)| (part - old).abs() <= 0.15)
        })
    }
}

/// Guards against caches that go cold: an object that has left stays away while
/// the part grows.
#[test]
fn a_growing_part_only_adds_objects() {
    let mut overflow = Overflow::new(0.0);
    let mut left = [false; 50];
    for step in 0..400 {
        for (n, gone) in left.iter_mut().enumerate() {
            #[expect(clippy::cast_precision_loss)]
            let place = n as f64 / 50.0;
            let now = Millis(1_000 + step * 50);
            let leaves = overflow.assign(now, Wish::Leave, Some(place), 0.15, false) == Wish::Leave;
            assert!(leaves || !*gone, "object {n} came back at step {step}");
            *gone = leaves;
        }
    }
    assert!(left.iter().any(|gone| *gone), "nothing was handed over");
}

/// Guards against waiting for the slope while targets of the region are gone.
#[test]
fn lost_targets_are_left_at_once() {
    let mut overflow = Overflow::new(0.0);
    let wish = overflow.assign(Millis(1_000), Wish::Leave, Some(0.9), 0.15, true);
    assert_eq!(wish, Wish::Leave);
}

//! Measures the cost of a lookup by table size and number of threads, with and
//! without concurrent changes. A lookup finds the block of a client address, its
//! site and the ranked entries. Prints the Markdown tables for docs/CAPACITY.md:
//!
//! ```text
//! cargo run --release --locked --example lookup_slope
//! ```

#![allow(clippy::cast_precision_loss)] // The printed figures are rounded anyway.

mod fixture;

use std::{
    fs,
    hint::black_box,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use fixture::{Fixture, LOOKUP_COUNT, MEMBER_COUNT, SITE_COUNT, fixture, prefix};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{domain::SiteId, policy::lookup::BlockChange};

/// The table sizes, up to the size that docs/design.md expects in two years.
const BLOCK_COUNTS: [usize; 3] = [10_000, 100_000, 1_300_000];
/// The rate of lookups over all members for which the CPU share is printed.
const LOOKUPS_PER_SECOND: f64 = 10_000_000.0;

const THREAD_COUNTS: [usize; 3] = [1, 4, 8];
const ROUNDS: usize = 3;

/// The number of block changes in one delta.
const CHANGES_PER_DELTA: usize = 100;
/// The pause between two deltas.
const DELTA_PAUSE: Duration = Duration::from_millis(10);

/// Measures lookups while another thread applies deltas. Returns the processor
/// time of a lookup in nanoseconds and the mean processor time of a delta in
/// microseconds.
fn measure_during_changes(fixture: &Fixture, threads: usize) -> (f64, f64) {
    let stop_writer = AtomicBool::new(false);
    let apply_deltas = || {
        let mut rng = SmallRng::seed_from_u64(12);
        let (mut delta_count, mut busy_ns) = (0, 0.0);
        while !stop_writer.load(Ordering::Relaxed) {
            let random_site = |rng: &mut SmallRng| Some(SiteId(rng.random_range(0..SITE_COUNT)));
            let delta: Vec<BlockChange> = (0..CHANGES_PER_DELTA)
                .map(|_| BlockChange {
                    prefix: prefix(&mut rng),
                    site: random_site(&mut rng),
                })
                .collect();
            let start = processor_ns();
            fixture.table.apply(&delta);
            busy_ns += processor_ns() - start;
            delta_count += 1;
            thread::sleep(DELTA_PAUSE);
        }
        busy_ns / 1e3 / f64::from(delta_count)
    };
    thread::scope(|scope| {
        let writer = scope.spawn(apply_deltas);
        let lookup_ns = measure(threads, |index| fixture.look_up(index));
        stop_writer.store(true, Ordering::Relaxed);
        (
            lookup_ns,
            writer.join().expect("a writer that does not panic"),
        )
    })
}

/// Returns the processor time of one operation in nanoseconds, as the median of
/// several rounds. Elapsed time would include other work on the machine.
fn measure<T>(threads: usize, operation: impl Fn(usize) -> T + Sync) -> f64 {
    let run_thread = &|thread: usize| {
        let first = thread * LOOKUP_COUNT / threads;
        let start = processor_ns();
        let results = (first..first + LOOKUP_COUNT).map(&operation);
        results.for_each(|result| drop(black_box(result)));
        processor_ns() - start
    };
    let round = || {
        thread::scope(|scope| {
            let all: Vec<_> = (0..threads)
                .map(|t| scope.spawn(move || run_thread(t)))
                .collect();
            let times = all.into_iter().map(|handle| {
                handle
                    .join()
                    .expect("a measuring thread that does not panic")
            });
            times.sum::<f64>() / (threads * LOOKUP_COUNT) as f64
        })
    };
    let mut rounds: Vec<f64> = (0..ROUNDS).map(|_| round()).collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS / 2]
}

/// Returns the processor time used by this thread, in nanoseconds.
fn processor_ns() -> f64 {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let time = stat.split(' ').next().and_then(|t| t.parse().ok());
    time.expect("a kernel that accounts for the processor time of threads")
}

/// Returns the processor time of building a view, in microseconds.
fn measure_view(fixture: &Fixture) -> f64 {
    const VIEW_COUNT: u32 = 100;
    let start = processor_ns();
    for _ in 0..VIEW_COUNT {
        black_box(fixture.rebuild());
    }
    (processor_ns() - start) / 1e3 / f64::from(VIEW_COUNT)
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * 4096
}

fn main() {
    println!(
        "| blocks | threads | block, ns | lookup, ns | with changes, ns | delta, µs | core at 10 M/s |"
    );
    println!("|---|---|---|---|---|---|---|");
    let mut memory_rows = Vec::new();
    for blocks in BLOCK_COUNTS {
        let fixture = fixture(blocks);
        let bytes_per_item = |size: u64, count: usize| size as f64 / count as f64;
        memory_rows.push(format!(
            "| {blocks} | {:.1} | {:.1} | {:.1} | {} | {:.0} |",
            bytes_per_item(fixture.table.size().0, fixture.table.len()),
            bytes_per_item(fixture.sites.size().0, SITE_COUNT as usize),
            bytes_per_item(fixture.view.size().0, fixture.view.len()),
            resident_bytes() / 1_048_576,
            measure_view(&fixture),
        ));
        for threads in THREAD_COUNTS {
            let find_ns = measure(threads, |index| fixture.find(index));
            let lookup_ns = measure(threads, |index| fixture.look_up(index));
            let (changing_ns, delta_us) = measure_during_changes(&fixture, threads);
            let core_percent = LOOKUPS_PER_SECOND / MEMBER_COUNT as f64 * changing_ns / 1e9 * 100.0;
            println!(
                "| {blocks} | {threads} | {find_ns:.0} | {lookup_ns:.0} | {changing_ns:.0} | {delta_us:.0} | {core_percent:.2}% |"
            );
        }
    }
    println!(
        "\n| blocks | bytes per block | bytes per site | bytes per member | resident, MB | new view, µs |\n|---|---|---|---|---|---|"
    );
    println!("{}", memory_rows.join("\n"));
}

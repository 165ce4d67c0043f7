//! Measures a look-up (client block, site, ranked entries) over table sizes and
//! threads, also while changes are applied, and prints a Markdown table for
//! docs/CAPACITY.md:
//!
//! ```text
//! cargo run --release --locked --example lookup_slope
//! ```

#![allow(clippy::cast_precision_loss)] // Figures are rounded anyway.

mod world;

use std::{
    fs,
    hint::black_box,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{domain::SiteId, policy::lookup::BlockChange};
use world::{LOOKUPS, MEMBERS, SITES, World, prefix, world};

/// The sizes of the slope, up to the two-year size of docs/design.md.
const BLOCKS: [usize; 3] = [10_000, 100_000, 1_300_000];
const LOOKUPS_PER_SECOND: f64 = 10_000_000.0;

const THREADS: [usize; 3] = [1, 4, 8];
const ROUNDS: usize = 3;

/// The changes of one delta, and the pause between two deltas.
const DELTA: usize = 100;
const PAUSE: Duration = Duration::from_millis(10);

/// Measures look-ups while deltas are applied, and the mean time of a delta
/// in microseconds.
fn measure_changing(world: &World, threads: usize) -> (f64, f64) {
    let done = AtomicBool::new(false);
    let change = || {
        let mut rng = SmallRng::seed_from_u64(12);
        let (mut deltas, mut busy) = (0, 0.0);
        while !done.load(Ordering::Relaxed) {
            let site = |rng: &mut SmallRng| Some(SiteId(rng.random_range(0..SITES)));
            let delta: Vec<BlockChange> = (0..DELTA)
                .map(|_| BlockChange {
                    prefix: prefix(&mut rng),
                    site: site(&mut rng),
                })
                .collect();
            let start = processor_time();
            world.table.apply(&delta);
            busy += processor_time() - start;
            deltas += 1;
            thread::sleep(PAUSE);
        }
        busy / 1e3 / f64::from(deltas)
    };
    thread::scope(|s| {
        let writer = s.spawn(change);
        let time = measure(threads, |at| world.look_up(at));
        done.store(true, Ordering::Relaxed);
        (time, writer.join().expect("the writer ends"))
    })
}

/// Returns the processor time of one operation in nanoseconds, the median of
/// several rounds. Elapsed time would include the other work of the machine.
fn measure<T>(threads: usize, operation: impl Fn(usize) -> T + Sync) -> f64 {
    let one = &|thread: usize| {
        let first = thread * LOOKUPS / threads;
        let start = processor_time();
        let results = (first..first + LOOKUPS).map(&operation);
        results.for_each(|r| drop(black_box(r)));
        processor_time() - start
    };
    let round = || {
        thread::scope(|s| {
            let all: Vec<_> = (0..threads).map(|t| s.spawn(move || one(t))).collect();
            let times = all.into_iter().map(|t| t.join().expect("the thread ends"));
            times.sum::<f64>() / (threads * LOOKUPS) as f64
        })
    };
    let mut rounds: Vec<f64> = (0..ROUNDS).map(|_| round()).collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS / 2]
}

/// Returns the time that this thread has run, in nanoseconds.
fn processor_time() -> f64 {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let time = stat.split(' ').next().and_then(|t| t.parse().ok());
    time.expect("the kernel accounts for the time of threads")
}

/// Returns the processor time of a new view in microseconds.
fn measure_view(world: &World) -> f64 {
    const VIEWS: u32 = 100;
    let start = processor_time();
    for _ in 0..VIEWS {
        black_box(world.rebuild());
    }
    (processor_time() - start) / 1e3 / f64::from(VIEWS)
}

/// Returns the resident memory of this process in bytes.
fn resident() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * 4096
}

fn main() {
    println!(
        "| blocks | threads | block, ns | look-up, ns | with changes, ns | delta, µs | core at 10 M/s |"
    );
    println!("|---|---|---|---|---|---|---|");
    let mut memory = Vec::new();
    for blocks in BLOCKS {
        let world = world(blocks);
        let bytes = |size: u64, count: usize| size as f64 / count as f64;
        memory.push(format!(
            "| {blocks} | {:.1} | {:.1} | {:.1} | {} | {:.0} |",
            bytes(world.table.size().0, world.table.len()),
            bytes(world.sites.size().0, SITES as usize),
            bytes(world.view.size().0, world.view.len()),
            resident() / 1_048_576,
            measure_view(&world),
        ));
        for threads in THREADS {
            let find = measure(threads, |at| world.find(at));
            let whole = measure(threads, |at| world.look_up(at));
            let (changing, delta) = measure_changing(&world, threads);
            let core = LOOKUPS_PER_SECOND / MEMBERS as f64 * changing / 1e9 * 100.0;
            println!(
                "| {blocks} | {threads} | {find:.0} | {whole:.0} | {changing:.0} | {delta:.0} | {core:.2}% |"
            );
        }
    }
    println!(
        "\n| blocks | bytes per block | bytes per site | bytes per member | resident, MB | new view, µs |\n|---|---|---|---|---|---|"
    );
    println!("{}", memory.join("\n"));
}

//! Prints what shared limits cost: time per admission, memory, and messages and
//! bytes a second for each entry, by the number of entries.
//!
//! Run with `cargo run --release --example limit_slope [SEED]`. Messages are
//! counted in virtual time over the real encoding, so they depend only on the
//! seed.

#![expect(clippy::cast_precision_loss, reason = "figures are printed for people")]

mod cost;
mod traffic;

fn main() {
    let seed = std::env::args().nth(1).and_then(|s| s.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("seed {seed}");
    cost::print_time();
    let kept = [9, 47].map(cost::print_memory);
    drop(kept);
    for count in [3, 9, 30, 47] {
        traffic::print(count, seed);
    }
}

//! Prints the cost of shared limits by the number of entries: time per admission,
//! memory, and the messages and bytes per second that each entry sends.
//!
//! Run with `cargo run --release --example limit_slope [SEED]`. Messages are
//! encoded as on the wire and counted in virtual time, so their figures depend
//! only on the seed.

#![expect(
    clippy::cast_precision_loss,
    reason = "the printed figures are rounded anyway"
)]

mod cost;
mod traffic;

fn main() {
    let seed = std::env::args().nth(1).and_then(|s| s.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("seed {seed}");
    cost::print_admission_time();
    let ledgers = [9, 47].map(cost::print_memory);
    drop(ledgers);
    for count in [3, 9, 30, 47] {
        traffic::print_traffic(count, seed);
    }
}

//! The running entry and its command line.
//!
//! This is the only module that depends on all the others. It holds the state in
//! shards, passes the state and the current time to the functions of
//! [`policy`](crate::policy), and performs the actions that they return.

pub mod cli;
pub mod dev;
pub mod entry;
pub mod gateway;

/// Returns a count with its noun, for example `1 fault` or `3 faults`.
fn count_of(count: usize, noun: &str) -> String {
    let ending = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{ending}")
}

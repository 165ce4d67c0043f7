//! The running entry and its command line.
//!
//! This is the only part that knows all the others. It holds the state in
//! shards, passes it to the decisions together with the time, and carries out
//! what they decide.

pub mod cli;
pub mod dev;
pub mod entry;
pub mod gateway;

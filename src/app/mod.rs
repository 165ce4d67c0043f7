//! The running entry and its command line.
//!
//! This is the only module that depends on all the others. It holds the state in
//! shards, passes the state and the current time to the functions of
//! [`policy`](crate::policy), and performs the actions that they return.

pub mod cli;
pub mod dev;
pub mod entry;
pub mod gateway;

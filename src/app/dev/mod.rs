//! Everything on loopback in one process, for a newcomer.

pub mod target;

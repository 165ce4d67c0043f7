//! Guards the store behind its port. The same scenarios run in memory and over
//! the store's protocol against the stand-in, because what is tried in memory
//! must hold for the platform's store.

mod edits;
mod faults;
mod semantics;
mod standin;
mod support;

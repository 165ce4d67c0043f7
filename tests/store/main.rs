//! Tests of both implementations of the store. The same scenarios run against
//! the in-memory store and, over the etcd protocol, against the stand-in
//! `examples/store_standin`, because other tests use the store in memory and
//! their results must hold for the platform's store.

mod edits;
mod faults;
mod semantics;
mod standin;
mod support;

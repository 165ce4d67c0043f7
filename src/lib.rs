//! Global traffic steering between callers and targets.
//!
//! Service teams own a document each that says where their service runs, how
//! much each place takes and what leaves. Savorybeam carries every request to a
//! healthy target, and moves traffic within the agreed limits.
//!
//! # A guided tour
//!
//! * [`domain`] has the values: ids, sizes, rates, times, documents.
//! * [`policy`] has the decisions. They are pure: time and randomness are passed
//!   in, and nothing in there knows a socket or an encoding. This is where to
//!   read how a target is chosen, how a limit is shared, or when a request may
//!   be repeated.
//! * [`ports`] says what decisions and processes need from outside, as plain
//!   structs of closures.
//! * [`adapters`] fills the ports: HTTP to callers and targets, gRPC between
//!   entries, the store's protocol, the clock, INI files.
//! * [`app`] wires a running entry together and has the command line.
//!
//! The reasons behind the structure are in `docs/design.md`; the words are in
//! `docs/glossary.md`.

#![forbid(unsafe_code)]

pub mod adapters;
pub mod app;
pub mod domain;
pub mod policy;
pub mod ports;

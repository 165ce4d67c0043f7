//! Global traffic steering between callers and targets.
//!
//! Each service has a document, owned by its team, that declares the places
//! where the service runs, the weight of each place, and the places and targets
//! that are leaving. Savorybeam forwards every request to a healthy target and
//! shifts traffic within the agreed limits.
//!
//! # Structure
//!
//! * [`domain`] defines the values: ids, sizes, rates, times, documents.
//! * [`policy`] contains the decisions, such as how a target is chosen, how a
//!   limit is shared and when a request may be repeated. They are free of I/O:
//!   time and randomness are passed in, and they use neither sockets nor
//!   encodings.
//! * [`ports`] declares the interfaces to the outside that decisions and
//!   processes need, as plain structs of closures.
//! * [`adapters`] implements the ports: HTTP to callers and targets, gRPC
//!   between entries, the store's protocol, the clock, INI files.
//! * [`app`] assembles a running entry and contains the command line.
//!
//! `docs/design.md` explains the reasons for the structure, and
//! `docs/glossary.md` the terms.

#![forbid(unsafe_code)]

pub mod adapters;
pub mod app;
pub mod domain;
pub mod policy;
pub mod ports;

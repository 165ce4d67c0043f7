//! The ports, through which decisions and processes reach everything outside of
//! them.
//!
//! Each port is a plain struct of closures. A test passes closures over a map
//! or a list, a running entry passes closures over a connection, and neither
//! needs a hierarchy of traits. A dynamic call costs a few nanoseconds, which
//! is negligible compared to the I/O behind it.

pub mod admin;
mod changes;
mod clock;
mod events;
mod listeners;
mod platform;
mod quota;
mod store;
mod strikes;
mod targets;

use std::{future::Future, pin::Pin, sync::Arc};

pub use admin::AdminPort;
pub use changes::{AgedBatch, Changes, ChangesQuery, FetchError, FetchRequest};
pub use clock::Clock;
pub use events::{EventQuery, Events};
pub use listeners::{Listener, Listeners};
pub use platform::{
    Batch, Change, Lease, LeaseId, Platform, PlatformError, Poll, PolledBatch, VmSettings,
};
pub use quota::{QuotaCall, QuotaError, Quotas};
pub use store::{Record, Snapshot, Store, StoreError, Update, Write};
pub use strikes::{StrikeCall, StrikeError, Strikes};
pub use targets::{
    Body, InFlight, Outbound, ReuseCheck, SendCheck, SendError, SendStarted, Targets,
};

/// A boxed future, which every asynchronous operation of a port returns.
pub type Fut<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// An asynchronous operation of a port.
pub type Call<A, T> = Arc<dyn Fn(A) -> Fut<T> + Send + Sync>;

//! Time from outside.

use std::{fmt, sync::Arc};

use crate::domain::Millis;

/// The two clocks of a process.
///
/// Decisions use `now`, which never goes back. `wall` only labels events for
/// people, since the platform does not promise that it is right.
#[derive(Clone)]
pub struct Clock {
    /// Milliseconds since a fixed origin of this process.
    pub now: Arc<dyn Fn() -> Millis + Send + Sync>,
    /// Milliseconds since the Unix epoch.
    pub wall: Arc<dyn Fn() -> Millis + Send + Sync>,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Clock")
    }
}

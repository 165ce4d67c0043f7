//! The port to the clocks.

use std::{fmt, sync::Arc};

use crate::domain::Millis;

/// The two clocks of a process.
///
/// Decisions use `now`, which is monotonic. `wall` only labels events for
/// operators, because the platform does not guarantee that it is correct.
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

//! The monotonic clock and the wall clock of the operating system.

use std::{
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use crate::{domain::Millis, ports::Clock};

/// Returns the clocks. The monotonic clock `now` starts at 0 with this call.
#[must_use]
pub fn open() -> Clock {
    let origin = Instant::now();
    Clock {
        now: Arc::new(move || to_millis(origin.elapsed())),
        wall: Arc::new(|| {
            to_millis(
                SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default(),
            )
        }),
    }
}

fn to_millis(duration: std::time::Duration) -> Millis {
    Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

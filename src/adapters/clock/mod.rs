//! The clocks of the operating system.

use std::{
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use crate::{domain::Millis, ports::Clock};

/// Returns clocks whose `now` counts from this call.
#[must_use]
pub fn open() -> Clock {
    let origin = Instant::now();
    Clock {
        now: Arc::new(move || millis(origin.elapsed())),
        wall: Arc::new(|| {
            millis(
                SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default(),
            )
        }),
    }
}

fn millis(time: std::time::Duration) -> Millis {
    Millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

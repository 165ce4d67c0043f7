//! The users' platform behind [`ports::Platform`](crate::ports::Platform).
//!
//! This folder is the only place that knows the platform's names, formats and
//! calls. It decodes each of them once into the project's types and decides
//! nothing:
//!
//! * [`settings`] reads the settings file,
//! * [`store`] calls the metadata store,
//! * `items` reads what lies there: configurations, registrations, evacuations,
//! * [`headers`] and [`directory`] read and write what callers and targets see.
//!
//! See [docs/platform.md](../../../docs/platform.md).

pub mod directory;
pub mod headers;
mod items;
pub mod settings;
pub mod store;

use crate::domain::Millis;

/// Converts the platform's seconds. Negative and absurd values are faults of the
/// writer, not durations.
fn millis(seconds: f64) -> Option<Millis> {
    /// The longest duration that anything on the platform states, in seconds.
    const LONGEST_S: f64 = 1e6;
    let valid = (0.0..=LONGEST_S).contains(&seconds);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    valid.then(|| Millis((seconds * 1000.0).round() as u64))
}

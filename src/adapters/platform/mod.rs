//! The users' platform behind [`ports::Platform`](crate::ports::Platform).
//!
//! Only this module knows the names, formats and calls of the platform. It
//! converts them to and from the types of this project and makes no decisions:
//!
//! * [`settings`] reads the settings file,
//! * [`store`] calls the metadata store,
//! * `items` decodes its items: configurations, evacuations, registrations of
//!   targets and announcements of entries,
//! * `tenants` decodes the tenants of a configuration,
//! * `cutoff` tells whether an answer of the store may be incomplete,
//! * `era` reads the era of the store from its responses,
//! * [`headers`] reads and writes the headers of requests and responses,
//! * [`directory`] reads and writes lookups of callers.
//!
//! See [docs/platform.md](../../../docs/platform.md).

mod cutoff;
pub mod directory;
mod era;
pub mod headers;
mod items;
pub mod settings;
pub mod store;
mod tenants;

use crate::domain::Millis;

/// Converts a duration in seconds. Returns none for negative and implausibly
/// large values, which only a faulty writer produces.
fn seconds_to_millis(seconds: f64) -> Option<Millis> {
    /// An upper bound of all durations of the platform.
    const MAX_SECONDS: f64 = 1e6;
    let valid = (0.0..=MAX_SECONDS).contains(&seconds);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    valid.then(|| Millis((seconds * 1000.0).round() as u64))
}

/// Returns the start of a text for an error. Errors quote what they found, and an
/// item of the store may have 1 MB.
fn shorten(text: &str) -> String {
    const MAX_BYTES: usize = 300;
    if text.len() <= MAX_BYTES {
        return text.to_owned();
    }
    let end = (0..=MAX_BYTES).rev().find(|at| text.is_char_boundary(*at));
    format!("{}...", &text[..end.unwrap_or(0)])
}

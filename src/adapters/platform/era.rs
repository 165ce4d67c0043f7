//! Reads the era of the store from its responses.

use std::sync::{
    Mutex,
    atomic::{AtomicBool, Ordering::Relaxed},
};

use http::HeaderMap;

use crate::domain::{Era, lock};

/// The header of all responses that names the era.
const ERA: &str = "store-era";

/// The largest era that is believed. A larger one is no counter of drills, and
/// would make all later responses look outdated.
const ERA_MAX: Era = Era((1 << 53) - 1);

/// How much of an unreadable era an error quotes.
const QUOTE_MAX_CHARS: usize = 24;

/// The latest era that a response of the store has named, none if no response has.
#[derive(Debug, Default)]
pub(super) struct Eras {
    latest: Mutex<Option<Era>>,
    /// Whether a call has got no response since, so that the store may have come
    /// back in a later era.
    unsure: AtomicBool,
}

/// Why a response is of another time.
#[derive(Debug)]
pub(super) struct StaleEra {
    /// The era that the response names, or why it names none.
    pub cause: String,
    /// The latest era that was seen.
    pub latest: Era,
}

impl Eras {
    /// Returns the latest era.
    pub fn latest(&self) -> Era {
        self.known().unwrap_or_default()
    }

    fn known(&self) -> Option<Era> {
        *lock(&self.latest)
    }

    /// Records that a call got no response.
    pub fn record_failure(&self) {
        self.unsure.store(true, Relaxed);
    }

    /// Returns whether the store may be in a later era than the latest one, because
    /// a call has got no response since. A store that names no era has only one.
    pub fn is_unsure(&self) -> bool {
        self.unsure.load(Relaxed) && self.known().is_some()
    }

    /// Returns the era of a response and records it. A store that has never named
    /// its era is in the first one.
    ///
    /// # Errors
    ///
    /// Returns an error if a response before this one has named a later era, or if
    /// one has named any and this one does not.
    pub fn record(&self, head: &HeaderMap) -> Result<Era, StaleEra> {
        let mut known = lock(&self.latest);
        let Some(latest) = *known else {
            *known = read(head).ok();
            return Ok(known.unwrap_or_default());
        };
        let stale = |cause| StaleEra { cause, latest };
        let era = read(head).map_err(stale)?;
        if era < latest {
            return Err(stale(format!("era {era}")));
        }
        *known = Some(era);
        self.unsure.store(false, Relaxed);
        Ok(era)
    }
}

/// Reads the era from the head of a response.
fn read(head: &HeaderMap) -> Result<Era, String> {
    let mut values = head.get_all(ERA).iter();
    let value = values.next().ok_or("no era")?;
    if values.next().is_some() {
        return Err("more than one era".to_owned());
    }
    let text = String::from_utf8_lossy(value.as_bytes());
    let era = text.parse().ok().filter(|era| *era <= ERA_MAX);
    let is_number = text.bytes().all(|b| b.is_ascii_digit());
    let era = era.filter(|_| is_number);
    era.ok_or_else(|| {
        let start: String = text.chars().take(QUOTE_MAX_CHARS).collect();
        format!("an unreadable era, {start:?}")
    })
}

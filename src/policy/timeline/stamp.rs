//! Hybrid logical clocks.

use std::{fmt, str::FromStr};

use crate::domain::{EntryId, Millis, ParseError};

/// How far a received stamp may be ahead of the own wall clock.
///
/// A stamp that is further ahead is not adopted. Otherwise one entry with a
/// wrong wall clock would move the stamps of all entries, and they could not
/// return before real time catches up.
pub const AHEAD_MAX: Millis = Millis(60_000);

/// When an event happened, comparable between entries.
///
/// The order of the fields is the order of comparison. The entry makes stamps
/// unique, since two entries may have the same time and counter.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch, at least as great as in any stamp
    /// that this entry had seen.
    pub wall: Millis,
    /// Distinguishes events of the same millisecond.
    pub counter: u32,
    /// The entry that emitted the event.
    pub entry: EntryId,
}

const RULE: &str = "MILLISECONDS.COUNTER@ENTRY, as in 1764846202123.0@e1";

impl FromStr for Stamp {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let err = || ParseError::new("stamp", s, RULE);
        let (time, entry) = s.split_once('@').ok_or_else(err)?;
        let (wall, counter) = time.split_once('.').ok_or_else(err)?;
        Ok(Self {
            wall: Millis(number(wall).ok_or_else(err)?),
            counter: number(counter)
                .and_then(|n| u32::try_from(n).ok())
                .ok_or_else(err)?,
            entry: entry.parse().map_err(|_| err())?,
        })
    }
}

/// Parses digits only. The standard library also accepts `+5`, which would not
/// print the same.
fn number(s: &str) -> Option<u64> {
    let plain = s.bytes().all(|b| b.is_ascii_digit()) && (s == "0" || !s.starts_with('0'));
    if plain { s.parse().ok() } else { None }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}@{}", self.wall.0, self.counter, self.entry)
    }
}

/// The clock that gives an entry's events their stamps.
#[derive(Clone, Debug)]
pub struct HybridClock {
    entry: EntryId,
    wall: Millis,
    counter: u32,
}

impl HybridClock {
    /// Returns the clock of an entry that has emitted and received nothing.
    #[must_use]
    pub fn new(entry: EntryId) -> Self {
        Self {
            entry,
            wall: Millis::default(),
            counter: 0,
        }
    }

    /// Returns the stamp of a new event. It is greater than every stamp that
    /// this clock has returned or adopted, also if the wall clock went back.
    pub fn tick(&mut self, wall: Millis) -> Stamp {
        if wall > self.wall {
            self.wall = wall;
            self.counter = 0;
        } else {
            self.advance();
        }
        Stamp {
            wall: self.wall,
            counter: self.counter,
            entry: self.entry.clone(),
        }
    }

    /// Adopts a stamp that arrived with a message, so that later events of this
    /// entry sort after it. Returns whether the stamp was within [`AHEAD_MAX`].
    pub fn receive(&mut self, stamp: &Stamp, wall: Millis) -> bool {
        if stamp.wall > wall + AHEAD_MAX {
            return false;
        }
        if (stamp.wall, stamp.counter) > (self.wall, self.counter) {
            self.wall = stamp.wall;
            self.counter = stamp.counter;
        }
        true
    }

    fn advance(&mut self) {
        if let Some(next) = self.counter.checked_add(1) {
            self.counter = next;
        } else {
            self.wall = self.wall + Millis(1);
            self.counter = 0;
        }
    }
}

/// A time since the Unix epoch that prints as a date and time in UTC.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Utc(pub Millis);

impl fmt::Display for Utc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = self.0.0;
        let (days, rest) = (ms / 86_400_000, ms % 86_400_000);
        let (year, month, day) = date(days);
        let (hour, minute) = (rest / 3_600_000, rest / 60_000 % 60);
        let (second, ms) = (rest / 1_000 % 60, rest % 1_000);
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{ms:03}Z"
        )
    }
}

/// Converts days since the epoch to a date of the Gregorian calendar.
///
/// Years start in March here, so that the leap day is the last of a year. 400
/// years have 146,097 days, 100 years 36,524 and 4 years 1,461; five months from
/// March on have 153 days.
fn date(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    (year + era * 400 + u64::from(month <= 2), month, day)
}

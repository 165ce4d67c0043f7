//! Hybrid logical clocks and their timestamps.

use std::{fmt, str::FromStr};

use crate::domain::{EntryId, Millis, ParseError};

/// The maximum time by which a received stamp may be ahead of the local wall
/// clock.
///
/// A stamp that is further ahead is ignored. Otherwise one entry with a wrong
/// wall clock would advance the stamps of all entries, which would stay ahead
/// until real time catches up.
pub const MAX_CLOCK_SKEW: Millis = Millis(60_000);

/// A timestamp of a hybrid logical clock, comparable between entries.
///
/// Stamps are compared field by field, in the order of declaration. The entry
/// makes them unique, since two entries may have the same time and counter.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch. It is at least as great as in any
    /// stamp that the entry had emitted or received.
    pub wall_time: Millis,
    /// Orders events with the same wall time.
    pub counter: u32,
    /// The entry that emitted the event.
    pub entry: EntryId,
}

const STAMP_FORMAT: &str = "MILLISECONDS.COUNTER@ENTRY, as in 1764846202123.0@e1";

impl FromStr for Stamp {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let err = || ParseError::new("stamp", s, STAMP_FORMAT);
        let (time, entry) = s.split_once('@').ok_or_else(err)?;
        let (wall, counter) = time.split_once('.').ok_or_else(err)?;
        Ok(Self {
            wall_time: Millis(parse_canonical(wall).ok_or_else(err)?),
            counter: parse_canonical(counter)
                .and_then(|n| u32::try_from(n).ok())
                .ok_or_else(err)?,
            entry: entry.parse().map_err(|_| err())?,
        })
    }
}

/// Parses a number in the form in which it is printed, so that the text form of
/// a stamp is unique. The standard library also accepts `+5` and `05`.
fn parse_canonical(s: &str) -> Option<u64> {
    let canonical = s.bytes().all(|b| b.is_ascii_digit()) && (s == "0" || !s.starts_with('0'));
    if canonical { s.parse().ok() } else { None }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}@{}", self.wall_time.0, self.counter, self.entry)
    }
}

/// The hybrid logical clock of an entry, which issues the stamps of its events.
#[derive(Clone, Debug)]
pub struct HybridClock {
    entry: EntryId,
    wall_time: Millis,
    counter: u32,
}

impl HybridClock {
    /// Returns the clock of an entry that has not emitted or received a stamp.
    #[must_use]
    pub fn new(entry: EntryId) -> Self {
        Self {
            entry,
            wall_time: Millis::default(),
            counter: 0,
        }
    }

    /// Returns the stamp of a new event. It is greater than every stamp that
    /// this clock has returned or adopted, even if the wall clock was set back.
    pub fn tick(&mut self, wall_time: Millis) -> Stamp {
        if wall_time > self.wall_time {
            self.wall_time = wall_time;
            self.counter = 0;
        } else {
            self.increment();
        }
        Stamp {
            wall_time: self.wall_time,
            counter: self.counter,
            entry: self.entry.clone(),
        }
    }

    /// Advances the clock to a stamp that arrived with a message, so that later
    /// events of this entry sort after it. Ignores the stamp and returns false
    /// if it is ahead of the wall clock by more than [`MAX_CLOCK_SKEW`].
    pub fn receive(&mut self, stamp: &Stamp, wall_time: Millis) -> bool {
        if stamp.wall_time > wall_time + MAX_CLOCK_SKEW {
            return false;
        }
        if (stamp.wall_time, stamp.counter) > (self.wall_time, self.counter) {
            self.wall_time = stamp.wall_time;
            self.counter = stamp.counter;
        }
        true
    }

    fn increment(&mut self) {
        if let Some(next) = self.counter.checked_add(1) {
            self.counter = next;
        } else {
            self.wall_time = self.wall_time + Millis(1);
            self.counter = 0;
        }
    }
}

/// A time since the Unix epoch, displayed as a date and time in UTC.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Utc(pub Millis);

impl fmt::Display for Utc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = self.0.0;
        let (days, rest) = (ms / 86_400_000, ms % 86_400_000);
        let (year, month, day) = civil_date(days);
        let (hour, minute) = (rest / 3_600_000, rest / 60_000 % 60);
        let (second, ms) = (rest / 1_000 % 60, rest % 1_000);
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{ms:03}Z"
        )
    }
}

/// Converts days since the Unix epoch to a date of the Gregorian calendar.
///
/// The calculation starts years in March, so that the leap day is the last day
/// of a year. 400 years have 146,097 days, 100 years 36,524 and 4 years 1,461,
/// and five months from March on have 153 days.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    (year + era * 400 + u64::from(month <= 2), month, day)
}

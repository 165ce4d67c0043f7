//! Where the own part of an entry is.

use super::{DELEGATION, Echo};
use crate::domain::{EntryId, Millis};

/// The delegation of the own part of an entry.
#[derive(Clone, Debug, Default)]
pub struct Delegating {
    /// The entry to which the part was delegated last, and its run.
    granter: Option<(EntryId, u64)>,
    /// The time at which the last delegation has ended, by the clock of this entry.
    own_from: Millis,
    /// The latest time of a granter, and when its answer arrived.
    echo: Option<(EntryId, Echo, Millis)>,
}

impl Delegating {
    /// Delegates the own part with an ask that is sent now. Returns the time of the
    /// granter to send back, or none if the part cannot be delegated to it: no recent
    /// time of it is known, or the delegation to another one has not ended.
    pub fn delegate(&mut self, now: Millis, granter: &EntryId) -> Option<Echo> {
        let (known, echo, at) = self.echo.as_ref()?;
        if *at + DELEGATION <= now {
            return None;
        }
        let holder = (granter.clone(), echo.life);
        let is_free = now >= self.own_from || self.granter.as_ref() == Some(&holder);
        if known != granter || !is_free {
            return None;
        }
        let echo = *echo;
        self.granter = Some(holder);
        self.own_from = now + DELEGATION;
        Some(echo)
    }

    /// Records the time of a granter from its answer.
    pub fn record_echo(&mut self, now: Millis, granter: &EntryId, echo: Echo) {
        self.echo = Some((granter.clone(), echo, now));
    }

    /// Returns the run of the granter that answered last.
    pub fn life(&self) -> Option<u64> {
        self.echo.as_ref().map(|(_, echo, _)| echo.life)
    }

    /// Returns whether this entry may use its own part.
    #[must_use]
    pub fn is_own(&self, now: Millis) -> bool {
        now >= self.own_from
    }
}

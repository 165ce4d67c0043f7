//! The sequence by which an entry stops.

use crate::domain::Millis;

/// How long an announcement may take until the entry goes on without an
/// acknowledgement. A partition must not keep an entry from stopping.
const ANNOUNCE_LIMIT: Millis = Millis(3_000);

/// The time between announcements that nobody acknowledges.
const ANNOUNCE_RETRY: Millis = Millis(500);

/// The end of the linger time, when no caller holds an answer that names this
/// entry. It is the part of the linger time beyond the age of such answers.
const LAST: Millis = Millis(3_000);

/// Where an entry is in its stop sequence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Its peers are being told. It serves as before.
    Announcing,
    /// Its peers no longer name it to callers. It serves as before, because
    /// callers keep answers that name it.
    Lingering,
    /// It accepts no connection and finishes what runs.
    Finishing,
    /// Nothing runs.
    Stopped,
}

/// What the process has to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Tell the peers that this entry leaves, and report when they know.
    Announce,
    /// Take the connections that already wait and close the listener.
    StopAccepting,
    /// Return all units and exit.
    Exit,
}

/// An entry that stops.
///
/// Nothing in the sequence limits the time of a running request, since a planned
/// stop interrupts none.
#[derive(Clone, Debug)]
pub struct Stop {
    phase: Phase,
    linger: Millis,
    /// The next announcement, or the end of the linger time.
    next: Millis,
    /// The last instant at which an announcement is repeated.
    limit: Millis,
}

impl Stop {
    /// Begins to stop. The first step is to announce it. `linger` is the age
    /// that answers to callers may reach, and 3 s.
    #[must_use]
    pub fn begin(linger: Millis, now: Millis) -> (Self, Step) {
        let stop = Self {
            phase: Phase::Announcing,
            linger,
            next: now + ANNOUNCE_RETRY,
            limit: now + ANNOUNCE_LIMIT,
        };
        (stop, Step::Announce)
    }

    /// Returns the phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Notes that the peers know. From here on no new answer names this entry,
    /// so the linger time starts.
    pub fn announced(&mut self, now: Millis) {
        if self.phase == Phase::Announcing {
            self.phase = Phase::Lingering;
            self.next = now + self.linger;
        }
    }

    /// Returns the next step, if it is time for one. `running` counts requests
    /// from their first byte until the last byte of their response.
    pub fn tick(&mut self, running: u32, now: Millis) -> Option<Step> {
        match self.phase {
            Phase::Announcing if now >= self.limit => {
                self.announced(now);
                None
            }
            Phase::Announcing if now >= self.next => {
                self.next = now + ANNOUNCE_RETRY;
                Some(Step::Announce)
            }
            Phase::Lingering if now >= self.next => {
                self.phase = Phase::Finishing;
                Some(Step::StopAccepting)
            }
            Phase::Finishing if running == 0 => {
                self.phase = Phase::Stopped;
                Some(Step::Exit)
            }
            _ => None,
        }
    }

    /// Returns whether the entry accepts connections.
    #[must_use]
    pub fn accepts(&self) -> bool {
        matches!(self.phase, Phase::Announcing | Phase::Lingering)
    }

    /// Returns whether responses end their connection. Before the last part of
    /// the linger time a caller would only connect to this entry again.
    #[must_use]
    pub fn closes(&self, now: Millis) -> bool {
        match self.phase {
            Phase::Announcing => false,
            Phase::Lingering => now + LAST >= self.next,
            Phase::Finishing | Phase::Stopped => true,
        }
    }
}

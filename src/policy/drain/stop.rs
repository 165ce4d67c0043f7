//! The sequence of steps by which an entry stops.

use crate::domain::Millis;

/// How long an entry waits for its announcement to be acknowledged before it
/// continues without. A network partition must not keep an entry from stopping.
const ANNOUNCE_TIMEOUT: Millis = Millis(3_000);

/// The time between announcements while none is acknowledged.
const ANNOUNCE_INTERVAL: Millis = Millis(500);

/// The length of the last part of the linger time, in which no caller holds a
/// lookup answer that names this entry: the linger time exceeds the maximum
/// age of such answers by this much.
const CLOSING_TIME: Millis = Millis(3_000);

/// The phase of a stop sequence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The entry announces its stop to its peers and serves as before.
    Announcing,
    /// Its peers no longer name it to callers. It serves as before, because
    /// callers cache answers that name it.
    Lingering,
    /// It accepts no new connections and finishes the running requests.
    Finishing,
    /// No request is running.
    Stopped,
}

/// An action that the process has to take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Tell the peers that this entry is leaving, and call
    /// [`StopSequence::acknowledged`] when they know.
    Announce,
    /// Accept the connections that are already pending and close the listener.
    StopAccepting,
    /// Return all units of limits and exit.
    Exit,
}

/// The stop sequence of an entry.
///
/// It sets no time limit on running requests, since a planned stop does not
/// interrupt any.
#[derive(Clone, Debug)]
pub struct StopSequence {
    phase: Phase,
    linger: Millis,
    /// The time of the next announcement, or the end of the linger time.
    next_at: Millis,
    /// When the entry stops waiting for an acknowledgement.
    deadline: Millis,
}

impl StopSequence {
    /// Starts the sequence. The first step is the announcement. `linger` is the
    /// maximum age of lookup answers plus 3 s.
    #[must_use]
    pub fn begin(linger: Millis, now: Millis) -> (Self, Step) {
        let stop = Self {
            phase: Phase::Announcing,
            linger,
            next_at: now + ANNOUNCE_INTERVAL,
            deadline: now + ANNOUNCE_TIMEOUT,
        };
        (stop, Step::Announce)
    }

    /// Returns the phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Records that the peers know of the stop. From now on no new lookup
    /// answer names this entry, so the linger time starts.
    pub fn acknowledged(&mut self, now: Millis) {
        if self.phase == Phase::Announcing {
            self.phase = Phase::Lingering;
            self.next_at = now + self.linger;
        }
    }

    /// Returns the next step if it is due. `running` is the number of requests
    /// between their first byte and the last byte of their response.
    pub fn tick(&mut self, running: u32, now: Millis) -> Option<Step> {
        match self.phase {
            Phase::Announcing if now >= self.deadline => {
                self.acknowledged(now);
                None
            }
            Phase::Announcing if now >= self.next_at => {
                self.next_at = now + ANNOUNCE_INTERVAL;
                Some(Step::Announce)
            }
            Phase::Lingering if now >= self.next_at => {
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

    /// Returns whether the entry accepts new connections.
    #[must_use]
    pub fn accepts_connections(&self) -> bool {
        matches!(self.phase, Phase::Announcing | Phase::Lingering)
    }

    /// Returns whether the entry closes a connection after a response. Before
    /// the last part of the linger time a caller would only reconnect to this
    /// entry.
    #[must_use]
    pub fn closes_connections(&self, now: Millis) -> bool {
        match self.phase {
            Phase::Announcing => false,
            Phase::Lingering => now + CLOSING_TIME >= self.next_at,
            Phase::Finishing | Phase::Stopped => true,
        }
    }
}

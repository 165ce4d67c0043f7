//! The times of the chain from the store over a source to its followers.

use super::Trust;
use crate::domain::Millis;

/// The poll period of an entry without followers, as a fraction of the time
/// within which changes must take effect. The rest covers the call itself and a
/// second one after a refusal. The period is long because each call is charged
/// and the heartbeats of targets change the store all the time, so that a call
/// rarely waits for a change.
const POLL_FRACTION: f64 = 0.55;

/// The poll period of an entry with followers, as a fraction of the same time.
/// The rest has to cover the time until the followers notice that the entry is
/// silent.
const FOLLOWED_POLL_FRACTION: f64 = 0.3;

/// The age up to which changes from another entry are accepted, as a fraction
/// of the same time.
const MAX_AGE_FRACTION: f64 = 0.55;

/// How much longer than [`FOLLOWED_POLL_FRACTION`] another entry may wait for a
/// change before it answers.
const WAIT_MARGIN: Millis = Millis(300);

/// How long an entry that takes over waits for a change before it answers. Its
/// followers need its state within the bound also if nothing has changed, but with
/// 100 of them a shorter wait would load it.
const TAKEOVER_WAIT: Millis = Millis(200);

/// How long a reply of another entry may take beyond the time for which it waits
/// for changes. While a lost source is replaced, each further entry that is lost
/// costs its followers this time.
pub const REPLY_MARGIN: Millis = Millis(250);

/// The times that follow from the bound within which changes must take effect.
#[derive(Clone, Copy, Debug)]
pub struct ChainTimes {
    bound: Millis,
}

impl ChainTimes {
    /// Returns the times for a bound.
    #[must_use]
    pub fn new(bound: Millis) -> Self {
        Self { bound }
    }

    /// Returns the time from one poll of the store to the next.
    #[must_use]
    pub fn poll_period(self, is_followed: bool) -> Millis {
        self.bound.fraction(if is_followed {
            FOLLOWED_POLL_FRACTION
        } else {
            POLL_FRACTION
        })
    }

    /// Returns the age up to which the state of another entry is accepted.
    #[must_use]
    pub fn max_age(self) -> Millis {
        self.bound.fraction(MAX_AGE_FRACTION)
    }

    /// Returns how long another entry waits for a change before it answers an entry
    /// whose state has the given age.
    ///
    /// An outdated source must be noticed as soon as its state may be too old. An
    /// entry of which nothing is known answers at once, because a long wait cannot be
    /// told from silence.
    #[must_use]
    pub fn entry_wait(self, age: Millis, trust: Trust) -> Millis {
        match (trust, self.max_age() - age) {
            (Trust::Unknown, _) => Millis(0),
            (Trust::TakingOver(_), _) => TAKEOVER_WAIT,
            // It has to get new state itself first.
            (Trust::Settled, Millis(0)) => self.longest_wait(),
            (Trust::Settled, left) => self.longest_wait().min(left + WAIT_MARGIN),
        }
    }

    /// Returns whether an entry whose state is too old may still get a newer one. One
    /// that takes over may notice the loss of the source later than its followers, and
    /// then has to call the store.
    #[must_use]
    pub fn may_take_over(self, now: Millis, trust: Trust) -> bool {
        match trust {
            Trust::Settled => false,
            Trust::Unknown => true,
            Trust::TakingOver(since) => now < since + self.longest_wait(),
        }
    }

    fn longest_wait(self) -> Millis {
        self.bound.fraction(FOLLOWED_POLL_FRACTION) + WAIT_MARGIN
    }
}

//! Selection of the seed that an entry reads and follows while it knows no other entry
//! of its region.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::domain::{EntryId, Millis};

/// How long a starting entry asks seeds for the complete state before it reads the store.
/// If all entries start at the same moment, a seed has to read the store itself first.
/// Seeds that are down delay a start by this time.
const READ_PERIOD: Millis = Millis(1_500);

/// How long the store is polled after all seeds have failed in a row.
const FOLLOW_BACKOFF: Millis = Millis(2_000);

/// Selects among the seeds that the settings name. They may be down, or no longer exist.
///
/// An entry that has just started knows no other one. If each read the store then, a
/// start of all entries would cost a complete read and several polls for each of them.
/// With seeds these calls are made by the seeds alone.
#[derive(Clone, Debug, Default)]
pub struct SeedSelector {
    /// When a seed was first selected for a read.
    first_read: Option<Millis>,
    /// How many selected seeds have failed.
    failed: usize,
    /// How many of these have failed in a row.
    failed_since: usize,
    /// The instant until which no seed is followed.
    avoided_until: Millis,
}

impl SeedSelector {
    /// Selects a seed to read the complete state from, or none if this entry is a seed
    /// itself or if no seed has answered for too long. `own` is its address for peers.
    pub fn choose_read(
        &mut self,
        now: Millis,
        me: &EntryId,
        own: Option<SocketAddr>,
        seeds: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let first_read = *self.first_read.get_or_insert(now);
        if now >= first_read + READ_PERIOD {
            return None;
        }
        self.choose(me, own, seeds)
    }

    /// Selects a seed to follow, or none if this entry is a seed itself or if as many
    /// seeds as there are have just failed in a row.
    #[must_use]
    pub fn choose_follow(
        &self,
        now: Millis,
        me: &EntryId,
        own: Option<SocketAddr>,
        seeds: &[SocketAddr],
    ) -> Option<SocketAddr> {
        if now < self.avoided_until {
            return None;
        }
        self.choose(me, own, seeds)
    }

    /// Returns the seed whose turn it is. Each entry starts with another one, so that
    /// all seeds get about the same number of followers.
    fn choose(
        &self,
        me: &EntryId,
        own: Option<SocketAddr>,
        seeds: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let is_seed = own.is_some_and(|own| seeds.contains(&own));
        if is_seed || seeds.is_empty() {
            return None;
        }
        let count = seeds.len() as u64;
        let at = (xxh3_64(me.as_bytes()) % count + self.failed as u64) % count;
        usize::try_from(at).ok().map(|at| seeds[at])
    }

    /// Records that the selected one of `count` seeds failed. All of them are tried again
    /// later: a seed that has not read the store yet fails as well.
    pub fn record_failure(&mut self, now: Millis, count: usize) {
        self.failed += 1;
        self.failed_since += 1;
        if self.failed_since >= count {
            self.failed_since = 0;
            self.avoided_until = now + FOLLOW_BACKOFF;
        }
    }

    /// Records that the selected seed answered.
    pub fn record_answer(&mut self) {
        self.failed_since = 0;
    }
}

//! The roster: the entries that are homes of units and claims.
//!
//! A failure detector can be wrong, so membership alone never removes a seat. A
//! seat is removed when the platform reports that its VM is gone or leaving.
//! Two incarnations of one entry can each hold a seat for a while, because only
//! the platform can tell that the earlier one is gone.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use super::record::{Member, State};
use crate::domain::{AzName, EntryId, Epoch, Incarnation, Millis, RegionName};

/// The minimum time between two proposals of one entry.
const PROPOSAL_INTERVAL_MIN: Millis = Millis(2_000);

/// How long a change waits for others to join the same proposal, so that the
/// start of a rack creates one epoch instead of one per VM.
const BATCH_DELAY: Millis = Millis(500);

/// The additional wait per rank before an entry proposes in place of the lower
/// ranks, which may be unable to reach the store.
const RANK_DELAY: Millis = Millis(4_000);

/// The membership of one incarnation of an entry in the roster.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Seat {
    /// The entry.
    pub entry: EntryId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub az: AzName,
}

/// The roster as recorded in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Roster {
    /// The version of the roster, which each change raises by one.
    pub epoch: Epoch,
    /// The seats, sorted.
    pub seats: Vec<Seat>,
}

/// What the platform reports about one VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// The earliest incarnation that can still run on it, or zero if the
    /// platform does not report one.
    pub incarnation: Incarnation,
    /// Whether the platform is going to remove it.
    pub leaving: bool,
}

impl Vm {
    fn admits(&self, incarnation: Incarnation) -> bool {
        !self.leaving && incarnation >= self.incarnation
    }
}

/// Returns the roster that should follow `current`, or `None` if nothing
/// changes.
///
/// `live` yields the live members and `vms` is the platform's list. A member is
/// added only after the platform lists its VM, so that its later absence means
/// that the VM is gone and not that the list is out of date.
#[must_use]
pub fn next_roster<'a>(
    current: &Roster,
    live: impl Iterator<Item = &'a Member>,
    vms: &BTreeMap<EntryId, Vm>,
) -> Option<Roster> {
    let admitted = |entry: &EntryId, incarnation: Incarnation| {
        vms.get(entry).is_some_and(|vm| vm.admits(incarnation))
    };
    let kept = current.seats.iter().cloned();
    let joins = live
        .filter(|m| matches!(m.state, State::Alive | State::Suspect))
        .map(seat_of);
    let seats: BTreeSet<Seat> = kept
        .chain(joins)
        .filter(|s| admitted(&s.entry, s.incarnation))
        .collect();
    let seats: Vec<Seat> = seats.into_iter().collect();
    if seats == current.seats {
        return None;
    }
    Some(Roster {
        epoch: current.epoch.next(),
        seats,
    })
}

fn seat_of(member: &Member) -> Seat {
    Seat {
        entry: member.id.clone(),
        incarnation: member.incarnation,
        region: member.region.clone(),
        az: member.az.clone(),
    }
}

/// Returns the live members in the order in which they may propose the roster
/// after `epoch`, by rendezvous hash. The order changes with each epoch, so
/// that the work does not always fall to the same entry.
#[must_use]
pub fn proposers<'a>(epoch: Epoch, live: impl Iterator<Item = &'a Member>) -> Vec<&'a EntryId> {
    let mut ids: Vec<&EntryId> = live.map(|m| &m.id).collect();
    ids.sort_by_cached_key(|id| {
        let mut bytes = epoch.0.to_le_bytes().to_vec();
        bytes.extend(id.as_bytes());
        (xxh3_64(&bytes), (*id).clone())
    });
    ids
}

/// Decides when this entry may attempt a compare-and-swap of the roster.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Proposer {
    pending_since: Option<Millis>,
    last_proposal: Option<Millis>,
}

impl Proposer {
    /// Reports whether to propose now; if so, records the proposal. `rank` is
    /// this entry's position in [`proposers`], `pending` whether
    /// [`next_roster`] returns a change.
    pub fn due(&mut self, now: Millis, rank: usize, pending: bool) -> bool {
        if !pending {
            self.pending_since = None;
            return false;
        }
        let pending_since = *self.pending_since.get_or_insert(now);
        let rank = u64::try_from(rank).unwrap_or(u64::MAX);
        let turn = pending_since + Millis(RANK_DELAY.0.saturating_mul(rank)) + BATCH_DELAY;
        let interval_over = self
            .last_proposal
            .is_none_or(|at| now - at >= PROPOSAL_INTERVAL_MIN);
        let due = now >= turn && interval_over;
        if due {
            self.last_proposal = Some(now);
        }
        due
    }
}

//! The roster: which entries are homes of units and claims.
//!
//! A failure detector can be wrong, so a seat is never removed because of
//! membership alone. It is removed when the platform reports that its VM is
//! gone or leaving. Two incarnations of one entry can hold a seat each for a
//! while, because only the platform can say that the former one is gone.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use super::record::{Member, State};
use crate::domain::{AzName, EntryId, Epoch, Incarnation, Millis, RegionName};

/// The least time between two proposals of one entry.
const PROPOSAL_PERIOD: Millis = Millis(2_000);

/// How long a change waits for others, so that a rack that starts causes one
/// epoch instead of one per VM.
const BATCH_DELAY: Millis = Millis(500);

/// How much longer each further rank waits before it proposes in place of the
/// ranks before it, which may be cut off from the store.
const RANK_DELAY: Millis = Millis(4_000);

/// One incarnation of an entry in the roster.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Seat {
    /// The entry.
    pub entry: EntryId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub az: AzName,
}

/// The roster record of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Roster {
    /// The version, which each change raises by one.
    pub epoch: Epoch,
    /// The seats, in their order.
    pub seats: Vec<Seat>,
}

/// What the platform reports of one VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// The earliest incarnation that can still run on it, zero if the platform
    /// does not say.
    pub incarnation: Incarnation,
    /// Whether the platform will remove it.
    pub leaving: bool,
}

impl Vm {
    fn admits(&self, incarnation: Incarnation) -> bool {
        !self.leaving && incarnation >= self.incarnation
    }
}

/// Returns the roster that should follow `present`, or none if nothing changes.
///
/// `live` are the members in use and `vms` is the platform's list. A member
/// joins only after the platform lists its VM. Its later absence from the list
/// then means that it is gone, and not that the list lags.
#[must_use]
pub fn next_roster<'a>(
    present: &Roster,
    live: impl Iterator<Item = &'a Member>,
    vms: &BTreeMap<EntryId, Vm>,
) -> Option<Roster> {
    let admitted =
        |entry: &EntryId, life: Incarnation| vms.get(entry).is_some_and(|vm| vm.admits(life));
    let kept = present.seats.iter().cloned();
    let joins = live
        .filter(|m| matches!(m.state, State::Alive | State::Suspect))
        .map(seat);
    let seats: BTreeSet<Seat> = kept
        .chain(joins)
        .filter(|s| admitted(&s.entry, s.incarnation))
        .collect();
    let seats: Vec<Seat> = seats.into_iter().collect();
    if seats == present.seats {
        return None;
    }
    Some(Roster {
        epoch: present.epoch.next(),
        seats,
    })
}

fn seat(member: &Member) -> Seat {
    Seat {
        entry: member.id.clone(),
        incarnation: member.incarnation,
        region: member.region.clone(),
        az: member.az.clone(),
    }
}

/// Returns the live members in the order in which they may propose the roster
/// after `epoch`, by rendezvous hash. The order changes with each epoch, so that
/// no entry does this work for good.
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

/// Decides when this entry may try a compare-and-swap of the roster.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Proposer {
    since: Option<Millis>,
    last: Option<Millis>,
}

impl Proposer {
    /// Reports whether to propose now, and counts that as a proposal. `rank` is
    /// this entry's position in [`proposers`], `pending` whether
    /// [`next_roster`] returns a change.
    pub fn due(&mut self, now: Millis, rank: usize, pending: bool) -> bool {
        if !pending {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let rank = u64::try_from(rank).unwrap_or(u64::MAX);
        let turn = since + Millis(RANK_DELAY.0.saturating_mul(rank)) + BATCH_DELAY;
        let rested = self.last.is_none_or(|at| now - at >= PROPOSAL_PERIOD);
        let due = now >= turn && rested;
        if due {
            self.last = Some(now);
        }
        due
    }
}

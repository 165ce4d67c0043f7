//! The queue of records to piggyback on probes.

use std::collections::BTreeMap;

use super::record::Member;
use crate::domain::EntryId;

/// The maximum size of the records in one message, so that a probe fits in one
/// packet.
pub const UPDATE_BYTES_MAX: usize = 1_200;

/// How many times a record is sent, as a multiple of the binary logarithm of
/// the fleet size. According to the SWIM analysis, a factor of 3 leaves a
/// negligible probability that a member misses a record; the periodic sync
/// repairs that.
const RETRANSMIT_FACTOR: u32 = 3;

/// The urgency of a record. Urgent records are sent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Urgency {
    /// A member joined, left, failed or returned.
    High,
    /// Only the load changed, or the record comes from a comparison of views,
    /// in which case at least one peer already has it.
    Low,
}

#[derive(Clone, Debug)]
struct Item {
    urgency: Urgency,
    transmits: u32,
}

/// The members whose record is still to be sent, with the number of times it
/// was sent. The record itself is read when a message is built, so a newer
/// record needs no second item.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    items: BTreeMap<EntryId, Item>,
}

impl Queue {
    /// Schedules a member's record and resets its number of transmissions.
    pub(super) fn push(&mut self, id: &EntryId, urgency: Urgency) {
        let waiting = self.items.get(id).filter(|i| i.transmits == 0);
        let urgency = waiting.map_or(urgency, |i| i.urgency.min(urgency));
        self.items.insert(
            id.clone(),
            Item {
                urgency,
                transmits: 0,
            },
        );
    }

    /// Reports whether a member's record is scheduled.
    pub(super) fn contains(&self, id: &EntryId) -> bool {
        self.items.contains_key(id)
    }

    /// Sets the urgency of a scheduled record to [`Urgency::Low`].
    pub(super) fn lower_urgency(&mut self, id: &EntryId) {
        if let Some(item) = self.items.get_mut(id) {
            item.urgency = Urgency::Low;
        }
    }

    /// Removes a member's record from the queue.
    pub(super) fn remove(&mut self, id: &EntryId) {
        self.items.remove(id);
    }

    /// Adds records to `out` until the message is full: urgent ones first, then
    /// those that were sent least often. `record` returns a member's current
    /// record.
    pub(super) fn fill<'a>(
        &mut self,
        out: &mut Vec<Member>,
        member_count: usize,
        record: impl Fn(&EntryId) -> Option<&'a Member>,
    ) {
        let mut used: usize = out.iter().map(Member::size_bound).sum();
        let mut by_urgency: Vec<_> = self
            .items
            .iter()
            .map(|(id, i)| (i.urgency, i.transmits, id.clone()))
            .collect();
        by_urgency.sort();
        for (_, _, id) in by_urgency {
            if out.iter().any(|m| m.id == id) {
                continue;
            }
            let Some(member) = record(&id) else {
                self.items.remove(&id);
                continue;
            };
            if used + member.size_bound() > UPDATE_BYTES_MAX {
                break;
            }
            used += member.size_bound();
            out.push(member.clone());
            self.count_transmit(&id, member_count);
        }
    }

    fn count_transmit(&mut self, id: &EntryId, member_count: usize) {
        if let Some(item) = self.items.get_mut(id) {
            item.transmits += 1;
            if item.transmits >= retransmit_limit(member_count, item.urgency) {
                self.items.remove(id);
            }
        }
    }
}

/// Returns how many times each record is sent, given the size of the fleet.
fn retransmit_limit(member_count: usize, urgency: Urgency) -> u32 {
    let bits = (usize::BITS - member_count.leading_zeros()).max(1);
    match urgency {
        Urgency::High => RETRANSMIT_FACTOR * bits,
        // Load changes far more often than state. If these records were sent
        // `RETRANSMIT_FACTOR` times as often, the start of a whole fleet would
        // fill the messages for many minutes.
        Urgency::Low => bits,
    }
}

//! Records that wait to be piggybacked on probes.

use std::collections::BTreeMap;

use super::record::Member;
use crate::domain::EntryId;

/// The most bytes of records in one message, so that a probe fits one packet.
pub const UPDATE_BYTES: usize = 1_200;

/// How often a record is sent, as a multiple of the binary logarithm of the
/// fleet size. With a factor of 3 the SWIM analysis leaves a negligible chance
/// that a member misses a record, and the periodic sync repairs that.
const RETRANSMIT_FACTOR: u32 = 3;

/// How urgent a record is. The less urgent ones wait for the others.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Urgency {
    /// A member joined, left, failed or returned.
    High,
    /// Only the load changed, or the record comes from a comparison of views, so
    /// that at least one peer has had it for a while.
    Low,
}

#[derive(Clone, Debug)]
struct Item {
    urgency: Urgency,
    sent: u32,
}

/// The members whose record is still to be sent, with the number of times it
/// was sent. The record itself is read when a message is built, so a newer one
/// replaces an older one without a second entry.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    items: BTreeMap<EntryId, Item>,
}

impl Queue {
    /// Schedules a member's record, from the start.
    pub(super) fn push(&mut self, id: &EntryId, urgency: Urgency) {
        let waiting = self.items.get(id).filter(|i| i.sent == 0);
        let urgency = waiting.map_or(urgency, |i| i.urgency.min(urgency));
        self.items.insert(id.clone(), Item { urgency, sent: 0 });
    }

    /// Reports whether a member's record is scheduled.
    pub(super) fn contains(&self, id: &EntryId) -> bool {
        self.items.contains_key(id)
    }

    /// Makes a member's record less urgent.
    pub(super) fn defer(&mut self, id: &EntryId) {
        if let Some(item) = self.items.get_mut(id) {
            item.urgency = Urgency::Low;
        }
    }

    /// Drops a member's record.
    pub(super) fn remove(&mut self, id: &EntryId) {
        self.items.remove(id);
    }

    /// Adds records to `out` until the message is full, least often sent first.
    /// `fleet` is the number of members.
    pub(super) fn fill<'a>(
        &mut self,
        out: &mut Vec<Member>,
        fleet: usize,
        record: impl Fn(&EntryId) -> Option<&'a Member>,
    ) {
        let mut used: usize = out.iter().map(Member::size).sum();
        let mut order: Vec<_> = self
            .items
            .iter()
            .map(|(id, i)| (i.urgency, i.sent, id.clone()))
            .collect();
        order.sort();
        for (_, _, id) in order {
            if out.iter().any(|m| m.id == id) {
                continue;
            }
            let Some(member) = record(&id) else {
                self.items.remove(&id);
                continue;
            };
            if used + member.size() > UPDATE_BYTES {
                break;
            }
            used += member.size();
            out.push(member.clone());
            self.count(&id, fleet);
        }
    }

    fn count(&mut self, id: &EntryId, fleet: usize) {
        if let Some(item) = self.items.get_mut(id) {
            item.sent += 1;
            if item.sent >= retransmit_limit(fleet, item.urgency) {
                self.items.remove(id);
            }
        }
    }
}

/// Returns how many times each record is sent in a fleet of this size.
fn retransmit_limit(fleet: usize, urgency: Urgency) -> u32 {
    let bits = (usize::BITS - fleet.leading_zeros()).max(1);
    match urgency {
        Urgency::High => RETRANSMIT_FACTOR * bits,
        // Load changes far more often than state, and a start of the whole fleet
        // would otherwise keep messages full for many minutes.
        Urgency::Low => bits,
    }
}

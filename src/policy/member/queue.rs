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

/// How urgent a record is. Load reports wait until state changes are sent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Urgency {
    /// A member joined, left, failed or returned.
    State,
    /// Only the load changed.
    Load,
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
        Urgency::State => RETRANSMIT_FACTOR * bits,
        // Load changes far more often than state, and a missed report only
        // affects a ranking until the next one.
        Urgency::Load => bits,
    }
}

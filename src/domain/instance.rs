//! Registrations of targets.

use super::{
    AzName, InstanceId, Millis, Position, Revision, ServiceName, Slots, TargetId, word_enum,
};

word_enum!(
    /// Whether a target accepts new requests.
    InstanceState, "state of a target", "\"ready\" or \"draining\"",
    /// The target accepts new requests.
    #[default]
    Ready = "ready",
    /// The target is about to leave and accepts no new requests.
    Draining = "draining"
);

/// One run of a target, as the registry lists it.
///
/// A target is identified by its id and not by its address, because another
/// service may get the address after the target has stopped. See
/// [docs/platform.md](../../docs/platform.md).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// The id, which the target includes in its answers.
    pub id: InstanceId,
    /// The service that the target runs.
    pub service: ServiceName,
    /// The address at which the target accepts requests.
    pub addr: TargetId,
    /// The availability zone in which the target runs.
    pub az: AzName,
    /// The number of requests that the target runs concurrently.
    pub slots: Slots,
    /// Whether the target accepts new requests.
    pub state: InstanceState,
    /// How long the target stays cold after this state was registered.
    pub cold: Millis,
    /// The sequence number of this state of the registration, which the target
    /// increases.
    pub seq: u64,
    /// The position in the store's history at which this state was written, with
    /// the revision 0 if it is not known. It orders the states of a registration,
    /// because another writer may have set any sequence number.
    pub position: Position,
    /// The wall clock time at which the target started. A target may restart
    /// under the same id, and then has lost its former state.
    pub started_at: Option<Millis>,
}

impl Instance {
    /// Returns whether `other` is a heartbeat that differs only in its sequence
    /// number. Returns false for a cold target, because each of its heartbeats
    /// updates how long it stays cold.
    #[must_use]
    pub fn is_unchanged_in(&self, other: &Self) -> bool {
        let heartbeat = Self {
            seq: other.seq,
            position: other.position,
            ..self.clone()
        };
        heartbeat == *other && self.cold == Millis(0)
    }

    /// Returns whether this state of a registration was written before `known`.
    #[must_use]
    pub fn is_older_than(&self, known: &Self) -> bool {
        let is_known = |p: Position| p.revision > Revision(0);
        if is_known(self.position) && is_known(known.position) {
            self.position < known.position
        } else {
            self.precedes(known)
        }
    }

    /// Returns whether the target registered this state before `known`, as far as
    /// its own numbers say. They hold across the eras of the store, but another
    /// writer may have set any of them.
    #[must_use]
    pub fn precedes(&self, known: &Self) -> bool {
        (self.started_at, self.seq) < (known.started_at, known.seq)
    }
}

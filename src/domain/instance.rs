//! Targets as they register themselves.

use super::{AzName, InstanceId, Millis, ServiceName, Slots, TargetId, words};

words!(
    /// Whether a target takes new work.
    InstanceState, "state of a target", "\"ready\" or \"draining\"",
    /// It takes new work.
    #[default]
    Ready = "ready",
    /// It is about to leave and takes no new work.
    Draining = "draining"
);

/// One start of a target, as the registry lists it.
///
/// The id, not the address, identifies a target, because another service may
/// get the address once a target is gone. See
/// [docs/platform.md](../../docs/platform.md).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// The id, under which the target answers.
    pub id: InstanceId,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it accepts requests.
    pub addr: TargetId,
    /// Where it runs.
    pub az: AzName,
    /// How many requests it runs at the same time.
    pub slots: Slots,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// How much longer it is cold, from the moment of the registration.
    pub cold: Millis,
    /// The number of this state of the registration, which only grows.
    pub seq: u64,
    /// When it started, by the wall clock. A target may start again under the
    /// same id and then holds nothing of before.
    pub born: Option<Millis>,
}

impl Instance {
    /// Tells whether another state of the registration says the same of a target
    /// that is not cold. While it is cold, each state tells how much longer.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        let heartbeat = Self {
            seq: other.seq,
            ..self.clone()
        };
        heartbeat == *other && self.cold == Millis(0)
    }
}

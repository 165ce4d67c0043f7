//! What an entry knows of one service.

use std::collections::HashMap;

use crate::{
    domain::{Document, PlaceState, Revision, Slots, TargetId},
    policy::refusal::{Code, Refusal},
};

/// A document in force and the state of its targets. It sits in a shard, so the
/// shard's lock guards all of it.
#[derive(Clone, Debug)]
pub struct Service {
    /// The document.
    pub doc: Document,
    /// Its revision.
    pub revision: Revision,
    running: HashMap<TargetId, u32>,
}

impl Service {
    /// Returns the state of a service that is new here.
    #[must_use]
    pub fn new(doc: Document, revision: Revision) -> Self {
        Self {
            doc,
            revision,
            running: HashMap::new(),
        }
    }

    /// Puts a document in force if its revision is strictly greater.
    pub fn adopt(&mut self, doc: &Document, revision: Revision) {
        if revision > self.revision {
            self.doc = doc.clone();
            self.revision = revision;
        }
    }

    /// Picks a target and counts the request as running there.
    ///
    /// # Errors
    ///
    /// Refuses the request if every target that takes new work is full.
    pub fn start(&mut self) -> Result<TargetId, Refusal> {
        let load = |t: &TargetId| self.running.get(t).copied().unwrap_or(0);
        let places = self
            .doc
            .places
            .iter()
            .filter(|p| p.state == PlaceState::Active);
        let open = places.flat_map(|p| {
            let stays = p.targets.iter().filter(|t| !p.leaving.contains(t));
            stays.map(|t| (*t, p.slots))
        });
        let Some((target, slots)) = open.min_by_key(|(t, _)| load(t)) else {
            return Err(Refusal::not_run(Code::NoTarget, "no target takes new work"));
        };
        if Slots(load(&target)) >= slots {
            return Err(Refusal::not_run(Code::Overloaded, "every slot is taken"));
        }
        *self.running.entry(target).or_default() += 1;
        Ok(target)
    }

    /// Counts a request as ended.
    pub fn end(&mut self, target: TargetId) {
        if let Some(n) = self.running.get_mut(&target) {
            *n = n.saturating_sub(1);
        }
    }
}

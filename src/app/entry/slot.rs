//! Slots of targets in use.

use std::{fmt, sync::Arc};

use tokio::sync::oneshot;

use crate::{
    domain::{Lane, Millis, ServiceName, TargetId},
    policy::{
        limit::Permit,
        target::{Choice, Completion},
    },
    ports::InFlight,
};

/// What becomes of a slot that is given back.
pub(super) type Back = Arc<dyn Fn(Used) + Send + Sync>;

/// A slot that is given back, with what it was used for.
#[derive(Debug)]
pub(super) struct Used {
    /// The service.
    pub service: ServiceName,
    /// The route under which the duration is learned.
    pub route: String,
    /// The lane.
    pub lane: Lane,
    /// The target and its place.
    pub choice: Choice,
    /// The right to use the slot.
    pub permit: Permit,
    /// When the slot was taken.
    pub started: Millis,
    /// How long the head of the answer took, if it arrived.
    pub head: Option<Millis>,
    /// How the request ended.
    pub finish: Completion,
}

/// A target's slot in use by one request.
///
/// Dropping it gives the slot back, whatever the reason. A cancelled request
/// gives it back as soon as the target has stopped working on it.
pub(super) struct Slot {
    used: Option<Used>,
    target: Choice,
    /// Resolves when the target has ended the request, once it was sent.
    ended: Option<oneshot::Receiver<()>>,
    back: Back,
}

impl fmt::Debug for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Slot({:?})", self.used)
    }
}

impl Slot {
    /// Returns a slot that goes to `back` in the end. It counts as cancelled until
    /// something else is noted.
    pub fn new(used: Used, back: Back) -> Self {
        Self {
            target: used.choice.clone(),
            used: Some(used),
            ended: None,
            back,
        }
    }

    /// Returns the target and its place.
    pub fn choice(&self) -> &Choice {
        &self.target
    }

    /// Returns the target.
    pub fn target(&self) -> TargetId {
        self.target.target
    }

    /// Returns what the adapter holds as long as the target may work on the
    /// request.
    pub fn hold(&mut self) -> InFlight {
        let (hold, ended) = oneshot::channel();
        self.ended = Some(ended);
        Arc::new(hold)
    }

    /// Names the route under which the duration is learned.
    pub fn set_route(&mut self, route: &str) {
        if let Some(used) = &mut self.used {
            route.clone_into(&mut used.route);
        }
    }

    /// Notes that the head of the answer arrived.
    pub fn answered(&mut self, now: Millis) {
        if let Some(used) = &mut self.used {
            used.head = Some(now - used.started);
        }
    }

    /// Notes how the request ended. Without this it counts as cancelled.
    pub fn finish(&mut self, finish: Completion) {
        if let Some(used) = &mut self.used {
            used.finish = finish;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(used) = self.used.take() else {
            return;
        };
        let back = self.back.clone();
        match self.ended.take() {
            Some(ended) if used.finish == Completion::Cancelled => {
                // The target runs a cancelled request until it sees the connection
                // close. The next request would be one too many before that.
                tokio::spawn(async move {
                    let _ = ended.await;
                    back(used);
                });
            }
            _ => back(used),
        }
    }
}

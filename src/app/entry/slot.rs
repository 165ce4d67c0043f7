//! Slots of targets that are in use by requests.

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

/// The function that a slot calls when it is released.
pub(super) type OnRelease = Arc<dyn Fn(SlotUse) + Send + Sync>;

/// The use of a slot, which is recorded when the slot is released.
#[derive(Debug)]
pub(super) struct SlotUse {
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
    pub taken_at: Millis,
    /// How long the head of the answer took, if it arrived.
    pub head_time: Option<Millis>,
    /// How the request ended.
    pub completion: Completion,
}

/// A slot of a target that is in use by one request.
///
/// Dropping it releases the slot. If the request was cancelled, the slot is
/// released only when the target has stopped working on the request.
pub(super) struct Slot {
    usage: Option<SlotUse>,
    choice: Choice,
    /// Resolves when the target has ended the request. Set when the request is
    /// sent.
    ended: Option<oneshot::Receiver<()>>,
    on_release: OnRelease,
}

impl fmt::Debug for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Slot({:?})", self.usage)
    }
}

impl Slot {
    /// Returns a slot that is passed to `on_release` when it is dropped. The
    /// request counts as cancelled until another end is set.
    pub fn new(usage: SlotUse, on_release: OnRelease) -> Self {
        Self {
            choice: usage.choice.clone(),
            usage: Some(usage),
            ended: None,
            on_release,
        }
    }

    /// Returns the target and its place.
    pub fn choice(&self) -> &Choice {
        &self.choice
    }

    /// Returns the target.
    pub fn target(&self) -> TargetId {
        self.choice.target
    }

    /// Returns a guard that the adapter holds as long as the target may work on
    /// the request.
    pub fn hold(&mut self) -> InFlight {
        let (hold, ended) = oneshot::channel();
        self.ended = Some(ended);
        Arc::new(hold)
    }

    /// Sets the route under which the duration is learned.
    pub fn set_route(&mut self, route: &str) {
        if let Some(usage) = &mut self.usage {
            route.clone_into(&mut usage.route);
        }
    }

    /// Records the time at which the head of the answer arrived.
    pub fn set_head_time(&mut self, now: Millis) {
        if let Some(usage) = &mut self.usage {
            usage.head_time = Some(now - usage.taken_at);
        }
    }

    /// Sets how the request ended. Without this call it counts as cancelled.
    pub fn set_completion(&mut self, completion: Completion) {
        if let Some(usage) = &mut self.usage {
            usage.completion = completion;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(usage) = self.usage.take() else {
            return;
        };
        let on_release = self.on_release.clone();
        match self.ended.take() {
            Some(ended) if usage.completion == Completion::Cancelled => {
                // The target works on a cancelled request until it sees that
                // the connection is closed. Another request before that would
                // exceed its slots.
                tokio::spawn(async move {
                    let _ = ended.await;
                    on_release(usage);
                });
            }
            _ => on_release(usage),
        }
    }
}

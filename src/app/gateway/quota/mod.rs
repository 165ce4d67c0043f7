//! Quotas of workspaces: the tokens that requests need, and the answers to other
//! entries.
//!
//! [`Admission`] is the token of one request. [`rounds`] is the task that asks for
//! tokens. See [docs/design/quotas.md](../../../../docs/design/quotas.md).

mod admission;
mod rounds;

use std::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
};

use tokio::sync::{Notify, watch};

pub(super) use self::{admission::Admission, rounds::run};
use super::{State, now};
use crate::{
    domain::{EntryId, Millis, WorkspaceName, lock},
    policy::quota::{Answer, Ask, Granter, HandStatus, Holder, Room, Shortage, Token},
};

/// The tokens and the parts of quotas that this entry holds. The lock of the granter is
/// held for one decision and never together with another.
#[derive(Debug)]
pub(super) struct Quotas {
    holder: Holder,
    granter: Mutex<Granter>,
    /// Wakes the task that asks for tokens.
    wake: Notify,
    /// The number of rounds that have begun.
    begun: AtomicU64,
    /// The number of rounds that have ended.
    ended: watch::Sender<u64>,
    /// Whether the latest round reached the granter of the region.
    is_reached: AtomicBool,
}

impl Quotas {
    pub fn new(me: &EntryId) -> Self {
        Self {
            holder: Holder::default(),
            granter: Mutex::new(Granter::new(me, rand::random())),
            wake: Notify::new(),
            begun: AtomicU64::new(0),
            ended: watch::Sender::new(0),
            is_reached: AtomicBool::new(false),
        }
    }

    /// Wakes the task after the configuration has changed.
    pub fn notify(&self) {
        self.wake.notify_one();
    }

    fn granter(&self) -> MutexGuard<'_, Granter> {
        lock(&self.granter)
    }

    /// Takes a token that is at hand, or one of the parts that this entry holds.
    fn take(&self, now: Millis, name: &WorkspaceName) -> Option<Token> {
        let token = self.holder.take(now, name);
        token.or_else(|| {
            let is_taken = self.granter().take(now, name);
            is_taken.then(|| Token::own(now))
        })
    }

    /// Returns when a workspace has room again, if its quota is known to be used up.
    fn exhaustion(&self, now: Millis, name: &WorkspaceName) -> Option<Room> {
        match self.holder.shortage(now, name) {
            Shortage::Exhausted(room) => Some(room),
            Shortage::Unknown if self.is_reached.load(Relaxed) => {
                self.granter().exhaustion(now, name)
            }
            Shortage::Pending | Shortage::Unknown => None,
        }
    }

    /// Returns the usage of a workspace at this entry, and when it has room again if its
    /// quota is known to be used up.
    pub fn status(&self, now: Millis, name: &WorkspaceName) -> (HandStatus, Option<Room>) {
        (self.holder.status(now, name), self.exhaustion(now, name))
    }

    /// Returns whether a granter still asks others for tokens of a workspace.
    fn is_pending(&self, now: Millis, name: &WorkspaceName) -> bool {
        self.holder.shortage(now, name) == Shortage::Pending || self.granter().is_pending(now, name)
    }
}

/// Answers another entry.
pub(super) fn answer(state: &State, ask: &Ask) -> Answer {
    let (quotas, at) = (state.quotas(), now(state));
    let (answer, is_short) = {
        let mut granter = quotas.granter();
        (granter.answer(at, ask), granter.is_short(at))
    };
    if is_short {
        quotas.wake.notify_one();
    }
    answer
}

//! Keeps answers within the capacity of the link that they cross.
//!
//! Every frame of an answer from another region takes its bits from the shared
//! limit of the link before it is passed on. A frame without capacity waits, and
//! meanwhile the target is not read from, so TCP slows it down. Frames of short
//! work look for capacity more often than those of long work, which lets short
//! answers pass large downloads. See
//! [docs/design.md](../../../docs/design.md), section 3.6.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use tokio::time::Sleep;

use super::State;
use crate::{
    domain::{Lane, LimitName, Millis},
    policy::limit::LINK_CHUNK_BITS,
};

/// How long short work waits until it asks for capacity again.
const SHORT_WAIT: Millis = Millis(1);

/// How long long work waits.
const LONG_WAIT: Millis = Millis(5);

/// The pace of one answer.
#[derive(Debug)]
pub(super) struct Pacer {
    state: Arc<State>,
    link: LimitName,
    wait: Millis,
    /// Bits of the present frame that have no capacity yet.
    owed: u64,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl Pacer {
    /// Returns the pacer of an answer that crosses a link.
    pub fn new(state: &Arc<State>, link: LimitName, lane: Lane) -> Self {
        Self {
            state: state.clone(),
            link,
            wait: match lane {
                Lane::Short => SHORT_WAIT,
                Lane::Long => LONG_WAIT,
            },
            owed: 0,
            sleep: None,
        }
    }

    /// Adds a frame that is to be passed on.
    pub fn add(&mut self, bytes: usize) {
        self.owed = self.owed.saturating_add(bytes as u64 * 8);
    }

    /// Returns ready when everything that was added has its capacity.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(sleep) = &mut self.sleep {
                if sleep.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                self.sleep = None;
            }
            if self.take() {
                return Poll::Ready(());
            }
            self.sleep = Some(Box::pin(tokio::time::sleep(self.wait.duration())));
        }
    }

    /// Takes capacity for as much as possible, in the largest amounts that the
    /// limit admits at once. Returns whether all is taken.
    fn take(&mut self) -> bool {
        while self.owed > 0 {
            let part = self.owed.min(LINK_CHUNK_BITS);
            if !self.state.admit_amount(&self.link, part) {
                return false;
            }
            self.owed -= part;
        }
        true
    }
}

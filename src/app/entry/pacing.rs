//! Paces answers to the capacity of the link that they cross.
//!
//! Each frame of an answer from another region takes its bits from the shared
//! limit of the link before it is passed on. While a frame waits for capacity,
//! nothing is read from the target, so TCP flow control slows the target down.
//! Frames of the short lane check for capacity more often than those of the
//! long lane, so short answers overtake large downloads. See
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

/// The interval at which an answer of the short lane checks for capacity.
const SHORT_LANE_POLL: Millis = Millis(1);

/// The interval at which an answer of the long lane checks for capacity.
const LONG_LANE_POLL: Millis = Millis(5);

/// Paces one answer.
#[derive(Debug)]
pub(super) struct Pacer {
    state: Arc<State>,
    link: LimitName,
    poll_interval: Millis,
    /// Bits of the current frame that have no capacity yet.
    pending_bits: u64,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl Pacer {
    /// Returns the pacer of an answer that crosses a link.
    pub fn new(state: &Arc<State>, link: LimitName, lane: Lane) -> Self {
        Self {
            state: state.clone(),
            link,
            poll_interval: match lane {
                Lane::Short => SHORT_LANE_POLL,
                Lane::Long => LONG_LANE_POLL,
            },
            pending_bits: 0,
            sleep: None,
        }
    }

    /// Adds the size of a frame that is to be passed on.
    pub fn add(&mut self, bytes: usize) {
        self.pending_bits = self.pending_bits.saturating_add(bytes as u64 * 8);
    }

    /// Returns ready when there was capacity for everything that was added.
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
            self.sleep = Some(Box::pin(tokio::time::sleep(self.poll_interval.duration())));
        }
    }

    /// Takes capacity for as many bits as possible, in the largest chunks that
    /// the limit admits at once. Returns whether no bits are left.
    fn take(&mut self) -> bool {
        while self.pending_bits > 0 {
            let chunk = self.pending_bits.min(LINK_CHUNK_BITS);
            if !self.state.admit_amount(&self.link, chunk) {
                return false;
            }
            self.pending_bits -= chunk;
        }
        true
    }
}

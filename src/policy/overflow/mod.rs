//! Which part of a region's requests runs in other regions.
//!
//! A region with more callers than slots hands work over. Callers' load moves
//! quickly, but the part that changes region may only move slowly, or caches in
//! both regions go cold at once. [`Overflow`] therefore keeps the part that is
//! handed over as state of its own. It follows what the requests would choose
//! freely, at a bounded slope, both ways.
//!
//! Whole objects are handed over, those whose hash lies below the part, so that
//! a target elsewhere gets all requests for an object and keeps it warm. Entries
//! with the same part hand over the same objects. Requests without an object are
//! assigned by carrying the remainder from one to the next. When targets of the
//! region are lost the slope does not bind, since waiting for it would fail
//! requests.

use crate::domain::Millis;

/// The window in which the users measure shifts.
const WINDOW_MS: f64 = 2_000.0;

/// The part of the users' cap that the slope uses. The rest is for chance: a
/// window holds a few hundred requests.
const CAP_USED: f64 = 0.4;

/// How long a request's free choice counts.
const MEMORY_MS: f64 = 700.0;

/// The part of one service's requests that leaves the region.
#[derive(Clone, Debug, Default)]
pub struct Overflow {
    /// The part that is handed over now.
    part: f64,
    /// The part that would leave if the slope did not bind.
    wanted: f64,
    /// The remainder of requests without an object.
    owed: f64,
    updated: Millis,
}

/// What a request would choose if it were free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wish {
    /// To stay in the region.
    Stay,
    /// To run in another region.
    Leave,
}

impl Overflow {
    /// Returns the state of a region that hands over a part from the start.
    #[must_use]
    pub fn new(part: f64) -> Self {
        let part = part.clamp(0.0, 1.0);
        Self {
            part,
            wanted: part,
            ..Self::default()
        }
    }

    /// Assigns a request. `place` is where its object lies between 0 and 1, if
    /// it has one, `cap` the largest part that may change region from one window
    /// to the next; `lost` says that the region has just lost targets.
    pub fn assign(
        &mut self,
        now: Millis,
        wish: Wish,
        place: Option<f64>,
        cap: f64,
        lost: bool,
    ) -> Wish {
        self.follow(now, wish, cap, lost);
        if lost {
            return wish;
        }
        let leaves = match place {
            Some(place) => place < self.part,
            None => self.carry(),
        };
        if leaves { Wish::Leave } else { Wish::Stay }
    }

    fn carry(&mut self) -> bool {
        self.owed += self.part;
        let leaves = self.owed >= 1.0;
        if leaves {
            self.owed -= 1.0;
        }
        leaves
    }

    /// Returns the part that is handed over now.
    #[must_use]
    pub fn part(&self) -> f64 {
        self.part
    }

    fn follow(&mut self, now: Millis, wish: Wish, cap: f64, lost: bool) {
        #[expect(clippy::cast_precision_loss)]
        let passed = ((now - self.updated).0 as f64).min(WINDOW_MS);
        self.updated = now;
        let aim = f64::from(u8::from(wish == Wish::Leave));
        // Each request counts a little even if several arrive at once.
        let gain = (passed / MEMORY_MS).clamp(0.02, 0.2);
        self.wanted += (aim - self.wanted) * gain;
        if lost {
            self.part = self.wanted;
            return;
        }
        let slope = cap * CAP_USED * passed / WINDOW_MS;
        self.part += (self.wanted - self.part).clamp(-slope, slope);
    }
}

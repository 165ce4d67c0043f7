//! Overflow: the fraction of a region's requests that runs in other regions.
//!
//! A region whose callers need more slots than its targets have sends requests to
//! other regions. The need changes quickly, but the overflow fraction must change
//! slowly, or else caches in both regions go cold at once. [`Overflow`] therefore keeps
//! this fraction as state, which changes with a limited slope.
//!
//! The fraction follows a plan: what the callers of the whole region ask for, in slots,
//! against the slots of its targets ([`SlotDemand`]). All entries of a region exchange
//! their parts of the demand ([`demand`](super::demand)), so that they have the same
//! plan. The load of the local targets is not followed: cold caches raise it several
//! times while the demand stays the same, and each entry sees another part of it. That
//! of the other regions, averaged over the entries, says how full the region may be
//! besides. Preferences of individual requests count only until the demand is known:
//! near full load half of them prefer another region in each of two regions that are
//! equally full.
//!
//! Overflow moves whole objects, those whose hash position is below the
//! fraction, so that a target in another region gets all requests for an object
//! and keeps it warm. Entries with the same fraction move the same objects.
//! Requests without an object are assigned by accumulating the fraction and
//! carrying the remainder to the next request. When a large part of the region's slots
//! is lost, the fraction grows at once as far as requests would fail otherwise, which
//! [`Overflow`] bounds by what was lost. Own preferences have no part in it: with a
//! drain, all entries of a region lose the same slots at the same moment, and would move
//! half of their requests.

mod sides;

pub use sides::Sides;

use crate::domain::Millis;

/// The window over which users measure how much traffic changes region.
const SHIFT_WINDOW_MS: f64 = 2_000.0;

/// The smallest fraction of the users' cap that the slope uses. The rest is a
/// margin for random variation, since a window may hold only a few hundred
/// requests.
const CAP_FRACTION_MIN: f64 = 0.4;

/// The largest fraction of the users' cap that the slope uses.
const CAP_FRACTION_MAX: f64 = 0.8;

/// The margin for random variation, in standard deviations of the change from
/// one window to the next.
const VARIATION_MARGIN: f64 = 2.5;

/// The requests per slot that a region keeps. Objects are spread unevenly over the
/// targets, so that queues form at some of them long before all slots are taken.
const SLOT_LOAD_GOAL: f64 = 0.7;

/// The requests per slot up to which the targets that are left after a loss of slots
/// run the requests of the region, until its share has followed the plan at the limited
/// slope. Fuller targets refuse requests.
const REDUCED_SLOT_LOAD_MAX: f64 = 1.0;

/// How much fuller than the other regions the local one may be. The loads are
/// averages over few reports, and two full regions that follow every difference
/// exchange their requests.
const LOAD_TOLERANCE: f64 = 1.25;

/// The time constant of the moving average of the requests' preferences.
const PREFERENCE_DECAY_MS: f64 = 700.0;

/// The overflow state of one service in one region.
#[derive(Clone, Debug, Default)]
pub struct Overflow {
    /// The fraction of requests that currently runs in other regions.
    fraction: f64,
    /// The recent fraction of requests that would cost less in another region.
    preferred_fraction: f64,
    /// The accumulated fraction of requests without an object.
    remainder: f64,
    /// Whether the demand has been known. If it no longer is, the fraction stays.
    planned: bool,
    /// The fraction and the needed slots before the present loss of slots, if there is
    /// one.
    before_loss: Option<(f64, Option<f64>)>,
    updated: Millis,
}

/// The loads of the targets of a region and of the other regions, in requests per
/// slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotLoads {
    /// The load of the local region.
    pub local: f64,
    /// The average load of the other regions.
    pub others: f64,
}

/// The slots that a region's callers need of a service, against those of its targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotDemand {
    /// The slots that the requests of all callers of the region need, if that is
    /// known.
    pub needed: Option<f64>,
    /// The slots of the region's targets.
    pub available: f64,
    /// The load of the local region as this entry knows it, which is only logged, and
    /// that of the others as the entries of the region know it on average.
    pub loads: SlotLoads,
    /// Whether objects are still cold after a start, so that requests take longer than
    /// the demand says.
    pub cold: bool,
}

/// What limits how fast requests may change their region.
#[derive(Clone, Copy, Debug)]
pub struct ShiftLimit {
    /// The largest fraction that may change region from one window to the next.
    pub cap: f64,
    /// The estimated number of the region's requests in a window.
    pub requests: f64,
    /// The fraction of the region's slots that it has just lost, or zero if that is too
    /// small to lift the limit.
    pub lost: f64,
}

impl ShiftLimit {
    /// Returns whether the fraction may grow at once.
    #[must_use]
    pub fn is_lifted(&self) -> bool {
        self.lost > 0.0
    }
}

/// The placement of a request, with the state that decided on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Split {
    /// Where the request was placed. It may run on the other side, see [`Sides`].
    pub placement: Placement,
    /// The fraction of requests that runs in other regions.
    pub fraction: f64,
    /// Whether the slope limit was lifted, so that the fraction could grow at once.
    pub lifted: bool,
    /// The demand behind the fraction.
    pub demand: SlotDemand,
}

/// Where a request runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// In the local region.
    Local,
    /// In another region.
    Remote,
}

impl Overflow {
    /// Returns the state of a region with an initial overflow fraction.
    #[must_use]
    pub fn new(fraction: f64) -> Self {
        let fraction = fraction.clamp(0.0, 1.0);
        Self {
            fraction,
            preferred_fraction: fraction,
            ..Self::default()
        }
    }

    /// Returns the state of an entry that begins with the overflow fraction of its
    /// region. From then on it changes with the limited slope.
    #[must_use]
    pub fn adopt(now: Millis, fraction: f64) -> Self {
        Self {
            updated: now,
            ..Self::new(fraction)
        }
    }

    /// Decides where a request runs. `preferred` is the placement with the
    /// lower cost, `hash_position` the position of the request's object from 0
    /// to 1, if it has one.
    pub fn assign(
        &mut self,
        now: Millis,
        preferred: Placement,
        demand: SlotDemand,
        hash_position: Option<f64>,
        limit: ShiftLimit,
    ) -> Placement {
        self.update_fraction(now, preferred, demand, limit);
        let is_remote = match hash_position {
            Some(hash_position) => hash_position < self.fraction,
            None => self.assign_by_remainder(),
        };
        if is_remote {
            Placement::Remote
        } else {
            Placement::Local
        }
    }

    fn assign_by_remainder(&mut self) -> bool {
        self.remainder += self.fraction;
        let is_remote = self.remainder >= 1.0;
        if is_remote {
            self.remainder -= 1.0;
        }
        is_remote
    }

    /// Returns the fraction of requests that currently runs in other regions.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    fn update_fraction(
        &mut self,
        now: Millis,
        preferred: Placement,
        demand: SlotDemand,
        limit: ShiftLimit,
    ) {
        #[expect(clippy::cast_precision_loss)]
        let elapsed_ms = ((now - self.updated).0 as f64).min(SHIFT_WINDOW_MS);
        self.updated = now;
        let goal = f64::from(u8::from(preferred == Placement::Remote));
        // Each request has a minimum weight, even if several arrive at once.
        let gain = (elapsed_ms / PREFERENCE_DECAY_MS).clamp(0.02, 0.2);
        self.preferred_fraction += (goal - self.preferred_fraction) * gain;
        self.apply_loss(demand, limit);
        let desired = match demand.planned_fraction() {
            Some(planned) if demand.cold => planned.max(self.fraction),
            Some(planned) => planned,
            None if self.planned => self.fraction,
            None => self.agreed_fraction(),
        };
        self.planned |= demand.needed.is_some();
        let slope = limit.cap * elapsed_ms / SHIFT_WINDOW_MS * cap_fraction(limit);
        self.fraction += (desired - self.fraction).clamp(-slope, slope);
    }

    /// Raises the fraction at once after a loss of slots, to the one at which the
    /// targets that are left can run the rest of the demand before the loss: refused
    /// requests that are sent again raise the demand after it. If the demand was not
    /// known, that is the fraction of requests that prefer another region. In both cases
    /// it is at most the one at which these targets have as many requests per slot as
    /// before the loss.
    fn apply_loss(&mut self, demand: SlotDemand, limit: ShiftLimit) {
        if !limit.is_lifted() {
            self.before_loss = None;
            return;
        }
        let before = self
            .before_loss
            .get_or_insert((self.fraction, demand.needed));
        let (fraction, needed) = *before;
        let largest = 1.0 - (1.0 - fraction) * (1.0 - limit.lost);
        let demand = SlotDemand { needed, ..demand };
        let required = demand.overflow_above(REDUCED_SLOT_LOAD_MAX);
        let required = required.unwrap_or(self.preferred_fraction);
        self.fraction = self.fraction.max(required.min(largest));
    }

    /// Returns the fraction until the demand is known: the current one, or more if most
    /// requests prefer another region.
    fn agreed_fraction(&self) -> f64 {
        self.fraction.max(2.0 * self.preferred_fraction - 1.0)
    }
}

impl SlotDemand {
    /// Returns the fraction of the requests for which the region has no slots at
    /// [`SLOT_LOAD_GOAL`], or at about the load of the other regions if they are fuller.
    #[must_use]
    pub fn planned_fraction(&self) -> Option<f64> {
        self.overflow_above(SLOT_LOAD_GOAL)
    }

    /// Returns the fraction of the requests for which the region has no slots at a
    /// number of requests per slot, or at about the load of the other regions if they
    /// are fuller.
    fn overflow_above(&self, slot_load: f64) -> Option<f64> {
        let needed = self.needed?;
        let goal = (self.loads.others * LOAD_TOLERANCE).max(slot_load);
        let kept = goal * self.available / needed.max(f64::MIN_POSITIVE);
        Some((1.0 - kept).max(0.0))
    }
}

/// Returns the fraction of the cap that the slope may use. The more requests a
/// window has, the less its share varies by chance.
fn cap_fraction(limit: ShiftLimit) -> f64 {
    // The variance of a share is at most 1/4n, and that of the difference of two
    // windows twice as much.
    let variation = (0.5 / limit.requests.max(1.0)).sqrt() * VARIATION_MARGIN;
    let left = 1.0 - variation / limit.cap.max(f64::EPSILON);
    left.clamp(CAP_FRACTION_MIN, CAP_FRACTION_MAX)
}

/// Returns the number of requests in the window over which shifts are measured, at a
/// rate per second.
#[must_use]
pub fn window_requests(rate: f64) -> f64 {
    rate * SHIFT_WINDOW_MS / 1_000.0
}

/// Counts the requests of an entry in a window, as a moving sum.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCount {
    sum: f64,
    updated: Millis,
}

impl RequestCount {
    /// Counts a request.
    pub fn record(&mut self, now: Millis) {
        self.sum = self.recent(now) + 1.0;
        self.updated = now;
    }

    /// Returns the number of requests per second.
    #[must_use]
    pub fn rate(&self, now: Millis) -> f64 {
        self.recent(now) * 1_000.0 / SHIFT_WINDOW_MS
    }

    /// Returns the number of requests in the window that ends now.
    #[must_use]
    pub fn recent(&self, now: Millis) -> f64 {
        #[expect(clippy::cast_precision_loss)]
        let elapsed_ms = (now - self.updated).0 as f64;
        self.sum * (-elapsed_ms / SHIFT_WINDOW_MS).exp()
    }
}

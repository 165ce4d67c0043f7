//! What it costs to carry a request to a target and its response back.
//!
//! Delay is one part of that cost, the bytes that cross availability zones or
//! regions are the other. These links are shared and billed by the byte, so a
//! large body is worth a slower target that is near, while a small request goes
//! where its object is warm. See [docs/platform.md](../../../docs/platform.md).

use super::{context::Context, target::Target};
use crate::domain::{Millis, Size};

/// The round-trip time to a target in the same region.
const LOCAL_RTT_MS: f64 = 3.0;

/// The round-trip time to a target in another region. Both users state 35 ms
/// one way.
const REMOTE_RTT_MS: f64 = 72.0;

/// The cost of one KiB that crosses availability zones of a region, as the
/// delay that a caller would accept in its place. A body of 64 KiB, less
/// [`FREE_BYTES`], is worth a third of a second, which is of the order of what an
/// object costs that is not warm.
const AZ_COST_MS: f64 = 6.0;

/// The same for one KiB that crosses regions.
const REGION_COST_MS: f64 = 12.0;

/// How many bytes of a request cost nothing. Small messages are most of the
/// requests and few of the bytes; a cost of theirs would keep requests in a full
/// region.
const FREE_BYTES: f64 = 8.0 * 1024.0;

/// The highest cost of a request's bytes, as a fraction of the objective. A
/// request that would miss its objective is worth less than its bytes.
const TRANSFER_COST_MAX: f64 = 0.5;

/// The cost from which a route prefers the targets of its own availability zone
/// for each object, as a fraction of the objective. Below it, one target for
/// each object in the region keeps more objects warm.
const AZ_BOUND_FRACTION: f64 = 0.25;

/// The weight of one response in the moving average of a route's sizes.
const SIZE_SMOOTHING: f64 = 0.05;

/// How far a target is from this entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Distance {
    SameAz,
    SameRegion,
    OtherRegion,
}

impl Distance {
    /// Returns the distance of a target.
    pub fn to(ctx: &Context<'_>, target: &Target) -> Self {
        if target.instance.az == *ctx.az {
            Self::SameAz
        } else if target.region.as_ref() == Some(ctx.region) {
            Self::SameRegion
        } else {
            Self::OtherRegion
        }
    }

    /// Returns the round-trip time in milliseconds.
    pub fn rtt_ms(self) -> f64 {
        match self {
            Self::SameAz | Self::SameRegion => LOCAL_RTT_MS,
            Self::OtherRegion => REMOTE_RTT_MS,
        }
    }
}

/// The sizes of a route's messages.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SizeEstimate {
    /// The moving average of the sizes of responses, none before the first one.
    response_bytes: Option<f64>,
}

impl SizeEstimate {
    /// Adds the size of a response.
    #[expect(clippy::cast_precision_loss)]
    pub fn record(&mut self, response: Size) {
        let sample = response.0 as f64;
        let average = self.response_bytes.get_or_insert(sample);
        *average += (sample - *average) * SIZE_SMOOTHING;
    }

    /// Returns the cost of the bytes of one request with a body of the given
    /// size.
    pub fn transfer_cost(&self, request: Size, objective: Millis) -> TransferCost {
        #[expect(clippy::cast_precision_loss)]
        let (request_bytes, objective_ms) = (request.0 as f64, objective.0 as f64);
        let bytes = request_bytes + self.response_bytes.unwrap_or_default();
        let kib = (bytes - FREE_BYTES).max(0.0) / 1024.0;
        let max = objective_ms * TRANSFER_COST_MAX;
        TransferCost {
            az: (kib * AZ_COST_MS).min(max),
            region: (kib * REGION_COST_MS).min(max),
            objective: objective_ms,
        }
    }
}

/// What the bytes of one request cost, in milliseconds of delay.
#[derive(Clone, Copy, Debug)]
pub(super) struct TransferCost {
    az: f64,
    region: f64,
    objective: f64,
}

impl TransferCost {
    /// Returns whether each object has a target of its own in each availability
    /// zone.
    pub fn is_az_bound(&self) -> bool {
        self.az >= self.objective * AZ_BOUND_FRACTION
    }

    /// Returns the cost of a target at a distance, at which `waiting` requests are
    /// expected to be queued. A target without a free slot has no advantage from
    /// being near, so that a zone with few targets overflows before its callers
    /// wait.
    pub fn at(&self, distance: Distance, waiting: f64) -> f64 {
        match distance {
            Distance::SameAz => self.az * waiting.min(1.0),
            Distance::SameRegion => self.az,
            Distance::OtherRegion => self.region,
        }
    }
}

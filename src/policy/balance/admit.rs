//! Admission by rank, before a target is chosen.

use super::{
    capacity::Capacity,
    context::Context,
    duration::{mix, unit},
    pool::Pool,
};
use crate::{
    domain::{Homes, Millis, Rank, RouteRule},
    policy::{
        demand::{Asked, WorkspaceKey},
        room::{Account, FarRoom, Line, LineChange},
    },
};

/// Seed of the hash that decides which requests of a rank are admitted. It makes this
/// order independent of the placement on targets and of the overflow.
const ADMISSION_SEED: u64 = 0x6164_6d69_7373_696f;

/// The requests per slot below which a region has room. Objects are spread unevenly over
/// the targets, so that some have queues long before all slots are taken.
const ROOM_LOAD_MAX: f64 = 0.7;

/// The properties of a request that decide on its admission.
#[derive(Clone, Copy, Debug)]
pub struct Applicant<'a> {
    /// Its rule.
    pub rule: &'a RouteRule,
    /// The regions in which it may run.
    pub homes: Homes<'a>,
    /// Its rank.
    pub rank: Rank,
    /// Its workspace with the weight of that, if there is one.
    pub workspace: Option<(WorkspaceKey, f32)>,
    /// The hash of what it concerns, or of the request itself.
    pub subject: u64,
    /// Whether it was refused before and comes again.
    pub returns: bool,
}

/// Why a request is not admitted: its rank does not fit as a whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoRoom {
    /// The rank.
    pub rank: Rank,
    /// Whether the workspace gets less than others of its rank, because it asks for more
    /// than its part.
    pub excess: bool,
    /// When the rank is expected to have room.
    pub returns_in: Millis,
}

impl Pool {
    /// Decides whether a request is admitted.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if its rank does not fit as a whole and others come first.
    pub fn admit(&mut self, ctx: &Context<'_>, applicant: &Applicant<'_>) -> Result<(), NoRoom> {
        let Applicant {
            rule,
            homes,
            rank,
            workspace,
            subject,
            returns,
        } = *applicant;
        let account = self.account(ctx);
        let change = self.line.update(ctx.now, account);
        self.line_change = change.or(self.line_change);
        // The account is that of the local region, which may be no home of the request.
        let hash = mix(subject, ADMISSION_SEED);
        let fraction = match (workspace, &ctx.region_demand) {
            (Some((key, _)), Some(demand)) => {
                self.line.workspace_admitted(key, &demand.by_workspace)
            }
            _ => self.line.admitted(rank),
        };
        if !homes.contains(ctx.region) || Line::admits(fraction, unit(hash), returns) {
            return Ok(());
        }
        let asked = Asked {
            rank,
            workspace,
            duration_ms: self.route_estimate(rule).1.duration.typical_ms,
        };
        self.demand.record_refused(ctx.now, asked);
        Err(NoRoom {
            rank,
            excess: fraction < self.line.admitted(rank),
            returns_in: self.line.return_time(unit(mix(hash, subject))),
        })
    }

    /// Returns whether the region's targets have room, as far as is known: they are not
    /// full, and everything is admitted.
    #[must_use]
    pub fn has_room(&self, ctx: &Context<'_>) -> bool {
        !self.line.is_drawn() && self.local_load(ctx) < ROOM_LOAD_MAX
    }

    /// Takes the latest change of the line.
    pub fn take_line_change(&mut self) -> Option<LineChange> {
        self.line_change.take()
    }

    /// Returns the account of the service in the region, if the demand by rank is known
    /// and the region has targets. There is none during a cold start: until enough answers
    /// have come, the durations behind the demand follow from objectives.
    pub(super) fn account(&self, ctx: &Context<'_>) -> Option<Account> {
        let demand = ctx.region_demand?;
        let Capacity { warm, .. } = self.capacity(ctx);
        let known = self.is_settled(ctx.now) && demand.by_rank.total() > 0.0 && warm > 0.0;
        let far = FarRoom {
            share: self.overflow_fraction(),
            load: demand.others_load(),
        };
        known.then(|| Account::new(demand.by_rank, warm, far))
    }
}

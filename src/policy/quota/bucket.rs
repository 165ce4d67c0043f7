//! The token bucket of one workspace at a granter.

use super::{
    ASK_PERIOD, Limit, Room, TOKEN_VALIDITY, recent::Recent, surplus::Surplus, usage::Usage,
};
use crate::domain::{Millis, Rate};

/// The time for which a granter keeps tokens in reserve for its own region.
const RESERVE: Millis = Millis(600);

/// The fraction of the capacity that is the minimum of that reserve.
const RESERVE_FRACTION: f64 = 0.5;

/// The reserve for its own region if requests wait in another one.
const MINIMUM_RESERVE: Millis = Millis(100);

/// The bounds of the time over which callers without a token should return.
const SPREAD_MS: [f64; 2] = [500.0, 5_000.0];

/// The time without a lack of tokens after which a workspace counts as below its limit.
const BELOW_AFTER: Millis = Millis(5_000);

/// The maximum time until the next token that is reported.
const ROOM_MAX_MS: f64 = 10_000.0;

/// A token bucket, with the demand for its tokens.
///
/// The level and the tokens at hand of entries are together at most the capacity and
/// what is earned, or comes from other granters, during the validity of a token. Without
/// that bound, tokens that are returned and granted again and again would add up at
/// entries that do not use them.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    limit: Limit,
    /// The rate of the parts that the granter holds, in tokens per second.
    rate: f64,
    /// The capacity of these parts.
    capacity: f64,
    /// The maximum surplus of these parts, in tokens per second.
    surplus_rate: f64,
    surplus: Surplus,
    level: f64,
    filled_at: Millis,
    /// The tokens that were granted, to other granters as well.
    granted: Recent,
    /// The tokens of other granters.
    added: Recent,
    usage: Usage,
    /// Whether tokens lacked since the other granters were asked.
    pub short: bool,
    /// The time until which the other granters are known to have no tokens.
    dry_until: Millis,
    /// The latest time at which the quota was known to be used up.
    exhausted_at: Option<Millis>,
    /// Whether the workspace counts as at its limit.
    is_at_limit: bool,
}

impl Bucket {
    /// Returns an empty bucket without a part. A restart must not earn tokens that a
    /// former run of the process has used.
    pub fn new(now: Millis, limit: Limit) -> Self {
        Self {
            limit,
            rate: 0.0,
            capacity: 0.0,
            surplus_rate: 0.0,
            surplus: Surplus::default(),
            level: 0.0,
            filled_at: now,
            granted: Recent::default(),
            added: Recent::default(),
            usage: Usage::default(),
            short: false,
            dry_until: Millis(0),
            exhausted_at: None,
            is_at_limit: false,
        }
    }

    /// Adds the tokens earned since the last call.
    pub fn refill(&mut self, now: Millis) {
        self.granted.expire(now);
        self.added.expire(now);
        let time = seconds(now - self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let (window, most) = (self.limit.window, self.surplus_rate * time);
        let surplus = self.surplus.add(now, window, self.capacity, most);
        self.raise(self.rate * time + surplus);
    }

    fn raise(&mut self, tokens: f64) {
        let income = self.rate * seconds(TOKEN_VALIDITY) + f64::from(self.added.sum());
        let outstanding = f64::from(self.granted.sum()) - income;
        let outstanding = outstanding.max(0.0);
        let ceiling = self.capacity - outstanding;
        self.level = (self.level + tokens).min(ceiling).max(0.0);
        self.surplus
            .record(self.filled_at, self.level + outstanding);
    }

    /// Returns the limit.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Sets the limit. The share of it has to be set as well.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Sets the part of the limit that the granter holds, and its capacity. The level is
    /// cut to it.
    pub fn set_share(&mut self, part: f64, capacity: f64) {
        let gained = (capacity - self.capacity).max(0.0);
        self.rate = self.limit.rate * part;
        self.surplus_rate = self.limit.surplus_rate() * part;
        self.capacity = capacity;
        self.raise(0.0);
        self.surplus.count_as_used(gained);
    }

    /// Records requests that ask for a token.
    pub fn record(&mut self, now: Millis, requests: u32) {
        self.usage.record(now, requests);
    }

    /// Grants up to `wanted` whole tokens and returns their number.
    pub fn grant(&mut self, now: Millis, wanted: u32) -> u32 {
        let count = self.take(wanted);
        self.granted.record(now, count);
        count
    }

    /// Grants up to `wanted` tokens, but at most half of the level, for requests that
    /// have not arrived yet.
    pub fn grant_ahead(&mut self, now: Millis, wanted: u32) -> u32 {
        self.grant(now, wanted.min(whole(self.level / 2.0)))
    }

    /// Takes back tokens that were granted lately. The oldest ones count, since the time
    /// of each is unknown and the newer ones may still be used.
    pub fn take_back(&mut self, tokens: u32) {
        let returned = self.granted.remove(tokens);
        self.raise(f64::from(returned));
    }

    /// Takes tokens for another granter: `waiting` for requests that wait there, and
    /// `expected` beyond what the region is likely to need.
    pub fn lend(&mut self, now: Millis, waiting: u32, expected: u32) -> u32 {
        let minimum = self.usage.expected(now, MINIMUM_RESERVE);
        let urgent = self.grant(now, waiting.min(whole(self.level - minimum)));
        let spare = whole(self.level - self.reserve(now));
        urgent + self.grant(now, expected.min(spare))
    }

    fn take(&mut self, wanted: u32) -> u32 {
        let taken = whole(self.level).min(wanted);
        self.level -= f64::from(taken);
        taken
    }

    /// Adds tokens of another granter.
    pub fn add(&mut self, now: Millis, tokens: u32) {
        self.added.record(now, tokens);
        self.raise(f64::from(tokens));
    }

    /// Returns how many tokens lack for the reserve.
    pub fn lacking(&self, now: Millis) -> u32 {
        whole(self.reserve(now) - self.level)
    }

    /// Returns when there is room again, or none if nothing shows that the quota is used
    /// up: this granter has no part, or has it since too short a time to have filled, as
    /// less is asked here than is earned.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn room(&self, now: Millis) -> Option<Room> {
        if self.rate <= 0.0 || self.usage.rate(now) < self.rate {
            return None;
        }
        let next = (1.0 - self.level).max(0.0) / self.rate * 1_000.0;
        let excess = self.usage.rate(now) / self.rate;
        let spread = (excess * 1_000.0).clamp(SPREAD_MS[0], SPREAD_MS[1]);
        Some(Room {
            after: Millis(next.min(ROOM_MAX_MS) as u64),
            spread: Millis(spread as u64),
        })
    }

    /// Records that the other granters have been asked.
    pub fn record_exchange(&mut self, now: Millis) {
        if self.short && self.level < 1.0 {
            self.dry_until = now + ASK_PERIOD;
            if self.room(now).is_some() {
                self.exhausted_at = Some(now);
            }
        }
        self.short = false;
    }

    /// Returns whether the other granters are known to have no tokens.
    pub fn is_dry(&self, now: Millis) -> bool {
        now < self.dry_until
    }

    /// Returns whether requests wait for tokens of the other granters.
    pub fn is_pending(&self, now: Millis) -> bool {
        self.short && !self.is_dry(now)
    }

    /// Returns whether the workspace has reached its limit, or is below it again, since
    /// the last call. None if neither.
    pub fn limit_change(&mut self, now: Millis) -> Option<bool> {
        let is_recent = |at: Millis| now < at + BELOW_AFTER;
        let is_at_limit = self.exhausted_at.is_some_and(is_recent);
        let was_at_limit = std::mem::replace(&mut self.is_at_limit, is_at_limit);
        (is_at_limit != was_at_limit).then_some(is_at_limit)
    }

    /// Returns the rate of the requests that ask for tokens here.
    pub fn usage(&self, now: Millis) -> Rate {
        Rate(self.usage.rate(now).round())
    }

    fn reserve(&self, now: Millis) -> f64 {
        let expected = self.usage.expected(now, RESERVE);
        expected
            .max(self.capacity * RESERVE_FRACTION)
            .min(self.capacity)
    }
}

#[expect(clippy::cast_precision_loss)]
fn seconds(time: Millis) -> f64 {
    time.0 as f64 / 1_000.0
}

/// Returns the number of whole tokens.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(level: f64) -> u32 {
    // Sums of fractions may miss a whole number by a rounding error.
    (level + 1e-9).max(0.0) as u32
}

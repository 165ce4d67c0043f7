//! The buckets of an entry that grants tokens.

use std::{collections::HashMap, sync::Arc};

use super::{
    Answer, Ask, DELEGATION, Echo, Grant, Limit, NEEDS_MAX, Need, Room,
    bucket::Bucket,
    crumbs::{entry_hash, holds_token},
};
use crate::domain::{EntryId, Millis, Rate, WorkspaceName};

/// The maximum number of entries whose parts are held.
const DELEGATIONS_MAX: usize = 4_096;

/// A workspace that has reached its limit at a granter, or is below it again.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Whether it is at its limit now.
    pub is_at_limit: bool,
    /// The rate of its requests that ask this granter.
    pub usage: Rate,
}

/// The part of one entry.
#[derive(Clone, Copy, Debug)]
struct Delegation {
    /// The hashed name of the entry.
    entry: u64,
    part: f64,
    until: Millis,
}

/// The parts that an entry holds, its own and those of others, and the bucket of each
/// workspace, which fills and is limited in proportion to them.
#[derive(Debug)]
pub struct Granter {
    life: u64,
    me: u64,
    own_part: f64,
    /// The hashed names of the entries that share limits.
    sharers: Arc<Vec<u64>>,
    delegations: HashMap<EntryId, Delegation>,
    /// The sum of the parts.
    part: f64,
    /// The time at which the first delegation ends.
    next_end: Millis,
    buckets: HashMap<WorkspaceName, Bucket>,
}

impl Granter {
    /// Returns a granter without parts. `life` is a random number that identifies this
    /// run of the process.
    #[must_use]
    pub fn new(me: &EntryId, life: u64) -> Self {
        Self {
            life,
            me: entry_hash(me),
            sharers: Arc::default(),
            own_part: 0.0,
            delegations: HashMap::new(),
            part: 0.0,
            next_end: Millis(u64::MAX),
            buckets: HashMap::new(),
        }
    }

    /// Sets the limits of all workspaces. A lower one cuts the level at once.
    pub fn configure(&mut self, now: Millis, limits: impl Iterator<Item = (WorkspaceName, Limit)>) {
        self.advance(now);
        let mut former = std::mem::take(&mut self.buckets);
        for (name, limit) in limits {
            let mut bucket = former
                .remove(&name)
                .unwrap_or_else(|| Bucket::new(now, limit));
            bucket.refill(now);
            bucket.set_limit(limit);
            self.buckets.insert(name, bucket);
        }
        self.update_shares();
    }

    /// Sets the entries that share limits, and whether this one holds its own part. There
    /// are none as long as they are unknown.
    pub fn set_own(&mut self, now: Millis, sharers: &Arc<Vec<u64>>, is_own: bool) {
        self.advance(now);
        let part = if is_own { part_of(sharers.len()) } else { 0.0 };
        let is_same = part.to_bits() == self.own_part.to_bits() && *sharers == self.sharers;
        if !is_same {
            self.refill_all(now);
            self.own_part = part;
            self.sharers.clone_from(sharers);
            self.update_part();
        }
    }

    /// Returns the sum of the parts that are held.
    pub fn part(&mut self, now: Millis) -> f64 {
        self.advance(now);
        self.part
    }

    /// Takes a token for a request of this entry, and returns whether there was one.
    pub fn take(&mut self, now: Millis, name: &WorkspaceName) -> bool {
        self.advance(now);
        if self.part <= 0.0 {
            return false;
        }
        let Some(bucket) = self.buckets.get_mut(name) else {
            return false;
        };
        bucket.refill(now);
        let granted = bucket.grant(now, 1) == 1;
        bucket.short |= !granted;
        granted
    }

    /// Records a request of this entry itself.
    pub fn record(&mut self, now: Millis, name: &WorkspaceName) {
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.record(now, 1);
        }
    }

    /// Returns when there is room again, if no other granter has any and this one holds
    /// a part.
    #[must_use]
    pub fn exhaustion(&self, now: Millis, name: &WorkspaceName) -> Option<Room> {
        let dry = self.buckets.get(name).filter(|b| b.is_dry(now));
        dry.and_then(|b| b.room(now))
    }

    /// Returns whether the other granters are still to be asked for tokens of a
    /// workspace.
    #[must_use]
    pub fn is_pending(&self, now: Millis, name: &WorkspaceName) -> bool {
        self.buckets.get(name).is_some_and(|b| b.is_pending(now))
    }

    /// Answers another entry.
    pub fn answer(&mut self, now: Millis, ask: &Ask) -> Answer {
        self.advance(now);
        self.accept(now, ask);
        let needs = ask.needs.iter().take(NEEDS_MAX);
        let grants = needs.filter_map(|need| self.grant(now, need, ask.for_others));
        Answer {
            grants: grants.collect(),
            echo: Echo {
                life: self.life,
                at: now,
            },
        }
    }

    /// Accepts the delegation of an ask. One with an unknown time counts for nothing.
    /// Of the numbers of entries the larger one counts, which makes the part smaller.
    fn accept(&mut self, now: Millis, ask: &Ask) {
        let Some(echo) = ask.echo.filter(|_| ask.sharers > 0) else {
            return;
        };
        let until = echo.at + DELEGATION;
        if echo.life != self.life || echo.at > now || until <= now {
            return;
        }
        let known = self.delegations.get(&ask.entry);
        if known.is_none() && self.delegations.len() >= DELEGATIONS_MAX {
            return;
        }
        let sharers = usize::try_from(ask.sharers).unwrap_or(usize::MAX);
        let part = part_of(sharers.max(self.sharers.len()));
        let until = known.map_or(until, |d| d.until.max(until));
        let is_same = known.is_some_and(|d| d.part.to_bits() == part.to_bits());
        if !is_same {
            self.refill_all(now);
        }
        let entry = entry_hash(&ask.entry);
        let delegation = Delegation { entry, part, until };
        self.delegations.insert(ask.entry.clone(), delegation);
        if is_same {
            self.update_end();
        } else {
            self.update_part();
        }
    }

    fn grant(&mut self, now: Millis, need: &Need, for_others: bool) -> Option<Grant> {
        let bucket = self.buckets.get_mut(&need.workspace)?;
        bucket.refill(now);
        let mut grant = Grant {
            workspace: need.workspace.clone(),
            tokens: 0,
            pending: false,
            room: None,
        };
        if for_others {
            grant.tokens = bucket.lend(now, need.waiting, need.expected);
            return Some(grant);
        }
        bucket.take_back(need.returned);
        bucket.record(now, need.used);
        let urgent = bucket.grant(now, need.waiting);
        grant.tokens = urgent + bucket.grant_ahead(now, need.expected);
        if urgent < need.waiting {
            bucket.short = true;
            grant.pending = !bucket.is_dry(now);
            grant.room = bucket.room(now).filter(|_| !grant.pending);
        }
        Some(grant)
    }

    /// Returns whether requests wait for tokens of other granters.
    #[must_use]
    pub fn is_short(&self, now: Millis) -> bool {
        self.buckets.values().any(|b| b.is_pending(now))
    }

    /// Returns what to ask the granters of other regions for.
    pub fn needs(&mut self, now: Millis) -> Vec<Need> {
        self.advance(now);
        self.refill_all(now);
        let mut needs = Vec::new();
        for (name, bucket) in &self.buckets {
            let lacking = bucket.lacking(now);
            let is_pending = bucket.is_pending(now);
            if lacking > 0 {
                needs.push(Need {
                    waiting: if is_pending { lacking } else { 0 },
                    expected: if is_pending { 0 } else { lacking },
                    ..Need::new(name.clone())
                });
            }
        }
        needs.sort_by_key(|need| std::cmp::Reverse((need.waiting, need.expected)));
        needs.truncate(NEEDS_MAX);
        needs
    }

    /// Adds the tokens of another granter, at most as many as were asked for.
    pub fn add(&mut self, now: Millis, needs: &[Need], answer: &Answer) {
        self.advance(now);
        for grant in &answer.grants {
            let asked = needs.iter().find(|n| n.workspace == grant.workspace);
            if let (Some(need), Some(bucket)) = (asked, self.buckets.get_mut(&grant.workspace)) {
                bucket.refill(now);
                bucket.add(now, grant.tokens.min(need.asked()));
            }
        }
    }

    /// Records that all other granters have been asked.
    pub fn record_exchange(&mut self, now: Millis) {
        for bucket in self.buckets.values_mut() {
            bucket.record_exchange(now);
        }
    }

    /// Returns the workspaces that have reached their limits, or are below them again,
    /// since the last call. Only granters know that, so that an operator sees it once for
    /// each region and not for each entry.
    pub fn limit_changes(&mut self, now: Millis) -> Vec<LimitChange> {
        let change = |(name, bucket): (&WorkspaceName, &mut Bucket)| {
            let is_at_limit = bucket.limit_change(now)?;
            Some(LimitChange {
                workspace: name.clone(),
                is_at_limit,
                usage: bucket.usage(now),
            })
        };
        self.buckets.iter_mut().filter_map(change).collect()
    }

    /// Ends the delegations that are over. The level is cut to what is left at that
    /// moment, so that a part which comes back later starts without tokens.
    fn advance(&mut self, now: Millis) {
        while self.next_end <= now {
            let end = self.next_end;
            self.refill_all(end);
            self.delegations.retain(|_, d| d.until > end);
            self.update_part();
        }
    }

    fn refill_all(&mut self, at: Millis) {
        for bucket in self.buckets.values_mut() {
            bucket.refill(at);
        }
    }

    fn update_part(&mut self) {
        let delegated: f64 = self.delegations.values().map(|d| d.part).sum();
        self.part = (self.own_part + delegated).min(1.0);
        self.update_shares();
        self.update_end();
    }

    /// Sets the rates and capacities to those of the parts that are held. A capacity of
    /// less than one token is instead the number of whole tokens that the entries of these parts hold.
    fn update_shares(&mut self) {
        let own = (self.own_part > 0.0).then_some(self.me);
        let delegated = self.delegations.values().map(|d| d.entry);
        let holders: Vec<u64> = own.into_iter().chain(delegated).collect();
        for (name, bucket) in &mut self.buckets {
            let total = bucket.limit().capacity;
            let mut capacity = total * self.part;
            if capacity < 1.0 {
                let holds = |entry: &&u64| holds_token(**entry, name, total, &self.sharers);
                let tokens = holders.iter().filter(holds).count();
                capacity = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
            }
            bucket.set_share(self.part, capacity);
        }
    }

    fn update_end(&mut self) {
        let ends = self.delegations.values().map(|d| d.until);
        self.next_end = ends.min().unwrap_or(Millis(u64::MAX));
    }
}

/// Returns the part of each entry, none if the number of entries is unknown.
fn part_of(sharers: usize) -> f64 {
    let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
    if sharers == 0 {
        return 0.0;
    }
    1.0 / f64::from(sharers)
}

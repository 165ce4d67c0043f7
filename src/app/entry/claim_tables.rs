//! The claim tables of this entry, which is a home of some of the keys.

use std::{
    collections::HashSet,
    sync::{Mutex, MutexGuard},
};

use crate::{
    domain::{Millis, Shards, Size, lock},
    policy::once::{
        Bucket, ClaimLimits, ClaimTable, HomeRequest, HomeResponse, Member, Outbox, Roster,
        TransferPage,
    },
};

/// The limits on the claims of one service in all buckets of a home. At about
/// 200 bytes each, the claims use 20 MB of the memory for control work.
const CLAIM_LIMITS: ClaimLimits = ClaimLimits {
    claims: 100_000,
    answers: Size::kib(16 * 1024),
};

/// The maximum number of releases and answers that are not yet acknowledged by
/// their homes.
const MAX_OUTBOX: usize = 4_096;

/// The claim tables of the buckets of which this entry is a home. The lock
/// of a shard guards both the epoch and the claims of a table.
#[derive(Debug)]
pub struct Claims {
    me: Member,
    tables: Shards<Bucket, ClaimTable>,
    outbox: Mutex<Outbox>,
}

impl Claims {
    /// Returns a home without tables.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            me,
            tables: Shards::new(),
            outbox: Mutex::new(Outbox::new(MAX_OUTBOX)),
        }
    }

    /// Locks the releases and answers that are not yet acknowledged.
    pub(super) fn outbox(&self) -> MutexGuard<'_, Outbox> {
        lock(&self.outbox)
    }

    /// Adopts the current and the former roster.
    pub(super) fn adopt(&self, [current, former]: &[Roster; 2]) {
        let newest = |request: &HomeRequest| current.homes(request.bucket());
        self.outbox().on_roster(newest);
        for bucket in Bucket::all() {
            let (new, old) = (current.homes(bucket), former.homes(bucket));
            if new.contains(&self.me) {
                let new_table = || self.new_table(bucket);
                self.tables.with(bucket, new_table, |t| t.adopt(&old, &new));
            } else {
                self.tables.get(&bucket, |t| t.adopt(&old, &new));
            }
        }
    }

    fn new_table(&self, bucket: Bucket) -> ClaimTable {
        let limits = CLAIM_LIMITS.per_bucket(u32::from(Bucket::COUNT));
        ClaimTable::new(self.me.clone(), bucket, limits)
    }

    /// Answers a request of an entry. An entry that was never a home of the
    /// bucket refuses.
    pub(super) fn handle(&self, request: &HomeRequest, now: Millis) -> HomeResponse {
        let bucket = request.bucket();
        let new_table = || self.new_table(bucket);
        self.tables
            .with(bucket, new_table, |t| t.handle(request, now))
    }

    /// Returns this entry with its current incarnation.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Removes old claims, and returns the transfer requests to former homes.
    pub(super) fn tick(&self, now: Millis, roster: &Roster) -> Vec<(Member, HomeRequest)> {
        let seats: HashSet<&Member> = roster.entries().iter().map(|e| &e.member).collect();
        let mut requests = Vec::new();
        self.tables.each(|_, t| {
            t.tick(now, |m| seats.contains(m));
            requests.extend(
                t.transfer_requests()
                    .into_iter()
                    .map(|(m, request)| (m, HomeRequest::Transfer(request))),
            );
        });
        requests
    }

    /// Adopts a page of claims from a former home.
    pub(super) fn on_page(&self, from: &Member, page: TransferPage, now: Millis) {
        let bucket = page.request.bucket;
        self.tables.get(&bucket, |t| t.on_page(from, page, now));
    }
}

//! The claims that this entry holds as a home of keys.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::{
    domain::{Millis, Shards, Size},
    policy::once::{
        Bucket, ClaimLimits, ClaimTable, HomeRequest, HomeResponse, Member, Outbox, Roster,
        TransferPage,
    },
};

/// The most claims of a service at one home. At about 200 bytes each this is 20
/// MB of the memory that an entry has for control.
const LIMITS: ClaimLimits = ClaimLimits {
    claims: 100_000,
    answers: Size::kib(16 * 1024),
};

/// How many releases and answers may be on their way to homes.
const OUTBOX: usize = 4_096;

/// The claim tables of the buckets of which this entry is a home. A shard's lock
/// guards the epoch of a table together with its claims.
#[derive(Debug)]
pub struct Claims {
    me: Member,
    tables: Shards<Bucket, ClaimTable>,
    outbox: Mutex<Outbox>,
}

impl Claims {
    /// Returns tables that do not vote yet.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            me,
            tables: Shards::new(),
            outbox: Mutex::new(Outbox::new(OUTBOX)),
        }
    }

    /// Locks the releases and answers that are on their way to homes.
    pub(super) fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adopts a roster and the one before it.
    pub(super) fn adopt(&self, [current, former]: &[Roster; 2]) {
        let newest = |request: &HomeRequest| current.homes(request.bucket());
        self.outbox().on_roster(newest);
        for bucket in Bucket::all() {
            let (new, old) = (current.homes(bucket), former.homes(bucket));
            if new.contains(&self.me) {
                let open = || {
                    ClaimTable::new(
                        self.me.clone(),
                        bucket,
                        LIMITS.per_bucket(u32::from(Bucket::COUNT)),
                    )
                };
                self.tables.with(bucket, open, |r| r.adopt(&old, &new));
            } else {
                self.tables.get(&bucket, |r| r.adopt(&old, &new));
            }
        }
    }

    /// Answers a request of an entry. A home that has never been one refuses.
    pub(super) fn handle(&self, request: &HomeRequest, now: Millis) -> HomeResponse {
        let bucket = request.bucket();
        let open = || {
            ClaimTable::new(
                self.me.clone(),
                bucket,
                LIMITS.per_bucket(u32::from(Bucket::COUNT)),
            )
        };
        self.tables.with(bucket, open, |r| r.handle(request, now))
    }

    /// Returns this life of this entry.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns what has to be read from former homes, and forgets what is old.
    pub(super) fn tick(&self, now: Millis) -> Vec<(Member, HomeRequest)> {
        let mut reads = Vec::new();
        self.tables.each(|_, r| {
            r.tick(now);
            reads.extend(
                r.transfer_requests()
                    .into_iter()
                    .map(|(m, read)| (m, HomeRequest::Transfer(read))),
            );
        });
        reads
    }

    /// Takes a page of a former home.
    pub(super) fn on_page(&self, from: &Member, page: TransferPage, now: Millis) {
        let bucket = page.request.bucket;
        self.tables.get(&bucket, |r| r.on_page(from, page, now));
    }

    /// Returns how many buckets vote, and how many claims they hold.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let (mut ready, mut claims) = (0, 0);
        self.tables.each(|_, r| {
            ready += usize::from(r.is_ready());
            claims += r.len();
        });
        (ready, claims)
    }
}

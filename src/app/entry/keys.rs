//! The claims that this entry holds as a home of keys.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::{
    domain::{Millis, Shards, Size},
    policy::once::{Bucket, Limits, Member, Outbox, Page, Register, Request, Response, Roster},
};

/// The most claims of a service at one home. At about 200 bytes each this is 20
/// MB of the memory that an entry has for control.
const LIMITS: Limits = Limits {
    claims: 100_000,
    answers: Size::kib(16 * 1024),
};

/// How many releases and answers may be on their way to homes.
const OUTBOX: usize = 4_096;

/// The registers of the buckets of which this entry is a home. A shard's lock
/// guards the epoch of a register together with its claims.
#[derive(Debug)]
pub struct Claims {
    me: Member,
    registers: Shards<Bucket, Register>,
    outbox: Mutex<Outbox>,
}

impl Claims {
    /// Returns registers that do not vote yet.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            me,
            registers: Shards::new(),
            outbox: Mutex::new(Outbox::new(OUTBOX)),
        }
    }

    /// Locks the releases and answers that are on their way to homes.
    pub(super) fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adopts a roster and the one before it.
    pub(super) fn adopt(&self, [current, former]: &[Roster; 2]) {
        let newest = |request: &Request| current.homes(request.bucket());
        self.outbox().on_roster(newest);
        for bucket in Bucket::all() {
            let (new, old) = (current.homes(bucket), former.homes(bucket));
            if new.contains(&self.me) {
                let open = || {
                    Register::new(
                        self.me.clone(),
                        bucket,
                        LIMITS.share(u32::from(Bucket::COUNT)),
                    )
                };
                self.registers.with(bucket, open, |r| r.adopt(&old, &new));
            } else {
                self.registers.get(&bucket, |r| r.adopt(&old, &new));
            }
        }
    }

    /// Answers a request of an entry. A home that has never been one refuses.
    pub(super) fn handle(&self, request: &Request, now: Millis) -> Response {
        let bucket = request.bucket();
        let open = || {
            Register::new(
                self.me.clone(),
                bucket,
                LIMITS.share(u32::from(Bucket::COUNT)),
            )
        };
        self.registers
            .with(bucket, open, |r| r.handle(request, now))
    }

    /// Returns this life of this entry.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns what has to be read from former homes, and forgets what is old.
    pub(super) fn tick(&self, now: Millis) -> Vec<(Member, Request)> {
        let mut reads = Vec::new();
        self.registers.each(|_, r| {
            r.tick(now);
            reads.extend(
                r.reads()
                    .into_iter()
                    .map(|(m, read)| (m, Request::Read(read))),
            );
        });
        reads
    }

    /// Takes a page of a former home.
    pub(super) fn on_page(&self, from: &Member, page: Page, now: Millis) {
        let bucket = page.read.bucket;
        self.registers.get(&bucket, |r| r.on_page(from, page, now));
    }

    /// Returns how many buckets vote, and how many claims they hold.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let (mut ready, mut claims) = (0, 0);
        self.registers.each(|_, r| {
            ready += usize::from(r.is_ready());
            claims += r.len();
        });
        (ready, claims)
    }
}

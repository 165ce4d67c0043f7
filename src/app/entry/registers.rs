//! The claim registers of this entry, which is a home of some of the keys.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::{
    domain::{Millis, Shards, Size},
    policy::once::{Bucket, Limits, Member, Outbox, Page, Register, Request, Response, Roster},
};

/// The maximum claims and recorded answers of all registers of a home. At about
/// 200 bytes each, the claims use 20 MB of the memory for control work.
const CLAIM_LIMITS: Limits = Limits {
    claims: 100_000,
    answers: Size::kib(16 * 1024),
};

/// The maximum number of releases and answers that are not yet acknowledged by
/// their homes.
const MAX_OUTBOX: usize = 4_096;

/// The registers of the buckets of which this entry is a home. The lock of a
/// shard guards both the epoch and the claims of a register.
#[derive(Debug)]
pub struct Claims {
    me: Member,
    registers: Shards<Bucket, Register>,
    outbox: Mutex<Outbox>,
}

impl Claims {
    /// Returns a home without registers.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            me,
            registers: Shards::new(),
            outbox: Mutex::new(Outbox::new(MAX_OUTBOX)),
        }
    }

    /// Locks the releases and answers that are not yet acknowledged.
    pub(super) fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adopts the current and the former roster.
    pub(super) fn adopt(&self, [current, former]: &[Roster; 2]) {
        let newest = |request: &Request| current.homes(request.bucket());
        self.outbox().on_roster(newest);
        for bucket in Bucket::all() {
            let (new, old) = (current.homes(bucket), former.homes(bucket));
            if new.contains(&self.me) {
                let new_register = || {
                    Register::new(
                        self.me.clone(),
                        bucket,
                        CLAIM_LIMITS.share(u32::from(Bucket::COUNT)),
                    )
                };
                self.registers
                    .with(bucket, new_register, |r| r.adopt(&old, &new));
            } else {
                self.registers.get(&bucket, |r| r.adopt(&old, &new));
            }
        }
    }

    /// Answers a request of an entry. An entry that was never a home of the
    /// bucket refuses.
    pub(super) fn handle(&self, request: &Request, now: Millis) -> Response {
        let bucket = request.bucket();
        let new_register = || {
            Register::new(
                self.me.clone(),
                bucket,
                CLAIM_LIMITS.share(u32::from(Bucket::COUNT)),
            )
        };
        self.registers
            .with(bucket, new_register, |r| r.handle(request, now))
    }

    /// Returns this entry with its current incarnation.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Removes old claims, and returns the reads that former homes must answer.
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

    /// Adopts a page of claims from a former home.
    pub(super) fn on_page(&self, from: &Member, page: Page, now: Millis) {
        let bucket = page.read.bucket;
        self.registers.get(&bucket, |r| r.on_page(from, page, now));
    }

    /// Returns the number of registers that vote, and the number of claims in
    /// all registers.
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

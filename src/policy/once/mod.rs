//! At-most-once execution of requests with an idempotency key.
//!
//! An entry that receives a request with an idempotency key first *claims* the
//! key. Up to three entries are the *homes* of the key ([`Roster::homes`]); each
//! keeps a [`ClaimTable`] and votes for one attempt per key. An attempt with the
//! votes of two of the three homes has won and may be dispatched. The
//! [`Claimant`] counts the votes and, if the attempt did not win, decides what
//! the caller is told.
//!
//! # Why it is safe
//!
//! * A home does not vote for a second attempt until the first one is released,
//!   and a claim does not expire within [`CLAIM_RETENTION`]. A winner that is
//!   delayed between its win and its dispatch is therefore still the only winner.
//! * Only the claimant releases its attempt, and only if it will never dispatch
//!   it. No other entry can know this, so votes for a dead claimant's attempt
//!   stay.
//! * Votes are added up only if they are of the same epoch of the roster. A home
//!   refuses vote requests of an epoch older than the newest one that it has
//!   adopted or promised.
//! * A new home of a key votes only after a quorum of the former homes has
//!   transferred its claims and promised not to vote in older epochs. Each quorum
//!   of the former homes includes one that voted for the winner, so the new home
//!   learns of it. A former home that remains a home keeps its claims and needs
//!   no transfer, unless the new quorum is smaller than the former one: two
//!   remaining homes out of three always include one that voted for the winner, a
//!   single one may not.
//! * A restarted home is a different [`Member`], because its incarnation differs.
//!   It votes only under a roster that lists this incarnation, and therefore only
//!   as a new home.
//!
//! # Cost
//!
//! A claim takes one round trip to the second-nearest home. If two homes of a key
//! are lost at the same time, its bucket is unavailable, because the claims that
//! only these two had are lost; see [`ClaimTable::tick`]. Keys are grouped into
//! [`Bucket::COUNT`] buckets, so that a change of the roster transfers a bounded
//! number of buckets between entries, independent of the number of keys and of
//! the square of the number of entries.
//!
//! Not covered are requests without a key, repeats after the retention period,
//! and a target that runs one request twice. See
//! [docs/design.md](../../../docs/design.md), section 3.4.

mod answer;
mod claim;
mod claimant;
mod key;
mod message;
mod outbox;
mod roster;
mod table;
mod transfer;

pub use answer::Answer;
pub use claim::{Claim, ClaimState, Finish, Holder, Release, VoteRequest};
pub use claimant::{Claimant, Decision};
pub use key::{AttemptId, Bucket, ClaimKey, Fingerprint, IdempotencyKey};
pub use message::{HomeRequest, HomeResponse};
pub use outbox::{MessageId, Outbox};
pub use roster::{HomeSet, Member, Roster, RosterEntry};
pub use table::{
    CLAIM_RETENTION, ClaimLimits, ClaimTable, RefusalReason, TOMBSTONE_RETENTION, VoteReply,
};
pub use transfer::{CopiedClaim, TransferPage, TransferRequest};

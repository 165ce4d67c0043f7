//! Execution of keyed requests at most once.
//!
//! An entry that receives a request with an idempotency key first *claims* the
//! key. Up to three entries are the *homes* of the key ([`Roster::homes`]); each
//! keeps a [`Register`] and grants one attempt per key. An attempt with the
//! votes of two of the three homes has won and may be dispatched. The
//! [`Claimant`] counts votes and tells the caller what happened if it lost.
//!
//! # Why it is safe
//!
//! * A home never grants a key to a second attempt until the first one is
//!   released, and a claim does not expire within [`RETENTION`]. A winner that
//!   pauses between its win and its dispatch is therefore still the only winner.
//! * Only the claimant releases its attempt, and only if it will never dispatch
//!   it. Nobody else can know this, so the votes of a dead claimant stay.
//! * Votes count only if they are from the same epoch of the roster. A home
//!   refuses votes of an epoch older than the newest one that it has adopted or
//!   promised.
//! * A home that is new for a key votes only after a quorum of the former homes
//!   has given it their claims and promised not to vote in older epochs. Each
//!   quorum of the former homes includes a holder of a won claim, so the new
//!   home learns of it. A former home that stays keeps its claims and needs no
//!   transfer, unless the new quorum is smaller than the former one: two
//!   surviving homes out of three always include a holder, a single one may not.
//! * A restarted home is another [`Member`], because its incarnation differs.
//!   It votes only under a roster that lists this incarnation, hence as a new
//!   home.
//!
//! # Cost
//!
//! A claim takes one round trip to the second-nearest home. Losing two homes of
//! a key at the same time makes its bucket unavailable, because the claims that
//! only these two held are gone; see [`Register::tick`]. Keys are grouped into
//! [`Bucket::COUNT`] buckets, so that a changed roster moves a bounded number
//! of ranges between entries, independent of the number of keys and of the
//! square of the number of entries.
//!
//! What is not covered: requests without a key, repeats after the retention
//! period, and a target that runs one request twice. See
//! [docs/design.md](../../../docs/design.md), section 3.4.

mod answer;
mod claim;
mod claimant;
mod key;
mod message;
mod outbox;
mod register;
mod roster;
mod transfer;

pub use answer::Answer;
pub use claim::{Claim, Finish, Holder, Release, State, Vote};
pub use claimant::{Claimant, Decision};
pub use key::{AttemptId, Bucket, ClaimKey, Fingerprint, IdempotencyKey};
pub use message::{Request, Response};
pub use outbox::{MessageId, Outbox};
pub use register::{Limits, RETENTION, Reason, Register, Reply, TOMBSTONE};
pub use roster::{HomeSet, Member, Roster, RosterEntry};
pub use transfer::{Copied, Page, Read};

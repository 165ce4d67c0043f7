//! Requests that crash their targets.
//!
//! A target that dies before it answers leaves no evidence other than a broken
//! connection. Each such failure counts as a [`Strike`] against the fingerprint
//! of the request ([`Fingerprint`](super::once::Fingerprint)). Strikes are
//! exchanged between the entries before the caller gets its response, so a
//! caller that repeats the request through another entry finds them there.
//! After two strikes the fingerprint is blocked for [`BLOCK`].
//!
//! # Trade-offs
//!
//! * A broken connection has other causes as well: a rack that fails takes all
//!   of its requests with it, and popular requests would then be blocked. A
//!   fingerprint that was executed successfully within the last minutes does
//!   not crash each target that runs it, so its failures are not counted
//!   ([`Successes`]). A request that crashes only some of its targets is
//!   therefore not blocked; the retry budget limits its damage.
//! * Requests that start at the same time, before the first strike is known,
//!   are not serialised. That would delay each first request of its kind.
//! * A false positive rejects one kind of request for ten minutes, or until an
//!   operator clears it. The response says that the request was not run.
//!
//! See [docs/design.md](../../../docs/design.md), section 3.11.

mod failure;
mod strikes;
mod tally;

pub use failure::{Ending, Failure, Stage, Successes, is_strike};
pub use strikes::{Admission, BLOCK, Strike, Strikes};
pub use tally::{Count, Tally};

//! Blocking of requests that crash their targets.
//!
//! If a target crashes before it answers, the only evidence is a broken
//! connection. Each such failure is a *strike* against the fingerprint of the
//! request ([`Fingerprint`](super::once::Fingerprint)), which is recorded in a
//! [`StrikeTable`]. An entry sends its strikes to the other entries as a
//! [`StrikeNotice`] before the caller gets its response, so they are known if the
//! caller repeats the request through another entry. After two strikes the
//! fingerprint is blocked for [`BLOCK_DURATION`].
//!
//! # Trade-offs
//!
//! * A broken connection has other causes as well: when a rack fails, all requests
//!   that run in it fail, and popular ones would then be blocked. A fingerprint
//!   that was executed successfully within the last minutes does not crash every
//!   target that runs it, so its failures are not strikes ([`RecentSuccesses`]).
//!   A request that crashes only some of its targets is therefore not blocked;
//!   the retry budget limits its damage.
//! * Requests with the same fingerprint that start before the first strike is
//!   known are not serialised, since that would delay the first request of each
//!   fingerprint.
//! * A false positive rejects all requests with the fingerprint for ten minutes,
//!   or until an operator clears it. The response says that the request was not
//!   run.
//!
//! See [docs/design.md](../../../docs/design.md), section 3.11.

mod counter;
mod failure;
mod spread;
mod strikes;

pub use counter::{MemberCount, StrikeCounter};
pub use failure::{Failure, FailureCause, RecentSuccesses, Stage, is_strike};
pub use spread::neighbour_places;
pub use strikes::{Admission, BLOCK_DURATION, Merged, StrikeNotice, StrikeTable};

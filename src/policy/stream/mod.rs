//! Decides until when a response is passed on to its caller.
//!
//! Callers give up at their deadline, so the rest of a body is of no use to anybody
//! after it, and a target may send a body without an end. A response that is on its
//! way is not broken off before the caller's deadline, also if the timeout of the
//! route ends earlier: the timeout bounds how long a caller waits for a response,
//! and a caller that is receiving one still wants the rest.

use crate::domain::Millis;

/// How long after the deadline of its request a response is still passed on. It
/// covers the way of the last bytes.
const GRACE: Millis = Millis(200);

/// Returns how long a response to a request with the given deadline may still be
/// passed on.
#[must_use]
pub fn time_left(deadline: Millis, now: Millis) -> Millis {
    deadline + GRACE - now
}

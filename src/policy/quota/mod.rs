//! Quotas of workspaces over all entries, without consensus.
//!
//! Each of the N entries that share limits has the part 1/N of every quota. It
//! delegates its part to the granter of its region, for [`DELEGATION`] with each
//! [`Ask`], and gets tokens in return. A [`Granter`] keeps one token bucket per
//! workspace, whose rate and capacity are the sums of the parts that it holds. A part
//! is in one place at a time, so the sum over all buckets never exceeds the quota,
//! whatever messages are lost and however the views of the entries differ. An entry
//! whose part is not delegated uses it with a granter of its own. See
//! [docs/design/quotas.md](../../../docs/design/quotas.md).

mod bucket;
mod choose;
mod crumbs;
mod delegating;
mod granter;
mod holder;
mod limit;
mod message;
mod recent;
mod rounds;
mod surplus;
mod usage;

use choose::GranterSelector;
use delegating::Delegating;
pub use granter::{Granter, LimitChange};
pub use holder::{HandStatus, Holder, Shortage, Token};
pub use limit::Limit;
pub use message::{Answer, Ask, Echo, Grant, NEEDS_MAX, Need, Room};
pub use rounds::{Call, Rounds, View};

use crate::domain::Millis;

/// How long a part is delegated. It is more than three periods, so that a lost call
/// does not take the part away from the granter.
pub const DELEGATION: Millis = Millis(1_000);

/// The time between two asks of an entry without waiting requests.
pub const ASK_PERIOD: Millis = Millis(300);

/// The time between two rounds while tokens of other regions are pending. It is less
/// than a round trip between regions.
pub const PENDING_PERIOD: Millis = Millis(60);

/// How long a granter may take to answer. Then the next one is asked.
const CALL_TIMEOUT: Millis = Millis(250);

/// How long a token is valid, counted from the sending of the ask. It is longer than
/// the period, so that tokens are at hand until the next answer.
pub const TOKEN_VALIDITY: Millis = Millis(400);

/// How long tokens may be on their way from one granter to another. Later ones are
/// lost.
pub const TRANSFER_VALIDITY: Millis = Millis(150);

/// How long a request waits for a token.
pub const ASK_TIMEOUT: Millis = Millis(350);

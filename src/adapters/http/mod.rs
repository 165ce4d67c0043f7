//! HTTP/1.1 to callers, operators and targets.
//!
//! Requests arrive at a volo-http router. Its `Server::run` is not used, because
//! it gives up on running requests after about 30 s, so [`bind`] drives the
//! connections itself. Requests leave over hyper connections, because hyper
//! tells whether a request was written; volo-http's client does not, and without
//! that no refusal could truthfully say `not-run`. See
//! [docs/design.md](../../../docs/design.md), section 6.

mod content;
mod query;
mod refusal;
mod server;
mod socket;
mod target;

pub use content::{Content, full, strip_hop_by_hop};
pub use query::Query;
pub use refusal::{CODE, OUTCOME, answer};
pub use server::{BindError, Limits, Server, bind};
pub use target::{Keep, open};

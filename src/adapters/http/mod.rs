//! HTTP/1.1 to callers, operators and targets.
//!
//! A volo-http router handles inbound requests. [`bind`] drives the connections
//! itself instead of calling volo-http's `Server::run`, which aborts running
//! requests about 30 s after the start of a shutdown. Outbound requests use
//! hyper connections, because hyper reports whether a failed request was
//! written. volo-http's client does not, and without that information a refusal
//! could not reliably say `not-run`. See
//! [docs/design.md](../../../docs/design.md), section 6.

mod caller;
mod content;
mod listener;
mod progress;
mod query;
mod refusal;
mod replay;
mod server;
mod socket;
mod target;
mod unread;

pub use caller::CallerHeaders;
pub use content::{Content, full_body, strip_hop_by_hop};
pub use listener::listeners;
pub use query::Query;
pub use refusal::{CODE_HEADER, OUTCOME_HEADER, refusal_response};
pub use replay::ReplayBody;
pub use server::{BindError, Limits, Server, bind, peer_ip};
pub use target::{PoolConfig, open};

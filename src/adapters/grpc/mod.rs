//! Calls between entries over gRPC.
//!
//! All methods of `savorybeam.peer.v1.Peer` are unary. A method is a closure
//! over prost messages that is registered in [`Routes`], so each protocol
//! (gossip, limits, claims) defines its messages in its own file and no code is
//! generated. The drawback is that there is no `.proto` file for clients in
//! other languages. See [docs/design.md](../../../docs/design.md), section 5.

mod changes;
pub mod claim;
mod claim_calls;
mod fetch;
mod gossip;
pub mod limit;
mod limit_calls;
mod peers;
mod quota;
mod reports;
mod sender;
mod server;
mod stamps;
mod traffic;

pub use changes::{changes, serve_changes};
pub use claim_calls::{send_claims, send_strikes, serve_claim, serve_strike, strikes};
pub use fetch::{
    DocumentBody, Fetch, FetchMessage, FetchReply, FetchReplyMessage, fetch, serve_fetch,
};
pub use gossip::{
    Ack, MemberRecord, Probe, ProbeMessage, Relay, RelayMessage, Sync, SyncMessage, SyncReply,
    SyncReplyMessage, probe, relay, serve_probe, serve_relay, serve_sync, sync,
};
pub use limit_calls::{send_limit, serve_limit};
pub use peers::{CallError, Peers, Step};
pub use quota::{QuotaReply, QuotaRequest, quotas, serve_quota};
pub use reports::{
    EventsQuery, Report, events, moves, report, serve_events, serve_moves, serve_report,
};
pub use sender::{Sender, SenderMessage, malformed};
pub use server::{Routes, Server, bind};
pub use tonic::Status;
pub use traffic::{Traffic, TrafficCounts};

/// The full name of the gRPC service that contains all methods.
pub const SERVICE: &str = "savorybeam.peer.v1.Peer";

/// The maximum size of an encoded message. Larger messages would delay others
/// on the same network link; a sender with more data splits it into several
/// messages.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// The maximum size of an encoded reply with the state of the platform. A configuration
/// of the store has up to 1 MiB and cannot be split, and the changes of 30 s come beside
/// it. An entry that cannot get them from others has to ask the store.
pub const MAX_STATE_BYTES: usize = 4 << 20;

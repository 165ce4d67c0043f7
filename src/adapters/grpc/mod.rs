//! Messages between entries, over gRPC.
//!
//! All methods of `savorybeam.peer.v1.Peer` are unary. A method is a closure
//! over prost messages that is registered in [`Routes`], so each protocol
//! (gossip, limits, claims) keeps its messages in a file of its own and no code
//! is generated. The cost is that there is no `.proto` file for other languages
//! to read. See [docs/design.md](../../../docs/design.md), section 5.

mod changes;
pub mod claim;
mod claims;
mod fetch;
mod gossip;
mod head;
pub mod limit;
mod limits;
mod peers;
mod reports;
mod server;
mod stamps;
mod traffic;

pub use changes::{changes, serve_changes};
pub use claims::{claim as ask_home, serve_claim, serve_strike, strike};
pub use fetch::{
    DocumentBody, Fetch, FetchMessage, FetchReply, FetchReplyMessage, fetch, serve_fetch,
};
pub use gossip::{
    Ack, MemberRecord, Probe, ProbeMessage, Relay, RelayMessage, Sync, SyncMessage, SyncReply,
    SyncReplyMessage, probe, relay, serve_probe, serve_relay, serve_sync, sync,
};
pub use head::{Head, Sender, malformed};
pub use limits::{send_limit, serve_limit};
pub use peers::{CallError, Peers, Step};
pub use reports::{
    EventsAsked, Report, events, moves, report, serve_events, serve_moves, serve_report,
};
pub use server::{Routes, Server, bind};
pub use tonic::Status;
pub use traffic::{Counts, Traffic};

/// The service that all methods belong to.
pub const SERVICE: &str = "savorybeam.peer.v1.Peer";

/// The most bytes of one message. Larger replies would delay others on the same
/// link; whoever has more to send splits it.
pub const MESSAGE_MAX: usize = 256 * 1024;

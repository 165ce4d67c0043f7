//! `Limit`: the method that delivers messages about limits.
//!
//! The reply is empty. Responses to the messages are sent in later calls, so
//! that a lost call never loses a message together with its response.

use std::net::SocketAddr;

use super::{
    limit::{LimitAck, LimitBatch, UnpackedBatch, unpack},
    peers::{CallError, Peers},
    sender::malformed,
    server::Routes,
};

const LIMIT: &str = "Limit";

/// Registers the closure that receives messages about limits.
#[must_use]
pub fn serve_limit<F>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(UnpackedBatch) + Send + Sync + 'static,
{
    routes.route(LIMIT, move |batch: LimitBatch| {
        let f = f.clone();
        async move {
            f(unpack(&batch).map_err(malformed)?);
            Ok(LimitAck {})
        }
    })
}

/// Sends messages about limits to the entry at `peer`.
///
/// # Errors
///
/// See [`Peers::call`].
pub async fn send_limit(
    peers: &Peers,
    peer: SocketAddr,
    batch: LimitBatch,
) -> Result<(), CallError> {
    let LimitAck {} = peers.call(peer, LIMIT, batch).await?;
    Ok(())
}

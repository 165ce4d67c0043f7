//! `Limit`: the call that carries messages about limits.
//!
//! There is no reply: answers are messages of their own, so that each may be
//! lost alone.

use std::net::SocketAddr;

use super::{
    head::malformed,
    limit::{LimitAck, LimitBatch, Unpacked, unpack},
    peers::{CallError, Peers},
    server::Routes,
};

const LIMIT: &str = "Limit";

/// Registers the closure that takes messages about limits.
#[must_use]
pub fn serve_limit<F>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(Unpacked) + Send + Sync + 'static,
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
/// As [`Peers::call`].
pub async fn send_limit(
    peers: &Peers,
    peer: SocketAddr,
    batch: LimitBatch,
) -> Result<(), CallError> {
    let LimitAck {} = peers.call(peer, LIMIT, batch).await?;
    Ok(())
}

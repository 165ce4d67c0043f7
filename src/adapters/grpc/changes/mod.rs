//! `Changes`: the method that relays changes of the platform's state from one
//! entry to another.

mod config;
mod demand;
mod messages;
mod workspace;

use std::{future::Future, net::SocketAddr, sync::Arc};

pub use self::messages::{ChangesReply, ChangesRequest};
use super::{
    MAX_STATE_BYTES,
    peers::{CallError, Peers, Step},
    server::Routes,
};
use crate::{
    domain::{Era, Millis, Position, Revision},
    policy::upstream::REPLY_MARGIN,
    ports::{AgedBatch, Batch, Changes, ChangesQuery, FetchError, FetchRequest},
};

const CHANGES: &str = "Changes";

/// Registers the closure that returns the changes that this entry knows.
#[must_use]
pub fn serve_changes<F, Fut>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(ChangesQuery) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<AgedBatch, FetchError>> + Send + 'static,
{
    routes.route_large(CHANGES, MAX_STATE_BYTES, move |message: ChangesRequest| {
        let era = Era(message.era.unwrap_or_default());
        let after = message.after.map(|r| Position::new(era, Revision(r)));
        let fetch = f(ChangesQuery {
            after,
            has_era: message.era.is_some(),
            wait: Millis(message.wait_ms),
            report: demand::decode_report(&message.entry, &message.demand),
        });
        async move {
            Ok(match fetch.await {
                Ok(aged_batch) => messages::encode(&aged_batch),
                Err(e) => ChangesReply {
                    compacted: e == FetchError::Compacted,
                    era: Some(era.0),
                    ..ChangesReply::default()
                },
            })
        }
    })
}

/// Returns the port that requests changes over `peers`.
#[must_use]
pub fn changes(peers: Arc<Peers>) -> Changes {
    Changes {
        fetch: Arc::new(move |request| {
            let peers = peers.clone();
            Box::pin(async move { call(&peers, request).await })
        }),
    }
}

async fn call(peers: &Peers, request: FetchRequest) -> Result<AgedBatch, FetchError> {
    let FetchRequest {
        peer,
        after,
        wait,
        report,
    } = request;
    let (entry, demand) = report.map_or_else(Default::default, |r| {
        (
            r.entry.to_string(),
            demand::encode_demand(&r.demand.services),
        )
    });
    let message = ChangesRequest {
        after: after.map(|p| p.revision.0),
        wait_ms: wait.0,
        entry,
        demand,
        era: Some(after.unwrap_or_default().era.0),
    };
    let limit = wait + REPLY_MARGIN;
    let reply = peers.call_large(peer, CHANGES, message, limit, MAX_STATE_BYTES);
    let reply: ChangesReply = reply.await.map_err(|e| fetch_error(peer, &e))?;
    if reply.era.is_none() && after.is_some_and(|p| p.era > Era(0)) {
        return Err(FetchError::NoEra);
    }
    if reply.compacted {
        return Err(FetchError::Compacted);
    }
    let era = Era(reply.era.unwrap_or_default());
    let Some(position) = reply.revision.map(|r| Position::new(era, Revision(r))) else {
        return Err(FetchError::Empty);
    };
    let changes = messages::decode(&reply);
    let changes =
        changes.map_err(|e| fetch_error(peer, &CallError::invalid_reply(CHANGES, peer, &e)))?;
    Ok(AgedBatch {
        batch: Batch { changes, position },
        age: Millis(reply.age_ms),
        has_gap: reply.has_gap,
        demand: demand::decode_total(reply.entries, &reply.demand),
    })
}

fn fetch_error(peer: SocketAddr, e: &CallError) -> FetchError {
    let step = match e.step {
        Step::Encode => "encode a request for changes",
        Step::Connect => "connect for changes",
        Step::Wait => "wait for changes",
        Step::Reply => "request changes",
    };
    FetchError::Failed {
        step,
        peer,
        cause: e.cause.clone(),
    }
}

//! `Changes`: what one entry knows of the platform, passed on to another.

mod config;
mod messages;

use std::{future::Future, net::SocketAddr, sync::Arc};

pub use self::messages::{AskMessage, NewsMessage};
use super::{
    peers::{CallError, Peers, Step},
    server::Routes,
};
use crate::{
    domain::{Millis, Revision},
    ports::{AgedBatch, Batch, Changes, FetchError, FetchRequest},
};

const CHANGES: &str = "Changes";

/// How long a reply may take beyond the time for which the other entry waits.
const SLACK: Millis = Millis(250);

/// Registers the closure that answers with what this entry knows.
#[must_use]
pub fn serve_changes<F, Fut>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(Option<Revision>, Millis) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<AgedBatch, FetchError>> + Send + 'static,
{
    routes.route(CHANGES, move |message: AskMessage| {
        let news = f(message.after.map(Revision), Millis(message.wait_ms));
        async move {
            Ok(match news.await {
                Ok(news) => messages::put(&news),
                Err(FetchError::Compacted) => NewsMessage {
                    compacted: true,
                    ..NewsMessage::default()
                },
                Err(_) => NewsMessage::default(),
            })
        }
    })
}

/// Opens the asking side.
#[must_use]
pub fn changes(peers: Arc<Peers>) -> Changes {
    Changes {
        fetch: Arc::new(move |ask| {
            let peers = peers.clone();
            Box::pin(async move { call(&peers, ask).await })
        }),
    }
}

async fn call(peers: &Peers, ask: FetchRequest) -> Result<AgedBatch, FetchError> {
    let FetchRequest { peer, after, wait } = ask;
    let message = AskMessage {
        after: after.map(|r| r.0),
        wait_ms: wait.0,
    };
    let reply = peers.call_within(peer, CHANGES, message, wait + SLACK);
    let reply: NewsMessage = reply.await.map_err(|e| failed(peer, &e))?;
    if reply.compacted {
        return Err(FetchError::Compacted);
    }
    let Some(revision) = reply.revision.map(Revision) else {
        return Err(FetchError::Empty);
    };
    let changes = messages::get(&reply);
    let changes = changes.map_err(|e| failed(peer, &CallError::unreadable(CHANGES, peer, &e)))?;
    Ok(AgedBatch {
        batch: Batch { changes, revision },
        age: Millis(reply.age_ms),
    })
}

fn failed(peer: SocketAddr, e: &CallError) -> FetchError {
    let step = match e.step {
        Step::Encode => "encode a question",
        Step::Connect => "connect for changes",
        Step::Wait => "wait for changes",
        Step::Reply => "ask for changes",
    };
    FetchError::Failed {
        step,
        peer,
        cause: e.cause.clone(),
    }
}

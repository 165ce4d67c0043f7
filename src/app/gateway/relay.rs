//! Passes on to other entries what this one knows of the platform.

use std::sync::Arc;

use eyre::WrapErr;
use tokio::time::timeout;

use super::{State, now};
use crate::{
    adapters::grpc::{self, Routes, Server},
    domain::{Millis, Revision},
    ports::{AskError, Batch, Change, News},
};

/// Starts to answer other entries, if the settings have an address for it.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(super) async fn bind(state: &Arc<State>) -> eyre::Result<Option<Server>> {
    let Some(addr) = state.settings().control else {
        return Ok(None);
    };
    let state = state.clone();
    let routes = grpc::serve_changes(Routes::default(), move |after, wait| {
        let state = state.clone();
        async move {
            match after {
                Some(after) => news(&state, after, wait).await,
                None => everything(&state),
            }
        }
    });
    let server = grpc::bind(addr, routes).await;
    Ok(Some(server.wrap_err("start the server of changes")?))
}

/// Returns the changes after a revision, and waits until there is one.
async fn news(state: &State, after: Revision, wait: Millis) -> Result<News, AskError> {
    state.set_asked(now(state) + wait);
    let mut revisions = state.revisions();
    let newer = revisions.wait_for(|known| *known > after);
    // Without news the answer still tells that nothing has changed.
    let _ = timeout(wait.duration(), newer).await.is_ok();
    let log = state.log();
    let changes = log.changes_after(after).ok_or(AskError::Compacted)?;
    Ok(News {
        batch: Batch {
            changes,
            revision: log.revision(),
        },
        age: now(state) - log.as_of(),
    })
}

/// Returns everything that is known.
fn everything(state: &State) -> Result<News, AskError> {
    let (revision, at) = {
        let log = state.log();
        (log.revision(), log.as_of())
    };
    // What changes from here on may be in the answer already, and is told again
    // after the revision.
    let table = state.table().ok_or(AskError::Empty)?;
    let mut changes = vec![Change::Configured(Box::new(table.configuration()))];
    let closed = state.closed();
    changes.extend(closed.iter().cloned().map(Change::Evacuated));
    changes.extend(state.entries().all().cloned().map(Change::Joined));
    changes.extend(state.registry().targets().cloned().map(Change::Registered));
    Ok(News {
        batch: Batch { changes, revision },
        age: now(state) - at,
    })
}

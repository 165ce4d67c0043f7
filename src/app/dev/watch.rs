//! Passes documents from the embedded store to the entries.

use std::sync::Arc;

use eyre::eyre;
use tokio::task::JoinHandle;

use crate::{
    adapters::store::documents::{Arrival, PREFIX, arrivals},
    app::entry::State,
    policy::{document::Content, timeline::Kind},
    ports::{Store, Update},
};

/// Adopts every document now and every later revision as it arrives.
pub(super) async fn spawn(store: Store, states: Vec<Arc<State>>) -> eyre::Result<JoinHandle<()>> {
    let snapshot = (store.list)(PREFIX).await.map_err(|e| eyre!(e))?;
    for record in snapshot.records {
        adopt(&states, &Update::Put(record));
    }
    let start = snapshot.revision;
    let mut updates = (store.watch)((PREFIX, start)).await.map_err(|e| eyre!(e))?;
    Ok(tokio::spawn(async move {
        while let Some(update) = updates.recv().await {
            adopt(&states, &update);
        }
    }))
}

fn adopt(states: &[Arc<State>], update: &Update) {
    for arrival in arrivals(update) {
        let Arrival {
            service,
            revision,
            content,
        } = arrival;
        match content {
            Content::Document(document) => {
                for state in states {
                    state.adopt(&document, revision);
                    let text = format!("{service} revision {revision}");
                    (state.events.emit)(Kind::RevisionAdopted, text);
                }
            }
            Content::Deleted => {
                for state in states {
                    state.services.remove(&service);
                    let text = format!("{service} revision {revision}, which deletes it");
                    (state.events.emit)(Kind::RevisionAdopted, text);
                }
            }
            Content::Invalid(faults) => {
                let all = faults.join("; ");
                tracing::warn!("document: {service} revision {revision} is invalid: {all}.");
            }
        }
    }
}

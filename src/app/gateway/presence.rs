//! Announces this entry in the store for as long as it serves.

use std::sync::Arc;

use tokio::{sync::oneshot, task::JoinHandle};

use super::State;
use crate::{
    domain::{self, Millis},
    ports::{LeaseId, PlatformError},
};

/// How long an entry counts as serving after its last renewal.
const TTL: Millis = Millis(3_000);

/// How often the lease is renewed.
const PERIOD: Millis = Millis(1_000);

/// How often a process that is not ready yet looks again.
const LOOK: Millis = Millis(100);

/// The announcement of this entry.
#[derive(Debug)]
pub(super) struct Presence {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

/// Starts to announce this entry.
pub(super) fn spawn(state: Arc<State>) -> Presence {
    let (stop, stopped) = oneshot::channel();
    let task = tokio::spawn(run(state, stopped));
    Presence { stop, task }
}

impl Presence {
    /// Ends the announcement, so that look-ups no longer name this entry.
    pub async fn withdraw(self) {
        drop(self.stop);
        // The task only fails if it panicked, and the lease then ends by itself.
        let _ = self.task.await;
    }
}

async fn run(state: Arc<State>, mut stopped: oneshot::Receiver<()>) {
    let mut lease = None;
    loop {
        let pause = if state.is_ready() {
            lease = keep(&state, lease).await;
            PERIOD
        } else {
            LOOK
        };
        tokio::select! {
            _ = &mut stopped => break,
            () = tokio::time::sleep(pause.duration()) => {}
        }
    }
    if let Some(lease) = lease
        && let Err(e) = (state.ports.platform.withdraw)(lease).await
    {
        tracing::warn!(cause = %e, "presence: not withdrawn, the lease will end by itself.");
    }
}

/// Renews the lease, or announces the entry if there is none.
async fn keep(state: &State, lease: Option<LeaseId>) -> Option<LeaseId> {
    let platform = &state.ports.platform;
    if let Some(lease) = lease {
        match (platform.renew)(lease).await {
            // After a failure it is not known whether the lease was renewed, so the
            // next call tells.
            Ok(()) | Err(PlatformError::Failed { .. }) => return Some(lease),
            Err(e) => tracing::warn!(cause = %e, "presence: announcing again."),
        }
    }
    let settings = state.settings();
    let presence = domain::Presence {
        name: settings.name.clone(),
        front: settings.front,
        peer: settings.control,
        link: settings.link,
        az: settings.az.clone(),
        region: settings.region.clone(),
    };
    match (platform.announce)((presence, TTL)).await {
        Ok(lease) => {
            tracing::info!("presence: announced.");
            Some(lease)
        }
        Err(e) => {
            tracing::warn!(cause = %e, "presence: not announced.");
            None
        }
    }
}

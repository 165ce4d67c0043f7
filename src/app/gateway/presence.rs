//! Announces this entry in the store while it can serve requests.

use std::sync::Arc;

use rand::Rng;
use tokio::sync::oneshot;

use super::State;
use crate::{
    domain::{self, Millis},
    policy::presence::announce_spread,
    ports::{Lease, PlatformError},
};

/// How long an entry stays announced after its last renewal.
const LEASE_TTL: Millis = Millis(3_000);

/// How often the lease is renewed.
const RENEWAL_PERIOD: Millis = Millis(1_000);

/// How often a process that is not ready yet checks its readiness.
const READINESS_CHECK_PERIOD: Millis = Millis(100);

/// The task that announces this entry.
#[derive(Debug)]
pub(super) struct Announcement {
    stop: oneshot::Sender<()>,
}

/// Starts the task.
pub(super) fn spawn(state: Arc<State>) -> Announcement {
    let (stop, stopped) = oneshot::channel();
    tokio::spawn(run(state, stopped));
    Announcement { stop }
}

impl Announcement {
    /// Makes the task withdraw the announcement, so that lookups no longer
    /// return this entry. It does not wait for that: the store may be silent, and
    /// the lease expires in any case.
    pub fn withdraw(self) {
        drop(self.stop);
    }
}

async fn run(state: Arc<State>, mut stopped: oneshot::Receiver<()>) {
    let mut lease = None;
    loop {
        let pause = if state.is_ready() {
            let pause;
            (lease, pause) = renew_or_announce(&state, lease).await;
            pause
        } else {
            READINESS_CHECK_PERIOD
        };
        tokio::select! {
            _ = &mut stopped => break,
            () = tokio::time::sleep(pause.duration()) => {}
        }
    }
    let Some(lease) = lease else {
        return;
    };
    if lease.era < state.era() {
        // In a later era its number may be that of another entry's lease.
        tracing::info!("presence: there is no lease to withdraw in the new era.");
        return;
    }
    match (state.ports.platform.withdraw)(lease).await {
        Ok(()) => tracing::info!("presence: withdrawn."),
        Err(e) => {
            tracing::warn!(cause = %e, "presence: withdrawal failed, the lease will expire.");
        }
    }
}

/// Renews the lease, or announces the entry if there is none. Returns the lease
/// and the time to the next call.
async fn renew_or_announce(state: &State, lease: Option<Lease>) -> (Option<Lease>, Millis) {
    if let Some(lease) = lease {
        match renew(state, lease).await {
            // After a failed call the lease may still exist. The next renewal
            // shows whether it does.
            Ok(()) | Err(PlatformError::Failed { .. } | PlatformError::Stale { .. }) => {
                return (Some(lease), RENEWAL_PERIOD);
            }
            Err(PlatformError::NewEra(era)) => {
                let pause = announce_delay(state);
                tracing::info!(%era, delay = %pause, "presence: the store has lost the lease, announcing again.");
                return (None, pause);
            }
            Err(e) => tracing::warn!(cause = %e, "presence: renewal failed, announcing again."),
        }
    }
    (announce(state).await, RENEWAL_PERIOD)
}

/// Renews the lease, unless the store is in a later era: its number may be that of
/// another entry's lease there.
async fn renew(state: &State, lease: Lease) -> Result<(), PlatformError> {
    let era = state.era();
    if lease.era < era {
        return Err(PlatformError::NewEra(era));
    }
    (state.ports.platform.renew)(lease).await
}

/// Returns a random delay that spreads the announcements of all entries.
fn announce_delay(state: &State) -> Millis {
    let entries = state.entries().all().count();
    let spread = announce_spread(entries);
    Millis(rand::rng().random_range(0..=spread.0))
}

/// Announces this entry under a new lease.
async fn announce(state: &State) -> Option<Lease> {
    let settings = state.settings();
    let presence = domain::Presence {
        name: settings.name.clone(),
        front: settings.front,
        peer: settings.control,
        link: settings.link,
        az: settings.az.clone(),
        region: settings.region.clone(),
    };
    match (state.ports.platform.announce)((presence, LEASE_TTL)).await {
        Ok(lease) => {
            tracing::info!("presence: announced.");
            state.entries().record_announced((state.ports.clock.now)());
            Some(lease)
        }
        Err(e) => {
            tracing::warn!(cause = %e, "presence: announcement failed.");
            None
        }
    }
}

//! The process that runs on each entry VM.
//!
//! [`spawn`] starts it and returns a handle. There is no other role: each entry
//! answers lookups, carries requests, and does its share of the control work,
//! so any VM can replace any other.
//!
//! A request passes through these modules in one direction: `inbound` accepts
//! it, `callers` finds the workspace of its caller, `quota` admits it, `job` reads it, `crashes` and `claims` decide whether it may run,
//! `grants` waits for a `slot`, `carry` sends it, and `reply` forwards the
//! answer. They use `state`, whose parts (`service`, `claim_tables`,
//! `locations`, `observe`, `events`) do not depend on them.

pub mod admin;
mod bound;
mod callers;
mod carry;
mod claim_tables;
mod claims;
mod control;
mod crashes;
mod decisions;
mod events;
mod fleet;
mod grants;
mod inbound;
mod job;
mod limits;
mod locations;
mod lookup;
mod observe;
mod pacing;
mod places;
mod quota;
mod reply;
mod service;
mod slot;
mod state;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::WrapErr;

use self::control::Control;
pub use self::{service::Service, state::State};
use crate::{
    adapters::{
        http::{self, Limits, Server},
        ini::Settings,
        metrics::Metrics,
    },
    domain::Millis,
    policy::{
        drain::{Phase, Step, StopSequence},
        timeline::Kind,
    },
    ports::{Clock, Store, Targets},
};

/// The interval at which readiness and the progress of a stop are checked.
const STOP_POLL: Duration = Duration::from_millis(50);

/// The ports through which a running entry reaches the outside.
#[derive(Clone, Debug)]
pub struct Ports {
    /// The clock.
    pub clock: Clock,
    /// The client that sends requests to targets.
    pub targets: Targets,
    /// The store.
    pub store: Store,
    /// The metrics of the process.
    pub metrics: Metrics,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// The state, which the administration and tests read.
    pub state: Arc<State>,
    callers: Server,
    admin: Server,
    control: Control,
}

/// Starts an entry.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn spawn(settings: Settings, ports: Ports) -> eyre::Result<Entry> {
    let limits = Limits {
        connections: settings.connections,
        ..Limits::default()
    };
    let addr = settings.callers;
    let (state, outbox) = State::open(settings, ports);
    let callers = http::bind(addr, limits, inbound::router(&state))
        .await
        .wrap_err("start the callers' server")?;
    let admin = admin::start(&state)
        .await
        .wrap_err("start the administration server")?;
    // Started last, so that other entries learn of this one only when it
    // serves.
    let control = control::spawn(&state, outbox).await?;
    (state.events.emit)(Kind::EntryStarted, format!("callers at {}", callers.addr()));
    Ok(Entry {
        state,
        callers,
        admin,
        control,
    })
}

impl Entry {
    /// Returns the address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Waits until the entry is ready to serve requests.
    pub async fn ready(&self) {
        while self.state.unready_reason().is_some() {
            tokio::time::sleep(STOP_POLL).await;
        }
    }

    /// Stops the entry without aborting a request.
    ///
    /// The other entries are told first, so that lookups no longer name this
    /// one. It continues to serve as long as callers may use an older answer of
    /// a lookup. The administration server stops after the last request has
    /// ended, so that operators can watch the drain.
    pub async fn stop(self) {
        let Self {
            state,
            callers,
            admin,
            control,
        } = self;
        (state.events.emit)(Kind::EntryLeaving, state.settings.name.to_string());
        linger(&state).await;
        callers.stop().await;
        // Targets may still work on requests whose callers have disconnected.
        while state.running() > 0 {
            tokio::time::sleep(STOP_POLL).await;
        }
        (state.events.emit)(Kind::EntryStopped, state.settings.name.to_string());
        control::leave_roster(&state).await;
        control.stop().await;
        admin.stop().await;
        tracing::info!("entry: {} stopped.", state.settings.name);
    }
}

/// Announces the stop and waits until callers no longer connect.
async fn linger(state: &Arc<State>) {
    let now = || (state.ports.clock.now)();
    let (mut stop, _) = StopSequence::begin(state.settings.linger, now());
    state.fleet.members().leave();
    let announced_at = now();
    while stop.accepts_connections() {
        tokio::time::sleep(STOP_POLL).await;
        // The announcement is sent to three entries at once and to another one
        // each second, so some have received it after this time. If there are
        // no other entries, nothing has to be announced.
        if stop.phase() == Phase::Announcing
            && (is_alone(state) || now() - announced_at >= Millis(1_000))
        {
            stop.acknowledged(now());
        }
        if stop.closes_connections(now()) {
            state.set_closing();
        }
        if stop.tick(state.running(), now()) == Some(Step::Announce) {
            state.fleet.members().leave();
        }
    }
}

fn is_alone(state: &State) -> bool {
    state.fleet.other_entries().is_empty()
}

//! The process that runs on each entry VM.
//!
//! [`spawn`] starts it and returns a handle. There is no other role: each entry
//! answers look-ups, carries requests, and takes its part of the control work,
//! so that any VM can be replaced by any other.
//!
//! A request passes these modules in one direction: `inbound` accepts it, `job`
//! reads it, `crashes` and `claims` tell whether it may run, `grants` waits for a
//! `slot`, `carry` sends it, `reply` passes the answer on. They work on `state`,
//! whose parts (`service`, `keys`, `locations`, `observe`, `events`) know nothing
//! of them.

pub mod admin;
mod carry;
mod claims;
mod control;
mod crashes;
mod decisions;
mod events;
mod fleet;
mod grants;
mod inbound;
mod job;
mod keys;
mod limits;
mod locations;
mod lookup;
mod observe;
mod pacing;
mod places;
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

/// How often a stop is looked at.
const STOP_PERIOD: Duration = Duration::from_millis(50);

/// What a running entry needs from outside.
#[derive(Clone, Debug)]
pub struct Ports {
    /// Time.
    pub clock: Clock,
    /// Requests to targets.
    pub targets: Targets,
    /// The store.
    pub store: Store,
    /// The metrics of the process.
    pub metrics: Metrics,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// Its state, which the administration and tests read.
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
    // Last, so that no entry hears of this one before it serves.
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
    /// Returns the address at which callers reach it.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Returns the address at which operators reach it.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Waits until the entry serves.
    pub async fn ready(&self) {
        while self.state.unready().is_some() {
            tokio::time::sleep(STOP_PERIOD).await;
        }
    }

    /// Stops without cutting off a request.
    ///
    /// The peers are told first, so that no further caller is sent here, and
    /// the entry serves on as long as callers may keep an older answer. The
    /// administration stays until the last request has ended, so that operators
    /// see the drain.
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
        // Targets may still work on requests whose callers went away.
        while state.running() > 0 {
            tokio::time::sleep(STOP_PERIOD).await;
        }
        (state.events.emit)(Kind::EntryStopped, state.settings.name.to_string());
        control::leave_roster(&state).await;
        control.stop().await;
        admin.stop().await;
        tracing::info!("entry: {} stopped.", state.settings.name);
    }
}

/// Announces the stop and waits until callers no longer come.
async fn linger(state: &Arc<State>) {
    let now = || (state.ports.clock.now)();
    let (mut stop, _) = StopSequence::begin(state.settings.linger, now());
    state.fleet.members().leave();
    let announced = now();
    while stop.accepts_connections() {
        tokio::time::sleep(STOP_PERIOD).await;
        // The announcement goes to three peers at once and to another one each
        // second, so after this time some have it. Alone there is nobody to tell.
        if stop.phase() == Phase::Announcing && (alone(state) || now() - announced >= Millis(1_000))
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

fn alone(state: &State) -> bool {
    state.fleet.others().is_empty()
}

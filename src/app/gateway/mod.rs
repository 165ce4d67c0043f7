//! The process that runs on each entry VM of the users' platform.
//!
//! [`spawn`] starts it and returns a handle. A request passes these modules in
//! one direction: `front` accepts it, `job` reads it and finds its route,
//! `carry` chooses targets until one has answered, `slot` holds a target for one
//! attempt, `exchange` sends the attempt, `answer` makes what the caller gets.
//! Beside them, `feed` keeps up with the platform, `relay` passes on to other
//! entries what `feed` knows, `presence` announces this entry, and `directory`
//! answers look-ups and checks.
//!
//! See [docs/platform.md](../../../../docs/platform.md).

mod answer;
mod carry;
mod directory;
mod exchange;
mod feed;
mod front;
mod job;
mod presence;
mod relay;
mod slot;
mod state;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::WrapErr;
use tokio::{task::JoinHandle, time::timeout};

pub use self::state::{Ports, State};
use crate::{
    adapters::{
        grpc,
        http::{self, Limits, Server},
    },
    domain::Millis,
    ports::VmSettings,
};

/// How long callers' connections may stay idle. A connection costs some 17 KB,
/// and impatient callers leave many behind.
const IDLE: Duration = Duration::from_secs(6);

/// Descriptors that are left to listeners, the store and connections to targets.
const RESERVED: usize = 1_000;

/// The part of the grace time during which a stopping entry still accepts
/// requests, since callers learn of the stop only with their next look-up.
const ACCEPT_PART: f64 = 0.55;

/// The part of the grace time after which a stopping entry ends in any case.
const END_PART: f64 = 0.93;

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Its state, which tests read.
    pub state: Arc<State>,
    front: Server,
    /// Servers that answer until the process ends.
    helpers: Vec<Server>,
    /// Answers other entries until the process ends.
    relay: Option<grpc::Server>,
    feed: JoinHandle<()>,
    presence: presence::Presence,
}

/// Starts a gateway.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn spawn(settings: VmSettings, ports: Ports) -> eyre::Result<Gateway> {
    let connections = settings.descriptors.saturating_sub(RESERVED).max(64);
    let limits = Limits {
        connections: u32::try_from(connections).unwrap_or(u32::MAX),
        head_timeout: IDLE,
        ..Limits::default()
    };
    let addr = settings.front;
    let state = Arc::new(State::new(settings, ports));
    let helpers = directory::bind(&state).await?;
    let front = http::bind(addr, limits, front::router(&state));
    let front = front.await.wrap_err("start the callers' server")?;
    let relay = relay::bind(&state).await?;
    let feed = tokio::spawn(feed::run(state.clone()));
    let presence = presence::spawn(state.clone());
    let version = env!("CARGO_PKG_VERSION");
    tracing::info!(entry = %state.settings().name, front = %addr, version, "gateway: started.");
    Ok(Gateway {
        state,
        front,
        helpers,
        relay,
        feed,
        presence,
    })
}

impl Gateway {
    /// Returns the address at which callers reach it.
    #[must_use]
    pub fn front(&self) -> SocketAddr {
        self.front.addr()
    }

    /// Returns the address at which other entries reach it.
    #[must_use]
    pub fn relay(&self) -> Option<SocketAddr> {
        self.relay.as_ref().map(grpc::Server::addr)
    }

    /// Returns the addresses of look-ups, readiness checks and metrics.
    pub fn helpers(&self) -> impl Iterator<Item = SocketAddr> {
        self.helpers.iter().map(Server::addr)
    }

    /// Stops within the grace time: leaves the directory, goes on serving while
    /// callers find other entries, and lets running requests end.
    pub async fn stop(self) {
        let grace = self.state.settings().bounds.grace_period;
        let part = |part: f64| grace.duration().mul_f64(part);
        self.state.set_stopping();
        tracing::info!(running = self.state.running(), "gateway: stopping.");
        let accepting = tokio::time::sleep(part(ACCEPT_PART));
        tokio::join!(self.presence.withdraw(), accepting);
        let left = part(END_PART).saturating_sub(part(ACCEPT_PART));
        let ended = timeout(left, self.front.stop()).await.is_ok();
        self.feed.abort();
        drop((self.helpers, self.relay));
        let running = self.state.running();
        tracing::info!(ended, running, "gateway: stopped.");
    }
}

/// Returns the present instant of the clock that decisions use.
fn now(state: &State) -> Millis {
    (state.ports.clock.now)()
}

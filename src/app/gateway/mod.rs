//! The process that runs on each entry VM of the users' platform.
//!
//! [`spawn`] starts it and returns a handle. A request passes through these
//! modules in order: `front` accepts it, `request` reads it and finds its
//! route, `quota` admits it if its workspace has a quota, `crashes` refuses it if it
//! crashes targets, `forward` tries targets until one has answered, `slot` reserves
//! capacity at a target for one attempt, `exchange` sends the attempt, `notice`
//! records what the target says about itself, and `response` builds the response
//! to the caller. Beside them, `feed` follows
//! changes of the platform, `relay` serves these changes to other entries,
//! `presence` announces this entry, and `directory` answers lookups and
//! readiness checks.
//!
//! See [docs/platform.md](../../../../docs/platform.md).

mod admit;
mod crashes;
mod directory;
mod exchange;
mod explain;
mod feed;
mod forward;
mod front;
mod notice;
mod presence;
mod quota;
mod relay;
mod request;
mod response;
mod slot;
mod state;
mod stop;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::WrapErr;
use tokio::task::JoinHandle;

pub use self::state::{Ports, State};
use crate::{
    adapters::{
        grpc,
        http::{self, Limits, Server},
    },
    domain::Millis,
    ports::VmSettings,
};

/// The time after which an idle connection of a caller is closed. A connection
/// takes about 17 KB, and callers that time out leave many idle ones behind.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// The file descriptors reserved for listeners, the store and connections to
/// targets. The others are available to callers' connections.
const RESERVED_DESCRIPTORS: usize = 1_000;

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    /// The state, public for tests.
    pub state: Arc<State>,
    front: Server,
    /// The servers of lookups, readiness checks and metrics, which run until
    /// the process ends.
    auxiliary: Vec<Server>,
    /// The server of changes for other entries, which runs until the process
    /// ends.
    relay: Option<grpc::Server>,
    feed: JoinHandle<()>,
    quota: JoinHandle<()>,
    crashes: JoinHandle<()>,
    announcement: presence::Announcement,
}

/// Starts a gateway.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn spawn(settings: VmSettings, ports: Ports) -> eyre::Result<Gateway> {
    let connections = settings
        .descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(64);
    let limits = Limits {
        connections: u32::try_from(connections).unwrap_or(u32::MAX),
        head_timeout: IDLE_TIMEOUT,
        ..Limits::default()
    };
    let addr = settings.front;
    let state = Arc::new(State::new(settings, ports));
    let auxiliary = directory::bind(&state).await?;
    let front = http::bind(addr, limits, front::router(&state));
    let front = front.await.wrap_err("start the server for callers")?;
    let relay = relay::bind(&state).await?;
    let feed = tokio::spawn(feed::run(state.clone()));
    let quota = tokio::spawn(quota::run(state.clone()));
    let crashes = tokio::spawn(crashes::run(state.clone()));
    let announcement = presence::spawn(state.clone());
    let version = env!("CARGO_PKG_VERSION");
    tracing::info!(entry = %state.settings().name, front = %addr, version, "gateway: started.");
    Ok(Gateway {
        state,
        front,
        auxiliary,
        relay,
        feed,
        quota,
        crashes,
        announcement,
    })
}

impl Gateway {
    /// Returns the address at which the gateway accepts callers' requests.
    #[must_use]
    pub fn front_addr(&self) -> SocketAddr {
        self.front.addr()
    }

    /// Returns the address at which the gateway serves changes to other
    /// entries.
    #[must_use]
    pub fn relay_addr(&self) -> Option<SocketAddr> {
        self.relay.as_ref().map(grpc::Server::addr)
    }

    /// Returns the addresses of lookups, readiness checks and metrics.
    pub fn auxiliary_addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.auxiliary.iter().map(Server::addr)
    }

    /// Stops the gateway within the grace period: withdraws the entry from
    /// lookups, serves the requests that cannot outlast the process while
    /// callers switch to other entries, and then waits for running requests.
    pub async fn stop(self) {
        let schedule = self.state.begin_stop(now(&self.state));
        tracing::info!(running = self.state.running(), "gateway: stopping.");
        let time_until = |at: Millis| (at - now(&self.state)).duration();
        self.announcement.withdraw();
        tokio::time::sleep(time_until(schedule.accept_until())).await;
        let running = self.state.running();
        tracing::info!(running, "gateway: no longer accepting connections.");
        let left = time_until(schedule.exit_at());
        let ended = self.front.stop_within(left).await;
        self.feed.abort();
        self.quota.abort();
        self.crashes.abort();
        drop((self.auxiliary, self.relay));
        let running = self.state.running();
        tracing::info!(ended, running, "gateway: stopped.");
    }
}

/// Returns the current time of the monotonic clock.
fn now(state: &State) -> Millis {
    (state.ports.clock.now)()
}

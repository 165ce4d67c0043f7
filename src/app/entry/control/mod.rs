//! The control tasks of an entry: membership, dissemination, limits, claims,
//! traffic shifts and the store.
//!
//! Each topic has its own task, which wakes periodically and performs the actions
//! that [`policy`](crate::policy) returns. Calls to other entries run in tasks of
//! their own, so that an unresponsive peer delays no other work. All decisions
//! are made in `policy`.

mod claims;
mod documents;
mod gauges;
mod gossip;
mod limits;
mod reports;
mod roster;
mod routes;
mod shifts;
mod store;
mod strikes;
mod targets;

use std::{sync::Arc, time::Duration};

use eyre::WrapErr;
use tokio::{
    sync::mpsc,
    task::{JoinHandle, JoinSet},
    time::MissedTickBehavior,
};

use super::State;
use crate::{
    adapters::grpc::{self, Server},
    domain::Millis,
    policy::limit::Outgoing,
};

pub(super) use self::{
    reports::{gather_events, gather_reports},
    roster::leave_roster,
    strikes::announce_strike,
};

/// How long calls of other entries that are in progress may take during a stop.
const STOP_TIMEOUT: Millis = Millis(1_000);

/// The running control tasks and the server for peers.
#[derive(Debug)]
pub struct Control {
    server: Server,
    tasks: JoinSet<()>,
}

/// Starts the control tasks and the server for peers.
///
/// # Errors
///
/// Returns an error if the address for peers cannot be bound.
pub(super) async fn spawn(
    state: &Arc<State>,
    outbox: mpsc::UnboundedReceiver<Outgoing>,
) -> eyre::Result<Control> {
    let server = grpc::bind(state.settings.peers, routes::routes(state))
        .await
        .wrap_err("start the server for peers")?;
    let mut tasks = JoinSet::new();
    tasks.spawn(claims::run(state.clone()));
    tasks.spawn(gossip::run(state.clone()));
    tasks.spawn(limits::run(state.clone()));
    tasks.spawn(gauges::run(state.clone()));
    tasks.spawn(limits::dispatch(state.clone(), outbox));
    tasks.spawn(shifts::run(state.clone()));
    tasks.spawn(store::run(state.clone()));
    tasks.spawn(roster::run(state.clone()));
    tasks.spawn(strikes::run(state.clone()));
    tasks.spawn(targets::run(state.clone()));
    Ok(Control { server, tasks })
}

impl Control {
    /// Stops the control tasks and the server. Work in progress can be aborted,
    /// because the protocols tolerate the loss of any message.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
        self.server.stop(STOP_TIMEOUT).await;
    }
}

/// Calls a closure at a fixed period until the task is stopped.
async fn run_every(period: Millis, mut f: impl FnMut()) {
    let mut timer = tokio::time::interval(period.duration());
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        f();
    }
}

/// Runs a call in a task of its own, so that the caller need not wait for it.
fn spawn_call(call: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
    tokio::spawn(call)
}

/// Sleeps for a random time of at most `longest`, so that entries that failed at
/// the same time do not retry at the same time.
async fn jitter(longest: Millis) {
    let wait = rand::Rng::random_range(&mut rand::rng(), 0..=longest.0);
    tokio::time::sleep(Duration::from_millis(wait)).await;
}

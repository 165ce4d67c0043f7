//! The control work of an entry: membership, dissemination, limits, claims and
//! the store.
//!
//! Each topic has a task of its own that wakes at a fixed period and does what
//! the decisions ask for. Calls to other entries run beside it, so that a silent
//! peer delays nobody. Nothing here decides; see [`policy`](crate::policy).

mod claims;
mod documents;
mod gossip;
mod limits;
mod measures;
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
    strikes::notify,
};

/// How long running calls of other entries may take at a stop.
const STOP: Millis = Millis(1_000);

/// The running control work.
#[derive(Debug)]
pub struct Control {
    server: Server,
    tasks: JoinSet<()>,
}

/// Starts the control work.
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
    tasks.spawn(measures::run(state.clone()));
    tasks.spawn(limits::dispatch(state.clone(), outbox));
    tasks.spawn(shifts::run(state.clone()));
    tasks.spawn(store::run(state.clone()));
    tasks.spawn(roster::run(state.clone()));
    tasks.spawn(strikes::run(state.clone()));
    tasks.spawn(targets::run(state.clone()));
    Ok(Control { server, tasks })
}

impl Control {
    /// Stops the control work. Nothing of it needs to be finished, since every
    /// message may be lost.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
        self.server.stop(STOP).await;
    }
}

/// Calls a closure at a fixed period until the task is stopped.
async fn every(period: Millis, mut f: impl FnMut()) {
    let mut timer = tokio::time::interval(period.duration());
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        f();
    }
}

/// Runs a call beside the task that asks for it.
fn beside(call: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
    tokio::spawn(call)
}

/// Waits for a part of a second, so that entries that fail together do not come
/// back together.
async fn jitter(most: Millis) {
    let wait = rand::Rng::random_range(&mut rand::rng(), 0..=most.0);
    tokio::time::sleep(Duration::from_millis(wait)).await;
}

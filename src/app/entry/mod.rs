//! The process that runs on each entry VM.
//!
//! [`spawn`] starts it and returns a handle. There is no other role: each entry
//! answers look-ups, carries requests, and takes its part of the control work,
//! so that any VM can be replaced by any other.

pub mod admin;
mod carry;
mod inbound;
mod lookup;
mod service;

use std::{net::SocketAddr, sync::Arc};

use eyre::WrapErr;

use self::admin::Observer;
pub use self::service::Service;
use crate::{
    adapters::{
        http::{self, Limits, Server},
        ini::Settings,
        metrics::Metrics,
    },
    domain::{Document, Revision, ServiceName, Shards},
    ports::{Clock, Store, Targets},
};

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

/// The state of a running entry.
#[derive(Debug)]
pub struct State {
    /// The settings it was started with.
    pub settings: Settings,
    /// What it needs from outside.
    pub ports: Ports,
    /// The documents in force, with what is known of their targets.
    pub services: Shards<ServiceName, Service>,
}

impl State {
    /// Puts a document in force unless a newer one already is.
    pub fn adopt(&self, doc: &Document, revision: Revision) {
        let name = doc.service.clone();
        let new = || Service::new(doc.clone(), revision);
        self.services.with(name, new, |s| s.adopt(doc, revision));
    }
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// Its state, which the administration and tests read.
    pub state: Arc<State>,
    callers: Server,
    admin: Server,
}

/// Starts an entry.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn spawn(settings: Settings, mut ports: Ports) -> eyre::Result<Entry> {
    let observer = Observer::new(ports.clock.clone(), ports.metrics.clone());
    ports.targets = observer.wrap(ports.targets);
    let limits = Limits {
        connections: settings.connections,
        ..Limits::default()
    };
    let addr = settings.callers;
    let state = Arc::new(State {
        settings,
        ports,
        services: Shards::new(),
    });
    let callers = http::bind(addr, limits, inbound::router(&state))
        .await
        .wrap_err("start the callers' server")?;
    tracing::info!(
        "entry: {} serves callers at {}.",
        state.settings.name,
        callers.addr()
    );
    let admin = admin::start(&state, &observer)
        .await
        .wrap_err("start the administration server")?;
    Ok(Entry {
        state,
        callers,
        admin,
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

    /// Stops without cutting off a request. The administration stays until the
    /// last request of a caller has ended, so that operators see the drain.
    pub async fn stop(self) {
        self.callers.stop().await;
        self.admin.stop().await;
        tracing::info!("entry: {} stopped.", self.state.settings.name);
    }
}

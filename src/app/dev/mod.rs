//! Everything on loopback in one process, for a newcomer.
//!
//! Three entries share an embedded store with the platform's semantics, and two
//! services have three targets each. Everything else is what runs in
//! production: the entries serve on sockets of their own, and the first
//! documents are edits like any other.

mod sample;
pub mod target;
mod watch;

use std::net::{Ipv4Addr, SocketAddr};

use eyre::{WrapErr, eyre};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::{
    adapters::{
        clock,
        http::{self, Server},
        ini::parse_settings,
        metrics,
        store::{
            Calls,
            memory::{self, Memory},
        },
    },
    app::entry::{self, Entry, Ports},
    ports::Clock,
};

/// The token of the sample team. It guards nothing beyond this process.
pub const TOKEN: &str = "dev-token-of-kitchens";

/// The slots of each sample target.
const SLOTS: u32 = 5;

/// A running set of entries and targets.
#[derive(Debug)]
pub struct Dev {
    entries: Vec<Entry>,
    targets: Vec<Server>,
    watch: JoinHandle<()>,
}

/// Starts everything on free ports of the loopback address.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn spawn() -> eyre::Result<Dev> {
    let clock = clock::open();
    let memory = memory::open(clock.clone());
    let mut entries = Vec::new();
    for n in 0..sample::PLACES.len() {
        entries.push(entry(n, &clock, &memory).await?);
    }
    let mut targets = Vec::new();
    let store = memory.store(&std::sync::Arc::<Calls>::default());
    for service in sample::SERVICES {
        let own = samples(service).await?;
        let addrs: Vec<SocketAddr> = own.iter().map(Server::addr).collect();
        targets.extend(own);
        sample::put(&store, &clock, service, &addrs).await?;
    }
    let states = entries.iter().map(|e| e.state.clone()).collect();
    let watch = watch::spawn(store, states).await?;
    Ok(Dev {
        entries,
        targets,
        watch,
    })
}

async fn entry(n: usize, clock: &Clock, memory: &Memory) -> eyre::Result<Entry> {
    let text = sample::settings(n, TOKEN).wrap_err("find free ports")?;
    let settings = parse_settings("dev", &text).map_err(|faults| {
        let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
        eyre!("check the settings: {}", all.join("\n"))
    })?;
    let calls = std::sync::Arc::<Calls>::default();
    let ports = Ports {
        targets: http::open(clock.clone()),
        clock: clock.clone(),
        store: memory.store(&calls),
        metrics: metrics::open(calls),
    };
    entry::spawn(settings, ports).await
}

async fn samples(service: &str) -> eyre::Result<Vec<Server>> {
    let mut all = Vec::new();
    for (_, az) in sample::PLACES {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let name = format!("{service}-{az}");
        // A crash of a sample would end the whole process, so it only logs.
        let crash = || tracing::warn!("target: a request asked for a crash; ignored in dev.");
        let server = target::bind(addr, &name, SLOTS, crash).await;
        all.push(server.wrap_err_with(|| format!("start target {name}"))?);
    }
    Ok(all)
}

impl Dev {
    /// Returns what a newcomer needs to talk to it.
    #[must_use]
    pub fn describe(&self) -> Value {
        let url = |addr: SocketAddr| format!("http://{addr}");
        let entries: Vec<String> = self.entries.iter().map(|e| url(e.callers())).collect();
        let admins: Vec<String> = self.entries.iter().map(|e| url(e.admin())).collect();
        let lookup = entries.first().map(|e| format!("{e}/v1/entries"));
        json!({
            "lookup": lookup,
            "admin": admins.first(),
            "admins": admins,
            "token": TOKEN,
            "entries": entries,
            "services": sample::SERVICES,
        })
    }

    /// Stops without cutting off a request.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        self.watch.abort();
        for target in self.targets {
            target.stop().await;
        }
    }
}

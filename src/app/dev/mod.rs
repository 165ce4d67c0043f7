//! Everything on loopback in one process, for a newcomer.
//!
//! Three entries share an embedded store with the platform's semantics, and two
//! services have three targets each. Everything else is what runs in
//! production: the entries serve on sockets of their own, and the first
//! documents are edits like any other.

mod probe;
mod sample;
pub mod target;

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    ops::Range,
};

use eyre::{WrapErr, bail, eyre};
use futures::future::join_all;
use rand::Rng;
use serde_json::{Value, json};

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

/// Where the entries' ports are looked for. The kernel gives ports from 32,768 on
/// to outgoing connections and to servers that ask for any port, and one of them
/// could take a port between the moment it is found and the moment it is bound.
const PORTS: Range<u16> = 20_000..30_000;

/// How many ports are tried, of which six are needed.
const PORT_TRIES: usize = 200;

/// A running set of entries and targets.
#[derive(Debug)]
pub struct Dev {
    entries: Vec<Entry>,
    targets: Vec<Server>,
}

/// Starts everything on free ports of the loopback address.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn spawn() -> eyre::Result<Dev> {
    let clock = clock::open();
    let memory = memory::open(clock.clone());
    let store = memory.store(&std::sync::Arc::<Calls>::default());
    let mut targets = Vec::new();
    for service in sample::SERVICES {
        let own = samples(service).await?;
        let addrs: Vec<SocketAddr> = own.iter().map(Server::addr).collect();
        targets.extend(own);
        sample::put(&store, &clock, service, &addrs).await?;
    }
    let count = sample::PLACES.len();
    let mut peers = free_addresses(2 * count)?;
    let callers = peers.split_off(count);
    let mut entries = Vec::new();
    for (n, callers) in callers.into_iter().enumerate() {
        sample::list_vm(&store, n).await?;
        let text = sample::settings(n, TOKEN, callers, &peers);
        entries.push(entry(&text, &clock, &memory).await?);
    }
    for entry in &entries {
        entry.ready().await;
    }
    let client = http::open(clock, http::PoolConfig::default());
    for entry in &entries {
        for service in sample::SERVICES {
            probe::served(&client, entry.callers(), service).await?;
        }
    }
    Ok(Dev { entries, targets })
}

/// Returns addresses that were free a moment ago. Entries tell each other their
/// addresses, so they have to be known before the servers start.
fn free_addresses(count: usize) -> eyre::Result<Vec<SocketAddr>> {
    let mut rng = rand::rng();
    // All are held until the last is found, so they differ.
    let mut held = Vec::new();
    for _ in 0..PORT_TRIES {
        if held.len() == count {
            break;
        }
        let port = rng.random_range(PORTS);
        held.extend(TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
    }
    if held.len() < count {
        bail!("find {count} free ports: {PORT_TRIES} tries in {PORTS:?} found too few");
    }
    let addrs: Result<_, std::io::Error> = held.iter().map(TcpListener::local_addr).collect();
    Ok(addrs?)
}

async fn entry(text: &str, clock: &Clock, memory: &Memory) -> eyre::Result<Entry> {
    let settings = parse_settings("dev", text).map_err(|faults| {
        let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
        eyre!("check the settings: {}", all.join("\n"))
    })?;
    let calls = std::sync::Arc::<Calls>::default();
    let ports = Ports {
        targets: http::open(clock.clone(), http::PoolConfig::default()),
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

    /// Stops without cutting off a request. The entries stop at the same time,
    /// since none of them has to take over from another.
    pub async fn stop(self) {
        join_all(self.entries.into_iter().map(Entry::stop)).await;
        join_all(self.targets.into_iter().map(Server::stop)).await;
    }
}

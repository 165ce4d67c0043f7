//! A complete system on loopback in one process, for trying it out.
//!
//! Three entries share an in-memory store with the semantics of the platform's
//! store, and two sample services have three targets each. Everything else is
//! the production code: each entry listens on its own sockets, and the initial
//! documents are submitted as ordinary edits.

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
            CallCounters,
            memory::{self, Memory},
        },
    },
    app::entry::{self, Entry, Ports},
    ports::Clock,
};

/// The token of the sample team. It is public, and gives access to nothing outside
/// this process.
pub const TOKEN: &str = "dev-token-of-kitchens";

/// How many requests each sample target serves at the same time.
const SLOTS_PER_TARGET: u32 = 5;

/// The range of the entries' ports. It lies below the ephemeral ports, which the
/// kernel assigns from 32,768 on to outgoing connections and to servers that bind
/// port 0: one of these could take a port after it was found to be free and before
/// an entry binds it.
const PORT_RANGE: Range<u16> = 20_000..30_000;

/// How many random ports are tried to find the six that are needed.
const MAX_PORT_TRIES: usize = 200;

/// A running development system: its entries and sample targets.
#[derive(Debug)]
pub struct Dev {
    entries: Vec<Entry>,
    targets: Vec<Server>,
}

/// Starts the system on free ports of the loopback address, and returns when
/// every entry serves requests for every sample service.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, or an entry does not start or
/// does not serve requests in time.
pub async fn spawn() -> eyre::Result<Dev> {
    let clock = clock::open();
    let memory = memory::open(clock.clone());
    let store = memory.store(&std::sync::Arc::<CallCounters>::default());
    let mut targets = Vec::new();
    for service in sample::SERVICES {
        let servers = spawn_targets(service).await?;
        let addrs: Vec<SocketAddr> = servers.iter().map(Server::addr).collect();
        targets.extend(servers);
        sample::put_document(&store, &clock, service, &addrs).await?;
    }
    let count = sample::PLACES.len();
    let mut peer_addrs = free_addresses(2 * count)?;
    let caller_addrs = peer_addrs.split_off(count);
    let mut entries = Vec::new();
    for (n, caller_addr) in caller_addrs.into_iter().enumerate() {
        sample::register_vm(&store, n).await?;
        let text = sample::entry_settings(n, TOKEN, caller_addr, &peer_addrs);
        entries.push(spawn_entry(&text, &clock, &memory).await?);
    }
    for entry in &entries {
        entry.ready().await;
    }
    let client = http::open(clock, http::Keep::default());
    for entry in &entries {
        for service in sample::SERVICES {
            probe::wait_until_served(&client, entry.callers(), service).await?;
        }
    }
    Ok(Dev { entries, targets })
}

/// Returns distinct loopback addresses whose ports were free when checked. The
/// settings of each entry list the addresses of all, so these have to be known
/// before the servers start.
fn free_addresses(count: usize) -> eyre::Result<Vec<SocketAddr>> {
    let mut rng = rand::rng();
    // The sockets stay bound until the last port is found, so no port is found
    // twice.
    let mut listeners = Vec::new();
    for _ in 0..MAX_PORT_TRIES {
        if listeners.len() == count {
            break;
        }
        let port = rng.random_range(PORT_RANGE);
        listeners.extend(TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
    }
    if listeners.len() < count {
        bail!("find {count} free ports: {MAX_PORT_TRIES} tries in {PORT_RANGE:?} found too few");
    }
    let addrs: Result<_, std::io::Error> = listeners.iter().map(TcpListener::local_addr).collect();
    Ok(addrs?)
}

async fn spawn_entry(text: &str, clock: &Clock, memory: &Memory) -> eyre::Result<Entry> {
    let settings = parse_settings("dev", text).map_err(|faults| {
        let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
        eyre!("check the settings: {}", all.join("\n"))
    })?;
    let store_calls = std::sync::Arc::<CallCounters>::default();
    let ports = Ports {
        targets: http::open(clock.clone(), http::Keep::default()),
        clock: clock.clone(),
        store: memory.store(&store_calls),
        metrics: metrics::open(store_calls),
    };
    entry::spawn(settings, ports).await
}

/// Starts a target of a sample service in each place.
async fn spawn_targets(service: &str) -> eyre::Result<Vec<Server>> {
    let mut all = Vec::new();
    for (_, az) in sample::PLACES {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let name = format!("{service}-{az}");
        // A crash of a sample target would end the whole process, so a request
        // for one is only logged.
        let crash = || tracing::warn!("target: a request asked for a crash; ignored in dev.");
        let server = target::bind(addr, &name, SLOTS_PER_TARGET, crash).await;
        all.push(server.wrap_err_with(|| format!("start target {name}"))?);
    }
    Ok(all)
}

impl Dev {
    /// Returns the addresses, the token and the services, which `dev` prints as its
    /// line of output.
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

    /// Stops the system without aborting running requests. The entries stop
    /// concurrently, since none has to take over the traffic of another.
    pub async fn stop(self) {
        join_all(self.entries.into_iter().map(Entry::stop)).await;
        join_all(self.targets.into_iter().map(Server::stop)).await;
    }
}

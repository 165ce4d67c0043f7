//! Measures the cost of control work as the fleet grows, with real entries.
//!
//! ```text
//! cargo run --release --example fleet_slope -- --sizes 3,9,30 --seconds 10
//! ```
//!
//! The entries run in this process on loopback, with real sockets between them
//! and an in-memory store that counts calls in the same way as the platform's
//! store. Each row of the output is one fleet: it starts, idles for the given
//! time, receives one edit, and stops. There are no callers, so all measured
//! work is control work.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use bytes::Bytes;
use eyre::{OptionExt, eyre};
use futures::future::join_all;
use savorybeam::{
    adapters::{
        clock, http,
        ini::parse_settings,
        metrics,
        store::{
            CallCounters,
            documents::submit,
            memory::{self, Memory},
            vms,
        },
    },
    app::entry::{self, Entry, Ports},
    domain::{Revision, ServiceName},
    policy::document::{Edit, EditId},
    ports::{Clock, Store, Write},
};

/// The number of regions over which the entries are distributed.
const REGION_COUNT: usize = 3;

/// The number of services, with 12 targets each.
const SERVICE_COUNT: usize = 4;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// The sizes of the fleets, separated by commas
    #[bpaf(argument("LIST"), fallback("3,9,30".to_owned()))]
    sizes: String,
    /// How long each fleet idles
    #[bpaf(argument("N"), fallback(10))]
    seconds: u64,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = options().run();
    println!(
        "| entries | ready s | store reads/s | store writes/s | watches | messages/s each | bytes/s each | CPU % each | MB each | edit everywhere ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for size in options.sizes.split(',') {
        let size = size.trim().parse()?;
        measure_fleet(size, Duration::from_secs(options.seconds)).await?;
    }
    Ok(())
}

/// A running fleet with its store.
struct Fleet {
    entries: Vec<Entry>,
    calls: Vec<Arc<CallCounters>>,
    store: Store,
    clock: Clock,
}

/// Runs one fleet and prints its row of the table.
async fn measure_fleet(size: usize, idle: Duration) -> eyre::Result<()> {
    let initial_bytes = resident_bytes()?;
    let start = Instant::now();
    let fleet = start_fleet(size).await?;
    join_all(fleet.entries.iter().map(Entry::ready)).await;
    let ready_time = start.elapsed();
    // Excludes start-up work from the measurement: limit surveys and reads
    // of claims end within a few seconds.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let (reads, writes, _) = fleet.store_calls();
    let (messages, bytes) = fleet.sent_traffic();
    let initial_cpu = processor_seconds()?;
    tokio::time::sleep(idle).await;
    let seconds = idle.as_secs_f64();
    let (reads_end, writes_end, watches) = fleet.store_calls();
    let (messages_end, bytes_end) = fleet.sent_traffic();
    let entry_seconds = seconds * f64::from(u32::try_from(size)?);
    let rate = |start: u64, end: u64, divisor: f64| to_f64(end.saturating_sub(start)) / divisor;
    let cpu_percent = (processor_seconds()? - initial_cpu) * 100.0 / entry_seconds;
    let entry_mb = (to_f64(resident_bytes()?) - to_f64(initial_bytes)) / to_f64(size as u64) / 1e6;
    let edit_time = fleet.time_edit().await?;
    println!(
        "| {size} | {:.1} | {:.2} | {:.2} | {watches} | {:.1} | {:.0} | {cpu_percent:.2} | {entry_mb:.1} | {} |",
        ready_time.as_secs_f64(),
        rate(reads, reads_end, seconds),
        rate(writes, writes_end, seconds),
        rate(messages, messages_end, entry_seconds),
        rate(bytes, bytes_end, entry_seconds),
        edit_time.as_millis()
    );
    join_all(fleet.entries.into_iter().map(Entry::stop)).await;
    Ok(())
}

/// Submits the documents, then registers and starts `size` entries.
async fn start_fleet(size: usize) -> eyre::Result<Fleet> {
    let clock = clock::open();
    let memory = memory::open(clock.clone());
    let store = memory.store(&Arc::default());
    for n in 0..SERVICE_COUNT {
        submit_document(&store, &clock, n, 5).await?;
    }
    let peers = free_addresses(size)?;
    let callers = free_addresses(size)?;
    let mut fleet = Fleet {
        entries: Vec::new(),
        calls: Vec::new(),
        store,
        clock,
    };
    for (n, callers) in callers.into_iter().enumerate() {
        register_vm(&fleet.store, n).await?;
        let calls: Arc<CallCounters> = Arc::default();
        let entry = spawn_entry(n, callers, &peers, &fleet.clock, &memory, &calls).await?;
        fleet.entries.push(entry);
        fleet.calls.push(calls);
    }
    Ok(fleet)
}

impl Fleet {
    /// Returns the store reads and writes so far, and the number of open watches.
    fn store_calls(&self) -> (u64, u64, u64) {
        let mut totals = (0, 0, 0);
        for calls in &self.calls {
            let counts = calls.counts();
            totals.0 += counts.reads;
            totals.1 += counts.writes;
            totals.2 += counts.open_watches;
        }
        totals
    }

    /// Returns the number of messages and bytes sent by all entries.
    fn sent_traffic(&self) -> (u64, u64) {
        let counts = self.entries.iter().map(|e| e.state.fleet.traffic.counts());
        counts.fold((0, 0), |sum, c| {
            (sum.0 + c.messages_out, sum.1 + c.bytes_out)
        })
    }

    /// Submits one edit and returns the time until every entry has adopted it.
    async fn time_edit(&self) -> eyre::Result<Duration> {
        let start = Instant::now();
        let revision = submit_document(&self.store, &self.clock, 0, 4).await?;
        let name: ServiceName = "service-0".parse()?;
        for entry in &self.entries {
            let adopted = || entry.state.services.get(&name, |s| s.doc.revision());
            while adopted() < Some(revision) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        Ok(start.elapsed())
    }
}

/// Returns loopback addresses whose ports were free when they were drawn. Another
/// process can take a port before an entry binds it.
fn free_addresses(count: usize) -> eyre::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners: Result<Vec<TcpListener>, std::io::Error> = (0..count).map(bind).collect();
    let addrs: Result<_, _> = listeners?.iter().map(TcpListener::local_addr).collect();
    Ok(addrs?)
}

async fn spawn_entry(
    n: usize,
    callers: SocketAddr,
    peers: &[SocketAddr],
    clock: &Clock,
    memory: &Memory,
    calls: &Arc<CallCounters>,
) -> eyre::Result<Entry> {
    let region = n % REGION_COUNT;
    let seeds: Vec<String> = peers.iter().take(3).map(ToString::to_string).collect();
    let text = format!(
        "[entry]\nname = e{n}\nregion = r{region}\naz = r{region}-a\ncallers = {callers}\n\
         admin = 127.0.0.1:0\npeers = {}\nseeds = {}\nlinger = 0 ms\n[store]\nendpoints = 127.0.0.1:1\n\
         [region r0]\nheadroom = 1000 rps\n[region r1]\nheadroom = 1000 rps\n[region r2]\nheadroom = 1000 rps\n",
        peers[n],
        seeds.join(", ")
    );
    let settings = parse_settings("slope", &text).map_err(|f| eyre!("{f:?}"))?;
    let ports = Ports {
        targets: http::open(clock.clone(), http::PoolConfig::default()),
        clock: clock.clone(),
        store: memory.store(calls),
        metrics: metrics::open(calls.clone()),
    };
    entry::spawn(settings, ports).await
}

/// Writes the record of an entry VM to the store, as the platform does.
async fn register_vm(store: &Store, n: usize) -> eyre::Result<()> {
    let write = Write {
        key: [&vms::KEY_PREFIX[..], format!("e{n}").as_bytes()]
            .concat()
            .into(),
        value: Some(Bytes::from_static(b"{}")),
        expected: Revision::default(),
    };
    (store.write)(write).await.map_err(|e| eyre!(e))?;
    Ok(())
}

/// Submits the document of service `n`, with `slots` slots.
async fn submit_document(
    store: &Store,
    clock: &Clock,
    n: usize,
    slots: u32,
) -> eyre::Result<Revision> {
    let name: ServiceName = format!("service-{n}").parse()?;
    // Nothing listens on these addresses. Each target refuses connections, so its
    // cost is that of a failed probe.
    let targets: Vec<String> = (0..12).map(|t| format!("127.0.{n}.{t}:9")).collect();
    let text = format!(
        "[service]\nname = {name}\nteam = slope\n[place p]\nregion = r0\naz = r0-a\nweight = 100\n\
         slots = {slots}\ntargets = {}\n",
        targets.join(", ")
    );
    let edit = Edit {
        id: EditId::random(&mut rand::rng()),
        team: "slope".parse()?,
        wall_time: (clock.wall)(),
        text: Some(text),
    };
    submit(store, &name, None, Revision::default(), edit)
        .await
        .map_err(|e| eyre!(e))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the counts are far below 2^52, so f64 holds them exactly"
)]
fn to_f64(n: u64) -> f64 {
    n as f64
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> eyre::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .ok_or_eyre("/proc/self/statm has no second field")?
        .parse()?;
    Ok(pages * 4096)
}

/// Returns the processor time used by this process, in seconds.
fn processor_seconds() -> eyre::Result<f64> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let (_, rest) = text
        .rsplit_once(')')
        .ok_or_eyre("/proc/self/stat has no process name")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<u64>().ok());
    // Fields 14 and 15 of /proc/self/stat: user and system time, in ticks of 10 ms.
    let (user, system) = (ticks(11), ticks(12));
    Ok(to_f64(user.zip(system).map_or(0, |(u, s)| u + s)) / 100.0)
}

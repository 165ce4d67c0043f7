//! What the control work costs as the fleet grows, with real entries.
//!
//! ```text
//! cargo run --release --example fleet_slope -- --sizes 3,9,30 --seconds 10
//! ```
//!
//! It starts entries in this process on loopback, with real sockets between
//! them and an embedded store that counts its calls as the platform does. Each
//! row is one fleet: it settles, idles for the given time, gets one edit, and is
//! stopped. There are no callers, so everything that is counted is control.

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
            Calls,
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

/// The regions over which the entries are spread.
const REGIONS: usize = 3;

/// How many services there are, with 12 targets each.
const SERVICES: usize = 4;

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
        row(size, Duration::from_secs(options.seconds)).await?;
    }
    Ok(())
}

/// A fleet with its store.
struct Fleet {
    entries: Vec<Entry>,
    calls: Vec<Arc<Calls>>,
    store: Store,
    clock: Clock,
}

async fn row(size: usize, idle: Duration) -> eyre::Result<()> {
    let before = resident()?;
    let start = Instant::now();
    let fleet = open(size).await?;
    join_all(fleet.entries.iter().map(Entry::ready)).await;
    let settled = start.elapsed();
    // Surveys of limits and reads of claims end within a few seconds.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let (reads, writes, _) = fleet.count();
    let (messages, bytes) = fleet.traffic();
    let busy = processor()?;
    tokio::time::sleep(idle).await;
    let seconds = idle.as_secs_f64();
    let (reads_end, writes_end, watches) = fleet.count();
    let (messages_end, bytes_end) = fleet.traffic();
    let each = seconds * f64::from(u32::try_from(size)?);
    let rate = |from: u64, to: u64, per: f64| float(to.saturating_sub(from)) / per;
    let used = (processor()? - busy) * 100.0 / each;
    let memory = (float(resident()?) - float(before)) / float(size as u64) / 1e6;
    let edit = fleet.edit().await?;
    println!(
        "| {size} | {:.1} | {:.2} | {:.2} | {watches} | {:.1} | {:.0} | {used:.2} | {memory:.1} | {} |",
        settled.as_secs_f64(),
        rate(reads, reads_end, seconds),
        rate(writes, writes_end, seconds),
        rate(messages, messages_end, each),
        rate(bytes, bytes_end, each),
        edit.as_millis()
    );
    join_all(fleet.entries.into_iter().map(Entry::stop)).await;
    Ok(())
}

async fn open(size: usize) -> eyre::Result<Fleet> {
    let clock = clock::open();
    let memory = memory::open(clock.clone());
    let store = memory.store(&Arc::default());
    for n in 0..SERVICES {
        put(&store, &clock, n, 5).await?;
    }
    let peers = addresses(size)?;
    let callers = addresses(size)?;
    let mut fleet = Fleet {
        entries: Vec::new(),
        calls: Vec::new(),
        store,
        clock,
    };
    for (n, callers) in callers.into_iter().enumerate() {
        list(&fleet.store, n).await?;
        let calls: Arc<Calls> = Arc::default();
        let entry = spawn(n, callers, &peers, &fleet.clock, &memory, &calls).await?;
        fleet.entries.push(entry);
        fleet.calls.push(calls);
    }
    Ok(fleet)
}

impl Fleet {
    /// Returns the reads and writes so far, and the waiting watches.
    fn count(&self) -> (u64, u64, u64) {
        let mut sum = (0, 0, 0);
        for calls in &self.calls {
            let counts = calls.counts();
            sum.0 += counts.reads;
            sum.1 += counts.writes;
            sum.2 += counts.waiting;
        }
        sum
    }

    /// Returns the messages and bytes that all entries have sent.
    fn traffic(&self) -> (u64, u64) {
        let counts = self.entries.iter().map(|e| e.state.fleet.traffic.counts());
        counts.fold((0, 0), |sum, c| {
            (sum.0 + c.messages_out, sum.1 + c.bytes_out)
        })
    }

    /// Makes one edit and returns how long it takes to be in effect everywhere.
    async fn edit(&self) -> eyre::Result<Duration> {
        let start = Instant::now();
        let revision = put(&self.store, &self.clock, 0, 4).await?;
        let name: ServiceName = "service-0".parse()?;
        for entry in &self.entries {
            let has = || entry.state.services.get(&name, |s| s.doc.revision());
            while has() < Some(revision) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        Ok(start.elapsed())
    }
}

/// Returns addresses that were free a moment ago.
fn addresses(count: usize) -> eyre::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners: Result<Vec<TcpListener>, std::io::Error> = (0..count).map(bind).collect();
    let addrs: Result<_, _> = listeners?.iter().map(TcpListener::local_addr).collect();
    Ok(addrs?)
}

async fn spawn(
    n: usize,
    callers: SocketAddr,
    peers: &[SocketAddr],
    clock: &Clock,
    memory: &Memory,
    calls: &Arc<Calls>,
) -> eyre::Result<Entry> {
    let region = n % REGIONS;
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

/// Lists a VM, as the platform does.
async fn list(store: &Store, n: usize) -> eyre::Result<()> {
    let write = Write {
        key: [&vms::PREFIX[..], format!("e{n}").as_bytes()]
            .concat()
            .into(),
        value: Some(Bytes::from_static(b"{}")),
        expected: Revision::default(),
    };
    (store.write)(write).await.map_err(|e| eyre!(e))?;
    Ok(())
}

async fn put(store: &Store, clock: &Clock, n: usize, slots: u32) -> eyre::Result<Revision> {
    let name: ServiceName = format!("service-{n}").parse()?;
    // Nothing listens there: targets that refuse connections cost a probe.
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
    submit(store, &name, None, edit).await.map_err(|e| eyre!(e))
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn float(n: u64) -> f64 {
    n as f64
}

/// Returns the resident memory of this process in bytes.
fn resident() -> eyre::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .ok_or_eyre("statm has no second field")?
        .parse()?;
    Ok(pages * 4096)
}

/// Returns the processor time that this process has used, in seconds.
fn processor() -> eyre::Result<f64> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let (_, rest) = text.rsplit_once(')').ok_or_eyre("stat has no name")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<u64>().ok());
    // User and system time, in ticks of 10 ms.
    let (user, system) = (ticks(11), ticks(12));
    Ok(float(user.zip(system).map_or(0, |(u, s)| u + s)) / 100.0)
}

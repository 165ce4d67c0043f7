//! Tests how entries of this version and of one that knows no eras of the store
//! exchange changes, before and after the store has come back from an older copy.
//! The messages of the earlier version are encoded as it did.

mod platform_store;
mod vm;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering::SeqCst},
    },
    time::Duration,
};

use prost::Message;
use savorybeam::{
    adapters::grpc::{self, Peers, Routes, Server},
    domain::{Mbps, Millis, Presence},
};
use tokio::task::JoinHandle;

use platform_store::{
    PlatformStore,
    fleet::{configure, new_store, register, start_all},
};
use vm::{
    ANY_PORT,
    entry::{stop_all, version, wait_for_version, wait_until},
};

#[derive(Clone, Message, PartialEq)]
struct EarlierRequest {
    #[prost(uint64, optional, tag = "1")]
    after: Option<u64>,
    #[prost(uint64, tag = "2")]
    wait_ms: u64,
}

#[derive(Clone, Message, PartialEq)]
struct EarlierReply {
    #[prost(uint64, optional, tag = "1")]
    revision: Option<u64>,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    #[prost(bool, tag = "3")]
    compacted: bool,
    #[prost(message, repeated, tag = "4")]
    changes: Vec<EarlierChange>,
    #[prost(bool, tag = "5")]
    has_gap: bool,
}

#[derive(Clone, Message, PartialEq)]
struct EarlierChange {
    #[prost(string, optional, tag = "2")]
    evacuated: Option<String>,
    #[prost(string, optional, tag = "3")]
    restored: Option<String>,
    #[prost(message, optional, tag = "4")]
    registered: Option<EarlierInstance>,
}

#[derive(Clone, Message, PartialEq)]
struct EarlierInstance {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(string, tag = "6")]
    state: String,
    #[prost(uint64, tag = "10")]
    revision: u64,
}

/// The time within which changes must take effect.
const BOUND: Duration = Duration::from_millis(2_500);

/// How long another entry waits for changes.
const WAIT: Millis = Millis(1_050);

/// How often an entry polls the store whose upstream cannot serve it.
const STORE_PERIOD: Duration = Duration::from_millis(750);

/// An entry of the earlier version that others follow. It applies a copy of the store
/// as it is, and its revision never goes back.
struct EarlierSource {
    server: Server,
    name: &'static str,
    polls: Arc<AtomicU32>,
}

impl EarlierSource {
    /// Starts an entry that ranks before those of this version.
    async fn start(store: &PlatformStore, name: &'static str, has_copy: &Arc<AtomicBool>) -> Self {
        let polls: Arc<AtomicU32> = Arc::default();
        let (count, store, has_copy) = (polls.clone(), store.clone(), has_copy.clone());
        let latest: Arc<Mutex<u64>> = Arc::default();
        let routes = Routes::default().route("Changes", move |request: EarlierRequest| {
            count.fetch_add(1, SeqCst);
            let (store, latest, has_copy) = (store.clone(), latest.clone(), has_copy.clone());
            async move {
                let revision = || {
                    let mut latest = latest.lock().expect("revision");
                    *latest = (*latest).max(store.revision());
                    *latest
                };
                let newer = async {
                    while Some(revision()) <= request.after {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                };
                let wait = Millis(request.wait_ms).duration();
                let _ = tokio::time::timeout(wait, newer).await;
                let mut reply = EarlierReply {
                    revision: Some(revision()),
                    has_gap: true,
                    ..EarlierReply::default()
                };
                if has_copy.load(SeqCst) {
                    reply.changes.push(EarlierChange {
                        restored: Some("a-1".to_owned()),
                        ..EarlierChange::default()
                    });
                }
                Ok(reply)
            }
        });
        let server = grpc::bind(ANY_PORT, routes).await.expect("a free port");
        Self {
            server,
            name,
            polls,
        }
    }

    /// Announces the entry in the store.
    async fn announce(&self, store: &PlatformStore) {
        let presence = Presence {
            name: self.name.parse().expect("a name"),
            front: "127.0.0.1:9".parse().expect("an address"),
            peer: Some(self.server.addr()),
            link: Mbps(100),
            az: "a-1".parse().expect("a name"),
            region: "north".parse().expect("a name"),
        };
        let platform = store.platform(self.name);
        let lease = (platform.announce)((presence, Millis(60_000))).await;
        lease.expect("a lease");
    }
}

/// Writes heartbeats of a target, so that the revision rises as with a large fleet.
fn spawn_heartbeats(store: &PlatformStore) -> JoinHandle<()> {
    let store = store.clone();
    tokio::spawn(async move {
        for seq in 1_000.. {
            register(&store, 1, seq, "ready");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
}

fn lines<T: std::fmt::Debug>(counts: &BTreeMap<String, T>) -> String {
    format!("{counts:?}")
}

/// Fails if entries of this version poll the store side by side because the first ones
/// of the ranking are of an earlier version, if what those do with an older copy of
/// the store ends an evacuation, or if several entries read the complete state.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn sources_of_an_earlier_version_are_passed_over() {
    let store = new_store();
    let entries = start_all(&store, 6).await;
    let has_copy: Arc<AtomicBool> = Arc::default();
    let heartbeats = spawn_heartbeats(&store);
    let mut sources = Vec::new();
    for name in ["earlier-1", "earlier-2", "earlier-3"] {
        let source = EarlierSource::start(&store, name, &has_copy).await;
        source.announce(&store).await;
        sources.push(source);
    }
    wait_until("all entries are known", || {
        entries.iter().all(|g| g.state.peers().len() == 9)
    })
    .await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    store.reset_counts();
    tokio::time::sleep(Duration::from_secs(11)).await;
    let watches = store.watches();
    println!("polls of the store in 11 s: {}", lines(&watches));
    assert!(store.reads().is_empty(), "{}", lines(&store.reads()));
    let source: u32 = watches.values().max().copied().unwrap_or_default();
    let others = watches.values().sum::<u32>() - source;
    assert!(others <= 2, "{}", lines(&watches));

    let copy = store.copy();
    store.put("op/evacuate/a-1", "{}");
    configure(&store, 2);
    wait_for_version(&entries, 2).await;
    store.set_down(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.restore(copy, "4");
    has_copy.store(true, SeqCst);
    store.reset_counts();
    store.set_down(false);
    let mut evacuated = Vec::new();
    for _ in 0..30 {
        for source in sources.iter().filter(|s| !store.contains(&key(s.name))) {
            source.announce(&store).await;
        }
        for entry in &entries {
            evacuated.push(entry.state.evacuated().len());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    configure(&store, 3);
    tokio::time::sleep(BOUND).await;
    let (reads, watches) = (store.reads(), store.watches());
    println!("reads in a drill: {}, {}", lines(&reads), lines(&watches));
    let polls: Vec<u32> = sources.iter().map(|s| s.polls.load(SeqCst)).collect();
    println!("polls of the earlier sources: {polls:?}");
    let versions: Vec<_> = entries.iter().map(version).collect();
    heartbeats.abort();
    stop_all(entries).await;
    assert!(
        evacuated.iter().all(|n| *n == 1),
        "the evacuation has ended"
    );
    assert!(reads.values().sum::<u32>() <= 2, "{}", lines(&reads));
    assert_eq!(versions, [Some(3); 6]);
}

fn key(name: &str) -> String {
    format!("savorybeam/entries/{name}")
}

/// What an entry of the earlier version that follows another one has received.
#[derive(Clone, Debug, Default)]
struct Received {
    /// The evacuations, and the targets that leave with their revisions.
    items: Vec<String>,
    polls: u32,
    /// How often it would have polled the store, because the other entry could not
    /// serve it.
    compacted: u32,
}

/// Follows an entry as the earlier version does.
fn spawn_follower(
    peer: SocketAddr,
    revision: u64,
    received: &Arc<Mutex<Received>>,
) -> JoinHandle<()> {
    let received = received.clone();
    tokio::spawn(async move {
        let peers = Peers::new(Millis(2_000), Arc::default());
        let mut after = revision;
        loop {
            let request = EarlierRequest {
                after: Some(after),
                wait_ms: WAIT.0,
            };
            let Ok(reply): Result<EarlierReply, _> = peers.call(peer, "Changes", request).await
            else {
                return;
            };
            after = after.max(reply.revision.unwrap_or_default());
            if reply.compacted {
                // It polls the store in place of the entry.
                tokio::time::sleep(STORE_PERIOD).await;
            }
            let mut received = received.lock().expect("received");
            received.polls += 1;
            received.compacted += u32::from(reply.compacted);
            for change in reply.changes {
                let evacuated = change.evacuated.map(|az| format!("evacuated {az}"));
                let restored = change.restored.map(|az| format!("restored {az}"));
                let leaving = change.registered.filter(|i| i.state == "draining");
                let leaving = leaving.map(|i| format!("{} draining", i.id));
                let items = [evacuated, restored, leaving].into_iter().flatten();
                for item in items {
                    if !received.items.contains(&item) {
                        received.items.push(item);
                    }
                }
            }
        }
    })
}

/// Waits until followers have received an item, for the time within which changes must
/// take effect. Returns what they have received since they began.
async fn wait_for(followers: &[Arc<Mutex<Received>>], item: &str) -> Vec<Received> {
    let has_item = || {
        let mut all = followers.iter().map(|f| f.lock().expect("received"));
        all.all(|f| f.items.iter().any(|i| i == item))
    };
    let wait = async {
        while !has_item() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let _ = tokio::time::timeout(BOUND, wait).await;
    let all = followers
        .iter()
        .map(|f| f.lock().expect("received").clone());
    all.collect()
}

/// Fails if an entry of the earlier version cannot follow one of this version, so that
/// each of them polls the store, if it polls in a loop, or if it misses in a new era
/// what the operator and the targets say.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn an_earlier_version_can_follow_into_a_new_era() {
    let store = new_store();
    let entries = start_all(&store, 1).await;
    let peer = entries[0].relay_addr().expect("an address");
    let heartbeats = spawn_heartbeats(&store);
    let followers: [Arc<Mutex<Received>>; 3] = Default::default();
    let tasks: Vec<_> = followers
        .iter()
        .map(|f| spawn_follower(peer, store.revision(), f))
        .collect();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let copy = store.copy();
    store.put("op/evacuate/b-1", "{}");
    let mut log = vec![("before", wait_for(&followers, "evacuated b-1").await)];

    tokio::time::sleep(Duration::from_secs(1)).await;
    store.set_down(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.restore(copy, "4");
    store.set_down(false);
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.put("op/evacuate/c-1", "{}");
    register(&store, 2, 2, "draining");
    log.push(("in the drill", wait_for(&followers, "evacuated c-1").await));
    store.put("op/evacuate/b-1", "{}");
    tokio::time::sleep(Duration::from_secs(5)).await;
    store.put("op/evacuate/d-1", "{}");
    log.push(("after", wait_for(&followers, "evacuated d-1").await));
    heartbeats.abort();
    tasks.iter().for_each(JoinHandle::abort);
    stop_all(entries).await;
    for (time, received) in &log {
        println!("{time}: {received:?}");
    }
    let last = log.pop().expect("received").1;
    for received in last {
        let items = [
            "evacuated b-1",
            "evacuated c-1",
            "i-2 draining",
            "evacuated d-1",
        ];
        let mut known = received.items.clone();
        known.sort();
        let mut wanted = items.map(str::to_owned).to_vec();
        wanted.sort();
        assert_eq!(known, wanted);
        assert_eq!(received.compacted, 0);
        // One for each poll of the source, every 0.75 s, and for each change.
        assert!(received.polls <= 30, "{} polls", received.polls);
    }
}

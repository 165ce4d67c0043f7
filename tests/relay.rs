//! Guards what entries tell each other of the platform, with real connections on
//! loopback and a platform in memory.

mod vm;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering::SeqCst},
    },
    time::Duration,
};

use savorybeam::{
    adapters::{
        clock,
        grpc::{self, Peers},
        http::{self as web, Keep},
        metrics,
        store::CallCounters,
    },
    app::gateway::{self, Gateway, Ports},
    domain::{
        Bounds, Instance, InstanceState, Mbps, Millis, Presence, RequestKind, Revision, Rule,
    },
    ports::{Ask, Batch, Change, LeaseId, Platform, PlatformError, VmSettings},
};

use vm::ANY;

/// The platform's store: every change with its revision.
#[derive(Default)]
struct Store {
    changes: Mutex<Vec<Change>>,
    away: AtomicBool,
}

impl Store {
    fn put(&self, change: Change) {
        self.changes.lock().expect("changes").push(change);
    }

    fn after(&self, revision: Revision) -> Result<Batch, PlatformError> {
        if self.away.load(SeqCst) {
            return Err(PlatformError::Failed {
                step: "read keys",
                peer: ANY,
                cause: "the store is away".to_owned(),
            });
        }
        let changes = self.changes.lock().expect("changes");
        let known = usize::try_from(revision.0).expect("a small number");
        Ok(Batch {
            changes: changes[known..].to_vec(),
            revision: Revision(changes.len() as u64),
        })
    }
}

/// Returns a platform over the store, with a count of its polls.
fn platform(store: &Arc<Store>, polls: &Arc<AtomicU32>) -> Platform {
    let (all, some, polls) = (store.clone(), store.clone(), polls.clone());
    Platform {
        read: Arc::new(move |_| {
            let batch = all.after(Revision(0));
            Box::pin(async { batch })
        }),
        poll: Arc::new(move |poll| {
            polls.fetch_add(1, SeqCst);
            let batch = some.after(poll.after);
            Box::pin(async { batch })
        }),
        announce: Arc::new(|_| Box::pin(async { Ok(LeaseId(1)) })),
        renew: Arc::new(|_| Box::pin(async { Ok(()) })),
        withdraw: Arc::new(|_| Box::pin(async { Ok(()) })),
    }
}

fn settings(name: &str, seeds: Vec<SocketAddr>) -> VmSettings {
    let base = vm::settings(name);
    VmSettings {
        control: Some(ANY),
        seeds,
        bounds: Bounds {
            grace: Millis(500),
            ..base.bounds
        },
        ..base
    }
}

fn configuration(version: u64) -> Change {
    let mut rule = Rule {
        name: "browse".to_owned(),
        homes: vec!["north".parse().expect("a name")],
        ..vm::rule(RequestKind::Download, "/browse/")
    };
    rule.parts[0].weight = 0.5;
    Change::Configured(Box::new(vm::configuration(version, vec![rule], 10.5)))
}

fn target(n: u64, seq: u64, state: InstanceState) -> Change {
    let addr = SocketAddr::from(([10, 0, 0, 1], 9_000));
    Change::Registered(Instance {
        state,
        seq,
        ..vm::instance(&format!("i-{n}"), addr)
    })
}

fn presence(gateway: &Gateway, name: &str) -> Change {
    Change::Joined(Presence {
        name: name.parse().expect("a name"),
        front: gateway.front(),
        peer: gateway.relay(),
        link: Mbps(100),
        az: "a-1".parse().expect("a name"),
        region: "north".parse().expect("a name"),
    })
}

async fn open(name: &str, platform: Platform, seeds: Vec<SocketAddr>) -> Gateway {
    let clock = clock::open();
    let peers = Arc::new(Peers::new(Millis(500), Arc::default()));
    let ports = Ports {
        targets: web::open(clock.clone(), Keep::default()),
        platform,
        changes: grpc::changes(peers),
        metrics: metrics::open(Arc::<CallCounters>::default()),
        clock,
    };
    let gateway = gateway::spawn(settings(name, seeds), ports).await;
    gateway.expect("a gateway")
}

async fn until(what: &str, look: impl Fn() -> bool) {
    let wait = async {
        while !look() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let done = tokio::time::timeout(Duration::from_secs(10), wait).await;
    assert!(done.is_ok(), "{what}: not seen within 10 s");
}

/// Fails if an entry of a region calls the store although another one does, if a
/// change does not reach it that way, or if it falls behind once the other ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_follows_another_and_outlives_it() {
    let store: Arc<Store> = Arc::default();
    store.put(configuration(1));
    store.put(target(1, 1, InstanceState::Ready));
    let (first_polls, polls): (Arc<AtomicU32>, Arc<AtomicU32>) = Default::default();
    let first = open("edge-1", platform(&store, &first_polls), Vec::new()).await;
    store.put(presence(&first, "edge-1"));
    let second = open("edge-2", platform(&store, &polls), Vec::new()).await;
    store.put(presence(&second, "edge-2"));
    until("both know both", || {
        let entries = |g: &Gateway| g.state.peers().len() == 2;
        entries(&first) && entries(&second)
    })
    .await;
    // The second entry's first poll may be under way.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let before = polls.load(SeqCst);
    store.put(configuration(2));
    let version = |g: &Gateway| g.state.table().map(|t| t.version);
    until("the change arrives", || {
        version(&second) == Some(Revision(2))
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        polls.load(SeqCst),
        before,
        "the second entry called the store"
    );
    first.stop().await;
    store.put(configuration(3));
    until("a later one arrives", || {
        version(&second) == Some(Revision(3))
    })
    .await;
    assert!(
        polls.load(SeqCst) > before,
        "the second entry asks the store"
    );
    second.stop().await;
}

/// Fails if an entry that starts while the store is away serves nobody although
/// another entry knows everything.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_starts_from_another_while_the_store_is_away() {
    let store: Arc<Store> = Arc::default();
    store.put(configuration(1));
    store.put(target(1, 1, InstanceState::Ready));
    store.put(target(2, 1, InstanceState::Draining));
    store.put(Change::Evacuated("a-2".parse().expect("a name")));
    let polls: Arc<AtomicU32> = Arc::default();
    let first = open("edge-1", platform(&store, &polls), Vec::new()).await;
    until("the first is ready", || first.state.is_ready()).await;
    store.away.store(true, SeqCst);
    let seed = first.relay().expect("an address");
    let second = open("edge-2", platform(&store, &polls), vec![seed]).await;
    until("the second is ready", || second.state.is_ready()).await;
    let peers = Peers::new(Millis(500), Arc::default());
    let changes = grpc::changes(Arc::new(peers));
    let ask = Ask {
        peer: second.relay().expect("an address"),
        after: None,
        wait: Millis(0),
    };
    let mut news = (changes.ask)(ask).await.expect("news");
    news.batch.changes.sort_by_key(|c| format!("{c:?}"));
    insta::assert_debug_snapshot!(news.batch);
    first.stop().await;
    second.stop().await;
}

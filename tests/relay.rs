//! Tests how entries pass the platform's changes to each other, with real loopback
//! connections and an in-memory platform.

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
    app::gateway::Gateway,
    domain::{
        Configuration, Era, Instance, InstanceState, Position, Quota, Rank, Rate, RequestKind,
        Revision, RouteRule, Workspace,
    },
    ports::{Batch, Change, Platform, PlatformError},
};

use vm::entry::{
    describe_items, fetch, fetch_after, platform_of, presence, relay_settings, stop_all,
    store_failure, wait_for_peers, wait_for_version, wait_until,
};

/// The store of the platform. The revision of a change is its position in the
/// list, starting at 1.
#[derive(Default)]
struct Store {
    changes: Mutex<Vec<Change>>,
    unavailable: AtomicBool,
}

impl Store {
    fn put(&self, change: Change) {
        self.changes.lock().expect("changes").push(change);
    }

    fn after(&self, revision: Revision) -> Result<Batch, PlatformError> {
        if self.unavailable.load(SeqCst) {
            return Err(store_failure("read keys"));
        }
        let changes = self.changes.lock().expect("changes");
        let known = usize::try_from(revision.0).expect("a small number");
        Ok(Batch {
            changes: changes[known..].to_vec(),
            position: Position::new(Era(0), Revision(changes.len() as u64)),
        })
    }
}

/// Returns a platform that reads from the store and counts its polls.
fn platform(store: &Arc<Store>, polls: &Arc<AtomicU32>) -> Platform {
    let (all, some, polls) = (store.clone(), store.clone(), polls.clone());
    platform_of(
        move || all.after(Revision(0)),
        move |poll| {
            polls.fetch_add(1, SeqCst);
            some.after(poll.after.revision).map(Into::into)
        },
    )
}

fn configuration(version: u64) -> Change {
    let mut rule = RouteRule {
        name: "browse".to_owned(),
        home_regions: vec!["north".parse().expect("a name")],
        ..vm::rule(RequestKind::Download, "/browse/")
    };
    rule.services[0].weight = 0.5;
    let public = RouteRule {
        public: true,
        ..rule.clone()
    };
    let workspace = Workspace {
        rank: Some(Rank(0)),
        quota: Some(Quota {
            rate: Rate(2.5),
            burst: 4.0,
        }),
        home_regions: rule.home_regions.clone(),
        ..vm::workspace("acme", &["key-a"])
    };
    Change::Configured(Box::new(Configuration {
        workspaces: vec![workspace, vm::workspace("plain", &[])],
        ..vm::configuration(version, vec![rule, public], 10.5)
    }))
}

fn target(n: u64, seq: u64, state: InstanceState) -> Change {
    let addr = SocketAddr::from(([10, 0, 0, 1], 9_000));
    Change::Registered(Instance {
        state,
        seq,
        ..vm::instance(&format!("i-{n}"), addr)
    })
}

/// Spawns two entries of a region, which count their polls, and waits until they
/// know each other.
async fn spawn_pair(store: &Arc<Store>, polls: [&Arc<AtomicU32>; 2]) -> (Gateway, Gateway) {
    let spawn = async |name: &str, polls| {
        let settings = relay_settings(name, Vec::new());
        let entry = vm::entry::spawn(settings, platform(store, polls)).await;
        store.put(presence(&entry, name));
        entry
    };
    let first = spawn("edge-1", polls[0]).await;
    let second = spawn("edge-2", polls[1]).await;
    wait_for_peers([&first, &second], 2).await;
    (first, second)
}

/// Spawns an entry, and another one that can only read the state of the first,
/// because the store fails after `change`.
async fn spawn_behind_outage(
    store: &Arc<Store>,
    polls: &Arc<AtomicU32>,
    change: impl FnOnce(),
) -> (Gateway, Gateway) {
    let settings = relay_settings("edge-1", Vec::new());
    let first = vm::entry::spawn(settings, platform(store, polls)).await;
    wait_until("the first is ready", || first.state.is_ready()).await;
    store.unavailable.store(true, SeqCst);
    change();
    let seed = first.relay_addr().expect("an address");
    let settings = relay_settings("edge-2", vec![seed]);
    let second = vm::entry::spawn(settings, platform(store, polls)).await;
    wait_until("the second is ready", || second.state.is_ready()).await;
    (first, second)
}

/// Fails if an entry polls the store although another entry of its region does, if
/// it does not receive a change from that entry, or if it misses a change after
/// that entry has stopped.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_follows_a_peer_and_takes_over_when_it_stops() {
    let store: Arc<Store> = Arc::default();
    store.put(configuration(1));
    store.put(target(1, 1, InstanceState::Ready));
    let (first_polls, polls): (Arc<AtomicU32>, Arc<AtomicU32>) = Default::default();
    let (first, second) = spawn_pair(&store, [&first_polls, &polls]).await;
    // The first poll of the second entry may still be in progress.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let before = polls.load(SeqCst);
    store.put(configuration(2));
    wait_for_version([&second], 2).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        polls.load(SeqCst),
        before,
        "the second entry polled the store"
    );
    first.stop().await;
    store.put(configuration(3));
    wait_for_version([&second], 3).await;
    assert!(
        polls.load(SeqCst) > before,
        "the second entry polls the store"
    );
    second.stop().await;
}

/// Returns a configuration whose messages are longer than those of other changes may be.
fn large_configuration(version: u64) -> Change {
    let rules = (0..3_000).map(|n| vm::rule(RequestKind::Download, &format!("/{n:0>64}/")));
    let config = vm::configuration(version, rules.collect(), 10.5);
    Change::Configured(Box::new(config))
}

/// Fails if entries cannot follow another one past a large configuration, so that each of
/// them asks the store or the next entry in vain, if an entry cannot start from the state
/// of another one that has such a configuration, or if entries get all its versions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_configuration_passes_between_entries() {
    let store: Arc<Store> = Arc::default();
    store.put(configuration(1));
    store.put(target(1, 1, InstanceState::Ready));
    let (first_polls, polls): (Arc<AtomicU32>, Arc<AtomicU32>) = Default::default();
    let (first, second) = spawn_pair(&store, [&first_polls, &polls]).await;
    // The first poll of the second entry may still be in progress.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let before = polls.load(SeqCst);
    let known = fetch(&first).await.expect("a reply").batch.position;
    for version in 2..=8 {
        store.put(large_configuration(version));
        wait_for_version([&second], version).await;
    }
    let asked = polls.load(SeqCst) - before;
    store.unavailable.store(true, SeqCst);
    let seed = first.relay_addr().expect("an address");
    let third = vm::entry::spawn(
        relay_settings("edge-3", vec![seed]),
        platform(&store, &polls),
    )
    .await;
    wait_for_version([&third], 8).await;
    let reply = fetch_after(&first, Some(known)).await.expect("a reply");
    stop_all(vec![first, second, third]).await;
    let items = describe_items(&reply.batch).join(", ");
    insta::assert_snapshot!(format!("the second entry polled the store {asked} times\nchanges after version 1: {items}"), @r"
    the second entry polled the store 0 times
    changes after version 1: version 8
    ");
}

/// Returns the targets that a gateway uses, as it passes them on.
async fn targets_of(gateway: &Gateway) -> String {
    let reply = fetch(gateway).await.expect("a reply");
    let mut ids: Vec<String> = reply
        .batch
        .changes
        .iter()
        .filter_map(|change| match change {
            Change::Registered(instance) => Some(instance.id.to_string()),
            _ => None,
        })
        .collect();
    ids.sort();
    ids.join(" ")
}

/// Fails if a target stays in use after its registration has become unreadable, at
/// the entry that reads the store or at one that follows it, if another target is
/// lost with it, or if it does not return with its next proper registration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_with_an_unreadable_registration_is_not_used() {
    let store: Arc<Store> = Arc::default();
    store.put(configuration(1));
    store.put(target(1, 1, InstanceState::Ready));
    store.put(target(2, 1, InstanceState::Ready));
    let polls: Arc<AtomicU32> = Arc::default();
    let (first, second) = spawn_pair(&store, [&polls, &polls]).await;
    let mut lines = vec![targets_of(&first).await];
    let unreadable = |id: &str| Change::Unreadable {
        key: format!("servers/{id}"),
        cause: "too deeply nested".to_owned(),
        target: id.parse().ok(),
    };
    for (n, changes) in [
        vec![unreadable("i-1"), unreadable("i-9"), unreadable("no id")],
        vec![target(1, 2, InstanceState::Ready)],
    ]
    .into_iter()
    .enumerate()
    {
        let next = n as u64 + 2;
        for change in changes {
            store.put(change);
        }
        store.put(configuration(next));
        wait_for_version([&first, &second], next).await;
        lines.push(targets_of(&first).await);
        lines.push(targets_of(&second).await);
    }
    first.stop().await;
    second.stop().await;
    insta::assert_snapshot!(lines.join("\n"), @r"
    i-1 i-2
    i-2
    i-2
    i-1 i-2
    i-1 i-2
    ");
}

/// Fails if an entry that starts while the store is unavailable does not become
/// ready although another entry has all the data, or if it passes on different
/// data.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_starts_from_a_peer_while_the_store_is_unavailable() {
    let store: Arc<Store> = Arc::default();
    store.put(configuration(1));
    store.put(target(1, 1, InstanceState::Ready));
    store.put(target(2, 1, InstanceState::Draining));
    store.put(Change::Evacuated("a-2".parse().expect("a name")));
    let polls: Arc<AtomicU32> = Arc::default();
    let (first, second) = spawn_behind_outage(&store, &polls, || ()).await;
    let mut reply = fetch(&second).await.expect("a reply");
    reply.batch.changes.sort_by_key(|c| format!("{c:?}"));
    insta::assert_debug_snapshot!(reply.batch);
    first.stop().await;
    second.stop().await;
}

/// Fails if an entry that starts during an outage of the store, from an entry that
/// has missed a removal, uses the removed target after the store is back, or if the
/// configuration of before the outage comes back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_removed_target_does_not_return_with_a_restart() {
    let store: Arc<Store> = Arc::default();
    store.put(configuration(1));
    for n in 1..=5 {
        store.put(target(n, 1, InstanceState::Ready));
    }
    let polls: Arc<AtomicU32> = Arc::default();
    let (first, second) = spawn_behind_outage(&store, &polls, || {
        store.put(Change::Unregistered("i-1".parse().expect("an id")));
        store.put(configuration(2));
    })
    .await;
    let mut lines = vec![targets_of(&second).await];
    store.unavailable.store(false, SeqCst);
    wait_for_version([&first, &second], 2).await;
    lines.push(targets_of(&first).await);
    lines.push(targets_of(&second).await);
    // A process that starts now has only what the store holds.
    second.stop().await;
    let seed = first.relay_addr().expect("an address");
    let third = vm::entry::spawn(
        relay_settings("edge-2", vec![seed]),
        platform(&store, &polls),
    )
    .await;
    wait_until("the third is ready", || third.state.is_ready()).await;
    lines.push(targets_of(&third).await);
    first.stop().await;
    third.stop().await;
    insta::assert_snapshot!(lines.join("\n"), @r"
    i-1 i-2 i-3 i-4 i-5
    i-2 i-3 i-4 i-5
    i-2 i-3 i-4 i-5
    i-2 i-3 i-4 i-5
    ");
}

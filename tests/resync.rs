//! Tests what entries do when they cannot get the changes since the revision that
//! they have: the store has dropped its history, or their upstream has lost the
//! store. The cost of that must not grow with the number of entries, and no entry
//! may go back to an older state.

mod vm;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    time::Duration,
};

use savorybeam::{
    app::gateway::Gateway,
    domain::{Era, Instance, InstanceState, Millis, Position, Presence, RequestKind, Revision},
    ports::{Batch, Change, Clock, Platform, PlatformError, Poll, PolledBatch},
};

use vm::{
    ANY_PORT,
    entry::{
        clock_at, describe_items, fetch, platform_of, presence, relay_settings, stop_all,
        store_failure, wait_for_peers, wait_for_version, wait_until,
    },
};

/// What the store returns to one entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Access {
    /// It answers.
    #[default]
    Full,
    /// It answers polls, but not reads of the complete state.
    Polls,
    /// It does not answer.
    None,
}

#[derive(Default)]
struct Content {
    /// The revision of a change is its position in the list, starting at 1.
    changes: Vec<Change>,
    /// The revision after which the store has the history.
    start: usize,
    access: BTreeMap<String, Access>,
    /// How often each entry has read the complete state.
    reads: BTreeMap<String, u32>,
    /// The revision that a read of the complete state returns, if not the last one.
    /// The pages of a read are no snapshot, so that it may be an early one.
    read_revision: Option<usize>,
    /// The maximum number of changes in one answer, if there is one.
    page: Option<usize>,
    /// How many polls the store still answers, if they are limited.
    answers: Option<u32>,
    /// How often each entry has polled.
    polls: BTreeMap<String, u32>,
    /// How long the last poll let the store wait for a change.
    wait: Millis,
}

/// The store of the platform.
#[derive(Clone, Default)]
struct Store(Arc<Mutex<Content>>);

impl Store {
    fn with<T>(&self, f: impl FnOnce(&mut Content) -> T) -> T {
        f(&mut self.0.lock().expect("content"))
    }

    fn put(&self, change: Change) {
        self.with(|c| c.changes.push(change));
    }

    /// Adds changes of which no entry hears before the history is dropped.
    fn compact(&self, changes: Vec<Change>) {
        self.with(|c| {
            c.changes.extend(changes);
            c.start = c.changes.len();
            c.reads.clear();
        });
    }

    fn set_access(&self, entry: &str, access: Access) {
        self.with(|c| c.access.insert(entry.to_owned(), access));
    }

    fn polls(&self, entry: &str) -> u32 {
        self.with(|c| c.polls.get(entry).copied().unwrap_or_default())
    }

    fn poll(&self, entry: &str, poll: Poll) -> Result<PolledBatch, PlatformError> {
        let after = poll.after;
        self.with(|c| {
            c.wait = poll.wait;
            *c.polls.entry(entry.to_owned()).or_default() += 1;
            if c.access.get(entry) == Some(&Access::None) || c.answers == Some(0) {
                return Err(store_failure("read keys"));
            }
            let known = usize::try_from(after.revision.0).expect("a small number");
            if known < c.start {
                return Err(PlatformError::Compacted);
            }
            let end = c.page.map_or(c.changes.len(), |page| known + page);
            let has_more = end < c.changes.len();
            let end = end.min(c.changes.len());
            if has_more && let Some(answers) = &mut c.answers {
                *answers -= 1;
            }
            Ok(PolledBatch {
                batch: batch(c.changes[known..end].to_vec(), end),
                has_more,
            })
        })
    }

    /// Returns the items that the changes so far have left.
    fn read(&self, entry: &str) -> Result<Batch, PlatformError> {
        self.with(|c| {
            *c.reads.entry(entry.to_owned()).or_default() += 1;
            if c.access.get(entry).is_some_and(|a| *a != Access::Full) {
                return Err(store_failure("read keys"));
            }
            let mut items = BTreeMap::new();
            for change in &c.changes {
                match key(change) {
                    (key, true) => items.insert(key, change.clone()),
                    (key, false) => items.remove(&key),
                };
            }
            let revision = c.read_revision.unwrap_or(c.changes.len());
            Ok(batch(items.into_values().collect(), revision))
        })
    }
}

fn batch(changes: Vec<Change>, revision: usize) -> Batch {
    Batch {
        changes,
        position: Position::new(Era(0), Revision(revision as u64)),
    }
}

/// Returns the key of the item that a change concerns, and whether the item is
/// there after it.
fn key(change: &Change) -> (String, bool) {
    match change {
        Change::Configured(_) => ("config".to_owned(), true),
        Change::Evacuated(az) => (format!("evacuate/{az}"), true),
        Change::Restored(az) => (format!("evacuate/{az}"), false),
        Change::Registered(instance) => (format!("servers/{}", instance.id), true),
        Change::Unregistered(id) => (format!("servers/{id}"), false),
        Change::Joined(presence) => (format!("entries/{}", presence.name), true),
        Change::Left(name) => (format!("entries/{name}"), false),
        Change::Unreadable { key, .. } => (key.clone(), true),
    }
}

/// Returns the platform as one entry reaches it.
fn platform(store: &Store, name: &str) -> Platform {
    let (all, some) = (store.clone(), store.clone());
    let (reader, poller) = (name.to_owned(), name.to_owned());
    platform_of(
        move || all.read(&reader),
        move |poll| some.poll(&poller, poll),
    )
}

/// Starts an entry and announces it in the store.
async fn start(store: &Store, name: &str, seeds: Vec<SocketAddr>) -> Gateway {
    let settings = relay_settings(name, seeds);
    let gateway = vm::entry::spawn(settings, platform(store, name)).await;
    wait_until("the entry is ready", || gateway.state.is_ready()).await;
    store.put(presence(&gateway, name));
    gateway
}

/// Starts entries of a region and waits until they know each other.
async fn start_many(store: &Store, count: usize) -> Vec<Gateway> {
    let mut entries = Vec::new();
    for n in 1..=count {
        entries.push(start(store, &format!("edge-{n}"), Vec::new()).await);
    }
    wait_for_peers(&entries, count).await;
    entries
}

fn configuration(version: u64) -> Change {
    vm::configured(version, vec![vm::rule(RequestKind::Idempotent, "/browse/")])
}

fn target(n: u16, seq: u64, state: InstanceState) -> Change {
    let addr = SocketAddr::from(([10, 0, 0, 1], 9_000 + n));
    Change::Registered(Instance {
        state,
        seq,
        ..vm::instance(&format!("i-{n}"), addr)
    })
}

/// Returns a store with a configuration and four targets.
fn new_store() -> Store {
    let store = Store::default();
    store.put(configuration(1));
    for n in 1..=4 {
        store.put(target(n, 1, InstanceState::Ready));
    }
    store
}

/// Returns what an entry knows of the platform, as it passes it on.
async fn describe(gateway: &Gateway) -> String {
    describe_with_age(gateway).await.0
}

/// Returns what an entry knows of the platform and how old it says that is.
async fn describe_with_age(gateway: &Gateway) -> (String, Millis) {
    let reply = fetch(gateway).await.expect("a reply");
    (describe_items(&reply.batch).join(", "), reply.age)
}

/// Guards against a herd on the store at a start of all entries, which know no other one
/// then: only the seed may call it. Fails too if the others do not get on without the
/// seed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn entries_that_start_together_leave_the_store_to_a_seed() {
    let store = Store::default();
    store.put(configuration(1));
    let spawn = |n, seeds| {
        let name = format!("edge-{n}");
        vm::entry::spawn(relay_settings(&name, seeds), platform(&store, &name))
    };
    let seed = spawn(1, Vec::new()).await;
    let seeds = vec![seed.relay_addr().expect("an address")];
    let others = (2..=8).map(|n| spawn(n, seeds.clone()));
    let others = futures::future::join_all(others).await;
    for n in 1..=4 {
        store.put(target(n, 1, InstanceState::Ready));
    }
    wait_until("all entries are ready", || {
        others.iter().all(|g| g.state.is_ready())
    })
    .await;
    let callers = store.with(|c| {
        let callers = c.reads.keys().chain(c.polls.keys()).cloned();
        callers.collect::<BTreeSet<_>>()
    });
    assert_eq!(callers, BTreeSet::from(["edge-1".to_owned()]));
    seed.stop().await;
    store.put(configuration(2));
    wait_for_version(&others, 2).await;
    stop_all(others).await;
}

/// Fails if more than one entry of a region reads the complete state after the
/// store has dropped its history, as then all do so at once over the same links,
/// or if an entry misses what changed in the gap: configuration, evacuation,
/// removals and additions.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_compacted_history_is_read_by_one_entry_for_its_region() {
    let store = new_store();
    store.put(Change::Evacuated("a-1".parse().expect("a name")));
    let entries = start_many(&store, 8).await;
    store.compact(vec![
        Change::Restored("a-1".parse().expect("a name")),
        Change::Evacuated("a-2".parse().expect("a name")),
        Change::Unregistered("i-1".parse().expect("an id")),
        target(2, 2, InstanceState::Draining),
        target(5, 1, InstanceState::Ready),
        Change::Left("edge-8".parse().expect("a name")),
        configuration(2),
    ]);
    wait_for_version(&entries, 2).await;
    // Each entry has applied all of the earlier changes when it has this one.
    store.put(configuration(3));
    wait_for_version(&entries, 3).await;
    let mut lines = Vec::new();
    for entry in &entries {
        lines.push(describe(entry).await);
    }
    lines.dedup();
    lines.push(store.with(|c| format!("complete reads by {:?}", c.reads)));
    stop_all(entries).await;
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if each entry of a region calls the store when the first two entries of its
/// ranking are silent, as in a partition. The next entry of the ranking and the three
/// after it may call. The bound on the age of the state is held in virtual time, by
/// `the_loss_of_two_sources_keeps_the_bound`.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_silent_sources_make_few_entries_call_the_store() {
    let store = new_store();
    let entries = start_many(&store, 8).await;
    // Connections are opened and get no answer.
    let silent: Vec<TcpListener> = (0..2)
        .map(|_| TcpListener::bind(ANY_PORT).expect("a socket"))
        .collect();
    let joined = silent
        .iter()
        .zip(["edge-01", "edge-02"])
        .map(|(socket, name)| {
            let addr = socket.local_addr().expect("an address");
            match presence(&entries[0], name) {
                Change::Joined(presence) => Change::Joined(Presence {
                    peer: Some(addr),
                    ..presence
                }),
                other => other,
            }
        });
    store.with(|c| c.changes.extend(joined));
    wait_for_peers(&entries, 10).await;
    let before = store.with(|c| c.polls.clone());
    store.put(configuration(2));
    wait_for_version(&entries, 2).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = store.with(|c| c.polls.clone());
    let callers: Vec<_> = after
        .iter()
        .filter(|(n, p)| before.get(*n) != Some(*p))
        .collect();
    stop_all(entries).await;
    assert!(callers.len() <= 4, "{callers:?}");
}

/// Fails if an entry that must read the complete state, while the store does not
/// return it, takes an older one from another entry. It would use targets of an
/// evacuated availability zone and a removed target again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_complete_state_of_another_entry_replaces_no_newer_one() {
    let store = new_store();
    let first = start(&store, "edge-1", Vec::new()).await;
    let seed = first.relay_addr().expect("an address");
    // The second entry does not follow the first one, which is not announced.
    store.set_access("edge-1", Access::None);
    store.put(Change::Left("edge-1".parse().expect("a name")));
    let second = start(&store, "edge-2", vec![seed]).await;
    store.put(Change::Evacuated("a-1".parse().expect("a name")));
    store.put(Change::Unregistered("i-1".parse().expect("an id")));
    store.put(configuration(2));
    wait_for_version([&second], 2).await;
    let mut lines = vec![describe(&second).await];
    store.set_access("edge-2", Access::Polls);
    store.compact(vec![configuration(3)]);
    wait_until("the second entry asks its seed", || {
        let metrics = second.state.ports.metrics.encode();
        metrics.contains(r#"upstream="entry",scope="complete""#)
    })
    .await;
    lines.push(describe(&second).await);
    store.set_access("edge-2", Access::Full);
    wait_for_version([&second], 3).await;
    lines.push(describe(&second).await);
    first.stop().await;
    second.stop().await;
    insta::assert_snapshot!(lines.join("\n"));
}

/// Returns a drain of four targets, an evacuation, a configuration and the removal
/// of a target, in this order.
fn burst() -> Vec<Change> {
    let drains = (1..=4).map(|n| target(n, 2, InstanceState::Draining));
    let mut changes: Vec<Change> = drains.collect();
    changes.push(Change::Evacuated("a-2".parse().expect("a name")));
    changes.push(configuration(2));
    changes.push(Change::Unregistered("i-1".parse().expect("an id")));
    changes
}

/// The number of answers with ten changes each into which a long burst fits.
const PAGES: u32 = 6;

/// Returns heartbeats of a target, followed by a [`burst`].
fn long_burst() -> Vec<Change> {
    let seqs = 2..=u64::from(PAGES) * 10 - 6;
    let heartbeats = seqs.map(|seq| target(2, seq, InstanceState::Ready));
    heartbeats.chain(burst()).collect()
}

/// Starts an entry at 10 s of a clock on which time passes only when it is set.
async fn start_with_time(store: &Store, time: &Arc<AtomicU64>) -> Gateway {
    time.store(10_000, SeqCst);
    let clock = Clock {
        wall: Arc::new(|| Millis(0)),
        ..clock_at(time)
    };
    let settings = relay_settings("edge-1", Vec::new());
    let platform = platform(store, "edge-1");
    let entry = vm::entry::spawn_with_clock(settings, platform, clock).await;
    wait_until("the entry is ready", || entry.state.is_ready()).await;
    entry
}

/// Fails if an entry whose state is too old to be passed on lets the store wait for
/// a change. Its followers lost their source with it, and the wait would be added to
/// the age of what they know.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_with_an_old_state_lets_the_store_answer_at_once() {
    let (store, time) = (new_store(), Arc::default());
    let entry = start_with_time(&store, &time).await;
    let mut lines = Vec::new();
    for (what, now) in [
        ("current", 10_000),
        ("3 s old", 13_000),
        ("current", 13_000),
    ] {
        time.store(now, SeqCst);
        let polls = store.polls("edge-1");
        wait_until("the entry polls", || store.polls("edge-1") > polls).await;
        lines.push(format!("{what}: {}", store.with(|c| c.wait)));
    }
    entry.stop().await;
    insta::assert_snapshot!(lines.join("\n"), @r"
    current: 500 ms
    3 s old: 0 ms
    current: 500 ms
    ");
}

/// Fails if an entry that has got a part of the changes passes its state on as
/// current: no entry would notice that a removal, an evacuation or a configuration
/// behind that part is missing. Time passes only between the steps.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_state_that_lacks_changes_is_as_old_as_before() {
    let (store, time) = (new_store(), Arc::default());
    let entry = start_with_time(&store, &time).await;
    let mut lines = Vec::new();
    let mut record = |what: &str, (items, age): (String, Millis)| {
        lines.push(format!("{what}: {age} old, {items}"));
    };
    record("before", describe_with_age(&entry).await);
    time.store(12_000, SeqCst);
    store.with(|c| {
        (c.page, c.answers) = (Some(3), Some(1));
        c.changes.extend(burst());
    });
    while !describe(&entry).await.contains("i-3 draining") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    record("a part", describe_with_age(&entry).await);
    store.with(|c| c.answers = None);
    while describe(&entry).await.contains("i-1 ") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    record("all", describe_with_age(&entry).await);
    entry.stop().await;
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if an entry waits for its next poll before it asks for the changes that an
/// answer of the store has left out. A removal behind ten answers would be known
/// ten poll periods after its acknowledgement. The periods are counted by the polls
/// of another entry, to which nothing happens.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_that_an_answer_left_out_are_polled_at_once() {
    let (store, quiet) = (new_store(), new_store());
    let entry = start(&store, "edge-1", Vec::new()).await;
    let other = start(&quiet, "edge-2", Vec::new()).await;
    let (polls, before) = (store.polls("edge-1"), quiet.polls("edge-2"));
    store.with(|c| {
        c.page = Some(10);
        c.changes.extend(long_burst());
    });
    wait_for_version([&entry], 2).await;
    let polls = store.polls("edge-1") - polls;
    let periods = quiet.polls("edge-2") - before;
    assert!(
        polls >= PAGES && periods <= PAGES / 2,
        "{polls} polls for {PAGES} answers took {periods} poll periods"
    );
    entry.stop().await;
    other.stop().await;
}

/// Fails if an entry that has got a part of the changes asks another entry for the
/// rest instead of the store. Entries that start together would wait for each other
/// and then give each other up, which loads the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_catches_up_at_the_store() {
    let store = new_store();
    let first = start(&store, "edge-1", Vec::new()).await;
    store.with(|c| c.changes.extend(long_burst()));
    wait_for_version([&first], 2).await;
    store.with(|c| (c.page, c.read_revision) = (Some(10), Some(1)));
    // The first entry is the source of the region, but lacks the early changes.
    let second = start(&store, "edge-2", Vec::new()).await;
    wait_until("the second entry has all answers", || {
        store.polls("edge-2") >= PAGES
    })
    .await;
    let metrics = second.state.ports.metrics.encode();
    let asked = metrics.lines().find_map(|line| {
        let entry = line.contains(r#"upstream="entry",scope="changes",result="compacted""#);
        entry.then(|| line.rsplit(' ').next().unwrap_or_default().to_owned())
    });
    assert_eq!(asked.as_deref(), Some("1"), "{metrics}");
    first.stop().await;
    second.stop().await;
}

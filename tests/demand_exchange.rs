//! Tests how entries exchange the demand of their region with their polls, with real
//! loopback connections: messages of earlier versions and of faulty entries, and
//! whether all entries of a region know the same sum.

mod vm;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    time::Duration,
};

use prost::Message;
use savorybeam::{
    adapters::{
        grpc::{self, Peers, Routes, Server},
        http::{self as web, Content, PoolConfig},
        metrics,
        store::CallCounters,
    },
    app::gateway::{self, Gateway, Ports},
    domain::{Era, Millis, Position, RequestKind, Revision, ServiceName, TargetId},
    policy::demand::{
        Demand, DemandReport, EntryReport, RankSlots, RegionDemand, WorkspaceKey, WorkspaceNeed,
        WorkspaceSlots,
    },
    ports::{AgedBatch, Batch, Change, Changes, FetchError, FetchRequest, Outbound, Platform},
};

use vm::{
    ANY_PORT, ClosedAddr, caller,
    entry::{clock_at, platform_of, presence, relay_settings, wait_until},
};

/// A request of a version that knows no demand.
#[derive(Clone, Message, PartialEq)]
struct EarlierRequest {
    #[prost(uint64, optional, tag = "1")]
    after: Option<u64>,
    #[prost(uint64, tag = "2")]
    wait_ms: u64,
}

/// A reply of a version that knows no demand.
#[derive(Clone, Message, PartialEq)]
struct EarlierReply {
    #[prost(uint64, optional, tag = "1")]
    revision: Option<u64>,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

/// The demand for one service.
#[derive(Clone, Message, PartialEq)]
struct Item {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(float, tag = "2")]
    requests: f32,
    #[prost(float, tag = "3")]
    slots: f32,
    #[prost(float, tag = "4")]
    far_load: f32,
    #[prost(float, tag = "5")]
    far_reports: f32,
    #[prost(float, tag = "6")]
    stated: f32,
    #[prost(float, tag = "7")]
    stated_far: f32,
    #[prost(float, repeated, tag = "8")]
    by_rank: Vec<f32>,
}

#[derive(Clone, Message, PartialEq)]
struct DemandRequest {
    #[prost(uint64, optional, tag = "1")]
    after: Option<u64>,
    #[prost(uint64, tag = "2")]
    wait_ms: u64,
    #[prost(string, tag = "10")]
    entry: String,
    #[prost(message, repeated, tag = "11")]
    demand: Vec<Item>,
}

#[derive(Clone, Message, PartialEq)]
struct DemandReply {
    #[prost(uint64, optional, tag = "1")]
    revision: Option<u64>,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    #[prost(message, repeated, tag = "10")]
    demand: Vec<Item>,
    #[prost(uint32, tag = "11")]
    entries: u32,
}

fn item(service: &str, requests: f32, slots: f32) -> Item {
    Item {
        service: service.to_owned(),
        requests,
        slots,
        ..Item::default()
    }
}

async fn serve(routes: Routes) -> Server {
    grpc::bind(ANY_PORT, routes).await.expect("a free port")
}

fn position(revision: u64) -> Position {
    Position::new(Era(0), Revision(revision))
}

fn peers() -> Arc<Peers> {
    Arc::new(Peers::new(Millis(2_000), Arc::default()))
}

fn report(entry: &str, services: &[(&str, f64, f64)]) -> EntryReport {
    let services = services.iter().map(|(service, requests, slots)| {
        let demand = Demand {
            requests: *requests,
            slots: *slots,
            stated: *requests,
            stated_far: *requests / 4.0,
            by_rank: RankSlots([0.0, *slots, *slots / 2.0, 0.0]),
            by_workspace: workspaces(*slots),
            ..Demand::default()
        };
        (service.parse().expect("a name"), demand)
    });
    EntryReport {
        entry: entry.parse().expect("a name"),
        demand: DemandReport {
            services: services.collect(),
        },
    }
}

/// Returns the needs of two workspaces, in single precision as they are sent.
#[expect(clippy::cast_possible_truncation)]
fn workspaces(slots: f64) -> WorkspaceSlots {
    let mut needs = WorkspaceSlots::default();
    for (key, weight) in [(4, 20.0), (9, 0.5)] {
        let (key, slots) = (WorkspaceKey(key), slots as f32 / 2.0);
        needs.add(WorkspaceNeed { key, weight, slots });
    }
    needs
}

fn fetch_request(peer: SocketAddr, report: Option<EntryReport>) -> FetchRequest {
    FetchRequest {
        peer,
        after: Some(position(7)),
        wait: Millis(0),
        report,
    }
}

fn describe(services: &BTreeMap<ServiceName, Demand>) -> String {
    let services = services.iter().map(|(s, d)| format!("{s}: {d}"));
    services.collect::<Vec<_>>().join("; ")
}

/// The reports that a server has received.
type Received = Arc<Mutex<Vec<Option<EntryReport>>>>;

/// Serves changes with the given demand.
async fn serve_demand(demand: Option<RegionDemand>) -> (Server, Received) {
    let received = Received::default();
    let reports = received.clone();
    let routes = grpc::serve_changes(Routes::default(), move |query| {
        reports.lock().expect("reports").push(query.report);
        let reply = AgedBatch {
            batch: Batch {
                changes: Vec::new(),
                position: query.after.unwrap_or_default(),
            },
            age: Millis(3),
            has_gap: false,
            demand: demand.clone(),
        };
        async { Ok::<_, FetchError>(reply) }
    });
    (serve(routes).await, received)
}

/// The demand of an entry for four services with names as long as those of users.
const FOUR_SERVICES: [(&str, f64, f64); 4] = [
    ("listing-search", 5.5, 0.75),
    ("payments", 0.25, 0.125),
    ("slotboard", 1_234.5, 617.25),
    ("uploads", 3.25, 1.625),
];

/// Fails if a report or a sum changes on its way, or if a message grows by more bytes
/// than the links of a large region have for it.
#[tokio::test]
async fn demand_arrives_unchanged() {
    let sent = report("edge-egs-a-1", &FOUR_SERVICES);
    let total = RegionDemand {
        entries: 99,
        services: sent.demand.services.clone(),
    };
    let (server, received) = serve_demand(Some(total.clone())).await;
    let changes = grpc::changes(peers());
    let request = fetch_request(server.addr(), Some(sent.clone()));
    let reply = (changes.fetch)(request).await.expect("a reply");
    assert_eq!(reply.demand, Some(total.clone()));
    assert_eq!(received.lock().expect("reports").pop(), Some(Some(sent)));
    // What is sent beside the fields of earlier versions.
    let raw: DemandReply = peers()
        .call(server.addr(), "Changes", EarlierRequest::default())
        .await
        .expect("a reply");
    let demand = raw.demand.clone();
    let reply_bytes = DemandReply {
        demand,
        entries: raw.entries,
        ..DemandReply::default()
    }
    .encoded_len();
    let request_bytes: Arc<AtomicU64> = Arc::default();
    let counted = request_bytes.clone();
    let routes = Routes::default().route("Changes", move |raw: DemandRequest| {
        let size = DemandRequest {
            after: None,
            wait_ms: 0,
            ..raw
        };
        counted.store(size.encoded_len() as u64, SeqCst);
        async { Ok(DemandReply::default()) }
    });
    let counting = serve(routes).await;
    let request = fetch_request(
        counting.addr(),
        Some(report("edge-egs-a-1", &FOUR_SERVICES)),
    );
    let _ = (changes.fetch)(request).await;
    let request_bytes = request_bytes.load(SeqCst);
    insta::assert_snapshot!(format!(
        "{}\nrequest: {request_bytes} bytes more\nreply: {reply_bytes} bytes more",
        describe(&total.services)
    ));
}

/// Fails if entries of a version without demand and of this one cannot exchange
/// changes, or if an entry that says nothing counts as one without requests.
#[tokio::test]
async fn earlier_versions_send_no_demand_and_ignore_it() {
    let total = RegionDemand {
        entries: 2,
        services: report("edge-1", &FOUR_SERVICES).demand.services,
    };
    let (server, received) = serve_demand(Some(total)).await;
    let request = EarlierRequest {
        after: Some(7),
        wait_ms: 0,
    };
    let reply: EarlierReply = peers()
        .call(server.addr(), "Changes", request)
        .await
        .expect("a reply");
    let mut lines = vec![
        format!("to an earlier version: {reply:?}"),
        format!("its report: {:?}", received.lock().expect("reports").pop()),
    ];
    let requests: Arc<Mutex<Vec<EarlierRequest>>> = Arc::default();
    let log = requests.clone();
    let routes = Routes::default().route("Changes", move |request: EarlierRequest| {
        log.lock().expect("requests").push(request);
        async {
            Ok(EarlierReply {
                revision: Some(9),
                age_ms: 4,
            })
        }
    });
    let earlier = serve(routes).await;
    let request = fetch_request(earlier.addr(), Some(report("edge-1", &FOUR_SERVICES)));
    let reply = (grpc::changes(peers()).fetch)(request).await;
    lines.push(format!("from an earlier version: {reply:?}"));
    let requests = requests.lock().expect("requests");
    lines.push(format!("it received: {:?}", requests.first()));
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if odd values of another entry make a poll fail, which would cost its changes,
/// or if a message makes the account of an entry grow without bound.
#[tokio::test]
async fn odd_demand_costs_no_changes() {
    let (server, received) = serve_demand(None).await;
    let many = |n: usize| {
        (0..n)
            .map(|n| item(&format!("s-{n:04}"), 1.0, 1.0))
            .collect()
    };
    let odd = vec![
        item("", 1.0, 1.0),
        item("Slot Board", 1.0, 1.0),
        item(&"x".repeat(64), 1.0, 1.0),
        item("nan", f32::NAN, 1.0),
        item("infinite", 1.0, f32::INFINITY),
        item("negative", -1.0, 1.0),
        item("twice", 1.0, 1.0),
        item("twice", 2.0, 2.0),
    ];
    let mut lines = Vec::new();
    for (case, entry, demand) in [
        ("no name", "", vec![item("slots", 1.0, 1.0)]),
        ("bad name", "Edge 1", vec![item("slots", 1.0, 1.0)]),
        ("odd services", "edge-1", odd.clone()),
        ("many services", "edge-1", many(5_000)),
    ] {
        let request = DemandRequest {
            after: Some(7),
            entry: entry.to_owned(),
            demand,
            ..DemandRequest::default()
        };
        let reply: Result<EarlierReply, _> = peers().call(server.addr(), "Changes", request).await;
        let revision = reply.expect("a reply").revision;
        let report = received.lock().expect("reports").pop().flatten();
        let report = report.map_or("none".to_owned(), |r| match r.demand.services.len() {
            n if n > 20 => format!("{n} services"),
            _ => describe(&r.demand.services),
        });
        lines.push(format!("request, {case}: {revision:?}, report: {report}"));
    }
    for (case, entries, demand) in [
        ("no entries", 0, vec![item("slots", 1.0, 1.0)]),
        ("odd services", u32::MAX, odd),
        ("many services", 2, many(5_000)),
    ] {
        let routes = Routes::default().route("Changes", move |_: EarlierRequest| {
            let reply = DemandReply {
                revision: Some(9),
                age_ms: 0,
                demand: demand.clone(),
                entries,
            };
            async { Ok(reply) }
        });
        let server = serve(routes).await;
        let reply = (grpc::changes(peers()).fetch)(fetch_request(server.addr(), None)).await;
        let reply = reply.expect("a reply");
        let total = reply.demand.map_or("none".to_owned(), |d| {
            let services = match d.services.len() {
                n if n > 20 => format!("{n} services"),
                _ => describe(&d.services),
            };
            format!("{} entries, {services}", d.entries)
        });
        lines.push(format!(
            "reply, {case}: {}, {total}",
            reply.batch.position.revision
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// The number of entries of the region.
const ENTRIES: u64 = 8;

/// The store of the platform. The revision of a change is its position in the list,
/// starting at 1.
type Store = Arc<Mutex<Vec<Change>>>;

fn put(store: &Store, change: Change) {
    store.lock().expect("changes").push(change);
}

fn platform(store: &Store) -> Platform {
    let after = |store: &Store, revision: Revision| {
        let changes = store.lock().expect("changes");
        let known = usize::try_from(revision.0).expect("a small number");
        Ok(Batch {
            changes: changes[known..].to_vec(),
            position: position(changes.len() as u64),
        })
    };
    let (all, some) = (store.clone(), store.clone());
    platform_of(
        move || after(&all, Revision(0)),
        move |poll| after(&some, poll.after.revision).map(Into::into),
    )
}

/// One entry and the number of polls of its source that it has started.
struct Entry {
    gateway: Gateway,
    polls: Arc<AtomicU64>,
}

impl Entry {
    /// Starts an entry with the given clock and announces it.
    async fn start(store: &Store, time: &Arc<AtomicU64>, n: u64) -> Self {
        let polls: Arc<AtomicU64> = Arc::default();
        let (fetch, counted) = (grpc::changes(peers()).fetch, polls.clone());
        let clock = clock_at(time);
        let ports = Ports {
            targets: web::open(clock.clone(), PoolConfig::default()),
            platform: platform(store),
            changes: Changes {
                fetch: Arc::new(move |request| {
                    counted.fetch_add(1, SeqCst);
                    fetch(request)
                }),
            },
            quotas: grpc::quotas(peers()),
            strikes: grpc::strikes(peers()),
            listeners: web::listeners(),
            metrics: metrics::open(Arc::<CallCounters>::default()),
            clock,
        };
        let name = format!("edge-{n}");
        let settings = relay_settings(&name, Vec::new());
        let gateway = gateway::spawn(settings, ports).await.expect("an entry");
        put(store, presence(&gateway, &name));
        Self { gateway, polls }
    }

    /// Sends requests to the entry. Their results do not matter.
    async fn send(&self, count: u64) {
        let client = caller::client();
        for n in 0..count {
            let headers = [("request-id", &*n.to_string())];
            let request = caller::request("GET", "/browse/1", &headers, "");
            let front = TargetId(self.gateway.front_addr());
            let _ = (client.send)(Outbound::new(front, request)).await;
        }
    }

    /// Returns what the metrics of the entry say of the demand, rounded.
    async fn metrics(&self) -> String {
        let addr = self.gateway.auxiliary_addrs().next().expect("a server");
        let request = caller::request("GET", "/metrics", &[], "");
        let resp = caller::send(&caller::client(), addr, request).await;
        let body = Content::read(resp.into_body(), 100_000).await;
        let body = body.expect("a body");
        let text = String::from_utf8_lossy(body.prefix()).into_owned();
        let demand = text.lines().filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            let value: f64 = value.parse().ok()?;
            let is_demand = name.starts_with("savorybeam_region_demand");
            is_demand.then(|| format!("{name} {value:.2}"))
        });
        demand.collect::<Vec<_>>().join("\n")
    }

    fn known(&self) -> String {
        let region = self.gateway.state.region_demand();
        let services = describe(&region.services);
        format!("{services} at {} entries", region.entries)
    }
}

/// Waits until each follower has had the answers to two polls that it has started from
/// now on. The first entry follows none.
async fn two_polls(entries: &[Entry]) {
    let followers = &entries[1..];
    let polls = |e: &Entry| e.polls.load(SeqCst);
    let before: Vec<u64> = followers.iter().map(polls).collect();
    // The poll after the second one starts when its answer has been applied.
    wait_until("all followers have polled twice", || {
        let mut pairs = followers.iter().zip(&before);
        pairs.all(|(e, before)| polls(e) >= before + 3)
    })
    .await;
}

/// Returns what the entries know, once if it is the same for all.
fn known(entries: &[Entry]) -> String {
    let mut lines: Vec<String> = entries.iter().map(Entry::known).collect();
    lines.dedup();
    lines.join("\n")
}

/// Fails if entries of a region know different sums of its demand after two polls, if a
/// second attempt counts as a request, if they know less while they change to another
/// source, or if the loss of the source ends the exchange. Its callers then use another
/// entry. The clock of the entries stands still while demand is compared, because it
/// decays with time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_entries_know_the_demand_of_their_region() {
    let store = Store::default();
    let rule = vm::rule(RequestKind::Idempotent, "/browse/");
    put(&store, vm::configured(1, vec![rule]));
    let targets = [ClosedAddr::bind(), ClosedAddr::bind()];
    for (n, target) in targets.iter().enumerate() {
        let instance = vm::instance(&format!("i-{n}"), target.addr);
        put(&store, Change::Registered(instance));
    }
    let time = Arc::new(AtomicU64::new(100_000));
    let mut entries = Vec::new();
    for n in 1..=ENTRIES {
        entries.push(Entry::start(&store, &time, n).await);
    }
    wait_until("all entries know each other", || {
        let mut entries = entries.iter();
        entries.all(|e| e.gateway.state.peers().len() == 8 && e.gateway.state.is_ready())
    })
    .await;
    for (n, entry) in (1..).zip(&entries) {
        entry.send(n).await;
    }
    two_polls(&entries).await;
    let mut lines = vec![known(&entries)];
    entries.remove(0).gateway.stop().await;
    put(&store, Change::Left("edge-1".parse().expect("a name")));
    two_polls(&entries).await;
    lines.push(known(&entries));
    // All earlier reports expire.
    for _ in 0..300 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        time.fetch_add(20, SeqCst);
    }
    for (n, entry) in (2..).zip(&entries) {
        entry.send(n + u64::from(n == ENTRIES)).await;
    }
    two_polls(&entries).await;
    lines.push(known(&entries));
    lines.push(entries[6].metrics().await);
    let stops = entries.into_iter().map(|e| e.gateway.stop());
    futures::future::join_all(stops).await;
    insta::assert_snapshot!(lines.join("\n"));
}

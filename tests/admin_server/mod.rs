//! An administration server for tests, over an in-memory store with injected
//! faults.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use savorybeam::{
    adapters::{
        clock,
        http::Server,
        metrics::{self, Metrics},
        store::{CallCounters, documents, memory},
    },
    app::entry::admin::{self, Admin, open_events},
    ports::{
        AdminPort, Events, Store, StoreError,
        admin::{Decision, EntryRevision, GatheredEvents, Status},
    },
};

use crate::harness::{BufferedResponse, send};

/// The token of team kitchens.
pub const TOKEN: &str = "token-of-the-kitchens";
/// The token of team payouts. It has the same length.
pub const OTHER_TOKEN: &str = "token-of-the-payouts!";
/// A valid document.
pub const DOCUMENT: &str = "\
[service]
name = slotboard
team = kitchens
deadline = 5 s

[place reykjanes-1]
region = reykjanes
az = reykjanes-1
weight = 60
slots = 5
targets = 10.0.0.1:8080, 10.0.0.2:8080
";

/// The faults that are injected into the store.
#[derive(Debug, Default)]
pub struct Faults {
    /// Whether all calls fail without an effect.
    pub down: AtomicBool,
    /// The number of following writes that take effect but whose response is
    /// lost.
    pub lost_writes: AtomicU64,
    /// Whether the store goes down as soon as a response is lost.
    pub goes_down: AtomicBool,
}

/// A running administration server.
pub struct AdminServer {
    pub addr: SocketAddr,
    pub faults: Arc<Faults>,
    pub metrics: Metrics,
    // Dropping it stops the server.
    _server: Server,
}

impl AdminServer {
    pub async fn spawn() -> Self {
        let faults: Arc<Faults> = Arc::default();
        let clock = clock::open();
        let calls: Arc<CallCounters> = Arc::default();
        let store = memory::open(clock.clone()).store(&calls);
        let metrics = metrics::open(calls);
        let events = open_events("e1".parse().expect("a name"), &clock, &metrics);
        let teams = [("kitchens", TOKEN), ("payouts", OTHER_TOKEN)];
        let teams: BTreeMap<_, _> = teams
            .map(|(t, token)| (t.parse().expect("a name"), token.to_owned()))
            .into();
        let port = port(&events, store.clone());
        let admin = Admin {
            teams,
            clock,
            store: faulty(store, &faults),
            metrics: metrics.clone(),
            port,
            events,
        };
        let addr = "127.0.0.1:0".parse().expect("an address");
        let server = admin::spawn(addr, admin).await.expect("a port is free");
        Self {
            addr: server.addr(),
            faults,
            metrics,
            _server: server,
        }
    }

    /// Sends a request with the token of team kitchens.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> BufferedResponse {
        let bearer = format!("Bearer {TOKEN}");
        let mut all = vec![("authorization", bearer.as_str())];
        all.extend(headers);
        self.call_as(method, path, &all, body).await
    }

    /// Sends a request with the given headers and no token. Headers with an
    /// empty value are left out.
    pub async fn call_as(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> BufferedResponse {
        let mut request = Request::builder().method(method).uri(path);
        request = request.header("host", "a");
        for (name, value) in headers.iter().filter(|(_, v)| !v.is_empty()) {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::from(body.to_owned()));
        let request = request.body(body).expect("the request is well formed");
        send(self.addr, request).await.expect("an answer")
    }
}

/// Returns the status and body of a response, with the random edit id replaced.
pub fn show(answer: &BufferedResponse) -> String {
    let mut text = answer.text().trim().to_owned();
    if let Ok(mut value) = serde_json::from_str::<serde_json::Value>(&text) {
        if let Some(id) = value.get_mut("edit") {
            *id = "EDIT".into();
        }
        text = value.to_string();
    }
    format!("{} {text}", answer.head.status.as_u16())
}

/// Returns the store with the faults injected.
fn faulty(store: Store, faults: &Arc<Faults>) -> Store {
    let (get_faults, get) = (faults.clone(), store.get.clone());
    let (write_faults, write) = (faults.clone(), store.write.clone());
    Store {
        get: Arc::new(move |key| {
            if get_faults.down.load(SeqCst) {
                return Box::pin(std::future::ready(Err(unreachable_error())));
            }
            get(key)
        }),
        write: Arc::new(move |change| {
            let faults = write_faults.clone();
            if faults.down.load(SeqCst) {
                return Box::pin(std::future::ready(Err(unreachable_error())));
            }
            let result = write(change);
            Box::pin(async move {
                let result = result.await;
                let decrement = |n: u64| n.checked_sub(1);
                if faults
                    .lost_writes
                    .fetch_update(SeqCst, SeqCst, decrement)
                    .is_err()
                {
                    return result;
                }
                if faults.goes_down.load(SeqCst) {
                    faults.down.store(true, SeqCst);
                }
                Err(response_lost_error())
            })
        }),
        ..store
    }
}

fn unreachable_error() -> StoreError {
    StoreError::Down {
        step: "connect to store",
        peer: "10.0.0.9:2379".to_owned(),
        cause: "timed out after 1000 ms".to_owned(),
    }
}

fn response_lost_error() -> StoreError {
    StoreError::Unknown {
        step: "answer from store",
        peer: "10.0.0.9:2379".to_owned(),
        cause: "connection closed".to_owned(),
    }
}

/// Returns a port with fixed values and the timeline of `events`. Entry e1 has the
/// documents of `store` in effect, and e2 does not answer.
fn port(events: &Events, store: Store) -> AdminPort {
    let read = events.read.clone();
    let decision = Decision {
        wall_ms: 0,
        service: "slotboard".to_owned(),
        request: "GET /slots".to_owned(),
        place: Some("reykjanes-1".to_owned()),
        target: Some("10.0.0.1:8080".to_owned()),
        reason: "fewest running requests".to_owned(),
        result: "200 complete".to_owned(),
        took_ms: 4,
    };
    let status = Status {
        entry: "e1".to_owned(),
        region: "reykjanes".to_owned(),
        az: "reykjanes-1".to_owned(),
        incarnation: 7,
        uptime_ms: 0,
        ready: false,
        store_up: true,
        services: Vec::new(),
        members: Vec::new(),
    };
    let entry_revision = |entry: &str, revision| EntryRevision {
        entry: entry.to_owned(),
        revision,
    };
    AdminPort {
        unready_reason: Arc::new(|| Some("no documents yet".to_owned())),
        status: Arc::new(move || status.clone()),
        drains: Arc::new(|()| Box::pin(std::future::ready(Vec::new()))),
        limits: Arc::new(Vec::new),
        explain: Arc::new(move |_| vec![decision.clone()]),
        entry_revisions: Arc::new(move |service| {
            let store = store.clone();
            Box::pin(async move {
                let stored = documents::read(&store, &service).await.expect("up");
                let revision = stored.map(|s| s.revision.0);
                vec![entry_revision("e1", revision), entry_revision("e2", None)]
            })
        }),
        timeline: Arc::new(move |query| {
            let events = read(&query);
            let missing = Vec::new();
            Box::pin(std::future::ready(GatheredEvents { events, missing }))
        }),
    }
}

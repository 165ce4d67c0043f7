//! Guards planned stops of entries and drains of targets under load: no request
//! is cut off, a leaving target gets no new work, and a drain is complete only
//! when nothing runs there.

mod harness;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use harness::{
    Entry, Site, authorized, document,
    faults::{Got, call, guarded, until},
    open, request, send,
};
use http_body_util::BodyExt;
use serde_json::Value;
use tokio::task::JoinSet;

/// Callers that use the list of a look-up and go on to the next entry only if a
/// connection is refused.
struct Callers {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    failures: Arc<Mutex<Vec<String>>>,
    set: JoinSet<()>,
}

async fn look_up(entries: &[SocketAddr]) -> Vec<SocketAddr> {
    for addr in entries {
        let req = request("GET", "lookup", "/v1/entries?service=slotboard", "");
        let Ok(answer) = send(*addr, req).await else {
            continue;
        };
        let value: Value = serde_json::from_str(&answer.text()).expect("JSON");
        let list = value["entries"].as_array().expect("a list");
        let addr = |v: &Value| {
            let text = v.as_str().unwrap_or_default();
            text.trim_start_matches("http://").parse().ok()
        };
        return list.iter().filter_map(addr).collect();
    }
    Vec::new()
}

impl Callers {
    fn start(site: &Site, count: usize) -> Self {
        let all: Vec<SocketAddr> = site.entries.iter().map(|e| e.proc.addr).collect();
        let (stop, served, failures) =
            <(Arc<AtomicBool>, Arc<AtomicU64>, Arc<Mutex<Vec<String>>>)>::default();
        let mut set = JoinSet::new();
        for n in 0..count {
            let (stop, served, failures) = (stop.clone(), served.clone(), failures.clone());
            let all = all.clone();
            set.spawn(async move {
                while !stop.load(Ordering::SeqCst) {
                    let mut list = look_up(&all).await;
                    let turn = n % list.len().max(1);
                    list.rotate_left(turn);
                    for _ in 0..10 {
                        match one(&list).await {
                            None => served.fetch_add(1, Ordering::SeqCst),
                            Some(e) => {
                                failures.lock().expect("no panic").push(e);
                                0
                            }
                        };
                    }
                }
            });
        }
        Self {
            stop,
            served,
            failures,
            set,
        }
    }

    async fn more(&self, count: u64) {
        let goal = self.served.load(Ordering::SeqCst) + count;
        until("requests are served", || async {
            let served = self.served.load(Ordering::SeqCst);
            let failures = self.failures.lock().expect("no panic");
            (served >= goal)
                .then_some(())
                .ok_or(format!("{served} of {goal}, {failures:?}"))
        })
        .await;
    }

    async fn end(mut self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        while self.set.join_next().await.is_some() {}
        std::mem::take(&mut self.failures.lock().expect("no panic"))
    }
}

/// Sends one request, and returns what went wrong.
async fn one(list: &[SocketAddr]) -> Option<String> {
    for addr in list {
        let req = request("POST", "slotboard", "/delay/5", "");
        match call(*addr, req, Duration::from_secs(30)).await {
            Got::Unreachable(_) => {}
            got if got.is_success() => return None,
            got => return Some(format!("{addr}: {got:?}")),
        }
    }
    Some("no entry accepted the connection".to_owned())
}

/// A connection that waits to be accepted when the listener closes would be
/// reset, and a request on it lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_of_an_entry_under_load_cuts_off_no_request() {
    let mut site = guarded("open", Site::open(3, 2, 5)).await;
    let callers = Callers::start(&site, 8);
    callers.more(100).await;
    for n in 0..2 {
        site.entries[n].proc.signal("TERM");
        let entry = &mut site.entries[n];
        let stopped = tokio::task::block_in_place(|| entry.proc.wait());
        assert!(stopped, "the entry ends with success");
        callers.more(50).await;
    }
    assert_eq!(callers.end().await, Vec::<String>::new());
}

async fn drains(entry: &Entry) -> Value {
    let answer = send(entry.admin, authorized("GET", "/v1/drains", "", ""))
        .await
        .expect("an answer");
    serde_json::from_str(&answer.text()).expect("JSON")
}

async fn complete(entry: &Entry) -> Result<(), String> {
    let drains = drains(entry).await;
    let all = drains["drains"].as_array().expect("a list");
    let done = !all.is_empty() && all.iter().all(|d| d["complete"] == true);
    done.then_some(()).ok_or(drains.to_string())
}

/// Puts the document with the first target's place leaving, and waits until it
/// is in effect everywhere.
async fn leave(site: &Site) {
    let addrs: Vec<_> = site.targets.iter().map(|t| t.addr).collect();
    let text =
        document(&addrs, 5, "").replacen("weight = 100\n", "weight = 100\nstate = leaving\n", 1);
    let answer = site.put(1, &text).await;
    let revision = answer.header("etag").trim_matches('"').parse();
    let revision = revision.expect("a revision");
    guarded("in effect", site.in_effect(revision)).await;
}

/// Starts a large download from the first target through an entry.
async fn download(site: &Site, entry: usize) -> http::Response<hyper::body::Incoming> {
    loop {
        let req = request("GET", "slotboard", "/bytes/50000000", "");
        let addr = site.entries[entry].proc.addr;
        let resp = open(addr, req).await.expect("an answer");
        if resp.headers().get("x-target").is_some_and(|t| t == "t0") {
            return resp;
        }
    }
}

/// New work at a leaving target, a download that is cut off, and a drain that
/// never ends are the failures of a planned removal.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_finishes_its_work_and_gets_no_new() {
    let site = guarded("open", Site::open(3, 2, 5)).await;
    let callers = Callers::start(&site, 6);
    callers.more(50).await;
    let resp = guarded("download", download(&site, 2)).await;
    leave(&site).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = site.targets[0].number("/peak").await;
    assert!(before > 0, "the target had work");
    assert!(
        complete(&site.entries[0]).await.is_err(),
        "the download runs"
    );
    site.targets[0].control("peak=0").await;
    callers.more(200).await;
    // A request that arrives raises the peak, which a running one does not.
    let peak = site.targets[0].number("/peak").await;
    let body = guarded("the rest", resp.into_body().collect()).await;
    assert_eq!(body.expect("the whole body").to_bytes().len(), 50_000_000);
    until("the drain is complete", || complete(&site.entries[0])).await;
    assert_eq!(callers.end().await, Vec::<String>::new());
    assert_eq!(peak, 0, "new work reached the leaving target");
}

/// A frozen entry may still run requests at a target that leaves. A drain that
/// counts only the entries that gossip knows as alive would say that the target
/// can be removed, and the removal would cut these requests off.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_waits_for_an_entry_that_is_held_for_dead() {
    let site = guarded("open", Site::open(3, 2, 5)).await;
    let resp = guarded("download", download(&site, 2)).await;
    site.entries[2].proc.signal("STOP");
    until("the frozen entry is held for dead", || async {
        let status = site.entries[0].status().await;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let dead = members
            .iter()
            .any(|m| m["entry"] == "e2" && m["state"] == "dead");
        dead.then_some(()).ok_or(status["members"].to_string())
    })
    .await;
    let addrs: Vec<_> = site.targets.iter().map(|t| t.addr).collect();
    let text =
        document(&addrs, 5, "").replacen("weight = 100\n", "weight = 100\nstate = leaving\n", 1);
    site.put(0, &text).await;
    until("the drain is known", || async {
        let drains = drains(&site.entries[0]).await;
        let known = drains["drains"].as_array().is_some_and(|d| !d.is_empty());
        known.then_some(()).ok_or(drains.to_string())
    })
    .await;
    let drain = complete(&site.entries[0]).await;
    assert!(drain.is_err(), "the drain is complete, but a download runs");
    site.entries[2].proc.signal("CONT");
    let body = guarded("the rest", resp.into_body().collect()).await;
    assert_eq!(body.expect("the whole body").to_bytes().len(), 50_000_000);
    until("the drain is complete", || complete(&site.entries[0])).await;
}

/// A connection that the kernel has accepted and the entry has not would be
/// reset when the listener closes, after its caller has sent the request.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_connections_before_a_stop_are_served() {
    let site = guarded("open", Site::open(2, 2, 5)).await;
    let addr = site.entries[0].proc.addr;
    let served: Arc<AtomicU64> = Arc::default();
    let mut set = JoinSet::new();
    for _ in 0..24 {
        let served = served.clone();
        set.spawn(async move {
            loop {
                let req = request("GET", "lookup", "/v1/entries?service=slotboard", "");
                match call(addr, req, Duration::from_secs(30)).await {
                    Got::Answer(_) => served.fetch_add(1, Ordering::SeqCst),
                    Got::Unreachable(_) => return None,
                    got => return Some(format!("{got:?}")),
                };
            }
        });
    }
    until("look-ups are answered", || async {
        let served = served.load(Ordering::SeqCst);
        (served > 200).then_some(()).ok_or(served.to_string())
    })
    .await;
    site.entries[0].proc.signal("TERM");
    let lost: Vec<String> = guarded("the end", set.join_all())
        .await
        .into_iter()
        .flatten()
        .collect();
    assert_eq!(lost, Vec::<String>::new());
}

//! Tests of planned stops of entries and drains of targets under load: no
//! request is aborted, a leaving target gets no new requests, and a drain is
//! complete only when no request runs at the target.

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
    Deployment, Entry, admin_request, document,
    faults::{HttpResult, call, wait_until, with_timeout},
    request, send, send_streaming,
};
use http_body_util::BodyExt;
use serde_json::Value;
use tokio::task::JoinSet;

/// Concurrent callers that use the list of a lookup and try the next entry
/// only if a connection is refused.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    failures: Arc<Mutex<Vec<String>>>,
    tasks: JoinSet<()>,
}

/// Returns the addresses that a lookup at the first reachable entry lists.
async fn look_up(entries: &[SocketAddr]) -> Vec<SocketAddr> {
    for addr in entries {
        let req = request("GET", "lookup", "/v1/entries?service=slotboard", "");
        let Ok(response) = send(*addr, req).await else {
            continue;
        };
        let value: Value = serde_json::from_str(&response.text()).expect("JSON");
        let list = value["entries"].as_array().expect("a list");
        let addr = |v: &Value| {
            let text = v.as_str().unwrap_or_default();
            text.trim_start_matches("http://").parse().ok()
        };
        return list.iter().filter_map(addr).collect();
    }
    Vec::new()
}

impl Load {
    fn start(deployment: &Deployment, count: usize) -> Self {
        let all: Vec<SocketAddr> = deployment.entries.iter().map(|e| e.process.addr).collect();
        let (stop, served, failures) =
            <(Arc<AtomicBool>, Arc<AtomicU64>, Arc<Mutex<Vec<String>>>)>::default();
        let mut tasks = JoinSet::new();
        for n in 0..count {
            let (stop, served, failures) = (stop.clone(), served.clone(), failures.clone());
            let all = all.clone();
            tasks.spawn(async move {
                while !stop.load(Ordering::SeqCst) {
                    let mut list = look_up(&all).await;
                    let offset = n % list.len().max(1);
                    list.rotate_left(offset);
                    for _ in 0..10 {
                        match send_to_first_reachable(&list).await {
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
            tasks,
        }
    }

    /// Waits until `count` more requests have been served.
    async fn wait_for_served(&self, count: u64) {
        let goal = self.served.load(Ordering::SeqCst) + count;
        wait_until("requests are served", || async {
            let served = self.served.load(Ordering::SeqCst);
            let failures = self.failures.lock().expect("no panic");
            (served >= goal)
                .then_some(())
                .ok_or(format!("{served} of {goal}, {failures:?}"))
        })
        .await;
    }

    /// Stops the callers and returns the failures.
    async fn stop(mut self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        while self.tasks.join_next().await.is_some() {}
        std::mem::take(&mut self.failures.lock().expect("no panic"))
    }
}

/// Sends a request to the first entry that accepts the connection, and returns
/// the error if it fails.
async fn send_to_first_reachable(list: &[SocketAddr]) -> Option<String> {
    for addr in list {
        let req = request("POST", "slotboard", "/delay/5", "");
        match call(*addr, req, Duration::from_secs(30)).await {
            HttpResult::Unreachable(_) => {}
            result if result.is_success() => return None,
            result => return Some(format!("{addr}: {result:?}")),
        }
    }
    Some("no entry accepted the connection".to_owned())
}

/// Closing the listener resets the connections that are still in its accept
/// queue, which would lose the requests sent on them.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_an_entry_under_load_aborts_no_request() {
    let mut deployment = with_timeout("start", Deployment::start_serving(3, 2, 5)).await;
    let load = Load::start(&deployment, 8);
    load.wait_for_served(100).await;
    for n in 0..2 {
        deployment.entries[n].process.signal("TERM");
        let entry = &mut deployment.entries[n];
        let stopped = tokio::task::block_in_place(|| entry.process.wait());
        assert!(stopped, "the entry exits with success");
        load.wait_for_served(50).await;
    }
    assert_eq!(load.stop().await, Vec::<String>::new());
}

/// Fetches the drains from an entry's administration server.
async fn fetch_drains(entry: &Entry) -> Value {
    let response = send(entry.admin, admin_request("GET", "/v1/drains", "", ""))
        .await
        .expect("a response");
    serde_json::from_str(&response.text()).expect("JSON")
}

/// Returns the drains as an error unless there is one and all are complete.
async fn check_drains_complete(entry: &Entry) -> Result<(), String> {
    let drains = fetch_drains(entry).await;
    let all = drains["drains"].as_array().expect("a list");
    let done = !all.is_empty() && all.iter().all(|d| d["complete"] == true);
    done.then_some(()).ok_or(drains.to_string())
}

/// Returns the document with the place of the first target marked as leaving.
fn leaving(deployment: &Deployment) -> String {
    let addrs: Vec<_> = deployment.targets.iter().map(|t| t.addr).collect();
    let (active, leaving) = ("weight = 100\n", "weight = 100\nstate = leaving\n");
    document(&addrs, 5, "").replacen(active, leaving, 1)
}

/// Marks the place of the first target as leaving in the document, and waits
/// until every entry has applied it.
async fn mark_leaving(deployment: &Deployment) {
    let response = deployment.put_document(1, &leaving(deployment)).await;
    let revision = response.header("etag").trim_matches('"').parse();
    let revision = revision.expect("a revision");
    with_timeout("revision applied", deployment.wait_for_revision(revision)).await;
}

/// Starts a large download from the first target through an entry.
async fn start_download(
    deployment: &Deployment,
    entry: usize,
) -> http::Response<hyper::body::Incoming> {
    loop {
        let req = request("GET", "slotboard", "/bytes/50000000", "");
        let addr = deployment.entries[entry].process.addr;
        let resp = send_streaming(addr, req).await.expect("a response");
        if resp.headers().get("x-target").is_some_and(|t| t == "t0") {
            return resp;
        }
    }
}

/// Checks that a download ends with its whole body and that the drain completes
/// afterwards.
async fn complete_download_and_drain(
    deployment: &Deployment,
    resp: http::Response<hyper::body::Incoming>,
) {
    let body = with_timeout("the rest of the download", resp.into_body().collect()).await;
    assert_eq!(
        body.expect("the complete body").to_bytes().len(),
        50_000_000
    );
    wait_until("the drain is complete", || {
        check_drains_complete(&deployment.entries[0])
    })
    .await;
}

/// A planned removal fails if the leaving target gets new requests, if a
/// running download is aborted, or if the drain never completes.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_finishes_its_requests_and_gets_no_new_ones() {
    let deployment = with_timeout("start", Deployment::start_serving(3, 2, 5)).await;
    let load = Load::start(&deployment, 6);
    load.wait_for_served(50).await;
    let resp = with_timeout("download", start_download(&deployment, 2)).await;
    mark_leaving(&deployment).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = deployment.targets[0].read_number("/peak").await;
    assert!(before > 0, "the target had requests");
    assert!(
        check_drains_complete(&deployment.entries[0]).await.is_err(),
        "the download runs"
    );
    deployment.targets[0].set_control("peak=0").await;
    load.wait_for_served(200).await;
    // Only an arriving request raises the peak, so the download leaves it at 0.
    let peak = deployment.targets[0].read_number("/peak").await;
    complete_download_and_drain(&deployment, resp).await;
    assert_eq!(load.stop().await, Vec::<String>::new());
    assert_eq!(peak, 0, "new requests reached the leaving target");
}

/// A frozen entry may still have requests running at a leaving target. A drain
/// that counts only the entries that gossip reports as alive would complete too
/// early, and removing the target would abort these requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_waits_for_an_entry_declared_dead() {
    let deployment = with_timeout("start", Deployment::start_serving(3, 2, 5)).await;
    let resp = with_timeout("download", start_download(&deployment, 2)).await;
    deployment.entries[2].process.signal("STOP");
    wait_until("the frozen entry is declared dead", || async {
        let status = deployment.entries[0].status().await;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let dead = members
            .iter()
            .any(|m| m["entry"] == "e2" && m["state"] == "dead");
        dead.then_some(()).ok_or(status["members"].to_string())
    })
    .await;
    deployment.put_document(0, &leaving(&deployment)).await;
    wait_until("the drain is listed", || async {
        let drains = fetch_drains(&deployment.entries[0]).await;
        let known = drains["drains"].as_array().is_some_and(|d| !d.is_empty());
        known.then_some(()).ok_or(drains.to_string())
    })
    .await;
    let drain = check_drains_complete(&deployment.entries[0]).await;
    assert!(drain.is_err(), "the drain is complete, but a download runs");
    deployment.entries[2].process.signal("CONT");
    complete_download_and_drain(&deployment, resp).await;
}

/// A connection that the kernel has established and the entry has not accepted
/// would be reset when the listener closes, although its caller may already
/// have sent the request.
#[tokio::test(flavor = "multi_thread")]
async fn connections_opened_before_a_stop_are_served() {
    let deployment = with_timeout("start", Deployment::start_serving(2, 2, 5)).await;
    let addr = deployment.entries[0].process.addr;
    let served: Arc<AtomicU64> = Arc::default();
    let mut tasks = JoinSet::new();
    for _ in 0..24 {
        let served = served.clone();
        tasks.spawn(async move {
            loop {
                let req = request("GET", "lookup", "/v1/entries?service=slotboard", "");
                match call(addr, req, Duration::from_secs(30)).await {
                    HttpResult::Response(_) => served.fetch_add(1, Ordering::SeqCst),
                    HttpResult::Unreachable(_) => return None,
                    result => return Some(format!("{result:?}")),
                };
            }
        });
    }
    wait_until("lookups are answered", || async {
        let served = served.load(Ordering::SeqCst);
        (served > 200).then_some(()).ok_or(served.to_string())
    })
    .await;
    deployment.entries[0].process.signal("TERM");
    let lost: Vec<String> = with_timeout("the callers stop", tasks.join_all())
        .await
        .into_iter()
        .flatten()
        .collect();
    assert_eq!(lost, Vec::<String>::new());
}

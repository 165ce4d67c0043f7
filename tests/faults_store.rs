//! Tests that requests are served during outages of the store, and that edits
//! are correct when the store's response is lost or when they are concurrent.

mod harness;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use harness::{
    BufferedResponse, Deployment, Entry, admin_request, document,
    faults::{
        call, come_back_from_copy, control_store, wait_for_served, wait_until, wait_until_success,
        with_timeout,
    },
    request, send,
};
use serde_json::Value;
use tokio::task::JoinHandle;

/// The time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the document of the deployment's targets with `slots` slots each.
fn document_text(deployment: &Deployment, slots: u32) -> String {
    let addrs: Vec<SocketAddr> = deployment.targets.iter().map(|t| t.addr).collect();
    document(&addrs, slots, "")
}

async fn put_document(entry: &Entry, etag: &str, doc: &str) -> BufferedResponse {
    let req = admin_request("PUT", "/v1/documents/slotboard", etag, doc);
    send(entry.admin, req).await.expect("a response")
}

async fn fetch_etag(entry: &Entry) -> String {
    let req = admin_request("GET", "/v1/documents/slotboard", "", "");
    let response = send(entry.admin, req).await.expect("a response");
    response.header("etag").to_owned()
}

fn parse_revision(etag: &str) -> u64 {
    etag.trim_matches('"').parse().expect("a revision")
}

/// A background task that collects error messages until it is stopped.
struct Monitor {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<String>>,
}

impl Monitor {
    /// Polls the revision of every entry, and reports each decrease.
    fn watch_revisions(admins: Vec<SocketAddr>) -> Self {
        let stop: Arc<AtomicBool> = Arc::default();
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            let mut newest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
            let mut problems = Vec::new();
            while !stopped.load(Ordering::SeqCst) {
                for admin in &admins {
                    let Some(now) = reported_revision(*admin).await else {
                        continue;
                    };
                    let before = newest.entry(*admin).or_default();
                    if now < *before {
                        problems.push(format!("{admin} went from {before} to {now}"));
                    }
                    *before = now.max(*before);
                }
                harness::pause().await;
            }
            problems
        });
        Self { stop, task }
    }

    /// Stops the task and returns its error messages.
    async fn stop(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        self.task.await.expect("no panic")
    }
}

/// Returns the revision that an entry reports, or `None` if it does not
/// respond.
async fn reported_revision(admin: SocketAddr) -> Option<u64> {
    let req = admin_request("GET", "/v1/status", "", "");
    let response = send(admin, req).await.ok()?;
    let status: Value = serde_json::from_str(&response.text()).ok()?;
    let services = status["services"].as_array()?.clone();
    let found = services.iter().find(|s| s["service"] == "slotboard");
    found?["revision"].as_u64()
}

/// Sends requests to every entry in the background, and reports each failure.
fn start_traffic(addrs: Vec<SocketAddr>, served: &Arc<AtomicU64>) -> Monitor {
    let stop: Arc<AtomicBool> = Arc::default();
    let (stopped, served) = (stop.clone(), served.clone());
    let task = tokio::spawn(async move {
        let mut problems = Vec::new();
        while !stopped.load(Ordering::SeqCst) {
            for addr in &addrs {
                let req = request("POST", "slotboard", "/delay/2", "");
                let result = call(*addr, req, CALL_TIMEOUT).await;
                if result.is_success() {
                    served.fetch_add(1, Ordering::SeqCst);
                } else {
                    problems.push(format!("{addr}: {result:?}"));
                }
            }
        }
        problems
    });
    Monitor { stop, task }
}

/// No request may fail while the store hangs, refuses connections or is killed,
/// and no entry may go back to an older revision when it returns.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_without_the_store() {
    let deployment = with_timeout("start", Deployment::start_serving(3, 2, 4)).await;
    let (addrs, admins): (Vec<_>, Vec<_>) = deployment
        .entries
        .iter()
        .map(|e| (e.process.addr, e.admin))
        .unzip();
    let revisions = Monitor::watch_revisions(admins);
    let served: Arc<AtomicU64> = Arc::default();
    let traffic = start_traffic(addrs, &served);
    wait_for_served(&served, 50).await;
    for [down, up] in [["STOP", "CONT"], ["down", "up"]] {
        let signal = down == "STOP";
        if signal {
            deployment.store.process.signal(down);
        } else {
            control_store(&deployment, "/down").await;
        }
        wait_for_served(&served, 200).await;
        if signal {
            deployment.store.process.signal(up);
        } else {
            control_store(&deployment, "/up").await;
        }
        let latest = AtomicU64::new(0);
        wait_until("an edit is accepted again", || async {
            let tag = fetch_etag(&deployment.entries[0]).await;
            let response =
                put_document(&deployment.entries[0], &tag, &document_text(&deployment, 4)).await;
            if response.head.status.is_success() {
                latest.store(parse_revision(response.header("etag")), Ordering::SeqCst);
                return Ok(());
            }
            Err(response.text())
        })
        .await;
        with_timeout(
            "revision applied",
            deployment.wait_for_revision(latest.into_inner()),
        )
        .await;
    }
    deployment.store.process.signal("KILL");
    wait_for_served(&served, 200).await;
    assert_eq!(traffic.stop().await, Vec::<String>::new());
    assert_eq!(revisions.stop().await, Vec::<String>::new());
}

/// An entry that starts during an outage must learn the newest document from
/// its peers. Until the store is back it is not in the roster and has no units,
/// so it must neither report that it is ready nor be listed in lookups.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_started_during_an_outage_learns_documents_from_its_peers() {
    let mut deployment = with_timeout("start", Deployment::start_serving(3, 2, 4)).await;
    let tag = fetch_etag(&deployment.entries[0]).await;
    let response = put_document(&deployment.entries[1], &tag, &document_text(&deployment, 3)).await;
    let newest = parse_revision(response.header("etag"));
    with_timeout("revision applied", deployment.wait_for_revision(newest)).await;
    control_store(&deployment, "/down").await;
    deployment.restart(2);
    let entry = &deployment.entries[2];
    wait_until("the newest document arrives", || async {
        let now = reported_revision(entry.admin).await;
        (now == Some(newest))
            .then_some(())
            .ok_or(format!("{now:?}"))
    })
    .await;
    let ready = send(entry.admin, request("GET", "admin", "/readyz", "")).await;
    assert_eq!(ready.expect("a response").head.status, 503);
    wait_until("lookups do not list it", || async {
        let req = request("GET", "lookup", "/v1/entries?service=slotboard", "");
        let response = send(deployment.entries[0].process.addr, req).await?;
        let list = response.text();
        let listed = list.contains(&entry.process.addr.to_string());
        (!listed).then_some(()).ok_or(list)
    })
    .await;
    control_store(&deployment, "/up").await;
    with_timeout("ready", entry.wait_until_ready()).await;
    let addr = entry.process.addr;
    let echo = || request("POST", "slotboard", "/echo", "");
    wait_until_success("the entry serves requests", addr, CALL_TIMEOUT, echo).await;
}

/// An edit that the store has written must be reported as accepted even if the
/// store's response was lost.
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_whose_store_response_is_lost_succeeds() {
    let deployment = with_timeout("start", Deployment::start_serving(2, 1, 4)).await;
    let tag = fetch_etag(&deployment.entries[0]).await;
    control_store(&deployment, "/lose/1").await;
    let response = put_document(&deployment.entries[0], &tag, &document_text(&deployment, 3)).await;
    assert!(response.head.status.is_success(), "{}", response.text());
    let returned = response.header("etag").to_owned();
    assert!(parse_revision(&returned) > parse_revision(&tag));
    assert_eq!(fetch_etag(&deployment.entries[1]).await, returned);
    with_timeout(
        "revision applied",
        deployment.wait_for_revision(parse_revision(&returned)),
    )
    .await;
}

/// Of two concurrent edits based on the same revision exactly one must be
/// accepted, and the error of the other must name both revisions.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_edits_is_accepted() {
    let deployment = with_timeout("start", Deployment::start_serving(2, 1, 4)).await;
    for round in 0..5 {
        let tag = fetch_etag(&deployment.entries[0]).await;
        let [a, b] = [3, 2].map(|slots| document_text(&deployment, slots));
        let (a, b) = tokio::join!(
            put_document(&deployment.entries[0], &tag, &a),
            put_document(&deployment.entries[1], &tag, &b)
        );
        let (accepted, refused) = if a.head.status.is_success() {
            (a, b)
        } else {
            (b, a)
        };
        assert!(
            accepted.head.status.is_success(),
            "round {round}: {}",
            accepted.text()
        );
        assert_eq!(refused.head.status, 412, "round {round}");
        let text = refused.text();
        for tag in [&*tag, accepted.header("etag")] {
            let number = parse_revision(tag).to_string();
            assert!(text.contains(&number), "no {number} in {text}");
        }
    }
}

/// Fails if an entry that has started again gets no seat after the store has come back
/// from a copy with an older roster, because the next one has an epoch that the entries
/// have seen already.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_joins_after_the_store_is_back_from_an_older_copy() {
    let mut deployment = with_timeout("start", Deployment::start_serving(3, 2, 4)).await;
    control_store(&deployment, "/copy").await;
    deployment.restart(2);
    with_timeout("ready", deployment.entries[2].wait_until_ready()).await;
    come_back_from_copy(&deployment).await;
    deployment.restart(1);
    with_timeout("ready", deployment.entries[1].wait_until_ready()).await;
    let addr = deployment.entries[1].process.addr;
    let echo = || request("POST", "slotboard", "/echo", "");
    wait_until_success("the entry serves requests", addr, CALL_TIMEOUT, echo).await;
}

/// Fails if an edit that was accepted after the store has come back from an older copy
/// never takes effect, because its revision is below that of one that was lost. The
/// first edit goes to an entry that has seen the lost ones, the second to one that has
/// started after them.
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_after_an_older_copy_takes_effect() {
    let mut deployment = with_timeout("start", Deployment::start_serving(2, 1, 4)).await;
    control_store(&deployment, "/copy").await;
    for slots in [1, 2, 3] {
        let text = document_text(&deployment, slots);
        let revision = parse_revision(deployment.put_document(0, &text).await.header("etag"));
        with_timeout("applied", deployment.wait_for_revision(revision)).await;
    }
    for (editor, slots) in [(0, 5), (1, 6)] {
        come_back_from_copy(&deployment).await;
        if editor == 1 {
            deployment.restart(editor);
            with_timeout("ready", deployment.entries[editor].wait_until_ready()).await;
        }
        wait_until("the store is back", || async {
            let tag = fetch_etag(&deployment.entries[editor]).await;
            (!tag.is_empty()).then_some(()).ok_or(tag)
        })
        .await;
        let accepted = deployment
            .put_document(editor, &document_text(&deployment, slots))
            .await;
        let accepted = parse_revision(accepted.header("etag"));
        for entry in &deployment.entries {
            wait_until("the edit is in effect", || async {
                let now = entry.revision().await;
                (now == accepted)
                    .then_some(())
                    .ok_or(format!("{now}, not {accepted}"))
            })
            .await;
        }
    }
}

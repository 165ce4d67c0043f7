//! Guards service during outages of the store, and edits against lost answers
//! and races.

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
    Answer, Entry, Site, authorized, document,
    faults::{call, guarded, until},
    request, send,
};
use serde_json::Value;
use tokio::task::JoinHandle;

const PATIENCE: Duration = Duration::from_secs(20);

/// Sets a control of the store's stand-in.
async fn control(site: &Site, path: &str) {
    let req = request("POST", "store", path, "");
    let answer = send(site.store.control, req).await.expect("an answer");
    assert!(answer.head.status.is_success(), "{path}");
}

fn text(site: &Site, slots: u32) -> String {
    let addrs: Vec<SocketAddr> = site.targets.iter().map(|t| t.addr).collect();
    document(&addrs, slots, "")
}

async fn put(entry: &Entry, etag: &str, doc: &str) -> Answer {
    let req = authorized("PUT", "/v1/documents/slotboard", etag, doc);
    send(entry.admin, req).await.expect("an answer")
}

async fn etag(entry: &Entry) -> String {
    let req = authorized("GET", "/v1/documents/slotboard", "", "");
    let answer = send(entry.admin, req).await.expect("an answer");
    answer.header("etag").to_owned()
}

fn revision(etag: &str) -> u64 {
    etag.trim_matches('"').parse().expect("a revision")
}

/// Asks every entry again and again for its revision.
struct Watch {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<String>>,
}

impl Watch {
    fn start(admins: Vec<SocketAddr>) -> Self {
        let stop: Arc<AtomicBool> = Arc::default();
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            let mut newest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
            let mut found = Vec::new();
            while !stopped.load(Ordering::SeqCst) {
                for admin in &admins {
                    let Some(now) = seen(*admin).await else {
                        continue;
                    };
                    let before = newest.entry(*admin).or_default();
                    if now < *before {
                        found.push(format!("{admin} went from {before} to {now}"));
                    }
                    *before = now.max(*before);
                }
                harness::pause().await;
            }
            found
        });
        Self { stop, task }
    }

    async fn end(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        self.task.await.expect("no panic")
    }
}

/// Returns the revision that an entry reports, none if it does not answer.
async fn seen(admin: SocketAddr) -> Option<u64> {
    let req = authorized("GET", "/v1/status", "", "");
    let answer = send(admin, req).await.ok()?;
    let status: Value = serde_json::from_str(&answer.text()).ok()?;
    let services = status["services"].as_array()?.clone();
    let found = services.iter().find(|s| s["service"] == "slotboard");
    found?["revision"].as_u64()
}

/// Sends requests to every entry until it is told to stop, and returns what
/// failed.
fn traffic(addrs: Vec<SocketAddr>, served: &Arc<AtomicU64>) -> Watch {
    let stop: Arc<AtomicBool> = Arc::default();
    let (stopped, served) = (stop.clone(), served.clone());
    let task = tokio::spawn(async move {
        let mut found = Vec::new();
        while !stopped.load(Ordering::SeqCst) {
            for addr in &addrs {
                let req = request("POST", "slotboard", "/delay/2", "");
                let got = call(*addr, req, PATIENCE).await;
                if got.is_success() {
                    served.fetch_add(1, Ordering::SeqCst);
                } else {
                    found.push(format!("{addr}: {got:?}"));
                }
            }
        }
        found
    });
    Watch { stop, task }
}

async fn more(served: &AtomicU64, count: u64) {
    let goal = served.load(Ordering::SeqCst) + count;
    until("requests are served", || async {
        let now = served.load(Ordering::SeqCst);
        (now >= goal)
            .then_some(())
            .ok_or(format!("{now} of {goal}"))
    })
    .await;
}

/// A store that hangs, refuses or dies must cost callers nothing, and its return
/// must bring no older revision.
#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_without_the_store() {
    let site = guarded("open", Site::open(3, 2, 4)).await;
    let (addrs, admins): (Vec<_>, Vec<_>) =
        site.entries.iter().map(|e| (e.proc.addr, e.admin)).unzip();
    let watch = Watch::start(admins);
    let served: Arc<AtomicU64> = Arc::default();
    let traffic = traffic(addrs, &served);
    more(&served, 50).await;
    for [down, up] in [["STOP", "CONT"], ["down", "up"]] {
        let signal = down == "STOP";
        if signal {
            site.store.proc.signal(down);
        } else {
            control(&site, "/down").await;
        }
        more(&served, 200).await;
        if signal {
            site.store.proc.signal(up);
        } else {
            control(&site, "/up").await;
        }
        let latest = AtomicU64::new(0);
        until("an edit is accepted again", || async {
            let tag = etag(&site.entries[0]).await;
            let answer = put(&site.entries[0], &tag, &text(&site, 4)).await;
            if answer.head.status.is_success() {
                latest.store(revision(answer.header("etag")), Ordering::SeqCst);
                return Ok(());
            }
            Err(answer.text())
        })
        .await;
        guarded("in effect", site.in_effect(latest.into_inner())).await;
    }
    site.store.proc.signal("KILL");
    more(&served, 200).await;
    assert_eq!(traffic.end().await, Vec::<String>::new());
    assert_eq!(watch.end().await, Vec::<String>::new());
}

/// An entry that starts during an outage must learn the newest document from its
/// peers. It has no seat in the roster before the store is back, hence no units,
/// so it must neither say that it is ready nor be named to callers.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_in_an_outage_learns_from_its_peers() {
    let mut site = guarded("open", Site::open(3, 2, 4)).await;
    let tag = etag(&site.entries[0]).await;
    let answer = put(&site.entries[1], &tag, &text(&site, 3)).await;
    let newest = revision(answer.header("etag"));
    guarded("in effect", site.in_effect(newest)).await;
    control(&site, "/down").await;
    site.restart(2);
    let entry = &site.entries[2];
    until("the newest document arrives", || async {
        let now = seen(entry.admin).await;
        (now == Some(newest))
            .then_some(())
            .ok_or(format!("{now:?}"))
    })
    .await;
    let ready = send(entry.admin, request("GET", "admin", "/readyz", "")).await;
    assert_eq!(ready.expect("an answer").head.status, 503);
    until("look-ups do not name it", || async {
        let req = request("GET", "lookup", "/v1/entries?service=slotboard", "");
        let answer = send(site.entries[0].proc.addr, req).await?;
        let list = answer.text();
        let named = list.contains(&entry.proc.addr.to_string());
        (!named).then_some(()).ok_or(list)
    })
    .await;
    control(&site, "/up").await;
    guarded("ready", entry.ready()).await;
    until("it serves", || async {
        let req = request("POST", "slotboard", "/echo", "");
        let got = call(entry.proc.addr, req, PATIENCE).await;
        got.is_success().then_some(()).ok_or(format!("{got:?}"))
    })
    .await;
}

/// An editor whose write took effect must not be told otherwise because the
/// store's answer was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_to_an_edit_is_found_out() {
    let site = guarded("open", Site::open(2, 1, 4)).await;
    let tag = etag(&site.entries[0]).await;
    control(&site, "/lose/1").await;
    let answer = put(&site.entries[0], &tag, &text(&site, 3)).await;
    assert!(answer.head.status.is_success(), "{}", answer.text());
    let told = answer.header("etag").to_owned();
    assert!(revision(&told) > revision(&tag));
    assert_eq!(etag(&site.entries[1]).await, told);
    guarded("in effect", site.in_effect(revision(&told))).await;
}

/// Two editors with the same revision must not both win, and the loser must
/// learn both revisions.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_editors_wins() {
    let site = guarded("open", Site::open(2, 1, 4)).await;
    for round in 0..5 {
        let tag = etag(&site.entries[0]).await;
        let [a, b] = [3, 2].map(|slots| text(&site, slots));
        let (a, b) = tokio::join!(
            put(&site.entries[0], &tag, &a),
            put(&site.entries[1], &tag, &b)
        );
        let (won, lost) = if a.head.status.is_success() {
            (a, b)
        } else {
            (b, a)
        };
        assert!(
            won.head.status.is_success(),
            "round {round}: {}",
            won.text()
        );
        assert_eq!(lost.head.status, 412, "round {round}");
        let text = lost.text();
        for tag in [&*tag, won.header("etag")] {
            let number = revision(tag).to_string();
            assert!(text.contains(&number), "no {number} in {text}");
        }
    }
}

//! Tests the adapter of the users' platform: an invalid item must not become a
//! target or a route, and names and formats must be those of the platform.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use savorybeam::{
    adapters::{
        http::{Content, full_body},
        platform::{
            directory,
            headers::{self, ResponseKind},
            settings, store,
        },
    },
    domain::{Era, Mbps, Millis, Position, Presence, Revision, RouteRule},
    ports::{Change, Lease, LeaseId, Platform, Poll, Targets},
};

/// The responses of a store: the start of the method and path, the status and
/// the body.
type CannedResponses = Vec<(&'static str, u16, String)>;

/// A store that gives each canned response once, to the first call that matches
/// it, and records the calls with their bodies.
struct Store {
    platform: Platform,
    calls: Arc<Mutex<Vec<String>>>,
}

fn store(answers: CannedResponses) -> Store {
    let answers = Arc::new(Mutex::new(answers));
    let calls: Arc<Mutex<Vec<String>>> = Arc::default();
    let recorded = calls.clone();
    let targets = Targets {
        send: Arc::new(move |out| {
            let (answers, calls) = (answers.clone(), recorded.clone());
            Box::pin(async move {
                let (head, body) = out.request.into_parts();
                let body = Content::read(body, 10_000).await.expect("a body");
                let body = String::from_utf8_lossy(body.prefix()).into_owned();
                let call = format!("{} {}", head.method, head.uri);
                calls
                    .lock()
                    .expect("calls")
                    .push(format!("{call} {body}").trim_end().to_owned());
                let mut answers = answers.lock().expect("answers");
                let at = answers
                    .iter()
                    .position(|(path, _, _)| call.starts_with(path));
                let (_, status, text) = answers.remove(at.expect("an answer to the call"));
                let mut resp = Response::new(full_body(Bytes::from(text)));
                *resp.status_mut() = StatusCode::from_u16(status).expect("a status");
                Ok(resp)
            })
        }),
    };
    let addr = "10.0.0.9:90".parse().expect("an address");
    Store {
        platform: store::open(addr, targets),
        calls,
    }
}

/// Returns a poll of the changes after revision 3.
fn poll() -> Poll {
    Poll {
        after: Position::new(Era(0), Revision(3)),
        wait: Millis(500),
        timeout: Millis(1_000),
    }
}

fn item(key: &str, value: &str) -> String {
    let value = STANDARD.encode(value);
    format!(r#"{{"key":"{key}","value":"{value}","revision":5,"created":5,"lease":0}}"#)
}

const TARGET: &str = r#"{"service":"slots","address":"10.0.1.1:80","zone":"a-1","version":"v3",
    "slots":4,"state":"ready","cold_left_s":1.5,"seq":9,"born":1700000000000,"new":"field"}"#;

const CONFIG: &str = r#"{"version":"0000001f","base_version":"0000001e",
    "limits":{"header_bytes":16384,"body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},
    "listeners":[{"host":"Kitchens.Example","policy":[
      {"name":"pay","kind":"unsafe","slo_s":0.4,"priority":1,"sticky":true,"match":{"prefix":"/pay/"},
       "action":{"service":"bookings","timeout_s":1,"max_attempts":2,"home_regions":["north"]}},
      {"name":"plans","kind":"download","slo_s":0.25,"priority":2,"match":{"prefix":"/plans/"},
       "action":{"traffic_split":[{"service":"slots","weight":90},{"service":"bookings","weight":10}],
                 "timeout_s":0.8,"max_attempts":1}}]}],
    "clusters":[{"name":"slots","health_path":"/health","max_conns":330,"cold_s":3,"cold_per_s":14.5},
                {"name":"bookings","health_path":"/health","max_conns":330,"cold_s":3,"cold_per_s":2}]}"#;

/// Fails if a page is skipped, if the revision is later than that of the
/// earliest page, so that a poll would miss changes between pages, or if a
/// field is decoded wrongly.
#[tokio::test]
async fn all_prefixes_are_read_page_by_page() {
    let page = |items: &[String], more: bool, rev: u64| {
        format!(
            r#"{{"items":[{}],"has_more":{more},"at_rev":{rev}}}"#,
            items.join(",")
        )
    };
    let presence = r#"{"front":"10.0.0.2:81","az":"a-1","region":"north"}"#;
    let store = store(vec![
        (
            "GET /kv-range?prefix=op/",
            200,
            page(
                &[
                    item("op/config", CONFIG),
                    item("op/evacuate/a-2", "{}"),
                    item("op/other", "{}"),
                ],
                false,
                12,
            ),
        ),
        (
            "GET /kv-range?prefix=savorybeam/entries/",
            200,
            page(&[item("savorybeam/entries/edge-1", presence)], false, 11),
        ),
        (
            "GET /kv-range?prefix=servers/&after=servers/i-1",
            200,
            page(
                &[item("servers/i-2", &TARGET.replace("ready", "draining"))],
                false,
                14,
            ),
        ),
        (
            "GET /kv-range?prefix=servers/",
            200,
            page(&[item("servers/i-1", TARGET)], true, 13),
        ),
    ]);
    let batch = (store.platform.read)(Millis(1_000))
        .await
        .expect("all pages");
    insta::assert_debug_snapshot!(batch);
}

/// Fails if an invalid item becomes a target or a route, or if it hides other
/// items.
#[tokio::test]
async fn unreadable_items_have_no_effect() {
    let changed = |from: &str, to: &str| item("servers/i-1", &TARGET.replace(from, to));
    let events = [
        changed(r#""slots":4"#, r#""slots":"4""#),
        changed(r#""slots":4"#, r#""slots":0"#),
        changed("ready", "retired"),
        changed("10.0.1.1:80", "kitchen"),
        changed("1.5", "-1"),
        changed("1700000000000", "1.5"),
        item("servers/i-1", &TARGET[..40]),
        r#"{"key":"servers/i-1","value":"%%%","revision":7}"#.to_owned(),
        item("op/config", &CONFIG[..200]),
        item("op/config", &CONFIG.replace(r#""unsafe""#, "7")),
        item("op/config", &CONFIG.replace("0000001f", "version 7")),
        item("servers/i-2", TARGET),
        r#"{"key":"servers/i-3","revision":8,"deleted":true}"#.to_owned(),
        r#"{"key":"op/evacuate/a-2","revision":9,"deleted":true}"#.to_owned(),
    ];
    let text = format!(r#"{{"events":[{}],"at_rev":20}}"#, events.join(","));
    let store = store(vec![("GET /kv-watch", 200, text)]);
    let polled = (store.platform.poll)(poll()).await.expect("a batch");
    insta::assert_debug_snapshot!(polled.batch);
}

/// Fails if a kind of request that a later version of the platform adds hides the
/// configuration, so that no route is served, or if its requests may be repeated.
#[tokio::test]
async fn a_kind_of_a_later_version_hides_no_route() {
    let mut lines = Vec::new();
    for kind in ["safe", "unsafe", "download", "upload", "risky", ""] {
        let config = CONFIG.replace(r#""unsafe""#, &format!("{kind:?}"));
        let events = item("op/config", &config);
        let text = format!(r#"{{"events":[{events}],"at_rev":20}}"#);
        let store = store(vec![("GET /kv-watch", 200, text)]);
        let batch = (store.platform.poll)(poll()).await.expect("a batch");
        for change in &batch.batch.changes {
            let Change::Configured(config) = change else {
                lines.push(format!("{kind}: {change:?}"));
                continue;
            };
            let route = |r: &RouteRule| {
                let repeated = r.kind.is_idempotent();
                format!("{} is {}, may be repeated: {repeated}", r.name, r.kind)
            };
            let routes: Vec<String> = config.rules.iter().map(route).collect();
            lines.push(format!("{kind}: {}", routes.join("; ")));
        }
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    safe: pay is idempotent, may be repeated: true; plans is download, may be repeated: true
    unsafe: pay is once, may be repeated: false; plans is download, may be repeated: true
    download: pay is download, may be repeated: true; plans is download, may be repeated: true
    upload: pay is upload, may be repeated: false; plans is download, may be repeated: true
    risky: pay is unknown, may be repeated: false; plans is download, may be repeated: true
    : pay is unknown, may be repeated: false; plans is download, may be repeated: true
    ");
}

/// Fails if an answer that the store has cut off at its maximum of items or bytes
/// is taken for all changes: the changes behind it would be missing until a later
/// poll, under a state that counts as new.
#[tokio::test]
async fn a_full_answer_may_lack_changes() {
    let heartbeats = |count: usize, length: usize| {
        let value = "x".repeat(length);
        let items = (1..=count).map(|n| item(&format!("servers/i-{n}"), &value));
        events(&items.collect::<Vec<_>>(), 900)
    };
    let mut lines = Vec::new();
    for (count, length) in [
        (0, 0),
        (1, 300),
        (300, 300),
        (480, 300),
        (500, 300),
        (120, 8_000),
    ] {
        let store = store(vec![("GET /kv-watch", 200, heartbeats(count, length))]);
        let has_more = (store.platform.poll)(poll()).await.map(|b| b.has_more);
        lines.push(format!("{count} items of {length} bytes: {has_more:?}"));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    0 items of 0 bytes: Ok(false)
    1 items of 300 bytes: Ok(false)
    300 items of 300 bytes: Ok(false)
    480 items of 300 bytes: Ok(true)
    500 items of 300 bytes: Ok(true)
    120 items of 8000 bytes: Ok(true)
    ");
}

/// Returns the answer of a store to a poll.
fn events(items: &[String], at_rev: u64) -> String {
    format!(r#"{{"events":[{}],"at_rev":{at_rev}}}"#, items.join(","))
}

/// Fails if an answer is taken for all changes although the next configuration had no
/// room in it: of a configuration that changes quickly, one version would be read per
/// period, under a state that counts as new. Also fails if heartbeats beside a large
/// configuration are polled for without a pause.
#[tokio::test]
async fn an_answer_without_room_for_a_configuration_may_lack_one() {
    let config = |length| item("op/config", &"x".repeat(length));
    let heartbeats: Vec<String> = (1..=200)
        .map(|n| item(&format!("servers/i-{n}"), &"x".repeat(300)))
        .collect();
    let small = || vec![item("servers/i-1", "x")];
    let mut lines = Vec::new();
    for (what, answers) in [
        (
            "configurations of 590,000 bytes",
            vec![vec![config(590_000)], vec![config(590_000)], vec![]],
        ),
        (
            "a configuration of 250,000 bytes",
            vec![vec![config(250_000)]],
        ),
        (
            "heartbeats, a configuration of 590,000 bytes, heartbeats",
            vec![
                heartbeats.clone(),
                vec![config(590_000)],
                small(),
                heartbeats.clone(),
                heartbeats.clone(),
            ],
        ),
        (
            "a configuration of 1,000,000 bytes, heartbeats",
            vec![vec![config(1_000_000)], small(), small(), small(), vec![]],
        ),
    ] {
        let answers = (6..)
            .zip(answers)
            .map(|(rev, items)| ("GET /kv-watch", 200, events(&items, rev)));
        let answers: CannedResponses = answers.collect();
        let count = answers.len();
        let store = store(answers);
        let mut seen = Vec::new();
        let mut poll = poll();
        for _ in 0..count {
            let answer = (store.platform.poll)(poll).await.expect("an answer");
            poll.after = answer.batch.position;
            seen.push(answer.has_more.to_string());
        }
        lines.push(format!("{what}: {}", seen.join(", ")));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    configurations of 590,000 bytes: true, true, false
    a configuration of 250,000 bytes: false
    heartbeats, a configuration of 590,000 bytes, heartbeats: false, true, false, true, false
    a configuration of 1,000,000 bytes, heartbeats: true, true, false, true, false
    ");
}

/// Fails if changes that are too long for one answer are asked for again and again: a
/// store that does not limit its answers returns all versions of a configuration at once.
#[tokio::test]
async fn changes_too_long_for_an_answer_lead_to_a_complete_read() {
    let config = || item("op/config", &"x".repeat(590_000));
    let versions: Vec<String> = (0..6).map(|_| config()).collect();
    let store = store(vec![("GET /kv-watch", 200, events(&versions, 12))]);
    let answer = (store.platform.poll)(poll()).await.map(|b| b.has_more);
    insta::assert_snapshot!(format!("{answer:?}"), @"Err(Compacted)");
}

fn lease(id: u64) -> Lease {
    Lease {
        era: Era(0),
        id: LeaseId(id),
    }
}

/// Fails if a compacted history, an expired lease or a refusal is mistaken for
/// another failure.
#[tokio::test]
async fn store_failures_are_distinguished() {
    let store = store(vec![
        ("GET /kv-watch", 410, String::new()),
        ("GET /kv-watch", 503, "busy".to_owned()),
        ("GET /kv-watch", 200, r#"{"events":[]"#.to_owned()),
        ("POST /kv-keep/7", 404, String::new()),
        (
            "POST /kv-lease",
            200,
            r#"{"lease":8,"ttl_s_time":3}"#.to_owned(),
        ),
        ("POST /kv-txn", 404, String::new()),
        (
            "POST /kv-lease",
            200,
            r#"{"lease":9,"ttl_s_time":3}"#.to_owned(),
        ),
        ("POST /kv-txn", 200, r#"{"revision":30}"#.to_owned()),
        ("DELETE /kv-lease-end/9", 200, "{}".to_owned()),
    ]);
    let presence = Presence {
        name: "edge-1".parse().expect("a name"),
        front: "10.0.0.2:81".parse().expect("an address"),
        peer: Some("10.0.0.2:82".parse().expect("an address")),
        link: Mbps(100),
        az: "a-1".parse().expect("a name"),
        region: "north".parse().expect("a name"),
    };
    let p = &store.platform;
    let mut results = Vec::new();
    for _ in 0..3 {
        results.push(format!(
            "{:?}",
            (p.poll)(poll()).await.map(|b| b.batch.position.revision)
        ));
    }
    results.push(format!("{:?}", (p.renew)(lease(7)).await));
    for _ in 0..2 {
        let announced = (p.announce)((presence.clone(), Millis(3_000))).await;
        results.push(format!("{announced:?}"));
    }
    results.push(format!("{:?}", (p.withdraw)(lease(9)).await));
    let calls = store.calls.lock().expect("calls").join("\n");
    insta::assert_snapshot!(format!("{}\n\n{calls}", results.join("\n")));
}

/// Fails if the response to another request or an unsigned response could be
/// passed on, if a status by which callers take the request for not run is passed
/// on although the target does not say so, if a rejection is mistaken for an executed request, or if the
/// rejection of another request counts as one of this request.
#[test]
fn responses_are_classified_by_their_heads() {
    let head = |pairs: &[(&'static str, &'static str)]| -> HeaderMap {
        let mut head = HeaderMap::new();
        for (name, value) in pairs {
            head.append(*name, HeaderValue::from_static(value));
        }
        head
    };
    let good = [("request-id", "r1"), ("server-seal", "s")];
    let cases = [
        ("good", 200, head(&good)),
        ("error of the target", 500, head(&good)),
        ("full", 503, head(&[good[0], ("not-executed", "1")])),
        ("unavailable, may have run", 503, head(&good)),
        ("limited, may have run", 429, head(&good)),
        ("timed out, may have run", 408, head(&good)),
        (
            "other instance",
            421,
            head(&[good[0], ("instance-id", "i-2")]),
        ),
        ("full, no id", 503, head(&[("not-executed", "1")])),
        (
            "other request was rejected",
            503,
            head(&[("request-id", "r2"), ("not-executed", "1")]),
        ),
        (
            "other instance, no id",
            421,
            head(&[("instance-id", "i-2")]),
        ),
        (
            "other request was misdirected",
            421,
            head(&[("request-id", "r2"), ("instance-id", "i-2")]),
        ),
        (
            "other request was limited",
            429,
            head(&[("request-id", "r2"), ("not-executed", "1")]),
        ),
        (
            "two ids",
            503,
            head(&[good[0], ("request-id", "r2"), ("not-executed", "1")]),
        ),
        (
            "other request",
            200,
            head(&[("request-id", "r2"), ("server-seal", "s")]),
        ),
        ("no id", 200, head(&[("server-seal", "s")])),
        ("no signature", 200, head(&[("request-id", "r1")])),
        (
            "encoded",
            200,
            head(&[good[0], good[1], ("content-encoding", "gzip")]),
        ),
    ];
    let id = HeaderValue::from_static("r1");
    let classify = |status, head: &HeaderMap, id| {
        let status = StatusCode::from_u16(status).expect("a status");
        headers::classify_response(status, head, id)
    };
    let mut lines = cases
        .map(|(name, status, head)| format!("{name}: {:?}", classify(status, &head, Some(&id))))
        .to_vec();
    let no_id = head(&[("not-executed", "1")]);
    let with_id = head(&[good[0], ("not-executed", "1")]);
    for (name, head) in [("no id in both", no_id), ("id of another", with_id)] {
        lines.push(format!("{name}: {:?}", classify(400, &head, None)));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if a load report is read wrongly or an invalid one is used.
#[test]
fn invalid_load_reports_are_ignored() {
    let lines = ["3,0,8", "6,2,6,250", " 1, 2, 3, 4 ", "3,0", "a,b,c", ""];
    let lines = lines.map(|text| load_report(text, ResponseKind::Rejected));
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if the request that a report comes with is taken for one of another entry.
/// A target counts it among the running ones until its answer is sent.
#[test]
fn an_answered_request_is_not_part_of_the_load() {
    let answered = ["3,0,8", "1,0,8", "0,0,8"];
    let lines = answered.map(|text| load_report(text, ResponseKind::Answered));
    insta::assert_snapshot!(lines.join("\n"));
}

/// Returns what a load report in a response of the given kind is read as.
fn load_report(text: &'static str, kind: ResponseKind) -> String {
    let mut head = HeaderMap::new();
    head.insert("server-load", HeaderValue::from_static(text));
    format!("{text:?}: {:?}", headers::read_load_report(&head, kind))
}

/// Fails if headers or look-ups are not written and read in the platform's
/// format, for example if `retry-after` differs from the chosen time.
#[test]
fn headers_and_look_ups_have_the_format_of_the_platform() {
    let mut head = HeaderMap::new();
    headers::write_retry_after(&mut head, Millis(1_250));
    let id = "i-1".parse().expect("an id");
    headers::write_attempt(&mut head, &id, Millis(740));
    let fronts = ["10.0.0.2:81".parse().expect("an address")];
    let answer = directory::encode_response(&fronts, Millis(2_000));
    let caller = directory::read_query("name=k.example&region=north&zone=a-1");
    insta::assert_snapshot!(format!("{head:?}\n{answer}\n{caller:?}"));
}

const SETTINGS: &str = "\
self:
  node_name: edge-1
  ip: 10.0.0.2
  zone: a-1
  region: north
  unknown: kept for later
  limits: {cores: 1, max_fds: 4100, cpu_share: 0.2}
network:
  listen: {front: '10.0.0.2:81', readiness: '10.0.0.2:82', directory: '10.0.0.2:83'}
  seeds: ['10.0.0.3:84']
  zones: {a-1: north, b-1: south}
provider: {discovery: platform, provider: {address: '10.0.0.9:90', form: kv}}
terms: {bounds: {drain_s: 3, ttl_max_s: 5, max_shift: 0.15}}
";

/// Fails if a field of the settings file is read wrongly or an unknown field is
/// rejected.
#[test]
fn settings_are_read() {
    insta::assert_debug_snapshot!(settings::parse(SETTINGS, 9464));
}

/// Fails if not all faults of a settings file are reported.
#[test]
fn faulty_settings_list_every_fault() {
    let faulty = SETTINGS
        .replace("10.0.0.2:81", "somewhere")
        .replace("drain_s: 3", "drain_s: -3")
        .replace("zone: a-1", "zone: A 1")
        .replace("10.0.0.9:90", "store");
    let errors = [faulty.as_str(), "self: 7", &SETTINGS[..60]]
        .map(|text| settings::parse(text, 9464).expect_err("faulty").to_string());
    insta::assert_snapshot!(errors.join("\n"));
}

/// Returns a platform whose responses begin after `head` ms and end `body` ms
/// later.
fn slow_store(head: u64, body: u64) -> Platform {
    let targets = Targets {
        send: Arc::new(move |_| {
            Box::pin(async move {
                tokio::time::sleep(Duration::from_millis(head)).await;
                let text = Bytes::from_static(br#"{"events":[],"at_rev":9}"#);
                let last = futures::stream::once(async move {
                    tokio::time::sleep(Duration::from_millis(body)).await;
                    Ok(Frame::data(text))
                });
                Ok(Response::new(StreamBody::new(last).boxed()))
            })
        }),
    };
    store::open("10.0.0.9:90".parse().expect("an address"), targets)
}

/// Fails if a call to a silent store is not abandoned soon, so that the entry
/// would notice too late that the store is back, or if a slow response is
/// abandoned while it is being received.
#[tokio::test]
async fn a_silent_store_times_out_before_a_slow_response() {
    let poll = Poll {
        after: Position::new(Era(0), Revision(3)),
        wait: Millis(100),
        timeout: Millis(4_000),
    };
    let begun = std::time::Instant::now();
    let silent = (slow_store(60_000, 0).poll)(poll).await;
    assert!(
        begun.elapsed() < Duration::from_secs(2),
        "the call to the silent store took too long"
    );
    let slow = (slow_store(200, 1_500).poll)(poll).await;
    let timeout = Millis(1_000);
    let late = (slow_store(200, 1_500).poll)(Poll { timeout, ..poll }).await;
    let lines = [silent, slow, late].map(|r| format!("{:?}", r.map(|b| b.batch.position.revision)));
    insta::assert_snapshot!(lines.join("\n"));
}

//! Tests the administration interface against an edit that overwrites a concurrent
//! one, the outcome `not-run` for an edit that took effect, a token that gives
//! access to another team's documents, and a client that exhausts the memory or
//! the connections of the server.

mod admin_server;
mod harness;

use std::{sync::atomic::Ordering::SeqCst, time::Duration};

use savorybeam::{
    adapters::metrics::{
        CodeLabel, EventLabels, Metrics, RefusalLabels, ServiceLabel, StateLabel, TABLE, UnitLabels,
    },
    policy::{
        admin::Code,
        balance::WithheldCounts,
        demand::{Demand, RegionDemand},
        timeline::Kind,
    },
};

use admin_server::{AdminServer, DOCUMENT, OTHER_TOKEN, TOKEN, show};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const PATH: &str = "/v1/documents/slotboard";

#[tokio::test]
async fn an_edit_needs_the_revision_that_it_replaces() {
    let site = AdminServer::spawn().await;
    let reweighted = DOCUMENT.replace("weight = 60", "weight = 20");
    let mut seen = Vec::new();
    let edits = [
        ("create", vec![], DOCUMENT),
        ("no base", vec![], &reweighted),
        ("stale base", vec![("if-match", "\"1\"")], &reweighted),
        ("create again", vec![("if-none-match", "*")], &reweighted),
        ("two tags", vec![("if-match", "\"2\", \"3\"")], &reweighted),
        ("right base", vec![("if-match", "\"2\"")], &reweighted),
        ("any base", vec![("if-match", "*")], DOCUMENT),
    ];
    for (name, headers, text) in edits {
        let answer = site.call("PUT", PATH, &headers, text).await;
        seen.push(format!("{name}: {}", show(&answer)));
    }
    let answer = site
        .call("DELETE", PATH, &[("if-match", "\"4\"")], "")
        .await;
    seen.push(format!("delete: {}", show(&answer)));
    for (method, path) in [("GET", PATH), ("DELETE", PATH)] {
        let answer = site.call(method, path, &[], "").await;
        seen.push(format!("{method} after: {}", show(&answer)));
    }
    let answer = site.call("PUT", PATH, &[], DOCUMENT).await;
    seen.push(format!("create after: {}", show(&answer)));
    insta::assert_snapshot!(seen.join("\n"));
}

#[tokio::test]
async fn one_of_many_racing_editors_wins() {
    let site = AdminServer::spawn().await;
    site.call("PUT", PATH, &[], DOCUMENT).await;
    let edits = (0..8).map(|n| {
        let text = DOCUMENT.replace("weight = 60", &format!("weight = {n}"));
        let site = &site;
        async move {
            let headers = [("if-match", "\"2\"")];
            let answer = site.call("PUT", PATH, &headers, &text).await;
            (answer.head.status.as_u16(), text)
        }
    });
    let results = futures::future::join_all(edits).await;
    let won: Vec<&String> = results
        .iter()
        .filter(|r| r.0 == 200)
        .map(|r| &r.1)
        .collect();
    let lost = results.iter().filter(|r| r.0 == 412).count();
    assert_eq!((won.len(), lost), (1, 7));
    let found = site.call("GET", PATH, &[], "").await;
    assert_eq!((found.header("etag"), &found.text()), ("\"3\"", won[0]));
}

#[tokio::test]
async fn an_edit_that_is_sent_twice_is_applied_once() {
    let site = AdminServer::spawn().await;
    let id = [("x-savorybeam-edit", "000000000000000000000000000000ab")];
    let mut seen = Vec::new();
    for _ in 0..2 {
        seen.push(show(&site.call("PUT", PATH, &id, DOCUMENT).await));
    }
    let found = site.call("GET", PATH, &[], "").await;
    seen.push(found.header("etag").to_owned());
    insta::assert_snapshot!(seen.join("\n"));
}

#[tokio::test]
async fn a_dry_run_shows_typed_changes_and_writes_nothing() {
    let site = AdminServer::spawn().await;
    site.call("PUT", PATH, &[], DOCUMENT).await;
    let text = DOCUMENT
        .replace("weight = 60", "weight = 20\nstate = leaving")
        .replace("deadline = 5 s", "deadline = 9 s");
    let path = format!("{PATH}?dry-run=1");
    let answer = site
        .call("PUT", &path, &[("if-match", "\"2\"")], &text)
        .await;
    let found = site.call("GET", PATH, &[], "").await;
    assert_eq!(
        (found.header("etag"), found.text().as_str()),
        ("\"2\"", DOCUMENT)
    );
    insta::assert_snapshot!(show(&answer));
}

#[tokio::test]
async fn a_bad_document_lists_every_fault() {
    let site = AdminServer::spawn().await;
    let text = DOCUMENT
        .replace("weight = 60", "weight = heavy")
        .replace("slots = 5", "slots = 0\ncolour = red");
    let bad = site.call("PUT", PATH, &[], &text).await;
    let other = site.call("PUT", "/v1/documents/bokun", &[], DOCUMENT).await;
    let team = DOCUMENT.replace("kitchens", "nobody");
    let team = site.call("PUT", PATH, &[], &team).await;
    let all = [bad, other, team].map(|a| show(&a));
    insta::assert_snapshot!(all.join("\n"));
}

#[tokio::test]
async fn a_token_gives_access_only_to_its_team_s_documents() {
    let site = AdminServer::spawn().await;
    site.call("PUT", PATH, &[], DOCUMENT).await;
    let mut seen = Vec::new();
    let bearer = |token: &str| format!("Bearer {token}");
    let tokens = [
        ("none", String::new()),
        ("basic", format!("Basic {TOKEN}")),
        ("empty", bearer("")),
        ("prefix", bearer(&TOKEN[..TOKEN.len() - 1])),
        ("longer", bearer(&format!("{TOKEN}x"))),
        ("other team", bearer(OTHER_TOKEN)),
    ];
    for (name, value) in &tokens {
        for method in ["GET", "PUT", "DELETE"] {
            let headers = [("authorization", value.as_str()), ("if-match", "*")];
            let answer = site.call_as(method, PATH, &headers, DOCUMENT).await;
            let code = answer.header("x-savorybeam-code");
            seen.push(format!("{name} {method}: {} {code}", answer.head.status));
        }
    }
    insta::assert_snapshot!(seen.join("\n"));
}

#[tokio::test]
async fn edits_report_the_right_outcome_while_the_store_fails() {
    let site = AdminServer::spawn().await;
    site.call("PUT", PATH, &[], DOCUMENT).await;
    let mut seen = Vec::new();
    site.faults.down.store(true, SeqCst);
    for method in ["GET", "PUT"] {
        let answer = site
            .call(method, PATH, &[("if-match", "*")], DOCUMENT)
            .await;
        seen.push(format!("down {method}: {}", show(&answer)));
    }
    site.faults.down.store(false, SeqCst);
    // The write takes effect but its reply is lost. The record shows the edit.
    site.faults.lost_writes.store(1, SeqCst);
    let answer = site
        .call("PUT", PATH, &[("if-match", "\"2\"")], DOCUMENT)
        .await;
    seen.push(format!("answer lost: {}", show(&answer)));
    // The reply is lost and the store is down afterwards.
    site.faults.lost_writes.store(1, SeqCst);
    site.faults.goes_down.store(true, SeqCst);
    let id = ("x-savorybeam-edit", "000000000000000000000000000000cd");
    let headers = [("if-match", "\"3\""), id];
    let answer = site.call("PUT", PATH, &headers, DOCUMENT).await;
    seen.push(format!("answer lost and down: {}", show(&answer)));
    site.faults.down.store(false, SeqCst);
    site.faults.goes_down.store(false, SeqCst);
    let answer = site.call("PUT", PATH, &headers, DOCUMENT).await;
    seen.push(format!("sent again: {}", show(&answer)));
    insta::assert_snapshot!(seen.join("\n"));
}

#[tokio::test]
async fn every_path_answers_with_a_stable_code() {
    let site = AdminServer::spawn().await;
    site.call("PUT", PATH, &[], DOCUMENT).await;
    let paths = [
        "GET /healthz",
        "GET /readyz",
        "PUT /readyz",
        "GET /v1/status",
        "GET /v1/drains",
        "GET /v1/limits",
        "POST /v1/limits",
        "GET /v1/explain",
        "GET /v1/explain?service=Slot%20Board",
        "GET /v1/explain?service=slotboard",
        "GET /v1/documents/slotboard/where",
        "GET /v1/documents/nobody/history",
        "GET /v1/documents/slotboard?revision=1",
        "GET /v1/documents/slotboard?revision=x",
        "GET /v1/documents/..%2f",
        "GET /v1/timeline?limit=0",
        "GET /v1/timeline?part=weather",
        "GET /v1/timeline?after=now",
        "GET /v1/timeline?scope=everything",
        "GET /v1/timeline?limit=1&limit=2",
        "GET /v1/timeline?%zz",
        "PUT /v1/documents/slotboard?dry-run=perhaps",
        "GET /",
        "GET /v2/status",
    ];
    let mut seen = Vec::new();
    for line in paths {
        let (method, path) = line.split_once(' ').expect("a method and a path");
        let answer = site.call(method, path, &[], "").await;
        seen.push(format!("{line}: {}", show(&answer)));
    }
    insta::assert_snapshot!(seen.join("\n"));
}

#[tokio::test]
async fn the_timeline_is_text_or_json_lines() {
    let site = AdminServer::spawn().await;
    site.call("PUT", PATH, &[], DOCUMENT).await;
    let accept = [("accept", "application/x-ndjson")];
    let json = site
        .call("GET", "/v1/timeline?part=document", &accept, "")
        .await;
    let text = site.call("GET", "/v1/timeline?scope=entry", &[], "").await;
    let value: serde_json::Value = serde_json::from_str(json.text().trim()).expect("one line");
    let time = value["time"].as_str().expect("a time");
    let edit = value["text"]
        .as_str()
        .and_then(|t| t.rsplit_once(' '))
        .expect("an edit id")
        .1;
    let line = text.text().replace(time, "TIME").replace(edit, "EDIT");
    let (a, b) = (json.header("content-type"), text.header("content-type"));
    insta::assert_snapshot!(format!("{a}\n{b}\n{line}"), @"
    application/x-ndjson
    text/plain; charset=utf-8
    TIME e1 document: edit-accepted: slotboard put at revision 2 by team kitchens, edit EDIT
    ");
}

#[tokio::test]
async fn bodies_are_bounded_in_size() {
    let site = AdminServer::spawn().await;
    let mut seen = Vec::new();
    for len in [(1 << 20) + 1, 3 << 20] {
        let text = "#".repeat(len);
        let answer = site.call("PUT", PATH, &[], &text).await;
        seen.push(show(&answer));
    }
    // A document as large as the largest value of the store leaves no room for the
    // rest of the record.
    let text = format!(
        "{DOCUMENT}#{}\n",
        "x".repeat((1 << 20) - DOCUMENT.len() - 2)
    );
    let answer = site.call("PUT", PATH, &[], &text).await;
    seen.push(format!(
        "{} {}",
        answer.head.status,
        answer.header("x-savorybeam-code")
    ));
    insta::assert_snapshot!(seen.join("\n"));
}

#[tokio::test]
async fn malformed_requests_are_refused_and_others_served() {
    let site = AdminServer::spawn().await;
    let bad = [
        "nonsense\r\n\r\n",
        "GET /healthz HTTP/9.9\r\n\r\n",
        "PUT /v1/documents/slotboard HTTP/1.1\r\ncontent-length: many\r\n\r\n",
        "GET /healthz HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n",
    ];
    let mut seen = Vec::new();
    for request in bad {
        let mut stream = TcpStream::connect(site.addr).await.expect("it connects");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("it writes");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        let first = answer.lines().next().unwrap_or("(closed)").to_owned();
        seen.push(format!(
            "{:?}: {first}",
            request.lines().next().unwrap_or_default()
        ));
    }
    // A client that stops in the middle of a body does not delay other clients.
    let mut slow = TcpStream::connect(site.addr).await.expect("it connects");
    let head = format!(
        "PUT {PATH} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {TOKEN}\r\ncontent-length: 99\r\n\r\n[ser"
    );
    slow.write_all(head.as_bytes()).await.expect("it writes");
    let answer = site.call("GET", "/healthz", &[], "").await;
    seen.push(format!("during a slow request: {}", answer.head.status));
    let mut answer = vec![0; 30];
    slow.read_exact(&mut answer)
        .await
        .expect("the slow sender gets a response");
    seen.push(format!(
        "slow sender: {:?}",
        String::from_utf8_lossy(&answer)
    ));
    insta::assert_snapshot!(seen.join("\n"));
}

#[tokio::test]
async fn metrics_and_documentation_agree() {
    let site = AdminServer::spawn().await;
    use_every_family(&site.metrics);
    let output = site.call("GET", "/metrics", &[], "").await.text();
    let page = std::fs::read_to_string("docs/operating.md").expect("the page is there");
    let mut missing = Vec::new();
    for row in TABLE {
        if !page.contains(&row.to_string()) {
            missing.push(format!("operating.md: {row}"));
        }
        let base = row.name.trim_end_matches("_total");
        if !output.contains(&format!("# TYPE {base} ")) {
            missing.push(format!("/metrics: {base}"));
        }
    }
    let codes = Code::ALL
        .iter()
        .map(|c| format!("| {} | `{c}` |", c.status()));
    let kinds = Kind::ALL
        .iter()
        .map(|k| format!("| `{}` | `{k}` |", k.component()));
    missing.extend(codes.chain(kinds).filter(|line| !page.contains(line)));
    insta::assert_debug_snapshot!(missing, @"[]");
}

/// Sets every metric family once, since the output omits unused families.
fn use_every_family(m: &Metrics) {
    let service = ServiceLabel {
        service: "slotboard".to_owned(),
    };
    m.count_request("slotboard", "200".to_owned(), "complete", Duration::ZERO);
    m.running.get_or_create(&service).inc();
    m.retries.get_or_create(&service).inc();
    m.hedges.get_or_create(&service).inc();
    m.revision.get_or_create(&service).set(2);
    m.set_far_share("slotboard", 0.25);
    m.set_line("slotboard", 2.0, 1.0, None);
    m.set_limit("slotboard", 0.5);
    let refusal = RefusalLabels {
        service: "slotboard".to_owned(),
        code: "overloaded",
    };
    m.refusals.get_or_create(&refusal).inc();
    m.edits.get_or_create(&CodeLabel { code: "accepted" }).inc();
    m.members
        .get_or_create(&StateLabel { state: "alive" })
        .set(1);
    let units = UnitLabels {
        limit: "region/reykjanes".to_owned(),
        kind: "home",
    };
    m.units.get_or_create(&units).set(1);
    let event = EventLabels {
        part: "store".to_owned(),
        kind: "store-up".to_owned(),
    };
    m.events.get_or_create(&event).inc();
    let withheld = WithheldCounts {
        leaving: 1,
        paused: 2,
    };
    m.count_probe("slotboard");
    m.count_workspace("acme", None);
    m.count_quota("acme", "admitted");
    m.add_tokens("acme", 1);
    m.count_withheld("slotboard", withheld);
    m.count_sync("store", "changes", "ok");
    let services = [("slotboard".parse().expect("a name"), Demand::default())];
    m.set_demand(&RegionDemand {
        entries: 1,
        services: services.into(),
    });
}

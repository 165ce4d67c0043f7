//! Tests requests through a store, entries and targets in separate processes.

mod harness;

use harness::{Deployment, request, send};

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_end_to_end() {
    let site = Deployment::start_serving(3, 2, 3).await;
    let mut responses = Vec::new();
    for entry in &site.entries {
        let answer = send(
            entry.process.addr,
            request("POST", "slotboard", "/echo", "dough"),
        )
        .await
        .expect("an answer");
        assert!(["t0", "t1"].contains(&answer.header("x-target")));
        responses.push(format!("{} {}", answer.head.status, answer.text()));
    }
    insta::assert_snapshot!(responses.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_look_up_lists_every_entry() {
    let site = Deployment::start_serving(3, 1, 3).await;
    let path = "/v1/entries?service=slotboard";
    let mut listed = 0;
    while listed < 3 {
        let answer = send(
            site.entries[0].process.addr,
            request("GET", "127.0.0.1", path, ""),
        )
        .await
        .expect("an answer");
        let value: serde_json::Value = serde_json::from_str(&answer.text()).expect("JSON");
        listed = value["entries"].as_array().expect("a list").len();
        assert!(answer.header("cache-control").starts_with("max-age="));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_says_whether_the_request_ran() {
    let mut site = Deployment::start_serving(1, 1, 3).await;
    let mut responses = Vec::new();
    for service in ["nobody", "slotboard"] {
        site.targets.clear();
        let answer = send(
            site.entries[0].process.addr,
            request("POST", service, "/echo", ""),
        )
        .await
        .expect("an answer");
        let outcome = answer.header("x-savorybeam-outcome");
        responses.push(format!(
            "{} {} {outcome}",
            answer.head.status,
            answer.header("x-savorybeam-code")
        ));
    }
    insta::assert_snapshot!(responses.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_completes_downloads() {
    let mut site = Deployment::start_serving(3, 1, 3).await;
    let req = request("GET", "slotboard", "/bytes/50000000", "");
    let resp = harness::send_streaming(site.entries[0].process.addr, req)
        .await
        .expect("an answer");
    site.entries[0].process.signal("TERM");
    // Waits until the listener is closed, so that the body is read during the
    // stop.
    while tokio::net::TcpStream::connect(site.entries[0].process.addr)
        .await
        .is_ok()
    {
        harness::pause().await;
    }
    let body = http_body_util::BodyExt::collect(resp.into_body())
        .await
        .expect("the whole body");
    assert_eq!(body.to_bytes().len(), 50_000_000);
    assert!(
        site.entries[0].process.wait(),
        "the entry ends with success"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_takes_effect_at_every_entry() {
    let site = Deployment::start_serving(3, 2, 3).await;
    let addrs: Vec<_> = site.targets.iter().map(|t| t.addr).collect();
    let text = harness::document(&addrs, 2, "");
    let answer = site.put_document(1, &text).await;
    let revision = answer
        .header("etag")
        .trim_matches('"')
        .parse()
        .expect("a revision");
    site.wait_for_revision(revision).await;
}

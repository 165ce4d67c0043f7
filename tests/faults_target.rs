//! Tests of requests whose targets crash, freeze, shed load or slow down, and
//! of connections that stay open without forwarding data.

mod harness;

use std::{net::SocketAddr, time::Duration};

use harness::{
    Deployment, Process, document,
    faults::{
        HttpResult, call, request_with_id, set_header, wait_until, wait_until_success, with_timeout,
    },
    relay::Relay,
    request, spawn_target,
};
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::JoinSet,
};

/// The time limit of a call, longer than any deadline of these tests.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

fn get_request(path: &str) -> Request<Full<bytes::Bytes>> {
    request("GET", "slotboard", path, "")
}

/// Sends enough requests through each entry for it to estimate usual durations
/// and to accumulate a hedging budget.
async fn warm_up(deployment: &Deployment) {
    for entry in &deployment.entries {
        for _ in 0..60 {
            let result = call(entry.process.addr, get_request("/delay/1"), CALL_TIMEOUT).await;
            assert!(result.is_success(), "{result:?}");
        }
    }
}

/// A request that crashes its target must not crash the remaining targets when
/// the caller repeats it through every entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_crashes_at_most_two_targets() {
    let mut deployment = with_timeout("start", Deployment::start_serving(3, 5, 3)).await;
    with_timeout("warm up", warm_up(&deployment)).await;
    let mut last = None;
    for n in 0..12 {
        let addr = deployment.entries[n % 3].process.addr;
        let result = with_timeout("crash", call(addr, get_request("/crash"), CALL_TIMEOUT)).await;
        last = Some(result);
    }
    let running = deployment.targets.iter_mut().map(Process::is_running);
    let down = running.filter(|r| !r).count();
    assert!(down <= 2, "{down} targets are down");
    match last.expect("a result") {
        HttpResult::Refused(code, outcome, _) => {
            assert_eq!((&*code, &*outcome), ("request-blocked", "not-run"));
        }
        result => panic!("the request is not blocked: {result:?}"),
    }
    for entry in &deployment.entries {
        let addr = entry.process.addr;
        let echo = || get_request("/echo");
        wait_until_success("other requests are served", addr, CALL_TIMEOUT, echo).await;
    }
}

/// Requests that occupy all slots of a frozen target must not block requests to
/// other targets.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_target_does_not_block_requests_to_others() {
    let deployment = with_timeout("start", Deployment::start_serving(3, 3, 3)).await;
    with_timeout("warm up", warm_up(&deployment)).await;
    deployment.targets[0].signal("STOP");
    let addrs: Vec<SocketAddr> = deployment.entries.iter().map(|e| e.process.addr).collect();
    let mut calls = JoinSet::new();
    for n in 0..90 {
        let addr = addrs[n % 3];
        calls.spawn(async move {
            tokio::time::sleep(Duration::from_millis(n as u64 * 20)).await;
            call(addr, get_request("/delay/5"), CALL_TIMEOUT).await
        });
    }
    let all = with_timeout("the calls", calls.join_all()).await;
    let failed: Vec<String> = all
        .iter()
        .filter(|g| !g.is_success())
        .map(|g| format!("{g:?}"))
        .collect();
    // The bound allows for nine slots at the frozen target. The requests that
    // occupy them fail unless a hedge reaches another target.
    assert!(failed.len() <= 9, "{} failed: {failed:?}", failed.len());
    deployment.targets[0].signal("CONT");
    let result = with_timeout("after", call(addrs[0], get_request("/echo"), CALL_TIMEOUT)).await;
    assert!(result.is_success(), "{result:?}");
}

/// A target that sheds load or is slow must not fail requests while another
/// target has free slots.
#[tokio::test(flavor = "multi_thread")]
async fn a_shedding_and_a_slow_target_cause_no_failure() {
    let deployment = with_timeout("start", Deployment::start_serving(2, 3, 3)).await;
    with_timeout("warm up", warm_up(&deployment)).await;
    deployment.targets[0].set_control("shed=1").await;
    deployment.targets[1].set_control("slow=300").await;
    let mut served = 0;
    for n in 0..60 {
        let addr = deployment.entries[n % 2].process.addr;
        let id = format!("shed-{n}");
        let req = request_with_id("GET", "/delay/1", "", &id);
        match with_timeout("call", call(addr, req, CALL_TIMEOUT)).await {
            result if result.is_success() => served += 1,
            // Retries are limited by a budget, so some responses of the
            // shedding target reach the caller unchanged.
            HttpResult::Response(r) if !r.header("retry-after").is_empty() => {
                assert_eq!(r.header("x-target"), "t0");
                assert_eq!(deployment.run_count(&id).await, 0);
            }
            result => panic!("{result:?}"),
        }
    }
    assert!(served > 30, "{served} of 60 requests were served");
    deployment.targets[0].set_control("shed=0&slow=0").await;
    deployment.targets[1].set_control("slow=0").await;
    wait_until("the target serves again", || async {
        let result = call(
            deployment.entries[0].process.addr,
            get_request("/echo"),
            CALL_TIMEOUT,
        )
        .await;
        match result {
            HttpResult::Response(r) if r.header("x-target") == "t0" => Ok(()),
            result => Err(format!("{result:?}")),
        }
    })
    .await;
}

/// When a target is killed, only the requests running at it may fail.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_target_fails_only_its_running_requests() {
    let mut deployment = with_timeout("start", Deployment::start_serving(3, 3, 3)).await;
    with_timeout("warm up", warm_up(&deployment)).await;
    deployment.targets[0].signal("KILL");
    // After the process has exited, the kernel has closed its connections. An
    // entry that still writes a request to one of them is at fault.
    deployment.targets[0].wait();
    for n in 0..60 {
        let addr = deployment.entries[n % 3].process.addr;
        let id = format!("after-{n}");
        let result = call(
            addr,
            request_with_id("POST", "/echo", "", &id),
            CALL_TIMEOUT,
        )
        .await;
        // After a refused connection even a non-idempotent request can go to
        // another target.
        if result.outcome() == "not-run" {
            assert_eq!(deployment.run_count(&id).await, 0, "{result:?}");
        } else {
            assert!(result.is_success(), "{result:?}");
        }
    }
}

/// Starts a deployment with a relay in front of the first target and several
/// idle connections through it.
async fn start_with_relay() -> (Deployment, Relay) {
    let targets = vec![spawn_target("t0", 3), spawn_target("t1", 3)];
    let relay = Relay::spawn(targets[0].addr).await;
    let addrs = [relay.addr, targets[1].addr];
    let deployment = with_timeout("start", Deployment::start(1, targets)).await;
    deployment.put_document(0, &document(&addrs, 3, "")).await;
    with_timeout("serving", deployment.wait_until_serving("slotboard")).await;
    with_timeout("warm up", warm_up(&deployment)).await;
    let addr = deployment.entries[0].process.addr;
    let mut calls = JoinSet::new();
    for _ in 0..6 {
        calls.spawn(call(addr, get_request("/delay/200"), CALL_TIMEOUT));
    }
    assert!(calls.join_all().await.iter().all(HttpResult::is_success));
    (deployment, relay)
}

/// A connection that stays open without delivering data must fail neither
/// idempotent requests nor the requests after them.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_succeed_despite_silent_connections() {
    let (deployment, relay) = start_with_relay().await;
    let addr = deployment.entries[0].process.addr;
    relay.silence();
    for n in 0..12 {
        let result = with_timeout(
            "idempotent",
            call(addr, get_request("/delay/1"), CALL_TIMEOUT),
        )
        .await;
        assert!(result.is_success(), "request {n}: {result:?}");
    }
    for n in 0..12 {
        let post = request("POST", "slotboard", "/echo", "");
        let result = with_timeout("later", call(addr, post, CALL_TIMEOUT)).await;
        assert!(result.is_success(), "later request {n}: {result:?}");
    }
}

/// A non-idempotent request on a silent connection must end at its deadline
/// with outcome `unknown`, and later requests must not reuse silent
/// connections.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_requests_on_silent_connections_end_at_their_deadline() {
    let (deployment, relay) = start_with_relay().await;
    let addr = deployment.entries[0].process.addr;
    relay.silence();
    let mut calls = JoinSet::new();
    for _ in 0..6 {
        let mut req = request("POST", "slotboard", "/delay/100", "");
        set_header(&mut req, "x-deadline-ms", "1500");
        calls.spawn(call(addr, req, CALL_TIMEOUT));
    }
    let all = with_timeout("the deadline", calls.join_all()).await;
    let unknown = all.iter().filter(|g| g.outcome() == "unknown").count();
    let served = all.iter().filter(|g| g.is_success()).count();
    assert!(unknown > 0, "no request used a silent connection: {all:?}");
    assert_eq!(unknown + served, all.len(), "{all:?}");
    for n in 0..12 {
        let post = request("POST", "slotboard", "/echo", "");
        let result = with_timeout("later", call(addr, post, CALL_TIMEOUT)).await;
        assert!(result.is_success(), "later request {n}: {result:?}");
    }
}

/// A response whose status is no final one must not be passed on as an answer: the
/// request may have run, so that its outcome is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_a_final_status_is_no_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = [0; 1_024];
                while stream.read(&mut head).await.is_ok_and(|n| n > 0) {
                    let path = String::from_utf8_lossy(&head);
                    let status = path.split(['/', ' ']).nth(2).unwrap_or_default();
                    let text = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nok");
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    let deployment = with_timeout("start", Deployment::start(1, Vec::new())).await;
    deployment.put_document(0, &document(&[addr], 3, "")).await;
    let entry = deployment.entries[0].process.addr;
    wait_until_success("serving", entry, CALL_TIMEOUT, || get_request("/200")).await;
    for status in ["000", "099", "101", "199", "600", "999", "20"] {
        let order = || request("POST", "slotboard", &format!("/{status}"), "");
        let result = with_timeout("a request", call(entry, order(), CALL_TIMEOUT)).await;
        match result {
            HttpResult::Refused(code, outcome, _) => {
                let found = (&*code, &*outcome);
                assert_eq!(found, ("connection-broken", "unknown"), "{status}");
            }
            result => panic!("{status}: {result:?}"),
        }
        wait_until_success("serving", entry, CALL_TIMEOUT, || get_request("/200")).await;
    }
}

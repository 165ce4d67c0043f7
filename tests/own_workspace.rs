//! Tests of workspaces on the own interface with entries as processes: whose request it
//! is, what the target is told, where it runs, and what its caller hears at the limit.

mod harness;

use std::{
    io::Write,
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use harness::{Deployment, TOKEN, admin_request, send};
use http::{Request, Response};
use http_body_util::BodyExt;
use savorybeam::{
    adapters::http::{self as web, Limits, Server},
    domain::KeyDigest,
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
};
use volo_http::{body::Body, server::Router};

/// Part of every key, which must appear in no answer of an entry.
const SECRET: &str = "secret";

/// Starts a target that answers with its name and what it is told of the caller. A path
/// that ends with `/slow` takes two seconds.
async fn spawn_target(name: &'static str) -> Server {
    let handler = async move |req: Request<Body>| {
        if req.uri().path().ends_with("/slow") {
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
        let told = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
            let is_told = name.as_str().contains("workspace");
            is_told.then(|| format!(" {name}={value:?}"))
        };
        let (head, body) = req.into_parts();
        let body = body.collect().await.expect("a body");
        let headers = [Some(&head.headers), body.trailers()].into_iter().flatten();
        let told: String = headers.flatten().filter_map(told).collect();
        Response::new(Body::from(format!("{name}{told}")))
    };
    let router = Router::new().fallback(handler);
    let addr = "127.0.0.1:0".parse().expect("an address");
    let server = web::bind(addr, Limits::default(), router).await;
    server.expect("a port")
}

/// A caller that writes its requests itself, all on one connection.
struct Caller(BufReader<TcpStream>);

impl Caller {
    async fn connect(site: &Deployment) -> Self {
        let stream = TcpStream::connect(site.entries[0].process.addr).await;
        Self(BufReader::new(stream.expect("a connection")))
    }

    /// Sends a request with the given header lines, after which a body may follow.
    /// Returns the status, the code of a
    /// refusal with its outcome, whether it says when to return, and the answer of a
    /// target.
    async fn send(&mut self, path: &str, headers: &[&str]) -> String {
        let ended = headers.iter().flat_map(|line| [*line, "\r\n"]);
        let headers: String = ended.collect();
        let method = if headers.contains("content-length: 0") || headers.contains("chunked") {
            "POST"
        } else {
            "GET"
        };
        let text = format!("{method} {path} HTTP/1.1\r\nhost: slotboard\r\n{headers}\r\n");
        let stream = self.0.get_mut();
        stream.write_all(text.as_bytes()).await.expect("a request");
        let (mut result, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).await.expect("a line");
            let line = line.trim_end();
            match line.split_once([':', ' ']) {
                Some(("HTTP/1.1", rest)) => result.push_str(&rest[..3]),
                Some(("x-savorybeam-code" | "x-savorybeam-outcome", value)) => {
                    result.push_str(value);
                }
                Some(("retry-after", _)) => result.push_str(" later"),
                Some(("content-length", value)) => length = value.trim().parse().expect("a length"),
                _ if line.is_empty() => break,
                _ => {}
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).await.expect("a body");
        let body = String::from_utf8_lossy(&body);
        assert!(!body.contains(SECRET), "{body}");
        if body.starts_with('{') {
            return result;
        }
        format!("{result} {body}")
    }
}

fn key(name: &str) -> String {
    format!("x-workspace-key: {SECRET}-{name}")
}

fn digest(name: &str) -> KeyDigest {
    KeyDigest::of(format!("{SECRET}-{name}").as_bytes())
}

/// Returns a document in which `bakers` have the given keys and are bound to the second
/// region.
fn document(targets: &[Server], bakers: &[&str]) -> String {
    let addrs: Vec<_> = targets.iter().map(Server::addr).collect();
    let keys: Vec<String> = bakers.iter().map(|k| digest(k).to_string()).collect();
    let extra = format!(
        "[workspace bakers]\nkeys = {}\nhomes = r2\n[workspace cooks]\nkeys = {}\nrate = 4 rps\n\
         burst = 2\n[workspace guests]\nkeys = {}\n[route /open]\npublic = true\n",
        keys.join(", "),
        digest("c"),
        digest("g")
    );
    // One slot for each target.
    harness::document(&addrs, 1, &extra)
}

async fn put(site: &Deployment, text: &str) {
    let answer = site.put_document(0, text).await;
    let revision = answer.header("etag").trim_matches('"').parse();
    site.wait_for_revision(revision.expect("a revision")).await;
}

async fn start(bakers: &[&str]) -> (Deployment, Vec<Server>) {
    let targets = vec![spawn_target("t1").await, spawn_target("t2").await];
    let site = Deployment::start(2, Vec::new()).await;
    put(&site, &document(&targets, bakers)).await;
    (site, targets)
}

/// Fails if a caller without a valid key is served, if a target learns a key or another
/// workspace than that of the key, if a request leaves its home, if a withdrawn key works
/// on an open connection, or if a bad document replaces the one in force.
#[tokio::test(flavor = "multi_thread")]
async fn requests_run_for_the_workspace_of_their_key() {
    let (site, targets) = start(&["a", "b"]).await;
    let mut caller = Caller::connect(&site).await;
    let keys = ["a", "b", "x"].map(key);
    let [a, b, unknown] = keys.each_ref().map(String::as_str);
    let odd = format!("X-Workspace-KEY:{SECRET}-a");
    let claims = ["x-workspace: cooks", "X-WORKSPACE: admin", &odd];
    let hidden = [
        "x-workspace: cooks",
        "connection: x-workspace, x-workspace-key",
        a,
    ];
    let mut lines = Vec::new();
    for headers in [
        &[][..],
        &[unknown],
        &["x-workspace-key:"],
        &[a, b],
        &[a, a],
        &["x-workspace: bakers"],
        &[b],
        &claims,
        &hidden,
    ] {
        lines.push(caller.send("/menu", headers).await);
    }
    lines.push(caller.send("/open", &claims).await.replace("t2", "t1"));
    // A body that is passed on as it arrives, with trailers behind it.
    let data = "d".repeat(100_000);
    let chunk = format!("\r\n{:x}\r\n{data}", data.len());
    let trailers = format!("{odd}\r\nx-workspace: cooks");
    let stream = [
        a,
        "transfer-encoding: chunked",
        "trailer: x-workspace, x-workspace-key",
        &chunk,
        "0",
        &trailers,
    ];
    lines.push(caller.send("/menu", &stream).await);
    let guests = key("g");
    for owner in [b, &guests, b] {
        let once = [owner, "idempotency-key: order-1", "content-length: 0"];
        lines.push(caller.send("/menu", &once).await);
    }
    for _ in 0..20 {
        assert_eq!(
            caller.send("/menu", &[a]).await,
            "200 t2 x-workspace=\"bakers\""
        );
    }
    lines.push("without the key a".to_owned());
    put(&site, &document(&targets, &["b"])).await;
    lines.push(caller.send("/menu", &[a]).await);
    lines.push(caller.send("/menu", &[b]).await);
    let bad = document(&targets, &["b"]).replace("rate = 4 rps", "rate = many");
    let path = "/v1/documents/slotboard";
    let admin = site.entries[0].admin;
    let current = send(admin, admin_request("GET", path, "", "")).await;
    let etag = current.expect("a document").header("etag").to_owned();
    let answer = send(admin, admin_request("PUT", path, &etag, &bad)).await;
    let answer = answer.expect("an answer");
    lines.push(format!("{} {}", answer.head.status, answer.text().trim()));
    lines.push(caller.send("/menu", &[b]).await);
    insta::assert_snapshot!(lines.join("\n"));
    for path in [
        "/metrics",
        "/v1/status",
        "/v1/limits",
        "/v1/documents/slotboard/history",
        "/v1/explain?service=slotboard",
        "/v1/timeline",
    ] {
        let answer = send(admin, admin_request("GET", path, "", "")).await;
        let text = answer.expect("an answer").text();
        assert!(!text.contains(SECRET) && !text.contains(TOKEN), "{text}");
        if path == "/metrics" {
            assert!(text.contains("workspace=\"bakers\""), "{text}");
        }
    }
}

/// Fails if a workspace gets more than its rate and burst, if it is not told when to
/// return, or if its refusals reach another workspace.
#[tokio::test(flavor = "multi_thread")]
async fn a_workspace_beyond_its_rate_is_told_when_to_return() {
    let (site, _targets) = start(&["a"]).await;
    let mut cook = Caller::connect(&site).await;
    let mut baker = Caller::connect(&site).await;
    let begun = Instant::now();
    let (mut served, mut refused) = (0, 0);
    while begun.elapsed() < Duration::from_secs(3) {
        match cook.send("/menu", &[&key("c")]).await.as_str() {
            "429 quota-exceeded not-run later" => refused += 1,
            // The buckets start empty.
            "503 quota-unavailable not-run later" if begun.elapsed().as_secs() == 0 => {}
            answer => {
                assert!(answer.ends_with("x-workspace=\"cooks\""), "{answer}");
                served += 1;
            }
        }
        let answer = baker.send("/menu", &[&key("a")]).await;
        assert_eq!(answer, "200 t2 x-workspace=\"bakers\"");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // The rate, the burst, the tokens of 100 ms and one for each entry.
    let most = begun.elapsed().as_secs_f64() * 4.0 + 2.0 + 0.4 + 2.0;
    assert!(
        served >= 6 && refused > 0,
        "{served} served, {refused} refused"
    );
    assert!(f64::from(served) <= most, "{served} of {most}");
}

/// Fails if requests that wait for their home hold back those that may run elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_home_holds_back_no_other_workspace() {
    let (site, _targets) = start(&["a"]).await;
    let mut waiting = Vec::new();
    for _ in 0..2 {
        let mut baker = Caller::connect(&site).await;
        let send = async move { baker.send("/menu/slow", &[&key("a")]).await };
        waiting.push(tokio::spawn(send));
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut caller = Caller::connect(&site).await;
    let begun = Instant::now();
    assert_eq!(caller.send("/open", &[]).await, "200 t1");
    assert!(begun.elapsed() < Duration::from_millis(1_500));
    for baker in waiting {
        let answer = baker.await.expect("an answer");
        assert_eq!(answer, "200 t2 x-workspace=\"bakers\"");
    }
}

/// Fails if the digest is not the one that documents need, or if a key that no caller can
/// send is accepted or repeated in the message.
#[test]
fn a_key_is_digested_from_standard_input() {
    let run = |input: &[u8]| {
        let mut child = Command::new(env!("CARGO_BIN_EXE_savorybeam"))
            .arg("key-digest")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the command starts");
        let mut stdin = child.stdin.take().expect("standard input is piped");
        stdin.write_all(input).expect("the key is read");
        drop(stdin);
        let output = child.wait_with_output().expect("the command ends");
        let text = [output.stdout, output.stderr].concat();
        String::from_utf8(text).expect("text")
    };
    for end in ["", "\n", "\r\n"] {
        let printed = run(format!("{SECRET}-a{end}").as_bytes());
        assert_eq!(printed, format!("{}\n", digest("a")));
    }
    let bad = [&b"\n"[..], b"secret a", b"secret\nsecret", b"secret\xff"];
    insta::assert_snapshot!(bad.map(run).concat(), @r#"
    savorybeam: "(redacted)" is not a valid key: expected one line of printable ASCII characters without blanks
    savorybeam: "(redacted)" is not a valid key: expected one line of printable ASCII characters without blanks
    savorybeam: "(redacted)" is not a valid key: expected one line of printable ASCII characters without blanks
    savorybeam: "(redacted)" is not a valid key: expected one line of printable ASCII characters without blanks
    "#);
}

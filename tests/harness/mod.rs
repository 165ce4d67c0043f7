//! Starts the real processes of a test and talks HTTP to them.
//!
//! Every process is killed when its handle is dropped, so that a failed test
//! leaves none behind.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod faults;
pub mod relay;

use std::{
    collections::BTreeSet,
    fs,
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use savorybeam::{
    adapters::store::etcd,
    domain::{Millis, Revision},
    ports::Write,
};
use tokio::net::TcpStream;

/// A child process.
pub struct Proc {
    child: Child,
    /// Where it serves.
    pub addr: SocketAddr,
}

impl Proc {
    /// Sends a signal by its name, for example `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.expect("kill runs").success(), "kill -{name} {pid}");
    }

    /// Waits until the process has ended and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        self.child
            .wait()
            .expect("the process can be waited for")
            .success()
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a stand-in, which cargo builds beside the tests.
pub fn example(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test has a path");
    let deps = test.parent().expect("the test is in a folder");
    deps.with_file_name("examples").join(name)
}

/// Returns an address that nobody uses at the moment.
///
/// Its port is below the range from which the kernel takes the ports of
/// connections. A port of that range is often taken again before the process
/// for which it is meant has started. No port is handed out twice, since tests
/// that run at the same time may not have bound theirs yet.
pub fn free_addr() -> SocketAddr {
    static TAKEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    loop {
        let port = rand::random_range(10_000..32_000);
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        let is_new = TAKEN.lock().expect("no test panics here").insert(port);
        if is_new && TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Starts a target and waits until it serves.
pub fn target(name: &str, slots: u32) -> Proc {
    let mut child = Command::new(example("target_standin"))
        .args([
            "--listen",
            "127.0.0.1:0",
            "--name",
            name,
            "--slots",
            &slots.to_string(),
        ])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the target starts");
    let out = child.stdout.take().expect("standard output is piped");
    let mut line = String::new();
    BufReader::new(out)
        .read_line(&mut line)
        .expect("the target prints its address");
    let addr = line.trim().parse().expect("the line is an address");
    Proc { child, addr }
}

/// Starts the store's stand-in and waits until it serves.
pub fn store() -> Store {
    let mut child = Command::new(example("store_standin"))
        .args([
            "--listen",
            "127.0.0.1:0",
            "--control",
            "127.0.0.1:0",
            "--until-eof",
        ])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the store starts");
    let out = child.stdout.take().expect("standard output is piped");
    let mut line = String::new();
    BufReader::new(out)
        .read_line(&mut line)
        .expect("the store prints its addresses");
    let addrs: serde_json::Value = serde_json::from_str(&line).expect("the line is JSON");
    let addr = |key: &str| {
        addrs[key]
            .as_str()
            .and_then(|s| s.parse().ok())
            .expect("an address")
    };
    Store {
        control: addr("control"),
        proc: Proc {
            child,
            addr: addr("listen"),
        },
    }
}

/// A running stand-in of the store.
pub struct Store {
    /// Where its faults are controlled.
    pub control: SocketAddr,
    /// The process.
    pub proc: Proc,
}

impl Store {
    /// Returns a client.
    pub fn client(&self) -> savorybeam::ports::Store {
        etcd::open(&[self.proc.addr], Millis(2_000), Arc::default())
    }

    /// Writes a key that is new.
    pub async fn put(&self, key: &str, value: &str) {
        let write = Write {
            key: Bytes::from(key.to_owned()),
            value: Some(Bytes::from(value.to_owned())),
            expected: Revision::default(),
        };
        (self.client().write)(write)
            .await
            .expect("the key is written");
    }

    /// Deletes a key.
    pub async fn delete(&self, key: &str) {
        let client = self.client();
        let key = Bytes::from(key.to_owned());
        let found = (client.get)(key.clone()).await.expect("the store answers");
        let write = Write {
            key,
            value: None,
            expected: found.expect("the key exists").revision,
        };
        (client.write)(write).await.expect("the key is deleted");
    }
}

/// A running entry.
pub struct Entry {
    /// The process. Its address is the callers'.
    pub proc: Proc,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where other entries reach it.
    pub peers: SocketAddr,
}

/// A whole deployment of separate processes: store, entries and targets.
pub struct Site {
    /// The store.
    pub store: Store,
    /// The entries, each in a region of its own.
    pub entries: Vec<Entry>,
    /// The targets.
    pub targets: Vec<Proc>,
}

/// The token of the team that owns the documents of tests.
pub const TOKEN: &str = "token-of-the-kitchens";

/// The regions of a test's entries.
pub const REGIONS: [&str; 3] = ["r1", "r2", "r3"];

impl Site {
    /// Starts a deployment with a service `slotboard` whose targets have
    /// `slots` slots, and waits until every entry serves it.
    pub async fn open(entries: usize, targets: usize, slots: u32) -> Self {
        let targets: Vec<Proc> = (0..targets)
            .map(|n| target(&format!("t{n}"), slots))
            .collect();
        let addrs: Vec<SocketAddr> = targets.iter().map(|t| t.addr).collect();
        let site = Self::start(entries, targets).await;
        site.put(0, &document(&addrs, slots, "")).await;
        site.serving("slotboard").await;
        site
    }

    /// Starts a deployment without a document.
    pub async fn start(entries: usize, targets: Vec<Proc>) -> Self {
        let store = store();
        let peers: Vec<SocketAddr> = (0..entries).map(|_| free_addr()).collect();
        let mut site = Self {
            store,
            entries: Vec::new(),
            targets,
        };
        for n in 0..entries {
            site.store.put(&format!("platform/vms/e{n}"), "{}").await;
            let entry = spawn_entry(n, site.store.proc.addr, &peers, free_addr(), free_addr());
            site.entries.push(entry);
        }
        for entry in &site.entries {
            entry.ready().await;
        }
        site
    }

    /// Puts a document through an entry's administration, and returns the
    /// answer.
    pub async fn put(&self, entry: usize, doc: &str) -> Answer {
        let admin = self.entries[entry].admin;
        let path = "/v1/documents/slotboard";
        let found = send(admin, authorized("GET", path, "", ""))
            .await
            .expect("an answer");
        let answer = send(admin, authorized("PUT", path, found.header("etag"), doc))
            .await
            .expect("an answer");
        assert!(
            answer.head.status.is_success(),
            "{}: {}",
            answer.head.status,
            answer.text()
        );
        answer
    }

    /// Waits until every entry answers a request to a service with success.
    pub async fn serving(&self, service: &str) {
        for entry in &self.entries {
            while send(entry.proc.addr, request("GET", service, "/echo", ""))
                .await
                .is_ok_and(|a| !a.head.status.is_success())
            {
                pause().await;
            }
        }
    }

    /// Waits until every entry has at least a revision in effect.
    pub async fn in_effect(&self, revision: u64) {
        for entry in &self.entries {
            while entry.revision().await < revision {
                pause().await;
            }
        }
    }
}

impl Entry {
    /// Waits until it says that it is ready.
    pub async fn ready(&self) {
        let ask = || request("GET", "admin", "/readyz", "");
        while !send(self.admin, ask())
            .await
            .is_ok_and(|a| a.head.status.is_success())
        {
            pause().await;
        }
    }

    /// Returns its state.
    pub async fn status(&self) -> serde_json::Value {
        let answer = send(self.admin, authorized("GET", "/v1/status", "", ""))
            .await
            .expect("an answer");
        serde_json::from_str(&answer.text()).expect("the status is JSON")
    }

    /// Returns the revision of `slotboard` that it has in effect.
    pub async fn revision(&self) -> u64 {
        let status = self.status().await;
        let services = status["services"].as_array().cloned().unwrap_or_default();
        let found = services.iter().find(|s| s["service"] == "slotboard");
        found.and_then(|s| s["revision"].as_u64()).unwrap_or(0)
    }
}

/// Waits a little between two looks at something that is about to happen.
pub async fn pause() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

/// Returns the document of `slotboard` with one place per target, spread over
/// the regions.
pub fn document(targets: &[SocketAddr], slots: u32, rest: &str) -> String {
    let place = |(n, addr): (usize, &SocketAddr)| {
        let region = REGIONS[n % REGIONS.len()];
        format!(
            "[place p{n}]\nregion = {region}\naz = {region}-a\nweight = 100\nslots = {slots}\ntargets = {addr}\n"
        )
    };
    let places: Vec<String> = targets.iter().enumerate().map(place).collect();
    format!(
        "[service]\nname = slotboard\nteam = kitchens\ndeadline = 5 s\n{}{rest}",
        places.concat()
    )
}

/// Starts an entry.
pub fn spawn_entry(
    n: usize,
    store: SocketAddr,
    peers: &[SocketAddr],
    callers: SocketAddr,
    admin: SocketAddr,
) -> Entry {
    let region = REGIONS[n % REGIONS.len()];
    let seeds: Vec<String> = peers.iter().map(ToString::to_string).collect();
    let regions = REGIONS.map(|r| format!("[region {r}]\nheadroom = 100000 rps\n"));
    let settings = format!(
        "[entry]\nname = e{n}\nregion = {region}\naz = {region}-a\ncallers = {callers}\nadmin = {admin}\n\
         peers = {}\nseeds = {}\nlinger = 200 ms\n[store]\nendpoints = {store}\n\
         [team kitchens]\ntoken = {TOKEN}\n{}",
        peers[n],
        seeds.join(", "),
        regions.concat()
    );
    let path = write(&format!("{callers}.ini").replace(':', "-"), &settings);
    let child = Command::new(env!("CARGO_BIN_EXE_savorybeam"))
        .arg("entry")
        .arg("--settings")
        .arg(path)
        .stderr(log(n, callers.port()))
        .spawn()
        .expect("the entry starts");
    Entry {
        proc: Proc {
            child,
            addr: callers,
        },
        admin,
        peers: peers[n],
    }
}

/// Returns where an entry logs: nowhere, or to the folder that
/// `SAVORYBEAM_TEST_LOGS` names.
fn log(n: usize, port: u16) -> Stdio {
    let Some(dir) = std::env::var_os("SAVORYBEAM_TEST_LOGS") else {
        return Stdio::null();
    };
    let name = format!("{}-e{n}-{port}.log", std::process::id());
    let file = fs::File::create(PathBuf::from(dir).join(name));
    file.map_or_else(|_| Stdio::null(), Stdio::from)
}

fn write(name: &str, text: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("savorybeam-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("the folder can be made");
    let path = dir.join(name);
    fs::write(&path, text).expect("the file can be written");
    path
}

/// Returns a request to the administration. An empty `etag` sends none.
pub fn authorized(method: &str, path: &str, etag: &str, body: &str) -> Request<Full<Bytes>> {
    let mut request = request(method, "admin", path, body);
    let headers = request.headers_mut();
    let token = format!("Bearer {TOKEN}")
        .parse()
        .expect("the token is ASCII");
    headers.insert("authorization", token);
    if !etag.is_empty() {
        headers.insert("if-match", etag.parse().expect("the tag is ASCII"));
    }
    request
}

/// An answer, read to its end.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub head: http::response::Parts,
    /// The body, or why it was cut short.
    pub body: Result<Bytes, String>,
}

impl Answer {
    /// Returns a header as text, empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.head.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        let body = self.body.as_ref().expect("the body is whole");
        String::from_utf8_lossy(body).into_owned()
    }
}

/// Sends a request on a connection of its own.
pub async fn send(addr: SocketAddr, req: Request<Full<Bytes>>) -> Result<Answer, String> {
    let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
    send_over(stream, req).await
}

/// Sends a request on an open connection.
pub async fn send_over(stream: TcpStream, req: Request<Full<Bytes>>) -> Result<Answer, String> {
    let resp = open_over(stream, req).await?;
    let (head, body) = resp.into_parts();
    let body = body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    Ok(Answer {
        head,
        body: body.map_err(|e| e.to_string()),
    })
}

/// Sends a request and returns the answer as soon as its head is there.
pub async fn open(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<Response<hyper::body::Incoming>, String> {
    let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
    open_over(stream, req).await
}

async fn open_over(
    stream: TcpStream,
    req: Request<Full<Bytes>>,
) -> Result<Response<hyper::body::Incoming>, String> {
    let (mut sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    tokio::spawn(conn);
    sender.send_request(req).await.map_err(|e| e.to_string())
}

/// Returns a request to a service.
pub fn request(method: &str, service: &str, path: &str, body: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", service)
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("the request is well formed")
}

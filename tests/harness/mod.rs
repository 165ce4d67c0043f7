//! Starts the processes of a test and sends HTTP requests to them.
//!
//! A process is killed when its handle is dropped, so that a failed test leaves
//! none running.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod addr;
mod example;
pub mod faults;
pub mod relay;

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
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
pub struct Process {
    child: Child,
    /// The address on which it serves requests.
    pub addr: SocketAddr,
}

impl Process {
    /// Sends a signal given by name, for example `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.expect("kill runs").success(), "kill -{name} {pid}");
    }

    /// Waits for the process to exit and returns whether its exit status is
    /// success.
    pub fn wait(&mut self) -> bool {
        self.child
            .wait()
            .expect("the process can be waited for")
            .success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a simulated target and waits until it serves requests.
pub fn spawn_target(name: &str, slots: u32) -> Process {
    let slots = slots.to_string();
    let args = ["--listen", "127.0.0.1:0", "--name", name, "--slots", &slots];
    let (child, line) = example::spawn("target_standin", &args);
    let addr = line.trim().parse().expect("the line is an address");
    Process { child, addr }
}

/// Starts the simulated store and waits until it serves requests.
pub fn spawn_store() -> Store {
    let (child, addr, control) = example::spawn_store();
    let process = Process { child, addr };
    Store { control, process }
}

/// A running simulated store.
pub struct Store {
    /// The address on which faults are injected.
    pub control: SocketAddr,
    /// The process.
    pub process: Process,
}

impl Store {
    /// Opens a client of the store.
    pub fn client(&self) -> savorybeam::ports::Store {
        etcd::open(&[self.process.addr], Millis(2_000), Arc::default())
    }

    /// Creates a key that does not exist yet.
    pub async fn create_key(&self, key: &str, value: &str) {
        let write = Write {
            key: Bytes::from(key.to_owned()),
            value: Some(Bytes::from(value.to_owned())),
            expected: Revision::default(),
        };
        (self.client().write)(write)
            .await
            .expect("the key is written");
    }

    /// Deletes an existing key.
    pub async fn delete_key(&self, key: &str) {
        let client = self.client();
        let key = Bytes::from(key.to_owned());
        let found = (client.get)(key.clone()).await.expect("the store responds");
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
    /// The process. Its address is the one for callers.
    pub process: Process,
    /// The address of its administration server.
    pub admin: SocketAddr,
    /// The address for connections from other entries.
    pub peers: SocketAddr,
}

/// A deployment of separate processes: store, entries and targets.
pub struct Deployment {
    /// The store.
    pub store: Store,
    /// The entries, assigned to [`REGIONS`] in turn.
    pub entries: Vec<Entry>,
    /// The targets.
    pub targets: Vec<Process>,
}

/// The token of the team that owns the documents of the tests.
pub const TOKEN: &str = "token-of-the-kitchens";

/// The regions that entries and targets are assigned to in turn.
pub const REGIONS: [&str; 3] = ["r1", "r2", "r3"];

impl Deployment {
    /// Starts a deployment with the service `slotboard`, whose targets have
    /// `slots` slots each, and waits until every entry serves it.
    pub async fn start_serving(entries: usize, targets: usize, slots: u32) -> Self {
        let targets: Vec<Process> = (0..targets)
            .map(|n| spawn_target(&format!("t{n}"), slots))
            .collect();
        let addrs: Vec<SocketAddr> = targets.iter().map(|t| t.addr).collect();
        let deployment = Self::start(entries, targets).await;
        deployment
            .put_document(0, &document(&addrs, slots, ""))
            .await;
        deployment.wait_until_serving("slotboard").await;
        deployment
    }

    /// Starts a deployment without documents and waits until its entries are
    /// ready.
    pub async fn start(entries: usize, targets: Vec<Process>) -> Self {
        let store = spawn_store();
        let peers: Vec<SocketAddr> = (0..entries).map(|_| addr::unused()).collect();
        let mut deployment = Self {
            store,
            entries: Vec::new(),
            targets,
        };
        for n in 0..entries {
            deployment
                .store
                .create_key(&format!("platform/vms/e{n}"), "{}")
                .await;
            let entry = spawn_entry(
                n,
                deployment.store.process.addr,
                &peers,
                addr::unused(),
                addr::unused(),
            );
            deployment.entries.push(entry);
        }
        for entry in &deployment.entries {
            entry.wait_until_ready().await;
        }
        deployment
    }

    /// Writes the document of `slotboard` through an entry's administration
    /// server and returns the response, which must be a success.
    pub async fn put_document(&self, entry: usize, doc: &str) -> BufferedResponse {
        let admin = self.entries[entry].admin;
        let path = "/v1/documents/slotboard";
        let current = send(admin, admin_request("GET", path, "", ""))
            .await
            .expect("a response");
        let response = send(
            admin,
            admin_request("PUT", path, current.header("etag"), doc),
        )
        .await
        .expect("a response");
        assert!(
            response.head.status.is_success(),
            "{}: {}",
            response.head.status,
            response.text()
        );
        response
    }

    /// Waits until every entry responds with success to a request to a service.
    pub async fn wait_until_serving(&self, service: &str) {
        for entry in &self.entries {
            while send(entry.process.addr, request("GET", service, "/echo", ""))
                .await
                .is_ok_and(|r| !r.head.status.is_success())
            {
                pause().await;
            }
        }
    }

    /// Waits until every entry has applied a revision of `slotboard` or a later
    /// one.
    pub async fn wait_for_revision(&self, revision: u64) {
        for entry in &self.entries {
            while entry.revision().await < revision {
                pause().await;
            }
        }
    }
}

impl Entry {
    /// Waits until the readiness endpoint responds with success.
    pub async fn wait_until_ready(&self) {
        let probe = || request("GET", "admin", "/readyz", "");
        while !send(self.admin, probe())
            .await
            .is_ok_and(|r| r.head.status.is_success())
        {
            pause().await;
        }
    }

    /// Fetches the status from the administration server.
    pub async fn status(&self) -> serde_json::Value {
        let response = send(self.admin, admin_request("GET", "/v1/status", "", ""))
            .await
            .expect("a response");
        serde_json::from_str(&response.text()).expect("the status is JSON")
    }

    /// Returns the applied revision of `slotboard`, or 0 if there is none.
    pub async fn revision(&self) -> u64 {
        let status = self.status().await;
        let services = status["services"].as_array().cloned().unwrap_or_default();
        let found = services.iter().find(|s| s["service"] == "slotboard");
        found.and_then(|s| s["revision"].as_u64()).unwrap_or(0)
    }
}

/// Sleeps for the interval between two polls of a condition.
pub async fn pause() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

/// Returns a document of `slotboard` with one place per target, assigned to
/// [`REGIONS`] in turn, followed by `extra`.
pub fn document(targets: &[SocketAddr], slots: u32, extra: &str) -> String {
    let place = |(n, addr): (usize, &SocketAddr)| {
        let region = REGIONS[n % REGIONS.len()];
        format!(
            "[place p{n}]\nregion = {region}\naz = {region}-a\nweight = 100\nslots = {slots}\ntargets = {addr}\n"
        )
    };
    let places: Vec<String> = targets.iter().enumerate().map(place).collect();
    format!(
        "[service]\nname = slotboard\nteam = kitchens\ndeadline = 5 s\n{}{extra}",
        places.concat()
    )
}

/// Starts the entry `e{n}` without waiting until it is ready.
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
    let path = write_temp_file(&format!("{callers}.ini").replace(':', "-"), &settings);
    let child = Command::new(env!("CARGO_BIN_EXE_savorybeam"))
        .arg("entry")
        .arg("--settings")
        .arg(path)
        .stderr(log_output(n, callers.port()))
        .spawn()
        .expect("the entry starts");
    Entry {
        process: Process {
            child,
            addr: callers,
        },
        admin,
        peers: peers[n],
    }
}

/// Returns the log output of an entry: a file in the directory that
/// `SAVORYBEAM_TEST_LOGS` names, or nothing if the variable is unset.
fn log_output(n: usize, port: u16) -> Stdio {
    let Some(dir) = std::env::var_os("SAVORYBEAM_TEST_LOGS") else {
        return Stdio::null();
    };
    let name = format!("{}-e{n}-{port}.log", std::process::id());
    let file = fs::File::create(PathBuf::from(dir).join(name));
    file.map_or_else(|_| Stdio::null(), Stdio::from)
}

fn write_temp_file(name: &str, text: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("savorybeam-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("the directory can be created");
    let path = dir.join(name);
    fs::write(&path, text).expect("the file can be written");
    path
}

/// Builds a request to the administration server with the token of the tests.
/// An empty `etag` sends no `if-match` header.
pub fn admin_request(method: &str, path: &str, etag: &str, body: &str) -> Request<Full<Bytes>> {
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

/// A response whose body has been read to its end.
#[derive(Debug)]
pub struct BufferedResponse {
    /// The status line and headers.
    pub head: http::response::Parts,
    /// The body, or the error that ended it early.
    pub body: Result<Bytes, String>,
}

impl BufferedResponse {
    /// Returns a header as text, or an empty string if it is missing or not
    /// text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.head.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Returns the body as text, and panics if it is incomplete.
    pub fn text(&self) -> String {
        let body = self.body.as_ref().expect("the body is complete");
        String::from_utf8_lossy(body).into_owned()
    }
}

/// Sends a request on a new connection and reads the response to its end.
pub async fn send(addr: SocketAddr, req: Request<Full<Bytes>>) -> Result<BufferedResponse, String> {
    let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
    send_on(stream, req).await
}

/// Sends a request on an open connection and reads the response to its end.
pub async fn send_on(
    stream: TcpStream,
    req: Request<Full<Bytes>>,
) -> Result<BufferedResponse, String> {
    let resp = send_streaming_on(stream, req).await?;
    let (head, body) = resp.into_parts();
    let body = body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    Ok(BufferedResponse {
        head,
        body: body.map_err(|e| e.to_string()),
    })
}

/// Sends a request on a new connection and returns the response once its
/// headers have arrived, without reading the body.
pub async fn send_streaming(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<Response<hyper::body::Incoming>, String> {
    let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
    send_streaming_on(stream, req).await
}

async fn send_streaming_on(
    stream: TcpStream,
    req: Request<Full<Bytes>>,
) -> Result<Response<hyper::body::Incoming>, String> {
    let (mut sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    tokio::spawn(conn);
    sender.send_request(req).await.map_err(|e| e.to_string())
}

/// Builds a request to a service.
pub fn request(method: &str, service: &str, path: &str, body: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", service)
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("the request is well formed")
}

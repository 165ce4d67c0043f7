//! Tests what a running gateway takes over from a settings file that has changed.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

/// How long a gateway may take to call a store. It looks at its settings every 2 s.
const PATIENCE: Duration = Duration::from_secs(10);

/// A store that closes each connection without a response.
struct Store {
    addr: SocketAddr,
    calls: Arc<AtomicUsize>,
}

impl Store {
    fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let calls: Arc<AtomicUsize> = Arc::default();
        let counted = calls.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                drop(stream);
                counted.fetch_add(1, SeqCst);
            }
        });
        Self { addr, calls }
    }

    fn calls(&self) -> usize {
        self.calls.load(SeqCst)
    }

    /// Returns whether the gateway calls this store from now on.
    fn is_called(&self) -> bool {
        let (before, start) = (self.calls(), Instant::now());
        while self.calls() == before && start.elapsed() < PATIENCE {
            thread::sleep(Duration::from_millis(20));
        }
        self.calls() > before
    }
}

/// Stops the gateway also if the test fails.
struct Gateway(Child);

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn settings(store: SocketAddr) -> String {
    format!(
        "self:
  node_name: edge-1
  ip: 127.0.0.1
  zone: a-1
  region: north
  limits: {{cores: 1, max_fds: 4100}}
network:
  listen: {{front: '127.0.0.1:0', readiness: '127.0.0.1:0', directory: '127.0.0.1:0'}}
  zones: {{a-1: north}}
provider: {{discovery: platform, provider: {{address: '{store}', form: kv}}}}
terms: {{bounds: {{drain_s: 3, ttl_max_s: 5, max_shift: 0.15}}}}
"
    )
}

/// Fails if a gateway keeps the store's address of its first settings: after the store has
/// moved, it serves an old state for good, and its lease lapses.
#[test]
fn a_new_address_of_the_store_takes_effect() {
    let (first, second) = (Store::bind(), Store::bind());
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join("reload-settings.yaml");
    fs::write(&path, settings(first.addr)).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_savorybeam"));
    command
        .args(["gateway", "--metrics", "0", "--settings"])
        .arg(&path);
    let child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn();
    let _gateway = Gateway(child.expect("the gateway starts"));
    let mut lines = vec![format!("first store called: {}", first.is_called())];
    let next = dir.join("reload-next.yaml");
    fs::write(&next, settings(second.addr)).expect("a file");
    fs::rename(&next, &path).expect("a rename");
    lines.push(format!("second store called: {}", second.is_called()));
    // Calls that began before the reload end within their timeout of 4 s.
    thread::sleep(Duration::from_secs(4));
    let before = first.calls();
    lines.push(format!("again: {}", second.is_called()));
    thread::sleep(Duration::from_secs(2));
    let after = first.calls() - before;
    lines.push(format!("calls of the first store after that: {after}"));
    insta::assert_snapshot!(lines.join("\n"), @r"
    first store called: true
    second store called: true
    again: true
    calls of the first store after that: 0
    ");
}

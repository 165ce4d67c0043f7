//! Tests what an entry of 160 MB holds for callers that read slowly and for targets that
//! read slowly. Each must hold back its sender, the sum must leave room for the rest of
//! the process, and all must be given back after the deadline.

mod vm;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    time::Duration,
};

use savorybeam::{
    app::gateway::Gateway,
    domain::{Instance, Millis, RequestKind, RouteRule, Size, Slots},
    ports::{Change, VmSettings},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpSocket, TcpStream},
};

use self::vm::raw::{self, BodyFraming};

/// The size of a body, far more than may be held of it.
const LENGTH: usize = 4 << 20;

/// The receive and send buffers of callers and targets, so that what is written is held
/// by the entry.
const BUFFER_BYTES: u32 = 16 * 1024;

/// What an entry may hold for one transfer: the kept start, the buffers of hyper on both
/// sides, and those of the kernel for a caller's and a target's connection.
const EACH_MAX: u64 = 1024 * 1024;

/// The memory of the process that all transfers of a test may take, of 160 MB.
const RESIDENT_MAX: u64 = 48 << 20;

/// How long until all transfers have come to a halt, and from then until all have ended.
const HALT: Duration = Duration::from_millis(1_500);
const END: Duration = Duration::from_secs(3);

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("the memory of the process");
    let pages = statm.split(' ').nth(1).expect("resident pages");
    pages.parse::<u64>().expect("a number") * 4_096
}

/// Writes a body in parts, and counts what could be written.
async fn write_counted(stream: &mut TcpStream, written: &AtomicU64) {
    let part = [b'x'; 8 * 1024];
    for _ in 0..LENGTH / part.len() {
        if stream.write_all(&part).await.is_err() {
            return;
        }
        written.fetch_add(part.len() as u64, SeqCst);
    }
}

/// Serves requests under `/artwork/` without reading their bodies, and others with a
/// response of [`LENGTH`].
async fn serve(stream: TcpStream, written: Arc<AtomicU64>) {
    let mut stream = BufReader::with_capacity(1_024, stream);
    let Some(head) = raw::read_head(&mut stream).await else {
        return;
    };
    if !head.path.starts_with("/artwork/") {
        let start = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nserver-seal: s\r\ncontent-length: {LENGTH}\r\n\r\n",
            head.id
        );
        let _ = stream.write_all(start.as_bytes()).await;
        write_counted(stream.get_mut(), &written).await;
    }
    // The connection ends when the entry gives up on it.
    tokio::time::sleep(2 * (HALT + END)).await;
}

fn listen() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    let sized = socket.set_recv_buffer_size(BUFFER_BYTES);
    sized
        .and_then(|()| socket.set_send_buffer_size(BUFFER_BYTES))
        .and_then(|()| socket.bind(vm::ANY_PORT))
        .expect("a socket with small buffers");
    socket.listen(1_024).expect("a listener")
}

async fn open(written: &Arc<AtomicU64>) -> Gateway {
    let rule = |kind, prefix| RouteRule {
        timeout: Millis(4_000),
        ..vm::rule(kind, prefix)
    };
    let rules = vec![
        rule(RequestKind::Upload, "/artwork/"),
        rule(RequestKind::Idempotent, "/browse/"),
    ];
    let mut configuration = vm::configuration(3, rules, 1_000.0);
    configuration.limits.max_body = Size(LENGTH as u64);
    let mut changes = vec![Change::Configured(Box::new(configuration))];
    for id in ["i-1", "i-2"] {
        let listener = listen();
        let addr = listener.local_addr().expect("an address");
        changes.push(Change::Registered(Instance {
            slots: Slots(400),
            ..vm::instance(id, addr)
        }));
        let written = written.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, written.clone()));
            }
        });
    }
    let settings = VmSettings {
        descriptors: 4_096,
        ..vm::settings("edge-1")
    };
    vm::entry::open(settings, changes, Millis(0)).await
}

/// Sends requests that come to a halt. Describes what is held for them then, and what
/// is left after their deadlines.
async fn play(path: &'static str, callers: u64) -> String {
    let written = Arc::new(AtomicU64::new(0));
    let gateway = open(&written).await;
    let before = resident_bytes();
    let mut connections = Vec::new();
    for _ in 0..callers {
        let socket = TcpSocket::new_v4().expect("a socket");
        let sized = socket.set_recv_buffer_size(BUFFER_BYTES);
        sized
            .and_then(|()| socket.set_send_buffer_size(BUFFER_BYTES))
            .expect("a socket with small buffers");
        let mut stream = socket
            .connect(gateway.front_addr())
            .await
            .expect("an entry");
        let written = written.clone();
        connections.push(tokio::spawn(async move {
            if path.starts_with("/artwork/") {
                let head = raw::request_head(path, LENGTH, BodyFraming::Length);
                let _ = stream.write_all(head.as_bytes()).await;
                write_counted(&mut stream, &written).await;
            } else {
                let head = raw::request_head_with("GET", path, 0, BodyFraming::Length);
                let _ = stream.write_all(head.as_bytes()).await;
            }
            // Nothing is read until the end.
            tokio::time::sleep(2 * (HALT + END)).await;
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
            rest.len()
        }));
    }
    tokio::time::sleep(HALT).await;
    let halted = written.load(SeqCst);
    let resident = resident_bytes().saturating_sub(before);
    eprintln!(
        "{path}: {callers} transfers, {} KiB each, {} KiB resident",
        halted / callers / 1024,
        resident / 1024
    );
    tokio::time::sleep(END).await;
    let bodies = gateway.state.kept_bytes();
    let responses = gateway.state.kept_response_bytes();
    for connection in &connections {
        connection.abort();
    }
    gateway.stop().await;
    format!(
        "{path}: each {}, sum {}, {bodies} of bodies and {responses} of responses kept at the end",
        if halted / callers <= EACH_MAX {
            "bounded"
        } else {
            "NOT bounded"
        },
        if resident <= RESIDENT_MAX {
            "bounded"
        } else {
            "NOT bounded"
        },
    )
}

/// Fails if uploads whose targets stop reading, or downloads whose callers do, take
/// memory without a bound, or if they keep it after their deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_callers_and_slow_targets_hold_a_bounded_amount() {
    let lines = [play("/artwork/a", 100).await, play("/browse/a", 200).await];
    insta::assert_snapshot!(lines.join("\n"));
}

//! Tests the order in which the server cancels the handler of a request and
//! closes its connection when the caller disconnects.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::Request;
use savorybeam::adapters::http::{self as web, Limits};
use volo_http::{body::Body, server::Router};

/// A value that takes 100 ms to drop, like the work of a handler that stops
/// slowly.
struct SlowDrop {
    dropped: Arc<AtomicBool>,
}

impl Drop for SlowDrop {
    fn drop(&mut self) {
        std::thread::sleep(Duration::from_millis(100));
        self.dropped.store(true, Ordering::SeqCst);
    }
}

/// Sends a request, closes the write half of the connection, and waits until
/// the server closes its half.
fn half_close(addr: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")?;
    std::thread::sleep(Duration::from_millis(50));
    stream.shutdown(Shutdown::Write)?;
    match stream.read_to_end(&mut Vec::new()) {
        // A reset also means that the server has closed the connection.
        Err(e) if e.kind() != ErrorKind::ConnectionReset => Err(e),
        _ => Ok(()),
    }
}

/// Fails if the server closes the connection of a cancelled request before the
/// handler has stopped. The sender regards the request as ended when the
/// connection closes, so its next request would run in parallel to the
/// cancelled one.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_closes_after_its_cancelled_handler_has_stopped() {
    let dropped: Arc<AtomicBool> = Arc::default();
    let dropped_by_handler = dropped.clone();
    let handler = move |_: Request<Body>| {
        let work = SlowDrop {
            dropped: dropped_by_handler.clone(),
        };
        async move {
            std::future::pending::<()>().await;
            drop(work);
            Body::empty()
        }
    };
    let router = Router::new().fallback(handler);
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = web::bind(addr, Limits::default(), router).await;
    let server = server.expect("the server starts");
    let addr = server.addr();
    // The caller runs on its own thread, because the runtime worker that drops
    // the handler blocks and could be the one that polls the caller's socket.
    let caller = tokio::task::spawn_blocking(move || half_close(addr));
    caller
        .await
        .expect("the caller does not panic")
        .expect("the connection closes");
    assert!(
        dropped.load(Ordering::SeqCst),
        "the connection closed before the handler was dropped"
    );
}

//! Guards the order in which the server ends a request whose caller went away.

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

/// Work that takes a moment to stop.
struct Work {
    ended: Arc<AtomicBool>,
}

impl Drop for Work {
    fn drop(&mut self) {
        std::thread::sleep(Duration::from_millis(100));
        self.ended.store(true, Ordering::SeqCst);
    }
}

/// Sends a request, closes its own side, and waits until the other is closed.
fn call(addr: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")?;
    std::thread::sleep(Duration::from_millis(50));
    stream.shutdown(Shutdown::Write)?;
    match stream.read_to_end(&mut Vec::new()) {
        // A reset also tells that the connection has ended.
        Err(e) if e.kind() != ErrorKind::ConnectionReset => Err(e),
        _ => Ok(()),
    }
}

/// A sender counts a cancelled request as ended when its connection closes. If
/// the server closes it before the request's work has stopped, the next request
/// runs beside the cancelled one.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_closes_after_the_work_of_its_request_has_stopped() {
    let ended: Arc<AtomicBool> = Arc::default();
    let seen = ended.clone();
    let handler = move |_: Request<Body>| {
        let work = Work {
            ended: seen.clone(),
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
    // The worker that drops the request may be the one that would see the socket,
    // so the caller has a thread of its own.
    let caller = tokio::task::spawn_blocking(move || call(addr));
    caller
        .await
        .expect("the caller ends")
        .expect("the connection closes");
    assert!(ended.load(Ordering::SeqCst), "the work still runs");
}

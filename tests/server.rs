//! Guards the order in which the server ends a request whose caller went away.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::Request;
use savorybeam::adapters::http::{self as web, Limits};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
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
    let mut stream = TcpStream::connect(server.addr()).await.expect("connect");
    let head = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(head).await.expect("write");
    tokio::time::sleep(Duration::from_millis(50)).await;
    stream.shutdown().await.expect("shut down");
    let mut rest = Vec::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut rest));
    // A reset also tells that the connection has ended.
    let _ = read.await.expect("the connection closes");
    assert!(ended.load(Ordering::SeqCst), "the work still runs");
}

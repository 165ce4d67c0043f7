//! The parts of stand-in targets that read requests and write responses
//! themselves, so that a response may be faulty.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, BufReader},
    net::{TcpListener, TcpStream},
};

/// A request as a target reads it, with its body discarded. A header that is
/// missing is empty.
#[derive(Debug, Default)]
pub struct RawRequest {
    pub path: String,
    /// The request id.
    pub id: String,
    /// The instance that is asked.
    pub instance: String,
}

/// Reads one request. Returns none if the connection has ended.
pub async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<RawRequest> {
    let mut request = RawRequest::default();
    let mut length = 0;
    let mut line = String::new();
    loop {
        line.clear();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let Some((name, value)) = text.split_once(": ") else {
            text.split(' ').nth(1)?.clone_into(&mut request.path);
            continue;
        };
        match name.to_ascii_lowercase().as_str() {
            "request-id" => value.clone_into(&mut request.id),
            "expect-instance" => value.clone_into(&mut request.instance),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some(request)
}

/// Listens on a free port until the runtime ends, and serves each connection in
/// a task. `serve` gets its number, from 1.
pub async fn listen<F>(serve: impl Fn(usize, TcpStream) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(super::ANY_PORT).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for connection in 1.. {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(serve(connection, stream));
        }
    });
    addr
}

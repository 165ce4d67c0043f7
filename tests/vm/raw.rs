//! The parts of stand-in targets that read requests and write responses
//! themselves, so that a response may be faulty, and of callers that write
//! requests themselves, so that a body may break off.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, BufReader},
    net::{TcpListener, TcpStream},
};

/// The head of a request as a target reads it. A header that is missing is empty.
#[derive(Debug, Default)]
pub struct RawHead {
    pub path: String,
    /// The request id.
    pub id: String,
    /// The instance that is asked.
    pub instance: String,
    /// The length of the body, if it is not chunked.
    pub length: usize,
    pub chunked: bool,
}

/// Reads the head of one request. Returns none if the connection has ended.
pub async fn read_head(stream: &mut BufReader<TcpStream>) -> Option<RawHead> {
    let mut head = RawHead::default();
    let mut line = String::new();
    loop {
        line.clear();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some(head);
        }
        let Some((name, value)) = text.split_once(": ") else {
            text.split(' ').nth(1)?.clone_into(&mut head.path);
            continue;
        };
        match name.to_ascii_lowercase().as_str() {
            "request-id" => value.clone_into(&mut head.id),
            "expect-instance" => value.clone_into(&mut head.instance),
            "content-length" => head.length = value.parse().ok()?,
            "transfer-encoding" => head.chunked = value == "chunked",
            _ => {}
        }
    }
}

/// Reads the body of a request. Returns what arrived and whether that is all.
pub async fn read_body(stream: &mut BufReader<TcpStream>, head: &RawHead) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if !head.chunked {
        let complete = read_part(stream, head.length, &mut body).await;
        return (body, complete);
    }
    let mut line = String::new();
    loop {
        line.clear();
        if stream.read_line(&mut line).await.unwrap_or_default() == 0 {
            return (body, false);
        }
        let Ok(length) = usize::from_str_radix(line.trim_end(), 16) else {
            return (body, false);
        };
        let mut end = Vec::new();
        let whole = read_part(stream, length, &mut body).await;
        if !whole || !read_part(stream, 2, &mut end).await {
            return (body, false);
        }
        if length == 0 {
            return (body, true);
        }
    }
}

/// Appends the next `length` bytes. Returns whether all of them arrived.
async fn read_part(stream: &mut BufReader<TcpStream>, length: usize, out: &mut Vec<u8>) -> bool {
    let mut part = stream.take(length as u64);
    part.read_to_end(out).await.is_ok() && part.limit() == 0
}

/// Reads one request and discards its body. Returns its head, or none if the
/// connection has ended.
pub async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<RawHead> {
    let head = read_head(stream).await?;
    let (_, complete) = read_body(stream, &head).await;
    complete.then_some(head)
}

/// How the length of a body is stated.
#[derive(Clone, Copy, Debug)]
pub enum BodyFraming {
    Length,
    Chunked,
}

/// Returns the head of a caller's `POST` request with a body.
pub fn request_head(path: &str, length: usize, framing: BodyFraming) -> String {
    request_head_with("POST", path, length, framing)
}

/// Returns the head of a caller's request with a body.
pub fn request_head_with(method: &str, path: &str, length: usize, framing: BodyFraming) -> String {
    let framing = match framing {
        BodyFraming::Length => format!("content-length: {length}"),
        BodyFraming::Chunked => "transfer-encoding: chunked".to_owned(),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: kitchens.example\r\nrequest-id: r-1\r\n\
         deadline-ms: 4000\r\naffinity-key: 17\r\n{framing}\r\n\r\n"
    )
}

/// Returns a body as it is written, without its end if it is not `complete`.
pub fn frame_body(body: &[u8], framing: BodyFraming, complete: bool) -> Vec<u8> {
    const CHUNK: usize = 50_000;
    let BodyFraming::Chunked = framing else {
        return body.to_vec();
    };
    let mut out = Vec::new();
    for part in body.chunks(CHUNK) {
        out.extend(format!("{:x}\r\n", part.len()).bytes());
        out.extend(part);
        out.extend(b"\r\n");
    }
    if complete {
        out.extend(b"0\r\n\r\n");
    }
    out
}

/// Reads the head of a response. Returns its status and, for a refusal, the
/// outcome that the caller is told.
pub async fn read_response(stream: TcpStream) -> String {
    let mut stream = BufReader::new(stream);
    let (mut status, mut outcome) = ("none".to_owned(), "of a target".to_owned());
    let mut line = String::new();
    loop {
        line.clear();
        let read = stream.read_line(&mut line).await.unwrap_or_default();
        let text = line.trim_end();
        if read == 0 || text.is_empty() {
            return format!("{status} {outcome}");
        }
        if let Some(rest) = text.strip_prefix("HTTP/1.1 ") {
            rest.split(' ')
                .next()
                .unwrap_or_default()
                .clone_into(&mut status);
        }
        if let Some(value) = text.strip_prefix("x-savorybeam-outcome: ") {
            value.clone_into(&mut outcome);
        }
    }
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

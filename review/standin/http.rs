//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{BufRead, BufReader, Read, Result, Write},
    net::TcpStream,
};

/// A head: its first line and its header lines.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, which is empty if there is none.
    pub fn get(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns a word of the first line.
    pub fn word(&self, at: usize) -> &str {
        self.first.split(' ').nth(at).unwrap_or_default()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
    }
}

/// Reads a head. Returns none if the connection has ended.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces.
pub fn read_body(stream: &mut BufReader<TcpStream>, head: &Head) -> Result<Vec<u8>> {
    if !head.is_chunked() {
        let mut body = vec![0; head.get("content-length").parse().unwrap_or(0)];
        stream.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(std::io::Error::other)?;
        let mut part = vec![0; length + 2];
        stream.read_exact(&mut part)?;
        if length == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&part[..length]);
    }
}

/// Frames a body as chunks.
pub fn chunked(body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    for part in body.chunks(16 * 1024) {
        out.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"0\r\n\r\n");
    out
}

/// Writes a response with a JSON body.
pub fn write_json(stream: &mut TcpStream, status: u16, body: &str) -> Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())
}

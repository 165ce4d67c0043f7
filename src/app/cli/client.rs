//! Calls to the administration interface.

use std::{fmt, time::Duration};

use bytes::Bytes;
use eyre::{WrapErr, bail, eyre};
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{net::TcpStream, time::timeout};

use super::{addr::AdminAddr, options::Access};
use crate::domain::Revision;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an answer may take. An edit whose fate the entry has to find out
/// takes a few seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// The largest answer that is read, several times the largest timeline.
const ANSWER_MAX: usize = 32 << 20;

/// A request to the administration.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    /// The method.
    pub method: Method,
    /// The path with the query.
    pub path: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body, empty for most requests.
    pub body: String,
}

impl Ask {
    /// Returns a request that reads.
    pub(super) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: String::new(),
        }
    }
}

/// An answer, read to its end.
#[derive(Clone, Debug)]
pub(super) struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: String,
}

impl Reply {
    /// Returns the revision that the answer is tagged with.
    pub(super) fn revision(&self) -> Option<Revision> {
        let tag = self.headers.get(header::ETAG)?.to_str().ok()?;
        tag.trim_matches('"').parse().ok()
    }

    /// Returns the body as JSON.
    pub(super) fn json(&self) -> eyre::Result<Value> {
        serde_json::from_str(&self.body).wrap_err("read the answer")
    }

    /// Returns the answer if it is a success, and what the entry says otherwise.
    pub(super) fn success(self) -> eyre::Result<Self> {
        if self.status.is_success() {
            return Ok(self);
        }
        let Ok(value) = serde_json::from_str::<Value>(&self.body) else {
            bail!("the answer is {}: {}", self.status, self.body.trim());
        };
        let text = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
        let mut message = format!("{} ({}): {}", text("code"), text("outcome"), text("detail"));
        for fault in value["faults"].as_array().into_iter().flatten() {
            message.push_str("\n  ");
            message.push_str(fault.as_str().unwrap_or_default());
        }
        Err(eyre!(message))
    }
}

/// Calls the administration of one or more entries with a token.
#[derive(Clone)]
pub(super) struct Client {
    addrs: Vec<AdminAddr>,
    token: String,
}

impl Client {
    pub(super) fn new(access: Access) -> Self {
        Self {
            addrs: access.admins,
            token: access.token,
        }
    }

    /// Returns the addresses.
    pub(super) fn addrs(&self) -> &[AdminAddr] {
        &self.addrs
    }

    /// Calls the first entry that answers.
    ///
    /// The request must be safe to repeat: a read, or an edit with an id.
    pub(super) async fn call(&self, ask: &Ask) -> eyre::Result<Reply> {
        let mut last = eyre!("no administration address");
        for addr in &self.addrs {
            match self.call_at(*addr, ask).await {
                Ok(reply) => return Ok(reply),
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    /// Calls a certain entry.
    pub(super) async fn call_at(&self, addr: AdminAddr, ask: &Ask) -> eyre::Result<Reply> {
        let call = timeout(ANSWER_TIMEOUT, self.exchange(addr, ask)).await;
        call.map_err(|_| eyre!("no answer within {} s", ANSWER_TIMEOUT.as_secs()))
            .and_then(|result| result)
            .wrap_err_with(|| format!("{} {} at {addr}", ask.method, ask.path))
    }

    async fn exchange(&self, addr: AdminAddr, ask: &Ask) -> eyre::Result<Reply> {
        let mut request = Request::builder()
            .method(&ask.method)
            .uri(&ask.path)
            .header(header::HOST, addr.0.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONNECTION, "close");
        for (name, value) in &ask.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(Bytes::from(ask.body.clone())))?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr.0)).await;
        let stream = stream
            .wrap_err_with(|| format!("connect: none within {} s", CONNECT_TIMEOUT.as_secs()))?
            .wrap_err("connect")?;
        let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
        let conn = tokio::spawn(conn);
        let resp = sender.send_request(request).await.wrap_err("send")?;
        let (head, body) = resp.into_parts();
        let body = Limited::new(body, ANSWER_MAX).collect().await;
        let body = body.map_err(|e| eyre!("read the answer: {e}"))?.to_bytes();
        conn.abort();
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

/// Prints nothing of the token, because it must not get into logs.
impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Client")
    }
}

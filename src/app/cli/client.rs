//! An HTTP client for the administration interface of entries.

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

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout of a request, from connecting to the end of the response.
///
/// An edit takes a few seconds if its write to the store failed and the entry
/// has to find out whether it took effect.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// The largest response body that is accepted: several times the size of the
/// largest timeline.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// A request to the administration interface.
#[derive(Clone, Debug)]
pub(super) struct AdminRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// Headers in addition to those that [`Client`] sends with every request.
    pub headers: Vec<(&'static str, String)>,
    /// The body, which is empty for reads.
    pub body: String,
}

impl AdminRequest {
    /// Returns a GET request without a body.
    pub(super) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: String::new(),
        }
    }
}

/// A complete response of the administration interface.
#[derive(Clone, Debug)]
pub(super) struct AdminResponse {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: String,
}

impl AdminResponse {
    /// Returns the document revision in the `ETag` header.
    pub(super) fn revision(&self) -> Option<Revision> {
        let tag = self.headers.get(header::ETAG)?.to_str().ok()?;
        tag.trim_matches('"').parse().ok()
    }

    /// Parses the body as JSON.
    pub(super) fn json(&self) -> eyre::Result<Value> {
        serde_json::from_str(&self.body).wrap_err("read the response")
    }

    /// Returns the response if its status is 2xx, and otherwise an error with the
    /// code, the outcome and the faults that the entry reports.
    pub(super) fn error_for_status(self) -> eyre::Result<Self> {
        if self.status.is_success() {
            return Ok(self);
        }
        let Ok(value) = serde_json::from_str::<Value>(&self.body) else {
            bail!("the response is {}: {}", self.status, self.body.trim());
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

/// A client for the administration interface of one or more entries, which
/// authenticates with a team's token.
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

    /// Returns a client that sends no token.
    pub(super) fn anonymous(addr: AdminAddr) -> Self {
        Self {
            addrs: vec![addr],
            token: String::new(),
        }
    }

    /// Returns the addresses of the entries, in the order in which they are tried.
    pub(super) fn addrs(&self) -> &[AdminAddr] {
        &self.addrs
    }

    /// Sends a request to each entry in turn until one responds.
    ///
    /// An entry that failed may have executed the request, so it must be safe to
    /// repeat: a read, or an edit with an id.
    pub(super) async fn call(&self, request: &AdminRequest) -> eyre::Result<AdminResponse> {
        let mut last_error = eyre!("no administration address");
        for addr in &self.addrs {
            match self.call_entry(*addr, request).await {
                Ok(response) => return Ok(response),
                Err(e) => last_error = e,
            }
        }
        Err(last_error)
    }

    /// Reads a path. With `json`, prints the response as received and returns none.
    pub(super) async fn read(
        &self,
        path: impl Into<String>,
        json: bool,
    ) -> eyre::Result<Option<AdminResponse>> {
        let response = self.call(&AdminRequest::get(path)).await?;
        let response = response.error_for_status()?;
        if json {
            print!("{}", response.body);
            return Ok(None);
        }
        Ok(Some(response))
    }

    /// Sends a request to the entry at an address.
    pub(super) async fn call_entry(
        &self,
        addr: AdminAddr,
        request: &AdminRequest,
    ) -> eyre::Result<AdminResponse> {
        let response = timeout(RESPONSE_TIMEOUT, self.exchange(addr, request)).await;
        response
            .map_err(|_| eyre!("no response within {} s", RESPONSE_TIMEOUT.as_secs()))
            .and_then(|result| result)
            .wrap_err_with(|| format!("{} {} at {addr}", request.method, request.path))
    }

    async fn exchange(
        &self,
        addr: AdminAddr,
        request: &AdminRequest,
    ) -> eyre::Result<AdminResponse> {
        let mut builder = Request::builder()
            .method(&request.method)
            .uri(&request.path)
            .header(header::HOST, addr.0.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONNECTION, "close");
        for (name, value) in &request.headers {
            builder = builder.header(*name, value);
        }
        let request = builder.body(Full::new(Bytes::from(request.body.clone())))?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr.0)).await;
        let stream = stream
            .wrap_err_with(|| {
                format!(
                    "connect: no connection within {} s",
                    CONNECT_TIMEOUT.as_secs()
                )
            })?
            .wrap_err("connect")?;
        let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
        let conn = tokio::spawn(conn);
        let resp = sender.send_request(request).await.wrap_err("send")?;
        let (head, body) = resp.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body
            .map_err(|e| eyre!("read the response: {e}"))?
            .to_bytes();
        conn.abort();
        Ok(AdminResponse {
            status: head.status,
            headers: head.headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

/// Omits the token, which must not appear in logs.
impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Client")
    }
}

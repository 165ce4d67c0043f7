//! What an entry has to know of a request before it can carry it.

use std::sync::Arc;

use http::{HeaderMap, HeaderValue, Method, Request, Uri, header};

use super::State;
use crate::{
    adapters::http::{Content, strip_hop_by_hop},
    domain::{Lane, Millis, Priority, ServiceName},
    policy::{
        once::{ClaimKey, Fingerprint},
        queue::Ticket,
        refusal::{Code, Refusal},
        retry::Attempt,
    },
    ports::Body,
};

/// The longest body that is kept for a second attempt. It equals what a
/// fingerprint covers.
const KEPT: usize = 64 * 1024;

/// A request of a caller, with what its head says of how to carry it.
#[derive(Debug)]
pub(super) struct Inbound {
    /// The service that the Host header names.
    pub service: ServiceName,
    /// The caller's deadline, if it has one.
    pub deadline: Option<Millis>,
    /// The key under which a repeat is recognised.
    pub key: Option<String>,
    /// The priority, if the caller lowers it.
    pub priority: Option<Priority>,
    /// The request.
    pub request: Request<Body>,
}

/// A request with everything that decisions about it need.
#[derive(Debug)]
pub(super) struct Job {
    /// The service.
    pub service: ServiceName,
    /// Until when the head of the answer must be there.
    pub deadline: Millis,
    /// The expected length, as a class.
    pub lane: Lane,
    /// The expected length.
    pub length: Millis,
    /// What is refused last.
    pub priority: Priority,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The key under which it runs at most once, if it may not be repeated.
    pub key: Option<ClaimKey>,
    /// The digest of what it asks for.
    pub fingerprint: Fingerprint,
    /// The route under which its length is learned.
    pub route: String,
    head: Head,
    content: Content,
}

#[derive(Debug)]
struct Head {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

impl Job {
    /// Reads the beginning of a request's body and what the document says of it.
    ///
    /// The body is read before a slot is taken, so that a slow sender holds none.
    ///
    /// # Errors
    ///
    /// Refuses a request that is malformed or whose service is unknown.
    pub async fn read(state: &Arc<State>, inbound: Inbound) -> Result<Self, Refusal> {
        let Inbound {
            service,
            deadline,
            key,
            priority,
            request,
        } = inbound;
        let arrived = (state.ports.clock.now)();
        let unknown = || {
            Refusal::not_run(
                Code::UnknownService,
                format!("no document is in force for {service}"),
            )
        };
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        let facts = state.services.get(&service, |s| {
            let doc = s.document()?;
            let rule = doc.route(path);
            let route = rule.map_or_else(|| first_segment(path), |r| r.prefix.clone());
            let lane = s.lengths.lane(rule.and_then(|r| r.lane), &route);
            let length = s.lengths.expected(lane, &route);
            Ok((doc, route, lane, length))
        });
        let (doc, route, lane, length) = facts.ok_or_else(unknown)??;
        let rule = doc.route(path);
        let allowed = rule.map(|r| r.priority).unwrap_or_default();
        let idempotent = rule
            .and_then(|r| r.idempotent)
            .unwrap_or(parts.method.is_idempotent());
        let deadline = deadline.unwrap_or(doc.deadline);
        let declared = body_length(&parts.headers);
        let content = tokio::time::timeout(deadline.duration(), read_body(body)).await;
        let content = content.map_err(|_| {
            Refusal::not_run(
                Code::DeadlineExceeded,
                format!("read body: not complete within {deadline}"),
            )
        })??;
        let fingerprint = Fingerprint::of_request(
            &service,
            parts.method.as_str(),
            parts.uri.path_and_query().map_or("/", |p| p.as_str()),
            declared,
            content.prefix(),
        );
        let key = match key.filter(|_| !idempotent) {
            Some(text) => Some(ClaimKey {
                service: service.clone(),
                key: text.parse().map_err(|e| {
                    Refusal::not_run(Code::BadRequest, format!("header idempotency-key: {e}"))
                })?,
            }),
            None => None,
        };
        Ok(Self {
            service,
            deadline: arrived + deadline,
            lane,
            length,
            // A caller may lower its priority but not raise it.
            priority: priority.map_or(allowed, |p| p.min(allowed)),
            idempotent,
            key,
            fingerprint,
            route,
            head: Head {
                method: parts.method,
                uri: parts.uri,
                headers: parts.headers,
            },
            content,
        })
    }

    /// Returns the refusal of a request whose service has no document any more.
    pub fn unknown(&self) -> Refusal {
        let detail = format!("no document is in force for {}", self.service);
        Refusal::not_run(Code::UnknownService, detail)
    }

    /// Returns what the queue needs.
    pub fn ticket(&self, now: Millis) -> Ticket {
        Ticket {
            arrived: now,
            deadline: self.deadline,
            lane: self.lane,
            expected_duration: self.length,
            priority: self.priority,
        }
    }

    /// Returns what decisions about another attempt need.
    pub fn attempt(&self, sent: bool, count: u32, first: Millis) -> Attempt {
        Attempt {
            idempotent: self.idempotent,
            sent,
            count,
            first,
            deadline: self.deadline,
            expected_duration: self.length,
            strikes: 0,
            shedding: false,
        }
    }

    /// Returns the request for a target, or none if its body was sent already
    /// and not kept.
    pub fn request(&mut self, now: Millis) -> Option<Request<Body>> {
        let body = self.content.take_body()?;
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let headers = request.headers_mut();
        strip_hop_by_hop(headers);
        let left = self.deadline - now;
        headers.insert("x-deadline-ms", HeaderValue::from(left.0));
        Some(request)
    }

    /// Tells whether the request can be sent again.
    pub fn is_kept(&self) -> bool {
        self.content.is_whole()
    }
}

/// Returns `/a` for `/a/b/c`. Whole paths would make one route of each booking.
fn first_segment(path: &str) -> String {
    let end = path[1.min(path.len())..]
        .find('/')
        .map_or(path.len(), |at| at + 1);
    path[..end].to_owned()
}

fn body_length(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Reads the body up to what is kept.
async fn read_body(body: Body) -> Result<Content, Refusal> {
    let content = Content::read(body, KEPT).await;
    content.map_err(|e| Refusal::not_run(Code::BadRequest, format!("read body: {e}")))
}

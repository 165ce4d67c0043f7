//! Reads a request and what its service's document says about it.

use std::sync::Arc;

use http::{HeaderMap, HeaderValue, Method, Request, Uri, header};

use super::{State, callers};
use crate::{
    adapters::http::{Content, strip_hop_by_hop},
    domain::{Homes, Lane, Millis, Priority, ServiceName, Workspace},
    policy::{
        once::{ClaimKey, Fingerprint},
        queue::Ticket,
        refusal::{Code, Refusal},
        retry::Attempt,
    },
    ports::Body,
};

/// The maximum size of a body that is kept for a second attempt. It equals the
/// part of a body that a fingerprint covers.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// A request of a caller and the parsed headers that say how to carry it.
#[derive(Debug)]
pub(super) struct Inbound {
    /// The service that the Host header names.
    pub service: ServiceName,
    /// The time until the caller's deadline, if the caller sets one.
    pub deadline: Option<Millis>,
    /// The idempotency key, by which repeats are recognised.
    pub key: Option<String>,
    /// The priority, if the caller sets one.
    pub priority: Option<Priority>,
    /// The request.
    pub request: Request<Body>,
}

/// A request with everything that is needed to decide where and when it runs.
#[derive(Debug)]
pub(super) struct Job {
    /// The service.
    pub service: ServiceName,
    /// When the head of the answer must have arrived.
    pub deadline: Millis,
    /// The lane, which is the class of the expected duration.
    pub lane: Lane,
    /// The expected duration.
    pub expected_duration: Millis,
    /// The priority. Requests of low priority are refused first.
    pub priority: Priority,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The key under which it runs at most once, if it is not idempotent.
    pub key: Option<ClaimKey>,
    /// The digest of the request.
    pub fingerprint: Fingerprint,
    /// The route under which its duration is learned.
    pub route: String,
    /// The workspace of its caller, if it belongs to one.
    pub workspace: Option<Arc<Workspace>>,
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
    /// Reads the beginning of the body of a request that arrived at `arrived`, and
    /// looks up its route in the document.
    ///
    /// The body is read before a slot is taken, so that a caller that sends
    /// slowly holds no slot.
    ///
    /// # Errors
    ///
    /// Refuses a request that is malformed or whose service is unknown.
    pub async fn read(
        state: &Arc<State>,
        inbound: Inbound,
        arrived: Millis,
        workspace: Option<Arc<Workspace>>,
    ) -> Result<Self, Refusal> {
        let Inbound {
            service,
            deadline,
            key,
            priority,
            request,
        } = inbound;
        let unknown_service = || {
            Refusal::not_run(
                Code::UnknownService,
                format!("no document is in force for {service}"),
            )
        };
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        let facts = state.services.get(&service, |s| {
            let doc = s.document()?;
            let route_rule = doc.route(path);
            let route = route_rule.map_or_else(|| first_segment(path), |r| r.prefix.clone());
            let lane = s.durations.lane(route_rule.and_then(|r| r.lane), &route);
            let expected_duration = s.durations.expected(lane, &route);
            Ok((doc, route, lane, expected_duration))
        });
        let (doc, route, lane, expected_duration) = facts.ok_or_else(unknown_service)??;
        let route_rule = doc.route(path);
        let rank = workspace.as_ref().and_then(|w| w.rank);
        let idempotent = route_rule
            .and_then(|r| r.idempotent)
            .unwrap_or(parts.method.is_idempotent());
        let deadline = deadline.unwrap_or(doc.deadline);
        let declared_bytes = content_length(&parts.headers);
        let left = arrived + deadline - (state.ports.clock.now)();
        let content = tokio::time::timeout(left.duration(), read_body(body)).await;
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
            declared_bytes,
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
            expected_duration,
            priority: Priority::of_request(route_rule, rank, priority),
            idempotent,
            key,
            fingerprint,
            route,
            workspace,
            head: Head {
                method: parts.method,
                uri: parts.uri,
                headers: parts.headers,
            },
            content,
        })
    }

    /// Returns the regions in which the request may run.
    pub fn homes(&self) -> Homes<'_> {
        Homes::of_workspace(self.workspace.as_deref())
    }

    /// Returns the digest by which a repeat with the same key is recognised. It differs
    /// between workspaces, so that none gets the recorded answer of another one.
    pub fn claim_fingerprint(&self) -> Fingerprint {
        match &self.workspace {
            Some(workspace) => self.fingerprint.of_workspace(&workspace.name),
            None => self.fingerprint,
        }
    }

    /// Returns the refusal of a request whose service no longer has a document.
    pub fn unknown_service(&self) -> Refusal {
        let detail = format!("no document is in force for {}", self.service);
        Refusal::not_run(Code::UnknownService, detail)
    }

    /// Returns what the queue needs to know about the request.
    pub fn ticket(&self, now: Millis) -> Ticket {
        Ticket {
            arrived: now,
            deadline: self.deadline,
            lane: self.lane,
            expected_duration: self.expected_duration,
            priority: self.priority,
        }
    }

    /// Returns what decisions about another attempt need to know.
    pub fn attempt(&self, sent: bool, count: u32, first: Millis) -> Attempt {
        Attempt {
            idempotent: self.idempotent,
            sent,
            count,
            first,
            deadline: self.deadline,
            expected_duration: self.expected_duration,
            strikes: 0,
            shedding: false,
        }
    }

    /// Returns the request for a target, or `None` if its body was sent before
    /// and not kept.
    pub fn request(&mut self, now: Millis) -> Option<Request<Body>> {
        let body = self.content.take_body()?;
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let headers = request.headers_mut();
        strip_hop_by_hop(headers);
        if let Some(workspace) = &self.workspace {
            callers::CALLER.write_workspace(headers, workspace);
        }
        let left = self.deadline - now;
        headers.insert("x-deadline-ms", HeaderValue::from(left.0));
        Some(request)
    }

    /// Returns whether the whole body is kept, so that the request can be sent
    /// again.
    pub fn is_repeatable(&self) -> bool {
        self.content.is_whole()
    }
}

/// Returns the first segment of a path: `/a` for `/a/b/c`. Whole paths often
/// contain the id of an object, which would make each its own route.
fn first_segment(path: &str) -> String {
    let end = path[1.min(path.len())..]
        .find('/')
        .map_or(path.len(), |slash| slash + 1);
    path[..end].to_owned()
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Reads the body up to the size that is kept.
async fn read_body(body: Body) -> Result<Content, Refusal> {
    let content = Content::read(body, MAX_KEPT_BYTES).await;
    content.map_err(|e| Refusal::not_run(Code::BadRequest, format!("read body: {e}")))
}

//! A caller's request with everything that decisions about it need.

use std::sync::Arc;

use http::{HeaderValue, Request, header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::timeout;

use super::{State, now};
use crate::{
    adapters::{
        http::{Content, strip_hop_by_hop},
        platform::headers::{self, RequestHead},
    },
    domain::{CallerLimits, InstanceId, Millis, RouteRule, ServiceName, Size},
    policy::{
        balance::object_hash,
        refusal::{Code, Refusal},
        route::{Route, Table},
    },
    ports::Body,
};

/// The longest body that is kept for a second attempt.
const KEPT_BYTES: usize = 64 * 1024;

/// What a header's line has beside its name and value.
const LINE_BYTES: usize = 4;

/// When a caller may come back to an entry that has no configuration yet.
const STARTING: Millis = Millis(300);

/// A request of a caller.
#[derive(Debug)]
pub(super) struct Job {
    /// The routes by which it is handled from beginning to end.
    pub table: Arc<Table>,
    /// The rule of its route.
    pub rule: Arc<RouteRule>,
    /// The service that runs it.
    pub service: ServiceName,
    /// The hash of the object that it concerns.
    pub object: Option<u64>,
    /// The caller's id of it.
    pub id: Option<HeaderValue>,
    /// When it came.
    pub arrived: Millis,
    /// Until when it has to be answered.
    pub end: Millis,
    head: Parts,
    content: Content,
}

impl Job {
    /// Finds the route of a request and reads its body.
    ///
    /// # Errors
    ///
    /// Refuses a request without a route, and one whose body does not arrive.
    pub async fn read(state: &State, req: Request<Body>) -> Result<Self, Refusal> {
        let arrived = now(state);
        let Some(table) = state.table() else {
            let detail = "no configuration is known yet";
            return Err(Refusal::not_run(Code::NoTarget, detail).retry_after(STARTING));
        };
        let (head, body) = req.into_parts();
        let limits = &table.limits;
        check(limits, &head)?;
        let RequestHead {
            id,
            deadline,
            object,
        } = headers::read_request(&head.headers);
        let (rule, service) = {
            let route = find(&table, &head)?;
            (route.rule.clone(), route.next_service().clone())
        };
        let end = arrived + deadline.unwrap_or(rule.timeout).min(rule.timeout);
        let object = object.map(|o| object_hash(&rule.prefix, o.as_bytes()));
        let most = usize::try_from(limits.max_body.0).unwrap_or(usize::MAX);
        let reading = Content::read(Limited::new(body, most).boxed(), KEPT_BYTES);
        let content = timeout((end - arrived).duration(), reading).await;
        let content = match content {
            Ok(Ok(content)) => content,
            Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(too_large(limits.max_body)),
            Ok(Err(e)) => {
                return Err(Refusal::not_run(
                    Code::BadRequest,
                    format!("read body: {e}"),
                ));
            }
            Err(_) => {
                let detail = "read body: not complete in time";
                return Err(Refusal::not_run(Code::Overloaded, detail));
            }
        };
        Ok(Self {
            table,
            rule,
            service,
            object,
            id,
            arrived,
            end,
            head,
            content,
        })
    }

    /// Returns the request for one start of a target, or none if its body was
    /// sent already and not kept.
    pub fn request(&mut self, target: &InstanceId, left: Millis) -> Option<Request<Body>> {
        let mut request = Request::new(self.content.take_body()?);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let head = request.headers_mut();
        strip_hop_by_hop(head);
        headers::write_request(head, target, left);
        Some(request)
    }

    /// Tells whether the request can be sent again.
    pub fn is_kept(&self) -> bool {
        self.content.is_whole()
    }

    /// Returns the caller's id of the request, for logs.
    pub fn label(&self) -> &str {
        self.id
            .as_ref()
            .and_then(|id| id.to_str().ok())
            .unwrap_or("-")
    }
}

/// Refuses a head that exceeds the limits, and one that announces a body that
/// does.
fn check(limits: &CallerLimits, head: &Parts) -> Result<(), Refusal> {
    let lines = head.headers.iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + LINE_BYTES);
    let size = head.uri.to_string().len() + lines.sum::<usize>();
    if size as u64 > limits.max_head.0 {
        let detail = format!("read head: {size} bytes, the limit is {}", limits.max_head);
        return Err(Refusal::not_run(Code::HeadTooLarge, detail));
    }
    let declared = head.headers.get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if declared.is_some_and(|length| length > limits.max_body.0) {
        return Err(too_large(limits.max_body));
    }
    Ok(())
}

fn too_large(limit: Size) -> Refusal {
    let detail = format!("read body: more than the limit of {limit}");
    Refusal::not_run(Code::TooLarge, detail)
}

fn find<'a>(table: &'a Table, head: &Parts) -> Result<&'a Route, Refusal> {
    let host = head.headers.get(http::header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
    // A host name has no colon, so what follows the last one is a port.
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let host = host.to_ascii_lowercase();
    let path = head.uri.path();
    table.find(&host, path).ok_or_else(|| {
        let version = table.version;
        let detail = format!("version {version} has no route for {host}{path}");
        Refusal::not_run(Code::UnknownService, detail)
    })
}

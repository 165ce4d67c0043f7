//! Reads a caller's request and finds its route.

use std::{net::IpAddr, sync::Arc};

use http::{HeaderValue, Request, header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};

use super::{
    State,
    admit::{self, Arrival},
    now,
    quota::Admission,
};
use crate::{
    adapters::{
        http::{ReplayBody, strip_hop_by_hop},
        platform::headers::{self, RequestHead},
    },
    domain::{
        CallerKey, CallerLimits, Homes, InstanceId, Millis, Rank, RouteRule, ServiceName, Size,
        Workspace,
    },
    policy::{
        balance::object_hash,
        demand::WorkspaceKey,
        once::Fingerprint,
        refusal::{Code, Refusal},
        route::{Route, Table},
    },
    ports::Body,
};

/// How much of a body is read before a target is chosen. A caller that sends
/// slowly holds no slot of a target until then. The rest of a longer body is
/// passed on as it arrives.
const PREFETCH: Size = Size::kib(64);

/// The bytes of a header line beside its name and value: `: ` and CRLF.
const HEADER_LINE_OVERHEAD_BYTES: usize = 4;

/// The `retry-after` of requests to an entry that has no configuration yet.
const STARTUP_RETRY_AFTER: Millis = Millis(300);

/// The `retry-after` of requests to an entry that is stopping. Other entries can
/// take them at once.
const STOPPING_RETRY_AFTER: Millis = Millis(0);

/// The `retry-after` of requests to an entry that cannot know which keys are withdrawn.
const OUTDATED_RETRY_AFTER: Millis = Millis(500);

/// A caller's request with its route.
#[derive(Debug)]
pub(super) struct RoutedRequest {
    /// The route table in effect when the request arrived, which applies to all
    /// its attempts.
    pub table: Arc<Table>,
    /// The rule of its route.
    pub rule: Arc<RouteRule>,
    /// The workspace of its caller, if the configuration has workspaces and the route is
    /// not public.
    pub workspace: Option<Arc<Workspace>>,
    /// The rank of its workspace, else that of its route.
    pub rank: Rank,
    /// The key and the weight of its workspace among others of its rank.
    pub weight: Option<(WorkspaceKey, f32)>,
    /// The service that runs the request.
    pub service: ServiceName,
    /// The hash of the route's prefix and the affinity key, if the request has
    /// one.
    pub object: Option<u64>,
    /// The size of the body, as far as it was known when the target was chosen.
    pub size: Size,
    /// The request id that the caller chose.
    pub id: Option<HeaderValue>,
    /// The time of its arrival.
    pub arrived: Millis,
    /// The time by which the request must be answered.
    pub deadline: Millis,
    /// The time at which the caller gives up, which may be after the deadline.
    pub caller_deadline: Millis,
    /// How long the gateway had been stopping when the request arrived.
    pub stop_age: Option<Millis>,
    /// What identifies the request if its caller sends it again.
    pub fingerprint: Fingerprint,
    /// Its token, if its workspace has a quota.
    pub admission: Option<Admission>,
    head: Parts,
    body: ReplayBody,
}

impl RoutedRequest {
    /// Finds the route of a request and reads its body.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no route matches, if a limit or the quota of the workspace is
    /// exceeded or if the body does not arrive in time.
    pub async fn read(
        state: &Arc<State>,
        caller: Option<IpAddr>,
        req: Request<Body>,
    ) -> Result<Self, Refusal> {
        let arrived = now(state);
        let Some(table) = state.table() else {
            let detail = "no configuration has been read yet";
            return Err(Refusal::not_run(Code::NoTarget, detail).retry_after(STARTUP_RETRY_AFTER));
        };
        let (mut head, body) = req.into_parts();
        let limits = &table.limits;
        check_limits(limits, &head)?;
        let RequestHead {
            id,
            timeout: caller_timeout,
            affinity_key,
        } = headers::read_request_head(&head.headers);
        let (rule, workspace, service) = {
            let route = match_route(&table, &head)?;
            let workspace = admit_caller(state, &table, &route.rule, &mut head)?;
            (route.rule.clone(), workspace, route.next_service().clone())
        };
        let rank = workspace.as_ref().and_then(|w| w.rank);
        let rank = rank.unwrap_or(rule.rank);
        let weight = admit::weigh(&table, workspace.as_deref(), rank);
        let caller_timeout = caller_timeout.unwrap_or(rule.timeout);
        let deadline = arrived + caller_timeout.min(rule.timeout);
        let stop_age = state.stop_schedule().map(|s| s.age(arrived));
        if !state.admits(deadline) {
            return Err(stopping(
                "the entry ends before the deadline of the request",
            ));
        }
        let object = affinity_key.map(|key| object_hash(&rule.prefix, key.as_bytes()));
        let admission = Admission::acquire(state, workspace.as_ref(), deadline, id.as_ref());
        let admission = admission.await?;
        let arrival = Arrival {
            table: &table,
            rule: &rule,
            workspace: workspace.as_deref(),
            rank,
            weight,
            service: &service,
            object,
            path: head.uri.path(),
            label: headers::label(id.as_ref()),
            deadline,
        };
        admit::admit(state, &arrival)?;
        let body = read_body(state, limits, deadline, body).await?;
        let fingerprint = fingerprint(&service, &head, &body, caller, workspace.as_deref());
        Ok(Self {
            table,
            rule,
            workspace,
            rank,
            weight,
            service,
            object,
            size: Size(body.known_bytes()),
            id,
            arrived,
            deadline,
            caller_deadline: arrived + caller_timeout,
            stop_age,
            fingerprint,
            admission,
            head,
            body,
        })
    }

    /// Returns the request to send to a target, or none if the body was not kept
    /// and has been sent already.
    pub fn build_request(&self, target: &InstanceId, time_left: Millis) -> Option<Request<Body>> {
        let mut request = Request::new(self.body.attempt()?);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let head = request.headers_mut();
        strip_hop_by_hop(head);
        headers::write_attempt(head, target, time_left);
        if let Some(workspace) = &self.workspace {
            headers::CALLER.write_workspace(head, workspace);
        }
        Some(request)
    }

    /// Returns the regions in which the request may run.
    pub fn homes(&self) -> Homes<'_> {
        Homes::new(&self.rule, self.workspace.as_deref())
    }

    /// Returns whether the whole body is kept, so that the request can be sent
    /// again.
    pub fn is_resendable(&self) -> bool {
        self.body.is_replayable()
    }

    /// Returns the request id for logs, `-` if there is none.
    pub fn label(&self) -> &str {
        headers::label(self.id.as_ref())
    }
}

/// Returns the fingerprint of a request of the caller at an address.
fn fingerprint(
    service: &ServiceName,
    head: &Parts,
    body: &ReplayBody,
    caller: Option<IpAddr>,
    workspace: Option<&Workspace>,
) -> Fingerprint {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let method = head.method.as_str();
    let request =
        Fingerprint::of_request(service, method, path, declared_length(head), &body.kept());
    let request = caller.map_or(request, |addr| request.of_caller(addr));
    workspace.map_or(request, |w| request.of_workspace(&w.name))
}

/// Returns the length of the body that the head declares, if it does.
fn declared_length(head: &Parts) -> Option<u64> {
    let declared = head.headers.get(header::CONTENT_LENGTH);
    declared.and_then(|v| v.to_str().ok()?.parse().ok())
}

/// Reads the first part of a request's body until its deadline.
///
/// # Errors
///
/// Returns a refusal if the body is too large, cannot be read or does not arrive
/// in time.
async fn read_body(
    state: &State,
    limits: &CallerLimits,
    deadline: Millis,
    body: Body,
) -> Result<ReplayBody, Refusal> {
    let max_body_bytes = usize::try_from(limits.max_body.0).unwrap_or(usize::MAX);
    let limited = Limited::new(body, max_body_bytes).boxed();
    let body = ReplayBody::new(limited, state.kept_bodies.share());
    let reading = body.prefetch(PREFETCH.0);
    match state.run_until(deadline, reading).await {
        Some(Ok(())) => Ok(body),
        Some(Err(e)) if e.is::<LengthLimitError>() => Err(too_large(limits.max_body)),
        Some(Err(e)) => {
            let detail = format!("read body: {e}");
            Err(Refusal::not_run(Code::BadRequest, detail))
        }
        None if now(state) < deadline => Err(stopping("read body: the entry ends before its end")),
        None => Err(Refusal::not_run(Code::Overloaded, "read body: timed out")),
    }
}

/// Returns a refusal if the head exceeds its limit, or if the declared length
/// of the body does.
fn check_limits(limits: &CallerLimits, head: &Parts) -> Result<(), Refusal> {
    let header_lines = head.headers.iter();
    let header_lines = header_lines
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD_BYTES);
    let size = head.uri.to_string().len() + header_lines.sum::<usize>();
    if size as u64 > limits.max_head.0 {
        let detail = format!("read head: {size} bytes, the limit is {}", limits.max_head);
        return Err(Refusal::not_run(Code::HeadTooLarge, detail));
    }
    if declared_length(head).is_some_and(|length| length > limits.max_body.0) {
        return Err(too_large(limits.max_body));
    }
    Ok(())
}

/// Returns the refusal of a request that may outlast a stopping entry. Its
/// caller may use another entry at once.
pub(super) fn stopping(detail: &str) -> Refusal {
    Refusal::not_run(Code::Stopping, detail).retry_after(STOPPING_RETRY_AFTER)
}

fn too_large(limit: Size) -> Refusal {
    let detail = format!("read body: more than the limit of {limit}");
    Refusal::not_run(Code::TooLarge, detail)
}

/// Finds the route of a request by its host and path.
fn match_route<'a>(table: &'a Table, head: &Parts) -> Result<&'a Route, Refusal> {
    let host = head.headers.get(http::header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
    // A host name contains no colon, so the part after the last one is the
    // port.
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let host = host.to_ascii_lowercase();
    let path = head.uri.path();
    table.find(&host, path).ok_or_else(|| {
        let version = table.version;
        let detail = format!("version {version} has no route for {host}{path}");
        Refusal::not_run(Code::UnknownService, detail)
    })
}

/// Finds the workspace of a caller by the key in the request, and removes the key from
/// it. Returns none if callers of the route need no key.
///
/// # Errors
///
/// Returns a refusal if the caller has no valid key, or if the homes of its workspace and
/// of the route exclude each other.
fn admit_caller(
    state: &State,
    table: &Table,
    rule: &RouteRule,
    head: &mut Parts,
) -> Result<Option<Arc<Workspace>>, Refusal> {
    if !table.has_workspaces() {
        return Ok(None);
    }
    let key = headers::CALLER.take_key(&mut head.headers);
    if rule.public {
        return Ok(None);
    }
    check_revocation(state)?;
    let known = key.as_ref().and_then(|key| table.workspace(&key.digest()));
    let Some(workspace) = known else {
        return Err(unknown_key(table, key.as_ref()));
    };
    if Homes::new(rule, Some(workspace)).is_void() {
        let (route, name) = (&rule.name, &workspace.name);
        let detail = format!("route {route} and workspace {name} have no home region in common");
        let metrics = &state.ports.metrics;
        metrics.count_workspace(name.as_str(), Some(Code::NoTarget.as_str()));
        return Err(Refusal::not_run(Code::NoTarget, detail));
    }
    Ok(Some(workspace.clone()))
}

/// Returns the refusal of a request without a key of a workspace. Its detail does not
/// contain the key.
fn unknown_key(table: &Table, key: Option<&CallerKey>) -> Refusal {
    let version = table.version;
    let detail = if key.is_some() {
        format!("version {version} does not have the key")
    } else {
        "the request does not have exactly one key".to_owned()
    };
    Refusal::not_run(Code::UnknownKey, detail)
}

/// Refuses a request with a key if keys may have been withdrawn that this entry still
/// holds, and the settings require that they are then refused.
fn check_revocation(state: &State) -> Result<(), Refusal> {
    let Some(limit) = state.settings().bounds.revocation_limit else {
        return Ok(());
    };
    let age = state.age(now(state));
    let refuses = age > limit;
    if state.set_refuses_keys(refuses) {
        let (age_ms, limit_ms) = (age.0, limit.0);
        if refuses {
            tracing::warn!(
                age_ms,
                limit_ms,
                "gateway: refusing all keys, the state is too old."
            );
        } else {
            tracing::info!(age_ms, limit_ms, "gateway: admitting keys again.");
        }
    }
    if !refuses {
        return Ok(());
    }
    let detail = format!("the state of this entry is {age} old, keys are valid for {limit}");
    let refusal = Refusal::not_run(Code::KeysOutdated, detail);
    Err(refusal.retry_after(OUTDATED_RETRY_AFTER))
}

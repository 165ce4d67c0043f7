//! Finds the workspace of a caller by the key in its request.
//!
//! Only documents with workspaces call for keys. Requests to other services are passed
//! on with all headers that callers send.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};

use super::{State, job::Inbound, service::Service};
use crate::{
    domain::{CallerKey, Workspace},
    policy::refusal::{Code, Refusal},
};

/// The request header with the key of the caller. Targets never get it.
const KEY: HeaderName = HeaderName::from_static("x-workspace-key");

/// The request header that tells a target the workspace of the caller.
const WORKSPACE: HeaderName = HeaderName::from_static("x-workspace");

/// Removes the key from a request, with all that the caller states about its workspace,
/// and returns the workspace. Returns none if callers need no key.
///
/// # Errors
///
/// Refuses a request that does not have exactly one key of a workspace.
pub(super) fn resolve(
    state: &State,
    inbound: &mut Inbound,
) -> Result<Option<Arc<Workspace>>, Refusal> {
    let path = inbound.request.uri().path();
    let read = |s: &mut Service| {
        let doc = s.doc.document()?;
        let is_public = doc.route(path).is_some_and(|r| r.public);
        let called_for = !doc.workspaces.is_empty();
        called_for.then(|| (s.workspaces.clone(), s.doc.revision(), is_public))
    };
    let Some((workspaces, revision, is_public)) =
        state.services.get(&inbound.service, read).flatten()
    else {
        return Ok(None);
    };
    let key = take_key(inbound.request.headers_mut());
    if is_public {
        return Ok(None);
    }
    let Some(key) = key else {
        let detail = "the request does not have exactly one key";
        return Err(Refusal::not_run(Code::UnknownKey, detail));
    };
    let found = workspaces.find(&key.digest()).cloned();
    found.map(Some).ok_or_else(|| {
        let service = &inbound.service;
        let detail = format!("revision {revision} of {service} does not have the key");
        Refusal::not_run(Code::UnknownKey, detail)
    })
}

fn take_key(headers: &mut HeaderMap) -> Option<CallerKey> {
    let mut keys = headers.get_all(KEY).iter();
    let key = match (keys.next(), keys.next()) {
        (Some(key), None) => Some(CallerKey::new(Bytes::copy_from_slice(key.as_bytes()))),
        _ => None,
    };
    headers.remove(KEY);
    headers.remove(WORKSPACE);
    key
}

/// Sets the name of the workspace to which a request belongs.
pub(super) fn write_workspace(headers: &mut HeaderMap, workspace: &Workspace) {
    // A name is printable ASCII and thus always a valid header value.
    if let Ok(value) = HeaderValue::from_str(workspace.name.as_str()) {
        headers.insert(WORKSPACE, value);
    }
}

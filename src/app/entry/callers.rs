//! Finds the workspace of a caller by the key in its request.
//!
//! Only documents with workspaces call for keys. Requests to other services are passed
//! on with all headers that callers send.

use std::sync::Arc;

use http::HeaderName;

use super::{State, job::Inbound, service::Service};
use crate::{
    adapters::http::CallerHeaders,
    domain::Workspace,
    policy::refusal::{Code, Refusal},
};

/// The headers with the key of the caller and the name of its workspace.
pub(super) const CALLER: CallerHeaders = CallerHeaders {
    key: HeaderName::from_static("x-workspace-key"),
    workspace: HeaderName::from_static("x-workspace"),
};

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
    let key = CALLER.take_key(inbound.request.headers_mut());
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

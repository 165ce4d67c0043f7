//! The token of a request.

use std::{
    fmt,
    sync::{Arc, atomic::Ordering::Relaxed},
};

use http::HeaderValue;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::{Quotas, State, now};
use crate::{
    domain::{Millis, Quota, Workspace, WorkspaceName},
    policy::{
        quota::{ASK_TIMEOUT, Token},
        refusal::{Code, Refusal},
    },
};

/// The `retry-after` of a request that was refused because the granter cannot be
/// reached. The next one is asked by then.
const UNAVAILABLE_RETRY_AFTER: Millis = Millis(500);

/// The right of a request to run. If it is dropped before the request may have run, the
/// token is given back.
pub(in crate::app::gateway) struct Admission {
    state: Arc<State>,
    workspace: Arc<Workspace>,
    quota: Quota,
    token: Option<Token>,
}

impl Admission {
    /// Waits for a token for a request of a workspace. Returns none if the workspace has
    /// no quota.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the quota is used up, or if that cannot be known. `id` is
    /// the id of the request, by which the times of return are spread.
    pub async fn acquire(
        state: &Arc<State>,
        workspace: Option<&Arc<Workspace>>,
        deadline: Millis,
        id: Option<&HeaderValue>,
    ) -> Result<Option<Self>, Refusal> {
        let Some((workspace, quota)) = workspace.and_then(|w| Some((w, w.quota?))) else {
            return Ok(None);
        };
        let at = now(state);
        let quotas = state.quotas();
        quotas.holder.record(at, &workspace.name);
        quotas.granter().record(at, &workspace.name);
        let mut admission = Self {
            state: state.clone(),
            workspace: workspace.clone(),
            quota,
            token: None,
        };
        admission.token = admission.next_token(deadline).await;
        let name = workspace.name.as_str();
        if admission.token.is_some() {
            state.ports.metrics.count_quota(name, "admitted");
            return Ok(Some(admission));
        }
        let refusal = admission.refusal(id);
        state.ports.metrics.count_quota(name, refusal.code.as_str());
        Err(refusal)
    }

    /// Takes the token, because the request is about to be sent and may run.
    pub fn spend(&mut self) -> Option<Token> {
        self.token.take()
    }

    /// Takes back the token after an attempt that has certainly not run the request.
    pub fn restore(&mut self, token: Token) {
        self.token = Some(token);
    }

    /// Waits for a token for a further attempt, if the last one is spent. Returns whether
    /// there is one.
    pub async fn renew(&mut self, deadline: Millis) -> bool {
        if self.token.is_none() {
            self.token = self.next_token(deadline).await;
        }
        self.token.is_some()
    }

    async fn next_token(&self, deadline: Millis) -> Option<Token> {
        let (quotas, name, at) = (self.state.quotas(), &self.workspace.name, now(&self.state));
        let token = quotas.take(at, name);
        if token.is_some() || quotas.exhaustion(at, name).is_some() {
            return token;
        }
        let limit = ASK_TIMEOUT.min(deadline - at);
        let waiting = Waiting::new(quotas, name);
        let token = timeout(limit.duration(), wait(&self.state, name)).await;
        drop(waiting);
        token.ok().flatten()
    }

    /// Returns the refusal of the request.
    fn refusal(&self, id: Option<&HeaderValue>) -> Refusal {
        let (quotas, name, at) = (self.state.quotas(), &self.workspace.name, now(&self.state));
        let Quota { rate, burst } = self.quota;
        let Some(room) = quotas.exhaustion(at, name) else {
            let detail = format!("workspace {name}: no entry that keeps its quota answers");
            let refusal = Refusal::not_run(Code::QuotaUnavailable, detail);
            return refusal.retry_after(UNAVAILABLE_RETRY_AFTER);
        };
        // The granter logs the change.
        let _ = quotas.holder.record_refusal(at, name);
        let detail = format!("workspace {name}: the quota of {rate} and {burst} is used up");
        let retry_after = room.retry_after(id.map_or(at.0, |id| xxh3_64(id.as_bytes())));
        Refusal::not_run(Code::QuotaExceeded, detail).retry_after(retry_after)
    }
}

impl fmt::Debug for Admission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Admission").field(&self.token).finish()
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            let at = now(&self.state);
            self.state
                .quotas()
                .holder
                .give_back(at, &self.workspace.name, token);
        }
    }
}

/// Counts a request as waiting for a token until it is dropped.
struct Waiting<'a> {
    quotas: &'a Quotas,
    name: &'a WorkspaceName,
}

impl<'a> Waiting<'a> {
    fn new(quotas: &'a Quotas, name: &'a WorkspaceName) -> Self {
        quotas.holder.set_waiting(name, true);
        Self { quotas, name }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.quotas.holder.set_waiting(self.name, false);
    }
}

/// Waits for a round that began after this call, and longer if a granter still looks for
/// tokens. Returns none if there is no token then.
async fn wait(state: &State, name: &WorkspaceName) -> Option<Token> {
    let quotas = state.quotas();
    let mut ended = quotas.ended.subscribe();
    let needed = quotas.begun.load(Relaxed) + 1;
    quotas.wake.notify_one();
    loop {
        ended.changed().await.ok()?;
        let at = now(state);
        if let Some(token) = quotas.take(at, name) {
            return Some(token);
        }
        let is_answered = *ended.borrow_and_update() >= needed;
        if is_answered && !quotas.is_pending(at, name) {
            return None;
        }
    }
}

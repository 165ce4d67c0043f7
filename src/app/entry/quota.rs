//! The limits of workspaces.
//!
//! The requests of a workspace are counted by a limit that the entries share, when they
//! are admitted. See [docs/design/workspaces.md](../../../docs/design/workspaces.md).

use std::{fmt, sync::Arc};

use rand::Rng;

use super::{State, job::Inbound, limits::workspace_limit};
use crate::{
    domain::{LimitName, Millis, Quota, Rate, Workspace, WorkspaceName},
    policy::{
        limit::{Ledger, Shortage, WORKSPACE_REQUEST},
        refusal::{Code, Refusal},
    },
};

/// The longest wait for units that this entry has requested from other entries. A round
/// trip between regions takes 70 ms.
const UNITS_WAIT: Millis = Millis(300);

/// The interval at which a waiting request checks for these units.
const UNITS_POLL: Millis = Millis(10);

/// The amount of a request as a factor of a rate.
#[expect(clippy::cast_precision_loss)]
const REQUEST_AMOUNT: f64 = WORKSPACE_REQUEST as f64;

/// The time to return while it is not known whether the limit is used up.
const UNAVAILABLE_RETRY_AFTER: Millis = Millis(1_000);

/// What a request may take of the limit of its workspace. What it has not used when this
/// is dropped goes back.
pub(super) struct Admission {
    state: Arc<State>,
    limit: LimitName,
    /// The number of attempts for which the limit was taken and not used.
    unused: u32,
}

impl Admission {
    /// Takes one request of the limit of its workspace. Returns none if the workspace has
    /// no limit.
    ///
    /// # Errors
    ///
    /// Refuses the request if the limit is used up, or if that cannot be known.
    pub async fn acquire(
        state: &Arc<State>,
        inbound: &Inbound,
        workspace: Option<&Workspace>,
        arrived: Millis,
    ) -> Result<Option<Self>, Refusal> {
        let Some((workspace, quota)) = workspace.and_then(|w| Some((w, w.quota?))) else {
            return Ok(None);
        };
        let limit = workspace_limit(&inbound.service, &workspace.name);
        let subject = subject(&limit);
        state.usage.record(arrived, &subject);
        let wait = inbound.deadline.map_or(UNITS_WAIT, |d| d.min(UNITS_WAIT));
        let result = wait_for_units(state, &limit, &subject, arrived + wait).await;
        let metrics = &state.ports.metrics;
        let name = workspace.name.as_str();
        match result {
            Ok(()) => {
                metrics.count_quota(name, "admitted");
                Ok(Some(Self {
                    state: state.clone(),
                    limit,
                    unused: 1,
                }))
            }
            Err(shortage) => {
                let refusal = refuse(&workspace.name, quota, shortage);
                metrics.count_quota(name, refusal.code.as_str());
                if refusal.code == Code::QuotaExceeded {
                    report_refusal(state, &subject, quota);
                }
                Err(refusal)
            }
        }
    }

    /// Uses the limit for an attempt that is about to be sent. An attempt after the first
    /// one takes another request of it. Returns whether there was one.
    pub fn spend(&mut self, now: Millis) -> bool {
        if self.unused > 0 {
            self.unused -= 1;
            return true;
        }
        let admit = |l: &mut Ledger| l.admit(WORKSPACE_REQUEST, now);
        self.state.limits.get(&self.limit, admit).unwrap_or(true)
    }

    /// Takes back what an attempt has used that has certainly not run.
    pub fn restore(&mut self) {
        self.unused += 1;
    }
}

impl fmt::Debug for Admission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Admission").field(&self.unused).finish()
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        let amount = u64::from(self.unused) * WORKSPACE_REQUEST;
        if amount > 0 {
            let put_back = |l: &mut Ledger| l.put_back(amount);
            self.state.limits.get(&self.limit, put_back);
        }
    }
}

/// Takes one request of a limit, and waits for units while other entries may lend some.
async fn wait_for_units(
    state: &State,
    limit: &LimitName,
    subject: &WorkspaceName,
    wait_until: Millis,
) -> Result<(), Shortage> {
    loop {
        if state.admit_amount(limit, WORKSPACE_REQUEST) {
            return Ok(());
        }
        let now = (state.ports.clock.now)();
        let asked = state.usage.status(now, subject).rate * REQUEST_AMOUNT;
        let shortage = |l: &mut Ledger| {
            if now >= wait_until {
                l.record_dry(now);
            }
            // A document that is in force since has no such limit.
            let is_limited = l.limit().units() > 0;
            is_limited.then(|| l.shortage(WORKSPACE_REQUEST, asked, now))
        };
        match state.limits.get(limit, shortage).flatten() {
            Some(Shortage::Pending) => tokio::time::sleep(UNITS_POLL.duration()).await,
            Some(shortage) => return Err(shortage),
            None => return Ok(()),
        }
    }
}

fn refuse(name: &WorkspaceName, quota: Quota, shortage: Shortage) -> Refusal {
    let Shortage::Exhausted(room) = shortage else {
        let detail = format!("workspace {name}: its part of the limit here has not filled yet");
        let refusal = Refusal::not_run(Code::QuotaUnavailable, detail);
        return refusal.retry_after(UNAVAILABLE_RETRY_AFTER);
    };
    let detail = format!("workspace {name}: the limit of {quota} is used up");
    let refusal = Refusal::not_run(Code::QuotaExceeded, detail);
    refusal.retry_after(room.retry_after(rand::rng().random()))
}

/// Logs the first refusal of a workspace that was below its limit.
fn report_refusal(state: &State, subject: &WorkspaceName, quota: Quota) {
    let now = (state.ports.clock.now)();
    if let Some(usage) = state.usage.record_refusal(now, subject) {
        tracing::warn!(
            workspace = %subject,
            limit = %quota.rate,
            burst = quota.burst,
            usage_here = %Rate(usage.round()),
            "quota: a workspace has reached its limit."
        );
    }
}

/// Logs which workspaces are below their limits again, and forgets idle ones.
pub(super) fn tidy(state: &State) {
    let now = (state.ports.clock.now)();
    for (subject, usage) in state.usage.take_below(now) {
        tracing::info!(
            workspace = %subject,
            usage_here = %Rate(usage.round()),
            "quota: a workspace is below its limit again."
        );
    }
    state.usage.tidy(now, |_, _| {});
}

/// Returns the name under which the usage of a workspace is kept. Workspaces of different
/// services may have one name.
fn subject(limit: &LimitName) -> WorkspaceName {
    let name = limit.as_str();
    let name = name.split_once('/').map_or(name, |(_, rest)| rest);
    // A limit's name is printable ASCII and not longer than that of a workspace.
    name.parse().unwrap_or_else(|e| unreachable!("{e}"))
}

//! The task that delegates the own part and asks for tokens.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering::Relaxed},
};

use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::{sleep, timeout};

use super::{Quotas, State, now};
use crate::{
    domain::{Bounds, Millis, Presence, RegionName, Revision, WorkspaceName},
    policy::{
        quota::{ASK_PERIOD, Answer, Call, Limit, LimitChange, PENDING_PERIOD, Rounds, View},
        route::Table,
    },
    ports::QuotaCall,
};

/// The minimum time between two rounds, in which requests join the next one.
const ROUND_GAP: Millis = Millis(5);

/// The time between two updates of the metrics.
const TIDY_PERIOD: Millis = Millis(1_000);

/// Asks for tokens as long as the table has a workspace with a quota, and otherwise
/// waits for a table that has one.
pub(in crate::app::gateway) async fn run(state: Arc<State>) {
    let settings = state.settings();
    let mut task = Task {
        state: state.clone(),
        rounds: Rounds::new(settings.name.clone(), settings.region.clone()),
        configured: None,
        tidied_at: Millis(0),
    };
    loop {
        let Some(table) = state.table().filter(|t| has_quota(t)) else {
            task.deconfigure();
            state.quotas().wake.notified().await;
            continue;
        };
        let is_pending = task.round(&table).await;
        sleep(ROUND_GAP.duration()).await;
        let period = if is_pending {
            PENDING_PERIOD
        } else {
            ASK_PERIOD
        };
        // The end of the period begins a round as well.
        let pause = (period - ROUND_GAP).duration();
        let _ = timeout(pause, state.quotas().wake.notified()).await;
    }
}

fn has_quota(table: &Table) -> bool {
    table.workspaces().any(|w| w.quota.is_some())
}

/// The state of the task.
struct Task {
    state: Arc<State>,
    rounds: Rounds,
    /// The version and the bounds of the limits that the granter has.
    configured: Option<(Revision, Bounds)>,
    tidied_at: Millis,
}

impl Task {
    fn quotas(&self) -> &Quotas {
        self.state.quotas()
    }

    /// Delegates and asks once. Returns whether tokens are pending.
    async fn round(&mut self, table: &Table) -> bool {
        let number = self.quotas().begun.fetch_add(1, Relaxed) + 1;
        self.configure(table);
        let at = now(&self.state);
        let view = view(&self.state, at);
        let needs = self.quotas().holder.needs(at, self.rounds.life());
        let calls = {
            let mut granter = self.state.quotas().granter();
            self.rounds.begin(at, &view, needs, &mut granter)
        };
        let mut is_pending = false;
        let exchanges = calls.iter().any(|c| c.ask.for_others);
        let mut answers: FuturesUnordered<_> =
            calls.into_iter().map(|c| send(&self.state, c)).collect();
        while let Some((call, answer)) = answers.next().await {
            let at = now(&self.state);
            let quotas = self.state.quotas();
            is_pending |= self
                .rounds
                .record(at, &call, answer.as_ref(), &quotas.holder);
            if let Some(answer) = answer.filter(|_| call.ask.for_others) {
                quotas.granter().add(at, &call.ask.needs, &answer);
            }
        }
        drop(answers);
        is_pending |= self.end(exchanges);
        self.tidy(table);
        self.quotas().ended.send_replace(number);
        is_pending
    }

    /// Ends a round. Returns whether this entry is to ask other granters again.
    fn end(&self, exchanges: bool) -> bool {
        let (at, quotas) = (now(&self.state), self.quotas());
        let is_reached = self.rounds.is_reached();
        quotas.is_reached.store(is_reached, Relaxed);
        let mut granter = quotas.granter();
        if exchanges {
            granter.record_exchange(at);
        }
        granter.is_short(at)
    }

    /// Passes the limits of a new table to the granter.
    fn configure(&mut self, table: &Table) {
        let bounds = self.state.settings().bounds;
        let configured = Some((table.version, bounds));
        if self.configured == configured {
            return;
        }
        self.configured = configured;
        let limits = table.workspaces().filter_map(|w| {
            let limit = Limit::new(w.quota.as_ref()?, &bounds);
            Some((w.name.clone(), limit))
        });
        let at = now(&self.state);
        self.quotas().granter().configure(at, limits);
    }

    fn deconfigure(&mut self) {
        if self.configured.take().is_some() {
            let at = now(&self.state);
            self.quotas().granter().configure(at, std::iter::empty());
        }
    }

    /// Updates the metrics, and logs which workspaces have reached their limits at this
    /// granter or are below them again.
    fn tidy(&mut self, table: &Table) {
        let at = now(&self.state);
        if at < self.tidied_at + TIDY_PERIOD {
            return;
        }
        self.tidied_at = at;
        let metrics = &self.state.ports.metrics;
        metrics.tokens.clear();
        let held = |name: &WorkspaceName, held| metrics.add_tokens(name.as_str(), held);
        self.quotas().holder.tidy(at, held);
        let changes = self.quotas().granter().limit_changes(at);
        for change in &changes {
            log(table, change);
        }
    }
}

fn log(table: &Table, change: &LimitChange) {
    let LimitChange {
        workspace, usage, ..
    } = change;
    let quota = table.workspace_named(workspace).and_then(|w| w.quota);
    let limit = quota.map(|q| q.rate.to_string());
    let burst = quota.map(|q| q.burst);
    if change.is_at_limit {
        tracing::warn!(
            %workspace, limit, burst, %usage,
            cause = "all tokens of the quota are used",
            "quota: a workspace has reached its limit."
        );
    } else {
        tracing::info!(
            %workspace, limit, burst, %usage,
            "quota: a workspace is below its limit again."
        );
    }
}

/// Returns what this entry knows of the others.
fn view(state: &State, at: Millis) -> View {
    let mut regions: BTreeMap<RegionName, Vec<Presence>> = BTreeMap::new();
    for presence in state.entries().all() {
        let region = regions.entry(presence.region.clone()).or_default();
        region.push(presence.clone());
    }
    let is_known = state.knows_parts(at);
    View {
        regions,
        sharers: if is_known {
            state.peers()
        } else {
            Arc::default()
        },
    }
}

/// Makes a call. Returns it with the answer, if there is one.
async fn send(state: &State, call: Call) -> (Call, Option<Answer>) {
    // Entries without an address for others are not selected.
    let Some(peer) = call.to.peer else {
        return (call, None);
    };
    let sent = (state.ports.quotas.ask)(QuotaCall {
        peer,
        ask: call.ask.clone(),
        timeout: call.timeout,
    });
    let answer = sent.await;
    if let Err(error) = &answer {
        tracing::debug!(cause = %error, "quota: no answer.");
    }
    (call, answer.ok())
}

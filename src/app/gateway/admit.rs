//! Admits requests by rank, before their bodies are read and targets are chosen.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{State, now};
use crate::{
    domain::{Homes, Millis, Rank, RouteRule, ServiceName, Workspace},
    policy::{
        balance::{Applicant, NoRoom},
        demand::WorkspaceKey,
        refusal::{Code, Refusal},
        room::LineChange,
        route::Table,
    },
};

/// A request whose body has not been read.
pub(super) struct Arrival<'a> {
    pub table: &'a Table,
    pub rule: &'a RouteRule,
    pub workspace: Option<&'a Workspace>,
    pub rank: Rank,
    pub weight: Option<(WorkspaceKey, f32)>,
    pub service: &'a ServiceName,
    pub object: Option<u64>,
    pub path: &'a str,
    /// The id that the caller chose, `-` if there is none.
    pub label: &'a str,
    pub deadline: Millis,
}

/// Returns the key of a workspace's requests of a rank, and its weight.
#[expect(clippy::cast_possible_truncation, reason = "single precision")]
pub(super) fn weigh(
    table: &Table,
    workspace: Option<&Workspace>,
    rank: Rank,
) -> Option<(WorkspaceKey, f32)> {
    let workspace = workspace?;
    let key = WorkspaceKey::new(&workspace.name, rank);
    Some((key, table.weight(workspace) as f32))
}

/// Decides whether a request is admitted.
///
/// # Errors
///
/// Returns the refusal of a request whose rank does not fit as a whole. It says when to
/// return, unless the deadline of the request is before that.
pub(super) fn admit(state: &State, arrival: &Arrival<'_>) -> Result<(), Refusal> {
    let Arrival { rule, service, .. } = *arrival;
    let at = now(state);
    let subject = arrival
        .object
        .unwrap_or_else(|| xxh3_64(arrival.label.as_bytes()));
    let name = arrival.workspace.map(|w| w.name.as_bytes());
    let subject = name.map_or(subject, |name| xxh3_64_with_seed(name, subject));
    let request = xxh3_64_with_seed(arrival.path.as_bytes(), subject);
    let applicant = Applicant {
        rule,
        homes: Homes::new(rule, arrival.workspace),
        rank: arrival.rank,
        workspace: arrival.weight,
        subject,
        returns: state.returns().take(at, request),
    };
    let (result, change) = state.with_pool(service, arrival.table, |pool, context| {
        (pool.admit(context, &applicant), pool.take_line_change())
    });
    if let Some(change) = change {
        report_change(state, service, &change);
    }
    let Err(NoRoom {
        rank,
        excess,
        returns_in,
    }) = result
    else {
        return Ok(());
    };
    state.returns().record(at, request);
    let metrics = &state.ports.metrics;
    metrics.count_refusal(service.as_str(), Code::Overloaded.as_str());
    let mut detail = format!("{service} has no room for all requests of rank {rank}");
    if let Some(workspace) = arrival.workspace.filter(|_| excess) {
        detail = format!(
            "{detail}, and {} asks for more than its part",
            workspace.name
        );
    }
    let refusal = Refusal::not_run(Code::Overloaded, detail);
    Err(if at + returns_in < arrival.deadline {
        refusal.retry_after(returns_in)
    } else {
        refusal
    })
}

/// Logs that the line is drawn at another rank, and sets its metrics.
fn report_change(state: &State, service: &ServiceName, change: &LineChange) {
    let LineChange { rank, account } = change;
    let rank_text = rank.map_or_else(|| "none".to_owned(), |rank| rank.to_string());
    tracing::info!(
        region = %state.settings().region,
        %service,
        rank = rank_text,
        needed_slots = account.needed.total(),
        room_slots = account.room,
        "gateway: the rank that is not admitted whole has changed."
    );
    let metrics = &state.ports.metrics;
    metrics.set_line(
        service.as_str(),
        account.needed.total(),
        account.room,
        *rank,
    );
}

//! Answers where a request would go now, and why, without sending it.
//!
//! Operators ask at the address of the metrics, which callers do not reach. The
//! decisions run on a copy of the state: nothing is counted and no limit is used. See
//! [docs/design/explain.md](../../../../docs/design/explain.md).

use std::sync::Arc;

use serde_json::{Value, json};

use super::{State, admit, now};
use crate::{
    adapters::http::Query,
    domain::{Homes, Rank, RouteRule, ServiceName, Size, Workspace, WorkspaceName},
    policy::{
        balance::{ConsideredTarget, Explanation, Request, Ticket, object_hash},
        refusal::Code,
        route::Table,
    },
};

/// The path of the question.
pub(super) const EXPLAIN_PATH: &str = "/explain";

/// The request in question, with its route.
struct Question {
    table: Arc<Table>,
    rule: Arc<RouteRule>,
    service: ServiceName,
    workspace: Option<Arc<Workspace>>,
    object: Option<u64>,
    size: Size,
}

/// Returns the answer to a query with `host` and `path`, and optionally `workspace`,
/// `object` (the affinity key) and `bytes` (the size of the body).
///
/// # Errors
///
/// Returns a message if the query names no route or workspace of the configuration.
pub(super) fn answer(state: &State, query: &str) -> Result<Value, String> {
    let query: Query = query.parse().map_err(|e| format!("{e}"))?;
    let question = Question::read(state, &query)?;
    let Question {
        table,
        rule,
        service,
        workspace,
        ..
    } = &question;
    let homes = Homes::new(rule, workspace.as_deref());
    let rank = workspace.as_ref().and_then(|w| w.rank).unwrap_or(rule.rank);
    let explanation = state.with_pool(service, table, |pool, context| {
        let request = Request {
            rule,
            homes,
            rank,
            workspace: admit::weigh(table, workspace.as_deref(), rank),
            object: question.object,
            tried: &[],
            time_left: rule.timeout,
            size: question.size,
        };
        pool.explain(context, &request)
    });
    let mut answer = describe(&explanation);
    answer["entry"] = json!(state.settings().name.as_str());
    answer["version"] = json!(table.version.to_string());
    answer["state_age_ms"] = json!(state.age(now(state)).0);
    answer["stopping"] = json!(state.is_stopping());
    answer["route"] = describe_route(rule, rank);
    answer["service"] = json!(service.as_str());
    let described = workspace.as_deref().map(|w| describe_workspace(state, w));
    answer["workspace"] = json!(described);
    Ok(answer)
}

impl Question {
    fn read(state: &State, query: &Query) -> Result<Self, String> {
        let table = state.table();
        let table = table.ok_or("this entry has no configuration yet")?;
        let text = |name: &str| query.text(name);
        let host = text("host").ok_or("the query needs host=NAME")?;
        let path = text("path").ok_or("the query needs path=PATH")?;
        let host = host.to_ascii_lowercase();
        let (rule, service) = {
            let route = table.find(&host, path);
            let missing = || format!("version {} has no route for {host}{path}", table.version);
            let route = route.ok_or_else(missing)?;
            (route.rule.clone(), route.peek_service().clone())
        };
        let workspace = text("workspace").filter(|_| !rule.public);
        let workspace = workspace.map(|name| find_workspace(&table, name));
        let workspace = workspace.transpose()?;
        if workspace.is_none() && table.has_workspaces() && !rule.public {
            return Err("the route needs a key, so the query needs workspace=NAME".to_owned());
        }
        let bytes = query.value("bytes").map_err(|e| format!("{e}"))?;
        let object = text("object").map(|key| object_hash(&rule.prefix, key.as_bytes()));
        Ok(Self {
            table,
            rule,
            service,
            workspace,
            object,
            size: bytes.unwrap_or_default(),
        })
    }
}

fn find_workspace(table: &Table, name: &str) -> Result<Arc<Workspace>, String> {
    let parsed = name.parse().map_err(|e| format!("{e}"))?;
    let found = table.workspace_named(&parsed).cloned();
    found.ok_or_else(|| format!("version {} has no workspace {name}", table.version))
}

fn describe_route(rule: &RouteRule, rank: Rank) -> Value {
    let homes: Vec<_> = rule.home_regions.iter().map(ToString::to_string).collect();
    json!({
        "name": rule.name,
        "kind": rule.kind.to_string(),
        "rank": rank.0,
        "objective_ms": rule.objective.0,
        "timeout_ms": rule.timeout.0,
        "public": rule.public,
        "homes": homes,
    })
}

fn describe_workspace(state: &State, workspace: &Workspace) -> Value {
    let homes = workspace.home_regions.iter();
    let homes: Vec<_> = homes.map(ToString::to_string).collect();
    json!({
        "name": workspace.name.as_str(),
        "homes": homes,
        "quota": workspace.quota.map(|q| json!({ "rate": q.rate.0, "burst": q.burst })),
        "usage": workspace.quota.map(|_| describe_usage(state, &workspace.name)),
    })
}

/// Describes what this entry has seen of the use of a quota.
fn describe_usage(state: &State, name: &WorkspaceName) -> Value {
    let (status, room) = state.quotas().status(now(state), name);
    let count = |result| state.ports.metrics.quota_count(name.as_str(), result);
    json!({
        "requests_per_s": status.rate,
        "admitted": count("admitted"),
        "refused_used_up": count(Code::QuotaExceeded.as_str()),
        "refused_unavailable": count(Code::QuotaUnavailable.as_str()),
        "tokens": status.tokens,
        "at_limit": status.is_at_limit,
        "room_in_ms": room.map(|room| room.after.0),
    })
}

fn describe(explanation: &Explanation) -> Value {
    let targets = explanation.targets.iter().map(describe_target);
    let choice = match &explanation.choice {
        Ok(ticket) => describe_choice(ticket),
        Err(error) => json!({ "refused": error.to_string() }),
    };
    json!({
        "choice": choice,
        "line": explanation.line.map(|line| json!({
            "rank": line.rank.map(|rank| rank.0),
            "needed_slots": line.account.needed.total(),
            "room_slots": line.account.room,
            "admitted": line.admitted,
        })),
        "targets": targets.collect::<Vec<_>>(),
        "target_count": explanation.total,
    })
}

fn describe_choice(ticket: &Ticket) -> Value {
    let split = ticket.basis.split;
    json!({
        "target": ticket.id.as_str(),
        "az": ticket.az.as_str(),
        "remote": ticket.basis.remote,
        "warm": ticket.warm,
        "probe": ticket.probe,
        "load": ticket.load,
        "expected_ms": ticket.expected_duration.0,
        "report_age_ms": ticket.report_age.map(|age| age.0),
        "utilization": ticket.basis.utilization,
        "far_share": split.map(|s| s.fraction),
        "planned_share": split.and_then(|s| s.demand.planned_fraction()),
        "needed_slots": split.and_then(|s| s.demand.needed),
        "local_slots": split.map(|s| s.demand.available),
    })
}

fn describe_target(target: &ConsideredTarget) -> Value {
    json!({
        "id": target.id.as_str(),
        "az": target.az.as_str(),
        "remote": target.remote,
        "slots": target.slots,
        "load": target.load,
        "slowdown": target.slowdown,
        "warm": target.warm,
        "expected_ms": target.expected.0,
        "cost": target.cost,
        "excluded": target.exclusion.map(|e| e.to_string()),
    })
}

//! `savorybeam explain --gateway`: prints where a request would go now, and why.

use eyre::{WrapErr, bail};
use serde_json::Value;

use super::{
    client::{AdminRequest, Client},
    options::Question,
};
use crate::adapters::http::Query;

/// Asks a gateway and prints its answer.
pub(super) async fn run(question: Question) -> eyre::Result<()> {
    let client = Client::anonymous(question.gateway);
    let request = AdminRequest::get(format!("/explain?{}", query(&question)));
    let response = client.call(&request).await?;
    let answer = response.json().wrap_err("is this the metrics address?")?;
    if let Some(cause) = answer["error"].as_str() {
        bail!("{cause}");
    }
    if question.json {
        println!("{}", response.body);
    } else {
        print!("{}", format_answer(&answer));
    }
    Ok(())
}

fn query(question: &Question) -> Query {
    let mut query = Query::default()
        .with("host", &question.host)
        .with("path", &question.path);
    if let Some(workspace) = &question.workspace {
        query = query.with("workspace", workspace);
    }
    if let Some(object) = &question.object {
        query = query.with("object", object);
    }
    if let Some(bytes) = question.bytes {
        query = query.with("bytes", bytes);
    }
    query
}

/// Formats the answer of a gateway for people.
#[must_use]
pub fn format_answer(answer: &Value) -> String {
    let route = &answer["route"];
    let mut lines = vec![
        format!(
            "entry {}, configuration {}, state {} ms old",
            text(&answer["entry"]),
            text(&answer["version"]),
            answer["state_age_ms"]
        ),
        format!(
            "route {}: {}, rank {}, {} ms to answer in time, {} ms at most{}",
            text(&route["name"]),
            text(&route["kind"]),
            route["rank"],
            route["objective_ms"],
            route["timeout_ms"],
            homes(&route["homes"])
        ),
    ];
    let workspace = &answer["workspace"];
    if !workspace.is_null() {
        let quota = match &workspace["quota"] {
            Value::Null => "no quota".to_owned(),
            quota => format!(
                "{} requests/s and a burst of {}",
                quota["rate"], quota["burst"]
            ),
        };
        let name = text(&workspace["name"]);
        lines.push(format!(
            "workspace {name}: {quota}{}",
            homes(&workspace["homes"])
        ));
    }
    let usage = &workspace["usage"];
    if !usage.is_null() {
        lines.push(format_usage(usage));
    }
    lines.push(format_line(&answer["line"]));
    lines.push(format_choice(answer));
    for target in answer["targets"].as_array().into_iter().flatten() {
        lines.push(format_target(target));
    }
    let listed = answer["targets"].as_array().map_or(0, Vec::len);
    lines.push(format!(
        "{listed} of {} targets listed",
        answer["target_count"]
    ));
    lines.join("\n") + "\n"
}

/// Formats how an entry has seen a quota used.
fn format_usage(usage: &Value) -> String {
    let state = match (&usage["room_in_ms"], &usage["at_limit"]) {
        (Value::Null, Value::Bool(true)) => "; refused lately".to_owned(),
        (Value::Null, _) => String::new(),
        (room, _) => format!("; used up, room in {room} ms"),
    };
    format!(
        "quota at this entry: {} requests/s, {} admitted, {} refused as used up, {} refused as unknown, {} tokens{state}",
        rounded(&usage["requests_per_s"]),
        usage["admitted"],
        usage["refused_used_up"],
        usage["refused_unavailable"],
        usage["tokens"]
    )
}

/// Formats the line of admission.
fn format_line(line: &Value) -> String {
    if line.is_null() {
        return "admission: all, the need here is not known or this region is no home".to_owned();
    }
    let rank = match &line["rank"] {
        Value::Null => "all ranks whole".to_owned(),
        rank => format!("not whole from rank {rank}"),
    };
    format!(
        "admission: {rank}, {} of this request's rank; {} slots needed, room for {}",
        rounded(&line["admitted"]),
        rounded(&line["needed_slots"]),
        rounded(&line["room_slots"])
    )
}

fn format_choice(answer: &Value) -> String {
    let choice = &answer["choice"];
    let service = text(&answer["service"]);
    if let Some(cause) = choice["refused"].as_str() {
        return format!("service {service}: refused, {cause}");
    }
    let place = if choice["remote"] == true {
        "another region"
    } else {
        "this region"
    };
    format!(
        "service {service}: sent to {} in {place}, answer expected after {} ms; {} of the region's requests run elsewhere, utilization {}",
        text(&choice["target"]),
        choice["expected_ms"],
        rounded(&choice["far_share"]),
        rounded(&choice["utilization"])
    )
}

fn format_target(target: &Value) -> String {
    let flag = |name: &str, word| if target[name] == true { word } else { "" };
    let reason = match target["excluded"].as_str() {
        Some(reason) => format!("left out: {reason}"),
        None => format!(
            "cost {}, answer after {} ms",
            rounded(&target["cost"]),
            target["expected_ms"]
        ),
    };
    format!(
        "  {} in {}{}{}: {} requests at {} slots, {} times the usual duration; {reason}",
        text(&target["id"]),
        text(&target["az"]),
        flag("remote", ", remote"),
        flag("warm", ", warm"),
        rounded(&target["load"]),
        target["slots"],
        rounded(&target["slowdown"])
    )
}

fn homes(homes: &Value) -> String {
    let names = homes.as_array().into_iter().flatten();
    let names: Vec<&str> = names.filter_map(Value::as_str).collect();
    if names.is_empty() {
        String::new()
    } else {
        format!(", only in {}", names.join(", "))
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// Formats a number with two decimals, and a missing one as `-`.
fn rounded(value: &Value) -> String {
    value
        .as_f64()
        .map_or_else(|| "-".to_owned(), |n| format!("{n:.2}"))
}

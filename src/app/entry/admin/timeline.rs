//! The timeline as text or JSON lines.

use std::fmt::{Display, Write};

use http::{Request, Response, header};
use serde_json::{Value, json};
use volo_http::body::Body;

use super::{Admin, reply};
use crate::{
    adapters::http::Query,
    policy::{
        admin::{Code, Failure},
        timeline::{EVENTS_MAX, Event, Utc},
    },
    ports::{EventQuery, admin::Gathered},
};

/// How many events an answer has if the query does not say.
const LIMIT: usize = 200;

/// The most events of an answer. At about 200 bytes each, this is below 4 MB.
const LIMIT_MAX: usize = 4 * EVENTS_MAX;

const LINES: &str = "application/x-ndjson";

pub(super) async fn get(
    admin: &Admin,
    query: &Query,
    req: &Request<Body>,
) -> Result<Response<Body>, Failure> {
    let asked = EventQuery {
        after: query.value("after").map_err(|e| reply::bad(&e))?,
        part: query.value("part").map_err(|e| reply::bad(&e))?,
        limit: limit(query)?,
    };
    let own = match query.text("scope") {
        None | Some("all") => false,
        Some("entry") => true,
        Some(text) => {
            let detail = format!("scope: found {text:?}, allowed is \"all\" or \"entry\"");
            return Err(Failure::new(Code::BadRequest, detail));
        }
    };
    let gathered = if own {
        Gathered {
            events: (admin.events.read)(&asked),
            missing: Vec::new(),
        }
    } else {
        (admin.port.timeline)(asked.clone()).await
    };
    let skip = gathered.events.len().saturating_sub(asked.limit);
    let events = &gathered.events[skip..];
    if json_wanted(req) {
        return Ok(reply::typed(LINES, json_lines(events, &gathered.missing)));
    }
    Ok(reply::text(text_lines(events, &gathered.missing)))
}

fn limit(query: &Query) -> Result<usize, Failure> {
    let Some(text) = query.text("limit") else {
        return Ok(LIMIT);
    };
    match text.parse() {
        Ok(n) if (1..=LIMIT_MAX).contains(&n) => Ok(n),
        _ => {
            let detail = format!("limit: found {text:?}, allowed is 1 to {LIMIT_MAX}");
            Err(Failure::new(Code::BadRequest, detail))
        }
    }
}

fn json_wanted(req: &Request<Body>) -> bool {
    let accept = req.headers().get(header::ACCEPT);
    let accept = accept.and_then(|v| v.to_str().ok()).unwrap_or_default();
    accept.contains(LINES) || accept.contains("application/json")
}

fn json_lines(events: &[Event], missing: &[String]) -> String {
    let missing = missing.iter().map(|entry| json!({ "missing": entry }));
    let all = events.iter().map(value).chain(missing);
    lines(all)
}

fn value(event: &Event) -> Value {
    json!({
        "stamp": event.stamp.to_string(),
        "time": Utc(event.stamp.wall).to_string(),
        "entry": event.stamp.entry.as_str(),
        "part": event.part().to_string(),
        "kind": event.kind.to_string(),
        "text": event.text,
    })
}

fn text_lines(events: &[Event], missing: &[String]) -> String {
    let missing = missing
        .iter()
        .map(|entry| format!("missing: entry {entry} does not answer"));
    lines(events.iter().map(ToString::to_string).chain(missing))
}

fn lines(all: impl Iterator<Item = impl Display>) -> String {
    let mut out = String::new();
    for line in all {
        // Writing to a string cannot fail.
        let _ = writeln!(out, "{line}");
    }
    out
}

//! The timeline as text or JSON lines.

use std::fmt::Write;

use http::{Request, Response, header};
use volo_http::body::Body;

use super::{Admin, reply};
use crate::{
    adapters::{
        events::{self, Line},
        http::Query,
    },
    policy::{
        admin::{Code, Failure},
        timeline::EVENTS_MAX,
    },
    ports::{EventQuery, admin::GatheredEvents},
};

/// How many events an answer has if the query does not say.
const LIMIT: usize = 200;

/// The most events of an answer. At about 200 bytes each, this is below 4 MB.
const LIMIT_MAX: usize = 4 * EVENTS_MAX;

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
    let lines = lines(gather(admin, query, &asked).await?, asked.limit);
    let mut out = String::new();
    let json = json_wanted(req);
    for line in &lines {
        // Writing to a string cannot fail.
        let _ = if json {
            writeln!(out, "{}", events::encode(line))
        } else {
            writeln!(out, "{line}")
        };
    }
    if json {
        return Ok(reply::typed(events::CONTENT_TYPE, out));
    }
    Ok(reply::text(out))
}

/// Collects the events of all entries, or of this one alone.
async fn gather(
    admin: &Admin,
    query: &Query,
    asked: &EventQuery,
) -> Result<GatheredEvents, Failure> {
    match query.text("scope") {
        None | Some("all") => Ok((admin.port.timeline)(asked.clone()).await),
        Some("entry") => Ok(GatheredEvents {
            events: (admin.events.read)(asked),
            missing: Vec::new(),
        }),
        Some(text) => {
            let detail = format!("scope: found {text:?}, allowed is \"all\" or \"entry\"");
            Err(Failure::new(Code::BadRequest, detail))
        }
    }
}

fn lines(gathered: GatheredEvents, limit: usize) -> Vec<Line> {
    let skip = gathered.events.len().saturating_sub(limit);
    let events = gathered.events.into_iter().skip(skip).map(Line::Event);
    let missing = gathered.missing.into_iter().map(Line::Missing);
    events.chain(missing).collect()
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
    accept.contains(events::CONTENT_TYPE) || accept.contains("application/json")
}

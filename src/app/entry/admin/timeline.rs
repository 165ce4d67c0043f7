//! The timeline, as text or JSON lines.

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
        admin::{AdminError, Code},
        timeline::MAX_EVENTS,
    },
    ports::{EventQuery, admin::GatheredEvents},
};

/// The maximum number of events in a response if the query sets no limit.
const LIMIT_DEFAULT: usize = 200;

/// The largest limit that a query may set. At about 200 bytes per event, a response
/// stays below 4 MB.
const LIMIT_MAX: usize = 4 * MAX_EVENTS;

pub(super) async fn get(
    admin: &Admin,
    query: &Query,
    req: &Request<Body>,
) -> Result<Response<Body>, AdminError> {
    let selection = EventQuery {
        after: query.value("after").map_err(|e| reply::bad_request(&e))?,
        part: query.value("part").map_err(|e| reply::bad_request(&e))?,
        limit: parse_limit(query)?,
    };
    let lines = select_lines(gather(admin, query, &selection).await?, selection.limit);
    let mut out = String::new();
    let json = accepts_json(req);
    for line in &lines {
        // Writing to a string cannot fail.
        let _ = if json {
            writeln!(out, "{}", events::encode(line))
        } else {
            writeln!(out, "{line}")
        };
    }
    if json {
        return Ok(reply::with_type(events::CONTENT_TYPE, out));
    }
    Ok(reply::text(out))
}

/// Collects the events of all entries or only of this one, depending on the scope.
async fn gather(
    admin: &Admin,
    query: &Query,
    selection: &EventQuery,
) -> Result<GatheredEvents, AdminError> {
    match query.text("scope") {
        None | Some("all") => Ok((admin.port.timeline)(selection.clone()).await),
        Some("entry") => Ok(GatheredEvents {
            events: (admin.events.read)(selection),
            missing: Vec::new(),
        }),
        Some(text) => {
            let detail = format!("scope: found {text:?}, expected \"all\" or \"entry\"");
            Err(AdminError::new(Code::BadRequest, detail))
        }
    }
}

/// Returns the latest events, followed by the entries that did not reply.
fn select_lines(gathered: GatheredEvents, limit: usize) -> Vec<Line> {
    let skip = gathered.events.len().saturating_sub(limit);
    let events = gathered.events.into_iter().skip(skip).map(Line::Event);
    let missing = gathered.missing.into_iter().map(Line::Missing);
    events.chain(missing).collect()
}

fn parse_limit(query: &Query) -> Result<usize, AdminError> {
    let Some(text) = query.text("limit") else {
        return Ok(LIMIT_DEFAULT);
    };
    match text.parse() {
        Ok(n) if (1..=LIMIT_MAX).contains(&n) => Ok(n),
        _ => {
            let detail = format!("limit: found {text:?}, expected 1 to {LIMIT_MAX}");
            Err(AdminError::new(Code::BadRequest, detail))
        }
    }
}

fn accepts_json(req: &Request<Body>) -> bool {
    let accept = req.headers().get(header::ACCEPT);
    let accept = accept.and_then(|v| v.to_str().ok()).unwrap_or_default();
    accept.contains(events::CONTENT_TYPE) || accept.contains("application/json")
}

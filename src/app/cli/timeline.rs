//! `savorybeam timeline`: prints the merged events of all entries.
//!
//! An entry responds with the events of all entries that it reaches. Querying
//! several entries and merging their responses gives a complete timeline even
//! while regions are partitioned from each other.

use std::collections::BTreeSet;

use eyre::eyre;
use futures::future::join_all;

use super::{
    client::{AdminRequest, Client},
    options::TimelineOptions,
};
use crate::{
    adapters::{
        events::{self, Line},
        http::Query,
    },
    policy::timeline::{Event, merge},
};

/// The timeline that one entry returned.
#[derive(Default)]
struct EntryTimeline {
    events: Vec<Event>,
    /// The entries whose events it could not collect.
    missing: BTreeSet<String>,
}

/// Prints the events of all entries in one total order.
pub(super) async fn run(options: TimelineOptions) -> eyre::Result<()> {
    let request = build_request(&options);
    let client = Client::new(options.access);
    let responses = client
        .addrs()
        .iter()
        .map(|addr| client.call_entry(*addr, &request));
    let mut timelines = Vec::new();
    let mut errors = Vec::new();
    for result in join_all(responses).await {
        match result {
            Ok(response) => timelines.push(read(&response.error_for_status()?.body)),
            Err(e) => errors.push(e),
        }
    }
    for e in &errors {
        eprintln!("savorybeam: {e:#}");
    }
    if timelines.is_empty() {
        return Err(eyre!("no entry answered"));
    }
    let missing = missing_in_all(&timelines);
    let events = merge(timelines.into_iter().map(|t| t.events));
    let skip = events.len().saturating_sub(options.limit);
    let events = events.into_iter().skip(skip).map(Line::Event);
    for line in events.chain(missing.into_iter().map(Line::Missing)) {
        if options.json {
            println!("{}", events::encode(&line));
        } else {
            println!("{line}");
        }
    }
    Ok(())
}

fn build_request(options: &TimelineOptions) -> AdminRequest {
    let mut query = Query::default().with("limit", options.limit);
    if let Some(part) = options.part {
        query = query.with("part", part);
    }
    if let Some(after) = &options.after {
        query = query.with("after", after);
    }
    let mut request = AdminRequest::get(format!("/v1/timeline?{query}"));
    let accept = events::CONTENT_TYPE.to_owned();
    request.headers.push(("accept", accept));
    request
}

/// Returns the entries whose events are missing in every timeline.
fn missing_in_all(timelines: &[EntryTimeline]) -> BTreeSet<String> {
    let mut timelines = timelines.iter().map(|t| t.missing.clone());
    let first = timelines.next().unwrap_or_default();
    timelines.fold(first, |all, next| {
        all.intersection(&next).cloned().collect()
    })
}

/// Parses the JSON lines of a response.
fn read(lines: &str) -> EntryTimeline {
    let mut timeline = EntryTimeline::default();
    for line in lines.lines() {
        match events::decode(line) {
            Ok(Line::Event(event)) => timeline.events.push(event),
            Ok(Line::Missing(entry)) => {
                timeline.missing.insert(entry);
            }
            // During an upgrade, an entry may send kinds of events that this version
            // doesn't know.
            Err(e) => eprintln!("savorybeam: skipped an event that cannot be read: {e}"),
        }
    }
    timeline
}

//! `savorybeam timeline`.
//!
//! One entry already collects the events of all that it reaches. Asking several
//! entries and merging their answers shows the whole timeline also while
//! regions are partitioned from each other.

use std::collections::BTreeSet;

use eyre::eyre;
use futures::future::join_all;

use super::{
    client::{Ask, Client},
    options::TimelineOptions,
};
use crate::{
    adapters::{
        events::{self, Line},
        http::Query,
    },
    policy::timeline::{Event, merge},
};

/// What one entry returned.
#[derive(Default)]
struct Part {
    events: Vec<Event>,
    missing: BTreeSet<String>,
}

/// Prints the events of all entries in one order.
pub(super) async fn run(options: TimelineOptions) -> eyre::Result<()> {
    let ask = ask(&options);
    let client = Client::new(options.access);
    let calls = client
        .addrs()
        .iter()
        .map(|addr| client.call_at(*addr, &ask));
    let mut parts = Vec::new();
    let mut failed = Vec::new();
    for result in join_all(calls).await {
        match result {
            Ok(reply) => parts.push(read(&reply.success()?.body)),
            Err(e) => failed.push(e),
        }
    }
    for e in &failed {
        eprintln!("savorybeam: {e:#}");
    }
    if parts.is_empty() {
        return Err(eyre!("no entry answered"));
    }
    let missing = missing(&parts);
    let events = merge(parts.into_iter().map(|p| p.events));
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

fn ask(options: &TimelineOptions) -> Ask {
    let mut query = Query::default().with("limit", options.limit);
    if let Some(part) = options.part {
        query = query.with("part", part);
    }
    if let Some(after) = &options.after {
        query = query.with("after", after);
    }
    let mut ask = Ask::get(format!("/v1/timeline?{query}"));
    let accept = events::CONTENT_TYPE.to_owned();
    ask.headers.push(("accept", accept));
    ask
}

/// Returns the entries that are missing in every part.
fn missing(parts: &[Part]) -> BTreeSet<String> {
    let mut parts = parts.iter().map(|p| p.missing.clone());
    let first = parts.next().unwrap_or_default();
    parts.fold(first, |all, one| all.intersection(&one).cloned().collect())
}

fn read(lines: &str) -> Part {
    let mut part = Part::default();
    for line in lines.lines() {
        match events::decode(line) {
            Ok(Line::Event(event)) => part.events.push(event),
            Ok(Line::Missing(entry)) => {
                part.missing.insert(entry);
            }
            // During an upgrade, an entry may know more kinds than this command.
            Err(e) => eprintln!("savorybeam: an event is left out: {e}"),
        }
    }
    part
}

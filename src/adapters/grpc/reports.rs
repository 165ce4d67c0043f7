//! `Report` and `Events`: what an operator's question needs of other entries.

use std::net::SocketAddr;

use super::{
    head::{Head, Sender, malformed},
    peers::{CallError, Peers},
    server::Routes,
};
use crate::{
    domain::{ParseError, Revision, TargetId},
    policy::timeline::{Event, Stamp},
};

const REPORT: &str = "Report";
const EVENTS: &str = "Events";

/// The encoded question about a service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReportMessage {
    #[prost(string, tag = "1")]
    service: String,
}

/// The encoded report of one entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReportReply {
    #[prost(message, optional, tag = "1")]
    head: Option<Head>,
    #[prost(uint64, optional, tag = "2")]
    revision: Option<u64>,
    #[prost(message, repeated, tag = "3")]
    running: Vec<RunningMessage>,
}

/// The encoded count of requests at a target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RunningMessage {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(uint64, tag = "2")]
    count: u64,
}

/// What an entry says of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// The revision in effect, if it knows the service.
    pub revision: Option<Revision>,
    /// The targets at which its requests run, with how many.
    pub running: Vec<(TargetId, u64)>,
}

/// The encoded question for events.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EventsMessage {
    #[prost(string, tag = "1")]
    after: String,
    #[prost(string, tag = "2")]
    part: String,
    #[prost(uint32, tag = "3")]
    limit: u32,
}

/// The encoded events of one entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EventsReply {
    #[prost(message, repeated, tag = "1")]
    events: Vec<EventMessage>,
}

/// The encoded event.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EventMessage {
    #[prost(string, tag = "1")]
    stamp: String,
    #[prost(string, tag = "2")]
    kind: String,
    #[prost(string, tag = "3")]
    text: String,
}

/// Which events are asked for, as text; an empty text stands for any.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventsAsked {
    /// Only events after this stamp.
    pub after: String,
    /// Only events of this part.
    pub part: String,
    /// The most events.
    pub limit: u32,
}

/// Registers the closure that reports on a service.
#[must_use]
pub fn serve_report<F>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(&str) -> (Sender, Report) + Send + Sync + 'static,
{
    routes.route(REPORT, move |message: ReportMessage| {
        let f = f.clone();
        async move {
            let (sender, report) = f(&message.service);
            let running = report.running.iter().map(|(target, count)| RunningMessage {
                target: target.to_string(),
                count: *count,
            });
            Ok(ReportReply {
                head: sender.head(),
                revision: report.revision.map(|r| r.0),
                running: running.collect(),
            })
        }
    })
}

/// Asks the entry at `peer` about a service.
///
/// # Errors
///
/// As [`Peers::call`].
pub async fn report(peers: &Peers, peer: SocketAddr, service: &str) -> Result<Report, CallError> {
    let message = ReportMessage {
        service: service.to_owned(),
    };
    let reply: ReportReply = peers.call(peer, REPORT, message).await?;
    let read = |r: &RunningMessage| Ok((r.target.parse()?, r.count));
    let running: Result<_, ParseError> = reply.running.iter().map(read).collect();
    Ok(Report {
        revision: reply.revision.map(Revision),
        running: running.map_err(|e| CallError::unreadable(REPORT, peer, &e))?,
    })
}

/// Registers the closure that returns the events of this entry.
#[must_use]
pub fn serve_events<F>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(&EventsAsked) -> Result<Vec<Event>, ParseError> + Send + Sync + 'static,
{
    routes.route(EVENTS, move |message: EventsMessage| {
        let f = f.clone();
        async move {
            let asked = EventsAsked {
                after: message.after,
                part: message.part,
                limit: message.limit,
            };
            let events = f(&asked).map_err(malformed)?;
            let put = |e: &Event| EventMessage {
                stamp: e.stamp.to_string(),
                kind: e.kind.to_string(),
                text: e.text.clone(),
            };
            Ok(EventsReply {
                events: events.iter().map(put).collect(),
            })
        }
    })
}

/// Asks the entry at `peer` for its events.
///
/// # Errors
///
/// As [`Peers::call`].
pub async fn events(
    peers: &Peers,
    peer: SocketAddr,
    asked: &EventsAsked,
) -> Result<Vec<Event>, CallError> {
    let message = EventsMessage {
        after: asked.after.clone(),
        part: asked.part.clone(),
        limit: asked.limit,
    };
    let reply: EventsReply = peers.call(peer, EVENTS, message).await?;
    let read = |e: EventMessage| {
        Ok(Event {
            stamp: e.stamp.parse::<Stamp>()?,
            kind: e.kind.parse()?,
            text: e.text,
        })
    };
    let all: Result<Vec<Event>, ParseError> = reply.events.into_iter().map(read).collect();
    all.map_err(|e| CallError::unreadable(EVENTS, peer, &e))
}

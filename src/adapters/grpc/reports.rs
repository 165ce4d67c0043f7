//! `Report`, `Moves` and `Events`: the methods with which an entry collects
//! data from the others, to answer an operator's query or to follow a shift.

use std::net::SocketAddr;

use super::{
    peers::{CallError, Peers},
    sender::{Sender, SenderMessage, malformed},
    server::Routes,
};
use crate::{
    domain::{ParseError, PlaceName, Revision, ServiceName, TargetId},
    policy::{
        shift::{PlaceProgress, Progress, Share},
        timeline::{Event, Stamp},
    },
};

const REPORT: &str = "Report";
const MOVES: &str = "Moves";
const EVENTS: &str = "Events";

/// An encoded request for a report about a service.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ReportRequest {
    #[prost(string, tag = "1")]
    service: String,
}

/// An encoded [`Report`] with its sender.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ReportReply {
    #[prost(message, optional, tag = "1")]
    head: Option<SenderMessage>,
    #[prost(uint64, optional, tag = "2")]
    revision: Option<u64>,
    #[prost(message, repeated, tag = "3")]
    running: Vec<RunningMessage>,
}

/// An encoded request for the shifts in progress.
#[derive(Clone, Copy, prost::Message, PartialEq)]
pub struct MovesRequest {}

/// The encoded shifts in progress at one entry.
#[derive(Clone, prost::Message, PartialEq)]
pub struct MovesReply {
    #[prost(message, repeated, tag = "1")]
    moves: Vec<MoveMessage>,
}

/// The encoded shift of a service.
#[derive(Clone, prost::Message, PartialEq)]
pub struct MoveMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(message, optional, tag = "2")]
    progress: Option<ProgressMessage>,
}

/// The encoded [`Progress`] of a shift.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ProgressMessage {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(bool, tag = "2")]
    busy: bool,
    #[prost(message, repeated, tag = "3")]
    places: Vec<PlaceMessage>,
}

/// An encoded [`PlaceProgress`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct PlaceMessage {
    #[prost(string, tag = "1")]
    place: String,
    #[prost(uint32, tag = "2")]
    effective: u32,
    #[prost(uint32, tag = "3")]
    target: u32,
}

fn encode_progress(progress: &Progress) -> ProgressMessage {
    let encode = |(place, shares): (&PlaceName, &PlaceProgress)| PlaceMessage {
        place: place.to_string(),
        effective: shares.base.0,
        target: shares.target.0,
    };
    ProgressMessage {
        revision: progress.revision.0,
        busy: progress.has_traffic,
        places: progress.places.iter().map(encode).collect(),
    }
}

fn decode_progress(message: &ProgressMessage) -> Result<Progress, ParseError> {
    let decode = |p: &PlaceMessage| {
        let shares = PlaceProgress {
            base: Share(p.effective),
            target: Share(p.target),
        };
        Ok((p.place.parse()?, shares))
    };
    let places: Result<_, ParseError> = message.places.iter().map(decode).collect();
    Ok(Progress {
        revision: Revision(message.revision),
        has_traffic: message.busy,
        places: places?,
    })
}

/// The encoded number of requests that run at a target.
#[derive(Clone, prost::Message, PartialEq)]
pub struct RunningMessage {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(uint64, tag = "2")]
    count: u64,
}

/// An entry's report about a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// The revision in effect, or none if the entry does not know the service.
    pub revision: Option<Revision>,
    /// The number of running requests by target.
    pub running: Vec<(TargetId, u64)>,
}

/// An encoded [`EventsQuery`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct EventsRequest {
    #[prost(string, tag = "1")]
    after: String,
    #[prost(string, tag = "2")]
    part: String,
    #[prost(uint32, tag = "3")]
    limit: u32,
}

/// The encoded events of one entry.
#[derive(Clone, prost::Message, PartialEq)]
pub struct EventsReply {
    #[prost(message, repeated, tag = "1")]
    events: Vec<EventMessage>,
}

/// An encoded [`Event`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct EventMessage {
    #[prost(string, tag = "1")]
    stamp: String,
    #[prost(string, tag = "2")]
    kind: String,
    #[prost(string, tag = "3")]
    text: String,
}

/// A query for events. Empty strings match all events.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventsQuery {
    /// Only events after this stamp.
    pub after: String,
    /// Only events about this part of the system.
    pub part: String,
    /// The maximum number of events.
    pub limit: u32,
}

/// Registers the closure that reports on a service.
#[must_use]
pub fn serve_report<F>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(&str) -> (Sender, Report) + Send + Sync + 'static,
{
    routes.route(REPORT, move |message: ReportRequest| {
        let f = f.clone();
        async move {
            let (sender, report) = f(&message.service);
            let running = report.running.iter().map(|(target, count)| RunningMessage {
                target: target.to_string(),
                count: *count,
            });
            Ok(ReportReply {
                head: sender.encode(),
                revision: report.revision.map(|r| r.0),
                running: running.collect(),
            })
        }
    })
}

/// Requests the report of the entry at `peer` about a service.
///
/// # Errors
///
/// See [`Peers::call`].
pub async fn report(peers: &Peers, peer: SocketAddr, service: &str) -> Result<Report, CallError> {
    let message = ReportRequest {
        service: service.to_owned(),
    };
    let reply: ReportReply = peers.call(peer, REPORT, message).await?;
    let decode = |r: &RunningMessage| Ok((r.target.parse()?, r.count));
    let running: Result<_, ParseError> = reply.running.iter().map(decode).collect();
    Ok(Report {
        revision: reply.revision.map(Revision),
        running: running.map_err(|e| CallError::invalid_reply(REPORT, peer, &e))?,
    })
}

/// Registers the closure that returns the shifts in progress.
#[must_use]
pub fn serve_moves<F>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn() -> Vec<(ServiceName, Progress)> + Send + Sync + 'static,
{
    routes.route(MOVES, move |_: MovesRequest| {
        let f = f.clone();
        async move {
            let encode = |(service, progress): (ServiceName, Progress)| MoveMessage {
                service: service.to_string(),
                progress: Some(encode_progress(&progress)),
            };
            Ok(MovesReply {
                moves: f().into_iter().map(encode).collect(),
            })
        }
    })
}

/// Requests the shifts in progress at the entry at `peer`.
///
/// # Errors
///
/// See [`Peers::call`].
pub async fn moves(
    peers: &Peers,
    peer: SocketAddr,
) -> Result<Vec<(ServiceName, Progress)>, CallError> {
    let reply: MovesReply = peers.call(peer, MOVES, MovesRequest {}).await?;
    let decode = |m: &MoveMessage| {
        let progress = m.progress.clone().unwrap_or_default();
        Ok((m.service.parse()?, decode_progress(&progress)?))
    };
    let all: Result<Vec<_>, ParseError> = reply.moves.iter().map(decode).collect();
    all.map_err(|e| CallError::invalid_reply(MOVES, peer, &e))
}

/// Registers the closure that returns the matching events of this entry.
#[must_use]
pub fn serve_events<F>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(&EventsQuery) -> Result<Vec<Event>, ParseError> + Send + Sync + 'static,
{
    routes.route(EVENTS, move |message: EventsRequest| {
        let f = f.clone();
        async move {
            let query = EventsQuery {
                after: message.after,
                part: message.part,
                limit: message.limit,
            };
            let events = f(&query).map_err(malformed)?;
            let encode = |e: &Event| EventMessage {
                stamp: e.stamp.to_string(),
                kind: e.kind.to_string(),
                text: e.text.clone(),
            };
            Ok(EventsReply {
                events: events.iter().map(encode).collect(),
            })
        }
    })
}

/// Requests the matching events of the entry at `peer`.
///
/// # Errors
///
/// See [`Peers::call`].
pub async fn events(
    peers: &Peers,
    peer: SocketAddr,
    query: &EventsQuery,
) -> Result<Vec<Event>, CallError> {
    let message = EventsRequest {
        after: query.after.clone(),
        part: query.part.clone(),
        limit: query.limit,
    };
    let reply: EventsReply = peers.call(peer, EVENTS, message).await?;
    let decode = |e: EventMessage| {
        Ok(Event {
            stamp: e.stamp.parse::<Stamp>()?,
            kind: e.kind.parse()?,
            text: e.text,
        })
    };
    let all: Result<Vec<Event>, ParseError> = reply.events.into_iter().map(decode).collect();
    all.map_err(|e| CallError::invalid_reply(EVENTS, peer, &e))
}

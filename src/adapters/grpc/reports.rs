//! `Report` and `Events`: what an operator's question needs of other entries.

use std::net::SocketAddr;

use super::{
    head::{Head, Sender, malformed},
    peers::{CallError, Peers},
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

/// The encoded question about a service.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ReportMessage {
    #[prost(string, tag = "1")]
    service: String,
}

/// The encoded report of one entry.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ReportReply {
    #[prost(message, optional, tag = "1")]
    head: Option<Head>,
    #[prost(uint64, optional, tag = "2")]
    revision: Option<u64>,
    #[prost(message, repeated, tag = "3")]
    running: Vec<RunningMessage>,
}

/// The encoded question for moves.
#[derive(Clone, Copy, prost::Message, PartialEq)]
pub struct MovesMessage {}

/// The encoded moves of one entry.
#[derive(Clone, prost::Message, PartialEq)]
pub struct MovesReply {
    #[prost(message, repeated, tag = "1")]
    moves: Vec<MoveMessage>,
}

/// The encoded move of a service.
#[derive(Clone, prost::Message, PartialEq)]
pub struct MoveMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(message, optional, tag = "2")]
    progress: Option<ProgressMessage>,
}

/// The encoded progress of a move.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ProgressMessage {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(bool, tag = "2")]
    busy: bool,
    #[prost(message, repeated, tag = "3")]
    places: Vec<LevelMessage>,
}

/// The encoded progress of a place.
#[derive(Clone, prost::Message, PartialEq)]
pub struct LevelMessage {
    #[prost(string, tag = "1")]
    place: String,
    #[prost(uint32, tag = "2")]
    effective: u32,
    #[prost(uint32, tag = "3")]
    target: u32,
}

fn put_progress(progress: &Progress) -> ProgressMessage {
    let level = |(place, level): (&PlaceName, &PlaceProgress)| LevelMessage {
        place: place.to_string(),
        effective: level.base.0,
        target: level.target.0,
    };
    ProgressMessage {
        revision: progress.revision.0,
        busy: progress.has_traffic,
        places: progress.places.iter().map(level).collect(),
    }
}

fn get_progress(message: &ProgressMessage) -> Result<Progress, ParseError> {
    let level = |l: &LevelMessage| {
        let level = PlaceProgress {
            base: Share(l.effective),
            target: Share(l.target),
        };
        Ok((l.place.parse()?, level))
    };
    let places: Result<_, ParseError> = message.places.iter().map(level).collect();
    Ok(Progress {
        revision: Revision(message.revision),
        has_traffic: message.busy,
        places: places?,
    })
}

/// The encoded count of requests at a target.
#[derive(Clone, prost::Message, PartialEq)]
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
#[derive(Clone, prost::Message, PartialEq)]
pub struct EventsMessage {
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

/// The encoded event.
#[derive(Clone, prost::Message, PartialEq)]
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

/// Registers the closure that returns the moves that are under way.
#[must_use]
pub fn serve_moves<F>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn() -> Vec<(ServiceName, Progress)> + Send + Sync + 'static,
{
    routes.route(MOVES, move |_: MovesMessage| {
        let f = f.clone();
        async move {
            let put = |(service, progress): (ServiceName, Progress)| MoveMessage {
                service: service.to_string(),
                progress: Some(put_progress(&progress)),
            };
            Ok(MovesReply {
                moves: f().into_iter().map(put).collect(),
            })
        }
    })
}

/// Asks the entry at `peer` for the moves that are under way there.
///
/// # Errors
///
/// As [`Peers::call`].
pub async fn moves(
    peers: &Peers,
    peer: SocketAddr,
) -> Result<Vec<(ServiceName, Progress)>, CallError> {
    let reply: MovesReply = peers.call(peer, MOVES, MovesMessage {}).await?;
    let read = |m: &MoveMessage| {
        let progress = m.progress.clone().unwrap_or_default();
        Ok((m.service.parse()?, get_progress(&progress)?))
    };
    let all: Result<Vec<_>, ParseError> = reply.moves.iter().map(read).collect();
    all.map_err(|e| CallError::unreadable(MOVES, peer, &e))
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

//! Operators' queries that are answered by all entries.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use futures::StreamExt;

use crate::{
    adapters::grpc::{self, EventsQuery, Report},
    app::entry::State,
    domain::{EntryId, ParseError, ServiceName},
    policy::{member, timeline::Event},
    ports::{EventQuery, admin::GatheredEvents},
};

/// How many entries are queried at the same time. A query goes to every entry of
/// the fleet, and this bound prevents a burst of calls.
const CONCURRENT_CALLS: usize = 32;

/// Returns this entry's report about a service.
pub(super) fn local_report(state: &State, service: &str) -> Report {
    let Ok(name) = service.parse::<ServiceName>() else {
        return Report::default();
    };
    let report = state.services.get(&name, |s| {
        let doc = s.doc.document();
        let targets = doc
            .iter()
            .flat_map(|d| &d.places)
            .flat_map(|p| p.targets.iter());
        let count = |t: &crate::domain::TargetId| (*t, state.observer.running(*t));
        Report {
            revision: Some(s.doc.revision()),
            running: targets.map(count).filter(|(_, n)| *n > 0).collect(),
        }
    });
    report.unwrap_or_default()
}

/// Returns the events of this entry.
pub(super) fn local_events(state: &State, message: &EventsQuery) -> Result<Vec<Event>, ParseError> {
    let part = |text: &str| (!text.is_empty()).then(|| text.parse()).transpose();
    let after = (!message.after.is_empty())
        .then(|| message.after.parse())
        .transpose()?;
    let query = EventQuery {
        after,
        part: part(&message.part)?,
        limit: usize::try_from(message.limit).unwrap_or(usize::MAX),
    };
    Ok((state.events.read)(&query))
}

/// Returns the other entries that may have requests running, with their
/// addresses as far as they are known.
///
/// An entry that membership considers dead may only be frozen or partitioned and
/// still have requests running, so it is included as long as the roster lists it.
fn others(state: &State) -> Vec<(EntryId, Option<SocketAddr>)> {
    let rosters = state.fleet.rosters();
    let members = state.fleet.members();
    let me = members.local().id.clone();
    let live = members.all().filter(|(_, s)| *s != member::State::Dead);
    let live = live.map(|(m, _)| m.id.clone());
    let seats = rosters.record.current.seats.iter();
    let ids: BTreeSet<EntryId> = live.chain(seats.map(|s| s.entry.clone())).collect();
    let others = ids.into_iter().filter(|id| *id != me);
    others
        .map(|id| {
            let address = members.get(&id).map(|(m, _)| m.peers);
            (id, address)
        })
        .collect()
}

/// Collects the reports of all entries about a service, including this one. An
/// entry that does not reply is listed without a report.
pub(in crate::app::entry) async fn gather_reports(
    state: &Arc<State>,
    service: &ServiceName,
) -> Vec<(EntryId, Option<Report>)> {
    let own = (
        state.me.entry.clone(),
        Some(local_report(state, service.as_str())),
    );
    let calls = others(state)
        .into_iter()
        .map(|(entry, address)| async move {
            let Some(address) = address else {
                return (entry, None);
            };
            let report = grpc::report(&state.fleet.peers, address, service.as_str()).await;
            (entry, report.ok())
        });
    let calls: Vec<_> = calls.collect();
    let mut reports: Vec<_> = futures::stream::iter(calls)
        .buffer_unordered(CONCURRENT_CALLS)
        .collect()
        .await;
    reports.push(own);
    reports.sort_by(|a, b| a.0.cmp(&b.0));
    reports
}

/// Collects the events of all entries, ordered by stamp, and lists the entries
/// that did not reply.
pub(in crate::app::entry) async fn gather_events(
    state: &Arc<State>,
    query: EventQuery,
) -> GatheredEvents {
    let message = EventsQuery {
        after: query
            .after
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        part: query.part.map(|p| p.to_string()).unwrap_or_default(),
        limit: u32::try_from(query.limit).unwrap_or(u32::MAX),
    };
    let mut gathered = GatheredEvents {
        events: (state.events.read)(&query),
        missing: Vec::new(),
    };
    let message = &message;
    let calls = others(state)
        .into_iter()
        .map(|(entry, address)| async move {
            let Some(address) = address else {
                return (entry, None);
            };
            let events = grpc::events(&state.fleet.peers, address, message).await;
            (entry, events.ok())
        });
    let calls: Vec<_> = calls.collect();
    let mut answers = futures::stream::iter(calls).buffer_unordered(CONCURRENT_CALLS);
    while let Some((entry, events)) = answers.next().await {
        match events {
            Some(events) => gathered.events.extend(events),
            None => gathered.missing.push(entry.to_string()),
        }
    }
    gathered.events.sort_by(|a, b| a.stamp.cmp(&b.stamp));
    gathered.missing.sort();
    gathered
}

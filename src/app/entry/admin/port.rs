//! The [`AdminPort`] of a running entry.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    adapters::grpc::Report,
    app::entry::{Service, State, control, limits::is_workspace_limit, observe::Observer},
    domain::{Document, EntryId, LimitName, PlaceName, PlaceState, ServiceName, TargetId},
    policy::{
        limit::{self, WORKSPACE_REQUEST},
        member,
        shift::Shift,
    },
    ports::{
        AdminPort,
        admin::{
            Drain, EntryRevision, Limit, MemberStatus, PlaceStatus, Remaining, ServiceStatus,
            Status,
        },
    },
};

/// Returns the state of an entry that operators may see. Drains, the document
/// revisions in effect and the timeline are collected from all entries at each
/// request.
#[must_use]
pub fn port(state: &Arc<State>) -> AdminPort {
    let started = (state.ports.clock.now)();
    let clone_state = || state.clone();
    let (for_unready, for_status, for_limits) = (clone_state(), clone_state(), clone_state());
    let (for_drains, for_revisions, for_timeline) = (clone_state(), clone_state(), clone_state());
    let decisions = state.observer.decisions.clone();
    AdminPort {
        unready_reason: Arc::new(move || for_unready.unready_reason()),
        status: Arc::new(move || {
            let uptime = (for_status.ports.clock.now)() - started;
            status(&for_status, uptime.0)
        }),
        drains: Arc::new(move |()| {
            let state = for_drains.clone();
            Box::pin(async move { drains(&state).await })
        }),
        limits: Arc::new(move || limits(&for_limits)),
        explain: Arc::new(move |service| decisions.read(service)),
        entry_revisions: Arc::new(move |service| {
            let state = for_revisions.clone();
            Box::pin(async move { entry_revisions(&state, &service).await })
        }),
        timeline: Arc::new(move |query| {
            let state = for_timeline.clone();
            Box::pin(async move { control::gather_events(&state, query).await })
        }),
    }
}

fn status(state: &State, uptime: u64) -> Status {
    let mut services = Vec::new();
    state
        .services
        .each(|name, s| services.extend(service(name, s, &state.observer)));
    services.sort_by(|a, b| a.service.cmp(&b.service));
    let settings = &state.settings;
    Status {
        entry: settings.name.to_string(),
        region: settings.region.to_string(),
        az: settings.az.to_string(),
        incarnation: state.me.incarnation.0,
        uptime_ms: uptime,
        ready: state.unready_reason().is_none(),
        store_up: state.ports.metrics.store_up(),
        services,
        members: members(state),
    }
}

fn members(state: &State) -> Vec<MemberStatus> {
    let members = state.fleet.members();
    let me = &members.local().id;
    let others = members.all().filter(|(m, _)| m.id != *me);
    let status = |(m, state): (&member::Member, member::State)| MemberStatus {
        entry: m.id.to_string(),
        region: m.region.to_string(),
        state: state.to_string(),
        incarnation: m.incarnation.0,
    };
    others.map(status).collect()
}

fn service(name: &ServiceName, service: &Service, observer: &Observer) -> Option<ServiceStatus> {
    let doc = service.doc.document()?;
    let targets = doc.places.iter().flat_map(|p| &p.targets);
    Some(ServiceStatus {
        service: name.to_string(),
        revision: service.doc.revision().0,
        running: targets.map(|t| observer.running(*t)).sum(),
        places: places(doc, service.shift.as_ref()),
    })
}

fn places(doc: &Document, shift: Option<&Shift>) -> Vec<PlaceStatus> {
    let share = |name: &PlaceName| {
        let mut shares = shift.into_iter().flat_map(Shift::shares);
        let found = shares.find(|s| s.name == name);
        // Shares are in millionths, the status is in thousandths.
        found.map_or(0, |s| s.effective.0 / 1000)
    };
    let status = |p: &crate::domain::Place| {
        let accepting = p.targets.iter().filter(|t| !p.leaving.contains(t)).count();
        let accepting = if p.state == PlaceState::Active {
            accepting
        } else {
            0
        };
        PlaceStatus {
            place: p.name.to_string(),
            state: p.state.to_string(),
            weight: p.weight.0,
            effective: share(&p.name),
            targets: u32::try_from(accepting).unwrap_or(u32::MAX),
        }
    };
    doc.places.iter().map(status).collect()
}

fn limits(state: &State) -> Vec<Limit> {
    let mut limits = Vec::new();
    state
        .limits
        .each(|name, ledger| limits.push(limit(name, ledger)));
    limits.sort_by(|a, b| a.limit.cmp(&b.limit));
    limits
}

fn limit(name: &LimitName, ledger: &limit::Ledger) -> Limit {
    let status = ledger.status();
    let unit = match ledger.limit() {
        limit::Limit::Slots(_) => "slot".to_owned(),
        limit::Limit::Rate { rate, .. } if is_workspace_limit(name) => {
            let (whole, rest) = (rate / WORKSPACE_REQUEST, rate % WORKSPACE_REQUEST);
            format!("1/{} of {whole}.{rest:03}/s", limit::RATE_UNITS)
        }
        limit::Limit::Rate { rate, .. } => format!("1/{} of {rate}/s", limit::RATE_UNITS),
    };
    Limit {
        limit: name.to_string(),
        unit,
        total: u64::from(status.size),
        home: u64::from((status.usable + status.lent).saturating_sub(status.borrowed)),
        lent: u64::from(status.lent),
        borrowed: u64::from(status.borrowed),
        used: u64::from(status.busy),
    }
}

async fn entry_revisions(state: &Arc<State>, service: &ServiceName) -> Vec<EntryRevision> {
    let reports = control::gather_reports(state, service).await;
    let entry_revision = |(entry, report): (EntryId, Option<Report>)| EntryRevision {
        entry: entry.to_string(),
        revision: report.and_then(|r| r.revision).map(|r| r.0),
    };
    reports.into_iter().map(entry_revision).collect()
}

/// A place that is leaving, or a leaving target of a place.
struct DrainSubject {
    service: ServiceName,
    place: PlaceName,
    target: Option<TargetId>,
    targets: Vec<TargetId>,
    revision: u64,
}

async fn drains(state: &Arc<State>) -> Vec<Drain> {
    let mut leaving = Vec::new();
    state
        .services
        .each(|name, s| leaving.extend(drain_subjects(name, s)));
    leaving.sort_by(|a, b| (&a.service, &a.place, a.target).cmp(&(&b.service, &b.place, b.target)));
    let mut drains = Vec::new();
    for subject in leaving {
        let reports = control::gather_reports(state, &subject.service).await;
        drains.push(drain(&subject, reports));
    }
    drains
}

/// Returns the leaving places and targets, each with the number of requests that
/// run there through this entry.
pub(super) fn running_by_subject(state: &State) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    state.services.each(|name, s| {
        for subject in drain_subjects(name, s) {
            let targets = subject.targets.iter();
            let running = targets.map(|t| state.observer.running(*t)).sum();
            let mut text = format!("{} place {}", subject.service, subject.place);
            if let Some(target) = subject.target {
                text = format!("{text} target {target}");
            }
            all.insert(text, running);
        }
    });
    all
}

fn drain_subjects(name: &ServiceName, service: &Service) -> Vec<DrainSubject> {
    let Some(doc) = service.doc.document() else {
        return Vec::new();
    };
    let subject = |place: &PlaceName, target, targets| DrainSubject {
        service: name.clone(),
        place: place.clone(),
        target,
        targets,
        revision: service.doc.revision().0,
    };
    let mut found = Vec::new();
    for place in &doc.places {
        if place.state == PlaceState::Leaving {
            found.push(subject(&place.name, None, place.targets.clone()));
            continue;
        }
        let targets = place.leaving.iter();
        found.extend(targets.map(|t| subject(&place.name, Some(*t), vec![*t])));
    }
    found
}

fn drain(subject: &DrainSubject, reports: Vec<(EntryId, Option<Report>)>) -> Drain {
    let remaining: Vec<Remaining> = reports.into_iter().map(|r| remaining(subject, r)).collect();
    let done = |r: &Remaining| r.running == Some(0) && r.revision >= Some(subject.revision);
    Drain {
        service: subject.service.to_string(),
        place: subject.place.to_string(),
        target: subject.target.map(|t| t.to_string()),
        revision: subject.revision,
        complete: remaining.iter().all(done),
        remaining,
    }
}

fn remaining(subject: &DrainSubject, (entry, report): (EntryId, Option<Report>)) -> Remaining {
    let running = report.as_ref().map(|r| {
        let matching = r
            .running
            .iter()
            .filter(|(t, _)| subject.targets.contains(t));
        matching.map(|(_, n)| n).sum()
    });
    Remaining {
        entry: entry.to_string(),
        running,
        revision: report.and_then(|r| r.revision).map(|r| r.0),
    }
}

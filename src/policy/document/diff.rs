//! What an edit would change, for dry runs and the timeline.

use std::{collections::BTreeSet, fmt};

use crate::domain::{
    AzName, Document, Lane, Millis, Place, PlaceName, PlaceState, Priority, RegionName, Route, Rps,
    ServiceName, Slots, TargetId, TeamName, Weight,
};

/// One difference between two documents. The pairs are the former and the new
/// value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The service gets its first document.
    ServiceAdded(ServiceName),
    /// The service's document is deleted.
    ServiceRemoved(ServiceName),
    /// Another team owns the document.
    Team(TeamName, TeamName),
    /// The default deadline.
    Deadline(Millis, Millis),
    /// The cap on shifted traffic.
    ShiftCap(Rps, Rps),
    /// A new place with its weight.
    PlaceAdded(PlaceName, Weight),
    /// A place is gone, with its former weight.
    PlaceRemoved(PlaceName, Weight),
    /// A place is in another region.
    Region(PlaceName, RegionName, RegionName),
    /// A place is in another availability zone.
    Az(PlaceName, AzName, AzName),
    /// A place takes another part of the traffic.
    Weight(PlaceName, Weight, Weight),
    /// A place starts or stops taking new work.
    State(PlaceName, PlaceState, PlaceState),
    /// The slots of each target of a place.
    Slots(PlaceName, Slots, Slots),
    /// A place has a new target.
    TargetAdded(PlaceName, TargetId),
    /// A target is no longer in its place.
    TargetRemoved(PlaceName, TargetId),
    /// A target gets no new work from now on.
    TargetLeaving(PlaceName, TargetId),
    /// A target gets new work again.
    TargetStaying(PlaceName, TargetId),
    /// A new route.
    RouteAdded(String),
    /// A route is gone.
    RouteRemoved(String),
    /// The declared lane of a route.
    Lane(String, Option<Lane>, Option<Lane>),
    /// The priority of a route.
    Priority(String, Priority, Priority),
    /// Whether a route's requests may be repeated.
    Idempotent(String, Option<bool>, Option<bool>),
}

/// Lists the changes from one document to another, where none stands for no
/// document.
///
/// The order of places, targets and routes in the text has no effect, so it is
/// not a change.
#[must_use]
pub fn diff(old: Option<&Document>, new: Option<&Document>) -> Vec<Change> {
    match (old, new) {
        (None, None) => Vec::new(),
        (Some(old), None) => vec![Change::ServiceRemoved(old.service.clone())],
        (None, Some(new)) => added(new),
        (Some(old), Some(new)) if old.service != new.service => {
            let mut changes = vec![Change::ServiceRemoved(old.service.clone())];
            changes.extend(added(new));
            changes
        }
        (Some(old), Some(new)) => changed(old, new),
    }
}

fn added(new: &Document) -> Vec<Change> {
    let mut changes = vec![Change::ServiceAdded(new.service.clone())];
    places(&[], &new.places, &mut changes);
    routes(&[], &new.routes, &mut changes);
    changes
}

fn changed(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    if old.team != new.team {
        changes.push(Change::Team(old.team.clone(), new.team.clone()));
    }
    if old.deadline != new.deadline {
        changes.push(Change::Deadline(old.deadline, new.deadline));
    }
    if old.shift_cap != new.shift_cap {
        changes.push(Change::ShiftCap(old.shift_cap, new.shift_cap));
    }
    places(&old.places, &new.places, &mut changes);
    routes(&old.routes, &new.routes, &mut changes);
    changes
}

fn places(old: &[Place], new: &[Place], out: &mut Vec<Change>) {
    for o in old.iter().filter(|o| new.iter().all(|n| n.name != o.name)) {
        out.push(Change::PlaceRemoved(o.name.clone(), o.weight));
    }
    for n in new {
        if let Some(o) = old.iter().find(|o| o.name == n.name) {
            place(o, n, out);
            continue;
        }
        out.push(Change::PlaceAdded(n.name.clone(), n.weight));
        state(PlaceState::Active, n, out);
        targets(n, &[], &n.targets, Change::TargetAdded, out);
        targets(n, &[], &n.leaving, Change::TargetLeaving, out);
    }
}

fn place(old: &Place, new: &Place, out: &mut Vec<Change>) {
    let name = || new.name.clone();
    if old.region != new.region {
        let pair = (old.region.clone(), new.region.clone());
        out.push(Change::Region(name(), pair.0, pair.1));
    }
    if old.az != new.az {
        out.push(Change::Az(name(), old.az.clone(), new.az.clone()));
    }
    if old.weight != new.weight {
        out.push(Change::Weight(name(), old.weight, new.weight));
    }
    state(old.state, new, out);
    if old.slots != new.slots {
        out.push(Change::Slots(name(), old.slots, new.slots));
    }
    targets(new, &new.targets, &old.targets, Change::TargetRemoved, out);
    targets(new, &old.targets, &new.targets, Change::TargetAdded, out);
    targets(new, &old.leaving, &new.leaving, Change::TargetLeaving, out);
    // A target that is removed altogether does not get new work again.
    let stays = |t: &&TargetId| new.targets.contains(t);
    let freed: Vec<TargetId> = old.leaving.iter().filter(stays).copied().collect();
    targets(new, &new.leaving, &freed, Change::TargetStaying, out);
}

fn state(old: PlaceState, new: &Place, out: &mut Vec<Change>) {
    if old != new.state {
        out.push(Change::State(new.name.clone(), old, new.state));
    }
}

/// Notes every target in `to` that is not in `from`.
fn targets(
    place: &Place,
    from: &[TargetId],
    to: &[TargetId],
    change: impl Fn(PlaceName, TargetId) -> Change,
    out: &mut Vec<Change>,
) {
    let only: BTreeSet<_> = to.iter().filter(|t| !from.contains(t)).collect();
    out.extend(only.into_iter().map(|t| change(place.name.clone(), *t)));
}

fn routes(old: &[Route], new: &[Route], out: &mut Vec<Change>) {
    let gone = |o: &&Route| new.iter().all(|n| n.prefix != o.prefix);
    for o in old.iter().filter(gone) {
        out.push(Change::RouteRemoved(o.prefix.clone()));
    }
    for n in new {
        match old.iter().find(|o| o.prefix == n.prefix) {
            Some(o) => route(o, n, out),
            None => out.push(Change::RouteAdded(n.prefix.clone())),
        }
    }
}

fn route(old: &Route, new: &Route, out: &mut Vec<Change>) {
    let prefix = || new.prefix.clone();
    if old.lane != new.lane {
        out.push(Change::Lane(prefix(), old.lane, new.lane));
    }
    if old.priority != new.priority {
        out.push(Change::Priority(prefix(), old.priority, new.priority));
    }
    if old.idempotent != new.idempotent {
        let pair = (old.idempotent, new.idempotent);
        out.push(Change::Idempotent(prefix(), pair.0, pair.1));
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ServiceAdded(s) => write!(f, "service {s}: added"),
            Self::ServiceRemoved(s) => write!(f, "service {s}: removed"),
            Self::Team(a, b) => write!(f, "team: {a} -> {b}"),
            Self::Deadline(a, b) => write!(f, "deadline: {a} -> {b}"),
            Self::ShiftCap(a, b) => write!(f, "shift-cap: {a} -> {b}"),
            Self::PlaceAdded(p, w) => write!(f, "place {p}: added with weight {w}"),
            Self::PlaceRemoved(p, w) => write!(f, "place {p}: removed, had weight {w}"),
            Self::Region(p, a, b) => write!(f, "place {p}: region: {a} -> {b}"),
            Self::Az(p, a, b) => write!(f, "place {p}: az: {a} -> {b}"),
            Self::Weight(p, a, b) => write!(f, "place {p}: weight: {a} -> {b}"),
            Self::State(p, a, b) => write!(f, "place {p}: state: {a} -> {b}"),
            Self::Slots(p, a, b) => write!(f, "place {p}: slots: {a} -> {b}"),
            Self::TargetAdded(p, t) => write!(f, "place {p}: target {t}: added"),
            Self::TargetRemoved(p, t) => write!(f, "place {p}: target {t}: removed"),
            Self::TargetLeaving(p, t) => write!(f, "place {p}: target {t}: leaving"),
            Self::TargetStaying(p, t) => write!(f, "place {p}: target {t}: no longer leaving"),
            Self::RouteAdded(r) => write!(f, "route {r}: added"),
            Self::RouteRemoved(r) => write!(f, "route {r}: removed"),
            Self::Lane(r, a, b) => write!(f, "route {r}: lane: {} -> {}", or(*a), or(*b)),
            Self::Priority(r, a, b) => write!(f, "route {r}: priority: {a} -> {b}"),
            Self::Idempotent(r, a, b) => {
                write!(f, "route {r}: idempotent: {} -> {}", or(*a), or(*b))
            }
        }
    }
}

fn or(value: Option<impl fmt::Display>) -> String {
    value.map_or_else(|| "unset".to_owned(), |v| v.to_string())
}

//! Differences between two documents, for dry runs and the timeline.

use std::{collections::BTreeSet, fmt};

use crate::domain::{
    AzName, Document, KeyDigest, Lane, Millis, Place, PlaceName, PlaceState, Priority, Quota, Rank,
    RegionName, Route, Rps, ServiceName, Slots, TargetId, TeamName, Weight, Workspace,
    WorkspaceName,
};

/// One difference between two documents. A pair of values of the same type is
/// the old and the new value.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The service has a document where it had none.
    ServiceAdded(ServiceName),
    /// The service's document is deleted.
    ServiceRemoved(ServiceName),
    /// Another team owns the document.
    Team(TeamName, TeamName),
    /// The default deadline of requests differs.
    Deadline(Millis, Millis),
    /// The cap on the rate of shifted traffic differs.
    ShiftCap(Rps, Rps),
    /// A place is added, with its weight.
    PlaceAdded(PlaceName, Weight),
    /// A place is removed, with its old weight.
    PlaceRemoved(PlaceName, Weight),
    /// A place is in another region.
    Region(PlaceName, RegionName, RegionName),
    /// A place is in another availability zone.
    Az(PlaceName, AzName, AzName),
    /// The weight of a place differs.
    Weight(PlaceName, Weight, Weight),
    /// A place starts or stops accepting new requests.
    State(PlaceName, PlaceState, PlaceState),
    /// The number of slots of each target of a place differs.
    Slots(PlaceName, Slots, Slots),
    /// A target is added to a place.
    TargetAdded(PlaceName, TargetId),
    /// A target is removed from a place.
    TargetRemoved(PlaceName, TargetId),
    /// A target gets no new requests from this revision on.
    TargetLeaving(PlaceName, TargetId),
    /// A target that was leaving gets new requests again.
    TargetStaying(PlaceName, TargetId),
    /// A route is added, identified by its path prefix.
    RouteAdded(String),
    /// A route is removed, identified by its path prefix.
    RouteRemoved(String),
    /// The declared lane of a route differs.
    Lane(String, Option<Lane>, Option<Lane>),
    /// The priority of a route differs.
    Priority(String, Priority, Priority),
    /// The declaration whether a route's requests may be repeated differs.
    Idempotent(String, Option<bool>, Option<bool>),
    /// Whether callers of a route need no key differs.
    Public(String, bool, bool),
    /// A workspace is added.
    WorkspaceAdded(WorkspaceName),
    /// A workspace is removed, with all of its keys.
    WorkspaceRemoved(WorkspaceName),
    /// A workspace has a further key.
    KeyAdded(WorkspaceName, KeyDigest),
    /// A key of a workspace is withdrawn.
    KeyRemoved(WorkspaceName, KeyDigest),
    /// The rank of a workspace differs.
    Rank(WorkspaceName, Option<Rank>, Option<Rank>),
    /// The limit of a workspace differs.
    Quota(WorkspaceName, Option<Quota>, Option<Quota>),
    /// The homes of a workspace differ. Empty homes allow all regions.
    Homes(WorkspaceName, Vec<RegionName>, Vec<RegionName>),
}

/// Returns the changes from one document to another. `None` stands for a
/// missing document.
///
/// The order of places, targets and routes in the text has no effect, so a
/// different order is not a change.
#[must_use]
pub fn diff(old: Option<&Document>, new: Option<&Document>) -> Vec<Change> {
    match (old, new) {
        (None, None) => Vec::new(),
        (Some(old), None) => vec![Change::ServiceRemoved(old.service.clone())],
        (None, Some(new)) => diff_from_nothing(new),
        (Some(old), Some(new)) if old.service != new.service => {
            let mut changes = vec![Change::ServiceRemoved(old.service.clone())];
            changes.extend(diff_from_nothing(new));
            changes
        }
        (Some(old), Some(new)) => diff_documents(old, new),
    }
}

fn diff_from_nothing(new: &Document) -> Vec<Change> {
    let mut changes = vec![Change::ServiceAdded(new.service.clone())];
    diff_places(&[], &new.places, &mut changes);
    diff_routes(&[], &new.routes, &mut changes);
    diff_workspaces(&[], &new.workspaces, &mut changes);
    changes
}

fn diff_documents(old: &Document, new: &Document) -> Vec<Change> {
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
    diff_places(&old.places, &new.places, &mut changes);
    diff_routes(&old.routes, &new.routes, &mut changes);
    diff_workspaces(&old.workspaces, &new.workspaces, &mut changes);
    changes
}

fn diff_places(old: &[Place], new: &[Place], out: &mut Vec<Change>) {
    for o in old.iter().filter(|o| new.iter().all(|n| n.name != o.name)) {
        out.push(Change::PlaceRemoved(o.name.clone(), o.weight));
    }
    for n in new {
        if let Some(o) = old.iter().find(|o| o.name == n.name) {
            diff_place(o, n, out);
            continue;
        }
        out.push(Change::PlaceAdded(n.name.clone(), n.weight));
        diff_state(PlaceState::Active, n, out);
        diff_targets(n, &[], &n.targets, Change::TargetAdded, out);
        diff_targets(n, &[], &n.leaving, Change::TargetLeaving, out);
    }
}

fn diff_place(old: &Place, new: &Place, out: &mut Vec<Change>) {
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
    diff_state(old.state, new, out);
    if old.slots != new.slots {
        out.push(Change::Slots(name(), old.slots, new.slots));
    }
    diff_targets(new, &new.targets, &old.targets, Change::TargetRemoved, out);
    diff_targets(new, &old.targets, &new.targets, Change::TargetAdded, out);
    diff_targets(new, &old.leaving, &new.leaving, Change::TargetLeaving, out);
    // A leaving target that is removed from the place gets no new requests, so
    // it is not reported as staying.
    let present = |t: &&TargetId| new.targets.contains(t);
    let was_leaving: Vec<TargetId> = old.leaving.iter().filter(present).copied().collect();
    diff_targets(new, &new.leaving, &was_leaving, Change::TargetStaying, out);
}

fn diff_state(old: PlaceState, new: &Place, out: &mut Vec<Change>) {
    if old != new.state {
        out.push(Change::State(new.name.clone(), old, new.state));
    }
}

/// Adds a change for every target in `to` that is not in `from`.
fn diff_targets(
    place: &Place,
    from: &[TargetId],
    to: &[TargetId],
    change: impl Fn(PlaceName, TargetId) -> Change,
    out: &mut Vec<Change>,
) {
    let added: BTreeSet<_> = to.iter().filter(|t| !from.contains(t)).collect();
    out.extend(added.into_iter().map(|t| change(place.name.clone(), *t)));
}

fn diff_routes(old: &[Route], new: &[Route], out: &mut Vec<Change>) {
    let removed = |o: &&Route| new.iter().all(|n| n.prefix != o.prefix);
    for o in old.iter().filter(removed) {
        out.push(Change::RouteRemoved(o.prefix.clone()));
    }
    for n in new {
        if let Some(o) = old.iter().find(|o| o.prefix == n.prefix) {
            diff_route(o, n, out);
            continue;
        }
        out.push(Change::RouteAdded(n.prefix.clone()));
        if n.public {
            out.push(Change::Public(n.prefix.clone(), false, true));
        }
    }
}

fn diff_route(old: &Route, new: &Route, out: &mut Vec<Change>) {
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
    if old.public != new.public {
        out.push(Change::Public(prefix(), old.public, new.public));
    }
}

fn diff_workspaces(old: &[Workspace], new: &[Workspace], out: &mut Vec<Change>) {
    let removed = |o: &&Workspace| new.iter().all(|n| n.name != o.name);
    for o in old.iter().filter(removed) {
        out.push(Change::WorkspaceRemoved(o.name.clone()));
    }
    for n in new {
        if let Some(o) = old.iter().find(|o| o.name == n.name) {
            diff_workspace(o, n, out);
            continue;
        }
        out.push(Change::WorkspaceAdded(n.name.clone()));
        let empty = Workspace {
            name: n.name.clone(),
            keys: Vec::new(),
            rank: None,
            quota: None,
            home_regions: Vec::new(),
        };
        diff_workspace(&empty, n, out);
    }
}

fn diff_workspace(old: &Workspace, new: &Workspace, out: &mut Vec<Change>) {
    let name = || new.name.clone();
    let missing = |key: &&KeyDigest, keys: &[KeyDigest]| !keys.contains(key);
    let removed = old.keys.iter().filter(|key| missing(key, &new.keys));
    out.extend(removed.map(|key| Change::KeyRemoved(name(), *key)));
    let added = new.keys.iter().filter(|key| missing(key, &old.keys));
    out.extend(added.map(|key| Change::KeyAdded(name(), *key)));
    if old.rank != new.rank {
        out.push(Change::Rank(name(), old.rank, new.rank));
    }
    if old.quota != new.quota {
        out.push(Change::Quota(name(), old.quota, new.quota));
    }
    let sorted = |homes: &[RegionName]| homes.iter().cloned().collect::<BTreeSet<_>>();
    if sorted(&old.home_regions) != sorted(&new.home_regions) {
        let homes = (old.home_regions.clone(), new.home_regions.clone());
        out.push(Change::Homes(name(), homes.0, homes.1));
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
            Self::Lane(r, a, b) => {
                write!(f, "route {r}: lane: {} -> {}", or_unset(*a), or_unset(*b))
            }
            Self::Priority(r, a, b) => write!(f, "route {r}: priority: {a} -> {b}"),
            Self::Idempotent(r, a, b) => {
                write!(
                    f,
                    "route {r}: idempotent: {} -> {}",
                    or_unset(*a),
                    or_unset(*b)
                )
            }
            Self::Public(r, a, b) => write!(f, "route {r}: public: {a} -> {b}"),
            Self::WorkspaceAdded(w) => write!(f, "workspace {w}: added"),
            Self::WorkspaceRemoved(w) => write!(f, "workspace {w}: removed"),
            Self::KeyAdded(w, k) => write!(f, "workspace {w}: key {k}: added"),
            Self::KeyRemoved(w, k) => write!(f, "workspace {w}: key {k}: withdrawn"),
            Self::Rank(w, a, b) => {
                let [a, b] = [a, b].map(|rank| or_unset(rank.map(Priority::from)));
                write!(f, "workspace {w}: priority: {a} -> {b}")
            }
            Self::Quota(w, a, b) => {
                write!(
                    f,
                    "workspace {w}: limit: {} -> {}",
                    or_unset(*a),
                    or_unset(*b)
                )
            }
            Self::Homes(w, a, b) => {
                write!(
                    f,
                    "workspace {w}: homes: {} -> {}",
                    join_homes(a),
                    join_homes(b)
                )
            }
        }
    }
}

fn join_homes(homes: &[RegionName]) -> String {
    let names: Vec<&str> = homes.iter().map(RegionName::as_str).collect();
    if names.is_empty() {
        "all".to_owned()
    } else {
        names.join(", ")
    }
}

fn or_unset(value: Option<impl fmt::Display>) -> String {
    value.map_or_else(|| "unset".to_owned(), |v| v.to_string())
}

//! Typed differences between two documents as JSON.

use std::fmt::Display;

use serde_json::{Value, json};

use crate::{
    domain::{Priority, RegionName},
    policy::document::Change,
};

pub(super) fn render(all: &[Change]) -> Value {
    all.iter().map(change_json).collect()
}

fn change_json(change: &Change) -> Value {
    let (kind, subject, from, to) = fields(change);
    json!({
        "change": kind,
        "subject": subject,
        "from": from,
        "to": to,
        "text": change.to_string(),
    })
}

type Fields = (&'static str, String, Option<String>, Option<String>);

fn fields(change: &Change) -> Fields {
    match change {
        Change::ServiceAdded(s) => added("service-added", "", s),
        Change::ServiceRemoved(s) => removed("service-removed", "", s),
        Change::Team(a, b) => changed("team", "", a, b),
        Change::Deadline(a, b) => changed("deadline", "", a, b),
        Change::ShiftCap(a, b) => changed("shift-cap", "", a, b),
        Change::PlaceAdded(p, w) => added("place-added", p, w),
        Change::PlaceRemoved(p, w) => removed("place-removed", p, w),
        Change::Region(p, a, b) => changed("region", p, a, b),
        Change::Az(p, a, b) => changed("az", p, a, b),
        Change::Weight(p, a, b) => changed("weight", p, a, b),
        Change::State(p, a, b) => changed("state", p, a, b),
        Change::Slots(p, a, b) => changed("slots", p, a, b),
        Change::TargetAdded(p, t) => added("target-added", p, t),
        Change::TargetRemoved(p, t) => removed("target-removed", p, t),
        Change::TargetLeaving(p, t) => added("target-leaving", p, t),
        Change::TargetStaying(p, t) => removed("target-staying", p, t),
        Change::RouteAdded(r) => added("route-added", r, r),
        Change::RouteRemoved(r) => removed("route-removed", r, r),
        Change::Lane(r, a, b) => changed_option("lane", r, *a, *b),
        Change::Priority(r, a, b) => changed("priority", r, a, b),
        Change::Idempotent(r, a, b) => changed_option("idempotent", r, *a, *b),
        Change::Public(r, a, b) => changed("public", r, a, b),
        Change::WorkspaceAdded(w) => added("workspace-added", w, w),
        Change::WorkspaceRemoved(w) => removed("workspace-removed", w, w),
        Change::KeyAdded(w, k) => added("key-added", w, k),
        Change::KeyRemoved(w, k) => removed("key-removed", w, k),
        Change::Rank(w, a, b) => {
            let [a, b] = [a, b].map(|rank| rank.map(Priority::from));
            changed_option("workspace-priority", w, a, b)
        }
        Change::Quota(w, a, b) => changed_option("workspace-limit", w, *a, *b),
        Change::Homes(w, a, b) => {
            let text = |homes: &[RegionName]| {
                let names: Vec<_> = homes.iter().map(RegionName::as_str).collect();
                (!names.is_empty()).then(|| names.join(", "))
            };
            changed_option("workspace-homes", w, text(a), text(b))
        }
    }
}

fn added(kind: &'static str, subject: impl Display, to: impl Display) -> Fields {
    (kind, subject.to_string(), None, Some(to.to_string()))
}

fn removed(kind: &'static str, subject: impl Display, from: impl Display) -> Fields {
    (kind, subject.to_string(), Some(from.to_string()), None)
}

fn changed<T: Display>(kind: &'static str, subject: impl Display, from: T, to: T) -> Fields {
    changed_option(kind, subject, Some(from), Some(to))
}

fn changed_option<T: Display>(
    kind: &'static str,
    subject: impl Display,
    from: Option<T>,
    to: Option<T>,
) -> Fields {
    let text = |v: Option<T>| v.map(|v| v.to_string());
    (kind, subject.to_string(), text(from), text(to))
}

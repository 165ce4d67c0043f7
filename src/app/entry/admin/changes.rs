//! Typed differences between two documents as JSON.

use std::fmt::Display;

use serde_json::{Value, json};

use crate::policy::document::Change;

pub(super) fn render(all: &[Change]) -> Value {
    all.iter().map(value).collect()
}

fn value(change: &Change) -> Value {
    let (kind, subject, from, to) = parts(change);
    json!({
        "change": kind,
        "subject": subject,
        "from": from,
        "to": to,
        "text": change.to_string(),
    })
}

type Parts = (&'static str, String, Option<String>, Option<String>);

fn parts(change: &Change) -> Parts {
    match change {
        Change::ServiceAdded(s) => new("service-added", "", s),
        Change::ServiceRemoved(s) => old("service-removed", "", s),
        Change::Team(a, b) => both("team", "", a, b),
        Change::Deadline(a, b) => both("deadline", "", a, b),
        Change::ShiftCap(a, b) => both("shift-cap", "", a, b),
        Change::PlaceAdded(p, w) => new("place-added", p, w),
        Change::PlaceRemoved(p, w) => old("place-removed", p, w),
        Change::Region(p, a, b) => both("region", p, a, b),
        Change::Az(p, a, b) => both("az", p, a, b),
        Change::Weight(p, a, b) => both("weight", p, a, b),
        Change::State(p, a, b) => both("state", p, a, b),
        Change::Slots(p, a, b) => both("slots", p, a, b),
        Change::TargetAdded(p, t) => new("target-added", p, t),
        Change::TargetRemoved(p, t) => old("target-removed", p, t),
        Change::TargetLeaving(p, t) => new("target-leaving", p, t),
        Change::TargetStaying(p, t) => old("target-staying", p, t),
        Change::RouteAdded(r) => new("route-added", r, r),
        Change::RouteRemoved(r) => old("route-removed", r, r),
        Change::Lane(r, a, b) => maybe("lane", r, *a, *b),
        Change::Priority(r, a, b) => both("priority", r, a, b),
        Change::Idempotent(r, a, b) => maybe("idempotent", r, *a, *b),
    }
}

fn new(kind: &'static str, subject: impl Display, to: impl Display) -> Parts {
    (kind, subject.to_string(), None, Some(to.to_string()))
}

fn old(kind: &'static str, subject: impl Display, from: impl Display) -> Parts {
    (kind, subject.to_string(), Some(from.to_string()), None)
}

fn both<T: Display>(kind: &'static str, subject: impl Display, from: T, to: T) -> Parts {
    maybe(kind, subject, Some(from), Some(to))
}

fn maybe<T: Display>(
    kind: &'static str,
    subject: impl Display,
    from: Option<T>,
    to: Option<T>,
) -> Parts {
    let text = |v: Option<T>| v.map(|v| v.to_string());
    (kind, subject.to_string(), text(from), text(to))
}

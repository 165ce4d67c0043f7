//! Parses and prints service documents.

use std::{collections::HashSet, fmt::Write};

use super::{
    reader::{Fault, Reader},
    workspace::{print_workspaces, workspaces},
};
use crate::domain::{Document, Lane, Millis, Place, PlaceState, Priority, Route, Rps, TargetId};

/// The deadline of requests to a service whose document sets none.
const DEFAULT_DEADLINE: Millis = Millis(30_000);

/// Parses and validates a document.
///
/// # Errors
///
/// Returns all faults of the text. `file` is only used as the file name in them.
pub fn parse_document(file: &str, text: &str) -> Result<Document, Vec<Fault>> {
    let mut r = Reader::open(file, text)?;
    r.check_sections(&["service", "place", "route", "workspace"]);
    r.check_keys("service", &["name", "team", "deadline", "shift-cap"]);
    let service = r.required("service", "name");
    let team = r.required("service", "team");
    let deadline = r.value("service", "deadline", DEFAULT_DEADLINE);
    let shift_cap = r.value("service", "shift-cap", Rps(u32::MAX));
    let places = places(&mut r);
    let routes = routes(&mut r);
    let workspaces = workspaces(&mut r, &places);
    if let (Some(service), Some(team), true) = (service, team, r.faults.is_empty()) {
        return Ok(Document {
            service,
            team,
            deadline,
            shift_cap,
            places,
            routes,
            workspaces,
        });
    }
    Err(r.faults)
}

fn places(r: &mut Reader) -> Vec<Place> {
    let names = r.sections("place");
    if names.is_empty() {
        r.add_fault("place", "", "", "at least one [place NAME] section");
    }
    let mut seen = HashSet::new();
    let mut places = Vec::new();
    for section in names {
        if let Some(place) = place(r, &section, &mut seen) {
            places.push(place);
        }
    }
    places
}

fn place(r: &mut Reader, section: &str, seen: &mut HashSet<TargetId>) -> Option<Place> {
    let known = [
        "region", "az", "weight", "state", "targets", "leaving", "slots",
    ];
    r.check_keys(section, &known);
    let name = r.parse(
        section,
        "",
        section.strip_prefix("place").unwrap_or_default().trim(),
    );
    let region = r.required(section, "region");
    let az = r.required(section, "az");
    let weight = r.required(section, "weight");
    let state = r.value(section, "state", PlaceState::Active);
    let slots = r.required(section, "slots");
    let targets: Vec<TargetId> = r.list(section, "targets");
    let leaving: Vec<TargetId> = r.list(section, "leaving");
    if targets.is_empty() {
        r.add_fault(section, "targets", "", "at least one address");
    }
    for t in &targets {
        if !seen.insert(*t) {
            r.add_fault(
                section,
                "targets",
                &t.to_string(),
                "each target at most once in a document",
            );
        }
    }
    for t in leaving.iter().filter(|t| !targets.contains(t)) {
        r.add_fault(section, "leaving", &t.to_string(), "a target of this place");
    }
    Some(Place {
        name: name?,
        region: region?,
        az: az?,
        weight: weight?,
        state,
        targets,
        leaving,
        slots: slots?,
    })
}

fn routes(r: &mut Reader) -> Vec<Route> {
    let mut routes = Vec::new();
    for section in r.sections("route") {
        r.check_keys(&section, &["lane", "priority", "idempotent", "public"]);
        let prefix = section.strip_prefix("route").unwrap_or_default().trim();
        if !prefix.starts_with('/') {
            r.add_fault(&section, "", prefix, "a path that begins with '/'");
        }
        let lane = r
            .text(&section, "lane")
            .and_then(|s| r.parse::<Lane>(&section, "lane", &s));
        let priority = r.value(&section, "priority", Priority::Normal);
        let idempotent = optional_flag(r, &section, "idempotent");
        let public = optional_flag(r, &section, "public").unwrap_or(false);
        routes.push(Route {
            prefix: prefix.to_owned(),
            lane,
            priority,
            idempotent,
            public,
        });
    }
    routes
}

fn optional_flag(r: &mut Reader, section: &str, key: &str) -> Option<bool> {
    let text = r.text(section, key)?;
    match text.as_str() {
        "true" => Some(true),
        "false" => Some(false),
        _ => {
            r.add_fault(section, key, &text, "\"true\" or \"false\"");
            None
        }
    }
}

/// Prints a document as text that [`parse_document`] parses to an equal document.
#[must_use]
pub fn print_document(doc: &Document) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail, so the results are ignored.
    let _ = write!(
        out,
        "[service]\nname = {}\nteam = {}\ndeadline = {}\nshift-cap = {}\n",
        doc.service, doc.team, doc.deadline, doc.shift_cap
    );
    for p in &doc.places {
        let _ = write!(
            out,
            "\n[place {}]\nregion = {}\naz = {}\nweight = {}\nstate = {}\nslots = {}\ntargets = {}\n",
            p.name,
            p.region,
            p.az,
            p.weight,
            p.state,
            p.slots,
            join_targets(&p.targets)
        );
        if !p.leaving.is_empty() {
            let _ = writeln!(out, "leaving = {}", join_targets(&p.leaving));
        }
    }
    for r in &doc.routes {
        let _ = write!(out, "\n[route {}]\npriority = {}\n", r.prefix, r.priority);
        if let Some(lane) = r.lane {
            let _ = writeln!(out, "lane = {lane}");
        }
        if let Some(idempotent) = r.idempotent {
            let _ = writeln!(out, "idempotent = {idempotent}");
        }
        if r.public {
            let _ = writeln!(out, "public = true");
        }
    }
    print_workspaces(&mut out, &doc.workspaces);
    out
}

fn join_targets(targets: &[TargetId]) -> String {
    let all: Vec<String> = targets.iter().map(ToString::to_string).collect();
    all.join(", ")
}

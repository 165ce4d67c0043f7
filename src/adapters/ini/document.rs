//! Service documents.

use std::{collections::HashSet, fmt::Write};

use super::reader::{Fault, Reader};
use crate::domain::{Document, Lane, Millis, Place, PlaceState, Priority, Route, Rps, TargetId};

/// The deadline of a service that does not set one.
const DEADLINE: Millis = Millis(30_000);

/// Reads and checks a document.
///
/// # Errors
///
/// Returns every fault of the text. `file` only names the text in them.
pub fn parse_document(file: &str, text: &str) -> Result<Document, Vec<Fault>> {
    let mut r = Reader::open(file, text)?;
    r.kinds(&["service", "place", "route"]);
    r.keys("service", &["name", "team", "deadline", "shift-cap"]);
    let service = r.needed("service", "name");
    let team = r.needed("service", "team");
    let deadline = r.value("service", "deadline", DEADLINE);
    let shift_cap = r.value("service", "shift-cap", Rps(u32::MAX));
    let places = places(&mut r);
    let routes = routes(&mut r);
    if let (Some(service), Some(team), true) = (service, team, r.faults.is_empty()) {
        return Ok(Document {
            service,
            team,
            deadline,
            shift_cap,
            places,
            routes,
        });
    }
    Err(r.faults)
}

fn places(r: &mut Reader) -> Vec<Place> {
    let names = r.sections("place");
    if names.is_empty() {
        r.fault("place", "", "", "one [place NAME] section at the least");
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
    r.keys(section, &known);
    let name = r.parse(
        section,
        "",
        section.strip_prefix("place").unwrap_or_default().trim(),
    );
    let region = r.needed(section, "region");
    let az = r.needed(section, "az");
    let weight = r.needed(section, "weight");
    let state = r.value(section, "state", PlaceState::Active);
    let slots = r.needed(section, "slots");
    let targets: Vec<TargetId> = r.list(section, "targets");
    let leaving: Vec<TargetId> = r.list(section, "leaving");
    if targets.is_empty() {
        r.fault(section, "targets", "", "one address at the least");
    }
    for t in &targets {
        if !seen.insert(*t) {
            r.fault(
                section,
                "targets",
                &t.to_string(),
                "each target once in a document",
            );
        }
    }
    for t in leaving.iter().filter(|t| !targets.contains(t)) {
        r.fault(section, "leaving", &t.to_string(), "a target of this place");
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
        r.keys(&section, &["lane", "priority", "idempotent"]);
        let prefix = section.strip_prefix("route").unwrap_or_default().trim();
        if !prefix.starts_with('/') {
            r.fault(&section, "", prefix, "a path that begins with '/'");
        }
        let lane = r
            .text(&section, "lane")
            .and_then(|s| r.parse::<Lane>(&section, "lane", &s));
        let priority = r.value(&section, "priority", Priority::Normal);
        let idempotent = flag(r, &section, "idempotent");
        routes.push(Route {
            prefix: prefix.to_owned(),
            lane,
            priority,
            idempotent,
        });
    }
    routes
}

fn flag(r: &mut Reader, section: &str, key: &str) -> Option<bool> {
    let text = r.text(section, key)?;
    match text.as_str() {
        "true" => Some(true),
        "false" => Some(false),
        _ => {
            r.fault(section, key, &text, "\"true\" or \"false\"");
            None
        }
    }
}

/// Prints a document so that [`parse_document`] reads the same one back.
#[must_use]
pub fn print_document(doc: &Document) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail, so the results are dropped.
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
            join(&p.targets)
        );
        if !p.leaving.is_empty() {
            let _ = writeln!(out, "leaving = {}", join(&p.leaving));
        }
    }
    for r in &doc.routes {
        let _ = write!(out, "\n[route {}]\npriority = {}\n", r.prefix, r.priority);
        if let Some(lane) = r.lane {
            let _ = writeln!(out, "lane = {lane}");
        }
        if let Some(yes) = r.idempotent {
            let _ = writeln!(out, "idempotent = {yes}");
        }
    }
    out
}

fn join(targets: &[TargetId]) -> String {
    let all: Vec<String> = targets.iter().map(ToString::to_string).collect();
    all.join(", ")
}

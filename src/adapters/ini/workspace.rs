//! Parses and prints the workspaces of a document.
//!
//! Keys stand in a document as digests only. A value that is no digest may be the key
//! itself, so that no fault repeats it.

use std::{
    collections::{BTreeSet, HashMap},
    fmt::Write,
};

use super::reader::Reader;
use crate::domain::{
    KeyDigest, Place, Priority, Quota, Rank, Rate, RegionName, ServiceName, Workspace,
    WorkspaceName,
};

const NAME_RULE: &str = "1 to 63 lower-case letters, digits, '-' or '.', once in a document";

const BURST_RULE: &str = "a number of at least 0";

/// Parses all workspaces of a document with the given places.
pub(super) fn workspaces(r: &mut Reader, places: &[Place]) -> Vec<Workspace> {
    let mut known = Known {
        regions: places.iter().map(|p| p.region.clone()).collect(),
        names: BTreeSet::new(),
        keys: HashMap::new(),
    };
    let sections = r.sections("workspace").into_iter();
    sections
        .filter_map(|section| workspace(r, &section, &mut known))
        .collect()
}

/// What the document states elsewhere.
struct Known {
    /// The regions of its places.
    regions: BTreeSet<RegionName>,
    names: BTreeSet<WorkspaceName>,
    /// The section of each key.
    keys: HashMap<KeyDigest, String>,
}

fn workspace(r: &mut Reader, section: &str, known: &mut Known) -> Option<Workspace> {
    r.check_keys(section, &["keys", "priority", "rate", "burst", "homes"]);
    let name = name(r, section, known);
    let keys = keys(r, section, known);
    let priority = r
        .text(section, "priority")
        .and_then(|text| r.parse::<Priority>(section, "priority", &text));
    let quota = quota(r, section);
    let home_regions = homes(r, section, known);
    Some(Workspace {
        name: name?,
        keys,
        rank: priority.map(Rank::from),
        quota,
        home_regions,
    })
}

/// Returns the name, which is part of the name of a limit and therefore bound by the
/// rule for other names.
fn name(r: &mut Reader, section: &str, known: &mut Known) -> Option<WorkspaceName> {
    let text = section.strip_prefix("workspace").unwrap_or_default().trim();
    let name: Option<WorkspaceName> = text.parse().ok();
    let name =
        name.filter(|n| text.parse::<ServiceName>().is_ok() && known.names.insert(n.clone()));
    if name.is_none() {
        r.add_fault(section, "", text, NAME_RULE);
    }
    name
}

fn keys(r: &mut Reader, section: &str, known: &mut Known) -> Vec<KeyDigest> {
    let text = r.text(section, "keys").unwrap_or_default();
    let mut keys = Vec::new();
    for word in text.split(',').map(str::trim).filter(|w| !w.is_empty()) {
        let Ok(key) = word.parse::<KeyDigest>() else {
            let expected = "digests as `savorybeam key-digest` prints them";
            r.add_fault(section, "keys", "(hidden)", expected);
            continue;
        };
        if let Some(owner) = known.keys.get(&key) {
            let expected = format!("each key once in a document; [{owner}] has it");
            r.add_fault(section, "keys", &key.to_string(), &expected);
            continue;
        }
        known.keys.insert(key, section.to_owned());
        keys.push(key);
    }
    keys
}

/// Returns the quota, none if no rate is stated.
fn quota(r: &mut Reader, section: &str) -> Option<Quota> {
    let rate = r.text(section, "rate");
    let rate = rate.and_then(|text| {
        let rate = r.parse::<Rate>(section, "rate", &text)?;
        if rate.0 <= 0.0 {
            let expected = "more than 0 rps; without a limit the key is left out";
            r.add_fault(section, "rate", &text, expected);
        }
        Some(rate)
    });
    let Some(text) = r.text(section, "burst") else {
        return Some(Quota {
            rate: rate?,
            burst: 0.0,
        });
    };
    let burst: Option<f64> = text.parse().ok();
    let burst = burst.filter(|n| n.is_finite() && *n >= 0.0);
    if burst.is_none() {
        r.add_fault(section, "burst", &text, BURST_RULE);
    } else if r.text(section, "rate").is_none() {
        r.add_fault(section, "burst", &text, "a burst only beside a rate");
    }
    Some(Quota {
        rate: rate?,
        burst: burst?,
    })
}

/// Returns the homes, each of which has to be a region of the document. One without
/// places would refuse all requests of the workspace.
fn homes(r: &mut Reader, section: &str, known: &Known) -> Vec<RegionName> {
    let homes: Vec<RegionName> = r.list(section, "homes");
    for home in homes.iter().filter(|home| !known.regions.contains(*home)) {
        let expected = "the region of a place of this document";
        r.add_fault(section, "homes", home.as_str(), expected);
    }
    if homes.is_empty() && r.text(section, "homes").is_some() {
        let expected = "at least one region; to allow all, the key is left out";
        r.add_fault(section, "homes", "", expected);
    }
    homes
}

/// Prints workspaces as [`workspaces`] parses them.
pub(super) fn print_workspaces(out: &mut String, workspaces: &[Workspace]) {
    // Writing to a string cannot fail, so the results are ignored.
    for w in workspaces {
        let _ = write!(out, "\n[workspace {}]\n", w.name);
        let lists = [("keys", join(&w.keys)), ("homes", join(&w.home_regions))];
        for (key, list) in lists.iter().filter(|(_, list)| !list.is_empty()) {
            let _ = writeln!(out, "{key} = {list}");
        }
        if let Some(rank) = w.rank {
            let _ = writeln!(out, "priority = {}", Priority::from(rank));
        }
        if let Some(Quota { rate, burst }) = w.quota {
            let _ = writeln!(out, "rate = {rate}\nburst = {burst}");
        }
    }
}

fn join<T: ToString>(items: &[T]) -> String {
    let all: Vec<String> = items.iter().map(ToString::to_string).collect();
    all.join(", ")
}

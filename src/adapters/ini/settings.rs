//! Parses the settings of an entry process.

use std::{collections::BTreeMap, net::SocketAddr};

use super::reader::{Fault, Reader};
use crate::domain::{AzName, EntryId, Mbps, Millis, Prefix, RegionName, Rps, TargetId, TeamName};

/// The configuration of an entry process, read at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this entry.
    pub name: EntryId,
    /// The region of this entry.
    pub region: RegionName,
    /// The availability zone of this entry.
    pub az: AzName,
    /// The address that serves callers.
    pub callers: SocketAddr,
    /// The address that serves operators.
    pub admin: SocketAddr,
    /// The address that serves other entries.
    pub peers: SocketAddr,
    /// Peer addresses of some other entries, from which this entry learns of all.
    pub seeds: Vec<SocketAddr>,
    /// The addresses of the store, which are tried in turn.
    pub store: Vec<SocketAddr>,
    /// The maximum number of open connections from callers.
    pub connections: u32,
    /// How long a leaving entry keeps serving before it stops accepting
    /// connections.
    pub linger: Millis,
    /// The regions of the deployment.
    pub regions: BTreeMap<RegionName, Region>,
    /// The links between regions.
    pub links: Vec<Link>,
    /// The sites, in the order of the text.
    pub sites: Vec<Site>,
    /// The token of each team.
    pub teams: BTreeMap<TeamName, String>,
}

/// A region of the deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Region {
    /// The maximum rate of requests that may be steered to the region.
    pub headroom: Rps,
}

/// A part of the network from which clients connect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Site {
    /// The region nearest to the site.
    pub region: RegionName,
    /// The address blocks of the site's clients.
    pub blocks: Vec<Prefix>,
}

/// The link between two regions, with the same properties in each direction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Link {
    /// One end.
    pub from: RegionName,
    /// The other end.
    pub to: RegionName,
    /// The capacity in each direction.
    pub capacity: Mbps,
    /// The one-way delay.
    pub delay: Millis,
}

/// The default of [`Settings::linger`]: the longest time for which a caller caches
/// a lookup response, plus 3 s for requests that are already on their way.
const DEFAULT_LINGER: Millis = Millis(8_000);

/// Parses and validates settings.
///
/// # Errors
///
/// Returns all faults of the text. `file` is only used as the file name in them.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
    let mut r = Reader::open(file, text)?;
    r.check_sections(&["entry", "store", "region", "link", "site", "team"]);
    let known = [
        "name",
        "region",
        "az",
        "callers",
        "admin",
        "peers",
        "seeds",
        "connections",
        "linger",
    ];
    r.check_keys("entry", &known);
    r.check_keys("store", &["endpoints"]);
    let name = r.required("entry", "name");
    let region = r.required("entry", "region");
    let az = r.required("entry", "az");
    let callers = address(&mut r, "callers");
    let admin = address(&mut r, "admin");
    let peers = address(&mut r, "peers");
    let seeds = addresses(&mut r, "entry", "seeds");
    let store = addresses(&mut r, "store", "endpoints");
    if store.is_empty() {
        r.add_fault("store", "endpoints", "", "at least one address");
    }
    let connections = connections(&mut r);
    let linger = r.value("entry", "linger", DEFAULT_LINGER);
    let regions = regions(&mut r);
    let links = links(&mut r, &regions);
    let sites = sites(&mut r, &regions);
    let teams = teams(&mut r);
    if !r.faults.is_empty() {
        return Err(r.faults);
    }
    let build = || {
        Some(Settings {
            name: name?,
            region: region?,
            az: az?,
            callers: callers?,
            admin: admin?,
            peers: peers?,
            seeds,
            store,
            connections,
            linger,
            regions,
            links,
            sites,
            teams,
        })
    };
    build().ok_or(r.faults)
}

fn address(r: &mut Reader, key: &str) -> Option<SocketAddr> {
    r.required::<TargetId>("entry", key).map(|t| t.0)
}

fn addresses(r: &mut Reader, section: &str, key: &str) -> Vec<SocketAddr> {
    let all: Vec<TargetId> = r.list(section, key);
    all.into_iter().map(|t| t.0).collect()
}

fn connections(r: &mut Reader) -> u32 {
    let Some(text) = r.text("entry", "connections") else {
        return 1024;
    };
    match text.parse() {
        Ok(n) if n > 0 => n,
        _ => {
            r.add_fault("entry", "connections", &text, "a whole number from 1");
            0
        }
    }
}

fn regions(r: &mut Reader) -> BTreeMap<RegionName, Region> {
    let mut regions = BTreeMap::new();
    for section in r.sections("region") {
        r.check_keys(&section, &["headroom"]);
        let name = name_argument(&section, 0);
        let name = r.parse(&section, "", &name);
        let headroom = r.required(&section, "headroom");
        if let (Some(name), Some(headroom)) = (name, headroom) {
            regions.insert(name, Region { headroom });
        }
    }
    regions
}

fn links(r: &mut Reader, regions: &BTreeMap<RegionName, Region>) -> Vec<Link> {
    let mut links = Vec::new();
    for section in r.sections("link") {
        r.check_keys(&section, &["capacity", "delay"]);
        let ends = [name_argument(&section, 0), name_argument(&section, 1)];
        let ends = ends.map(|end| r.parse::<RegionName>(&section, "", &end));
        let capacity = r.required(&section, "capacity");
        let delay = r.required(&section, "delay");
        let [Some(from), Some(to)] = ends else {
            continue;
        };
        for end in [&from, &to] {
            if !regions.contains_key(end) {
                r.add_fault(
                    &section,
                    "",
                    end.as_str(),
                    "two regions that each have a section",
                );
            }
        }
        if let (Some(capacity), Some(delay)) = (capacity, delay) {
            links.push(Link {
                from,
                to,
                capacity,
                delay,
            });
        }
    }
    links
}

fn sites(r: &mut Reader, regions: &BTreeMap<RegionName, Region>) -> Vec<Site> {
    let mut sites = Vec::new();
    for section in r.sections("site") {
        r.check_keys(&section, &["region", "blocks"]);
        let blocks = r.list(&section, "blocks");
        let Some(region) = r.required::<RegionName>(&section, "region") else {
            continue;
        };
        if !regions.contains_key(&region) {
            let expected = "a region that has a section";
            r.add_fault(&section, "region", region.as_str(), expected);
        }
        sites.push(Site { region, blocks });
    }
    sites
}

fn teams(r: &mut Reader) -> BTreeMap<TeamName, String> {
    let mut teams = BTreeMap::new();
    for section in r.sections("team") {
        r.check_keys(&section, &["token"]);
        let name = r.parse(&section, "", &name_argument(&section, 0));
        let token = r.text(&section, "token").unwrap_or_default();
        if token.len() < 16 {
            // The message omits the token because it may be logged.
            r.add_fault(&section, "token", "(hidden)", "at least 16 characters");
        }
        if let Some(name) = name {
            teams.insert(name, token);
        }
    }
    teams
}

/// Returns the word at index `n` after the kind in a section's name, or an empty
/// text.
fn name_argument(section: &str, n: usize) -> String {
    let words = section.split(' ').filter(|w| !w.is_empty());
    words.skip(1).nth(n).unwrap_or_default().to_owned()
}

//! The settings of an entry process.

use std::{collections::BTreeMap, net::SocketAddr};

use super::reader::{Fault, Reader};
use crate::domain::{AzName, EntryId, Mbps, Millis, Prefix, RegionName, Rps, TargetId, TeamName};

/// What an entry process has to know before it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this entry.
    pub name: EntryId,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub az: AzName,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where other entries reach it.
    pub peers: SocketAddr,
    /// Peer addresses of other entries, to learn the rest from.
    pub seeds: Vec<SocketAddr>,
    /// The store's addresses, tried in turn.
    pub store: Vec<SocketAddr>,
    /// How many connections of callers are open at the most.
    pub connections: u32,
    /// How long a leaving entry goes on serving before it stops accepting.
    pub linger: Millis,
    /// The regions of the deployment.
    pub regions: BTreeMap<RegionName, Region>,
    /// The links between regions.
    pub links: Vec<Link>,
    /// The client blocks of each site, in the order of the text.
    pub sites: Vec<Site>,
    /// Each team's token.
    pub teams: BTreeMap<TeamName, String>,
}

/// A region of the deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Region {
    /// The most requests a second that may be steered to it.
    pub headroom: Rps,
}

/// A site: a part of the network from which clients come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Site {
    /// The region that is nearest to it.
    pub region: RegionName,
    /// The addresses of its clients.
    pub blocks: Vec<Prefix>,
}

/// The link between two regions, the same in each direction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Link {
    /// One end.
    pub from: RegionName,
    /// The other end.
    pub to: RegionName,
    /// Its capacity each way.
    pub capacity: Mbps,
    /// The delay one way.
    pub delay: Millis,
}

/// The longest time for which a caller keeps a look-up's answer, and 3 s for
/// requests that are already on their way.
const LINGER: Millis = Millis(8_000);

/// Reads and checks settings.
///
/// # Errors
///
/// Returns every fault of the text. `file` only names the text in them.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
    let mut r = Reader::open(file, text)?;
    r.kinds(&["entry", "store", "region", "link", "site", "team"]);
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
    r.keys("entry", &known);
    r.keys("store", &["endpoints"]);
    let name = r.needed("entry", "name");
    let region = r.needed("entry", "region");
    let az = r.needed("entry", "az");
    let callers = address(&mut r, "callers");
    let admin = address(&mut r, "admin");
    let peers = address(&mut r, "peers");
    let seeds = addresses(&mut r, "entry", "seeds");
    let store = addresses(&mut r, "store", "endpoints");
    if store.is_empty() {
        r.fault("store", "endpoints", "", "one address at the least");
    }
    let connections = connections(&mut r);
    let linger = r.value("entry", "linger", LINGER);
    let regions = regions(&mut r);
    let links = links(&mut r, &regions);
    let sites = sites(&mut r, &regions);
    let teams = teams(&mut r);
    if !r.faults.is_empty() {
        return Err(r.faults);
    }
    let whole = || {
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
    whole().ok_or(r.faults)
}

fn address(r: &mut Reader, key: &str) -> Option<SocketAddr> {
    r.needed::<TargetId>("entry", key).map(|t| t.0)
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
            r.fault("entry", "connections", &text, "a whole number from 1");
            0
        }
    }
}

fn regions(r: &mut Reader) -> BTreeMap<RegionName, Region> {
    let mut regions = BTreeMap::new();
    for section in r.sections("region") {
        r.keys(&section, &["headroom"]);
        let name = argument(&section, 0);
        let name = r.parse(&section, "", &name);
        let headroom = r.needed(&section, "headroom");
        if let (Some(name), Some(headroom)) = (name, headroom) {
            regions.insert(name, Region { headroom });
        }
    }
    regions
}

fn links(r: &mut Reader, regions: &BTreeMap<RegionName, Region>) -> Vec<Link> {
    let mut links = Vec::new();
    for section in r.sections("link") {
        r.keys(&section, &["capacity", "delay"]);
        let ends = [argument(&section, 0), argument(&section, 1)];
        let ends = ends.map(|end| r.parse::<RegionName>(&section, "", &end));
        let capacity = r.needed(&section, "capacity");
        let delay = r.needed(&section, "delay");
        let [Some(from), Some(to)] = ends else {
            continue;
        };
        for end in [&from, &to] {
            if !regions.contains_key(end) {
                r.fault(
                    &section,
                    "",
                    end.as_str(),
                    "two regions that have a section each",
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
        r.keys(&section, &["region", "blocks"]);
        let blocks = r.list(&section, "blocks");
        let Some(region) = r.needed::<RegionName>(&section, "region") else {
            continue;
        };
        if !regions.contains_key(&region) {
            let allowed = "a region that has a section";
            r.fault(&section, "region", region.as_str(), allowed);
        }
        sites.push(Site { region, blocks });
    }
    sites
}

fn teams(r: &mut Reader) -> BTreeMap<TeamName, String> {
    let mut teams = BTreeMap::new();
    for section in r.sections("team") {
        r.keys(&section, &["token"]);
        let name = r.parse(&section, "", &argument(&section, 0));
        let token = r.text(&section, "token").unwrap_or_default();
        if token.len() < 16 {
            // The token itself stays out of the message, which may be logged.
            r.fault(&section, "token", "(hidden)", "16 characters at the least");
        }
        if let Some(name) = name {
            teams.insert(name, token);
        }
    }
    teams
}

fn argument(section: &str, n: usize) -> String {
    let words = section.split(' ').filter(|w| !w.is_empty());
    words.skip(1).nth(n).unwrap_or_default().to_owned()
}

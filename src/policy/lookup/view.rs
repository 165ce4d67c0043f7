//! The state of the entries as lookups use it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use xxhash_rust::xxh3::xxh3_64;

use super::LoadLevel;
use crate::domain::{AzName, EntryId, Millis, RegionName, SiteId, Size};

/// The state of an entry according to the membership.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EntryState {
    /// It responds.
    #[default]
    Live,
    /// It has not responded lately and may have failed.
    Suspect,
    /// It is about to stop.
    Leaving,
    /// It is considered failed and receives no callers.
    Dead,
}

/// An entry VM that a lookup may name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The entry.
    pub id: EntryId,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub az: AzName,
    /// The address for callers.
    pub address: SocketAddr,
    /// The load level that it reported.
    pub level: LoadLevel,
    /// Its state.
    pub state: EntryState,
    /// When the state last changed, by the clock of this process.
    pub changed_at: Millis,
}

/// The one-way network delays between regions, from the settings.
#[derive(Clone, Debug, Default)]
pub struct RegionDelays {
    links: BTreeMap<(RegionName, RegionName), Millis>,
}

impl RegionDelays {
    /// Creates the table from links, each of which applies in both directions.
    pub fn new(links: impl IntoIterator<Item = (RegionName, RegionName, Millis)>) -> Self {
        let links = links.into_iter();
        let both = links.flat_map(|(a, b, d)| [((a.clone(), b.clone()), d), ((b, a), d)]);
        Self {
            links: both.collect(),
        }
    }

    /// Returns the delay between two regions. It is zero within a region, and
    /// greater than any other delay for a pair of regions without a link.
    #[must_use]
    pub fn between(&self, from: &RegionName, to: &RegionName) -> Millis {
        if from == to {
            return Millis(0);
        }
        let link = self.links.get(&(from.clone(), to.clone()));
        link.copied().unwrap_or(NO_LINK_DELAY)
    }

    fn regions(&self) -> impl Iterator<Item = &RegionName> {
        self.links.keys().map(|(from, _)| from)
    }
}

/// The delay between regions for which the settings have no link.
const NO_LINK_DELAY: Millis = Millis(u64::MAX);

/// The region of each site.
#[derive(Clone, Debug, Default)]
pub struct SiteRegions {
    /// Sorted by site.
    regions: Box<[(SiteId, RegionName)]>,
}

impl SiteRegions {
    /// Creates the table from sites and their regions. Each site may appear
    /// once.
    pub fn new(sites: impl IntoIterator<Item = (SiteId, RegionName)>) -> Self {
        let mut regions: Vec<_> = sites.into_iter().collect();
        regions.sort_by_key(|(site, _)| *site);
        Self {
            regions: regions.into(),
        }
    }

    /// Returns the region of a site.
    #[must_use]
    pub fn region(&self, site: SiteId) -> Option<&RegionName> {
        let at = self.regions.binary_search_by_key(&site, |(s, _)| *s);
        at.ok().map(|at| &self.regions[at].1)
    }

    /// Returns the memory that the table occupies, without the shared text of
    /// names.
    #[must_use]
    pub fn size(&self) -> Size {
        Size((size_of::<Self>() + size_of_val(&*self.regions)) as u64)
    }
}

/// The attributes of an entry that ranking uses. A lookup reads the keys of a
/// whole region, so they are stored separately from names and addresses.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankKey {
    /// The hash of the id, computed in advance for all lookups.
    pub(super) hash: u64,
    /// A number for the availability zone, which is faster to compare than its
    /// name.
    pub(super) zone: u32,
    pub(super) level: LoadLevel,
    pub(super) suspect: bool,
}

/// The entries of one region.
#[derive(Debug, Default)]
pub(super) struct RegionGroup {
    /// Live and suspect entries, sorted by id.
    pub(super) members: Vec<Candidate>,
    /// The keys of the members, in the same order.
    pub(super) keys: Vec<RankKey>,
    /// When the state of any entry last changed.
    pub(super) changed_at: Millis,
    /// Whether any entry is suspect.
    pub(super) has_suspect: bool,
}

/// An immutable index of the entries for ranking. It is rebuilt when the
/// membership, a load level or the settings change, and shared between threads.
#[derive(Debug)]
pub struct EntryView {
    pub(super) groups: Vec<RegionGroup>,
    index: BTreeMap<RegionName, usize>,
    /// For each region, all regions sorted by delay.
    by_delay: Vec<Vec<(Millis, usize)>>,
    /// The regions for callers whose region is unknown, all with the same
    /// delay.
    unordered: Vec<(Millis, usize)>,
}

impl EntryView {
    /// Builds the view. Lookups do not name leaving and dead entries; these
    /// only count for the time of the latest change.
    #[must_use]
    pub fn new(candidates: &[Candidate], delays: &RegionDelays) -> Self {
        let regions: BTreeSet<&RegionName> = delays
            .regions()
            .chain(candidates.iter().map(|c| &c.region))
            .collect();
        let regions: Vec<&RegionName> = regions.into_iter().collect();
        let index: BTreeMap<RegionName, usize> = regions
            .iter()
            .enumerate()
            .map(|(i, r)| ((*r).clone(), i))
            .collect();
        let by_delay = regions
            .iter()
            .map(|from| sort_by_delay(from, &regions, delays));
        Self {
            by_delay: by_delay.collect(),
            unordered: (0..regions.len()).map(|at| (NO_LINK_DELAY, at)).collect(),
            groups: group_by_region(candidates, &index),
            index,
        }
    }

    /// Returns the index of a region.
    pub(super) fn region_index(&self, name: &RegionName) -> Option<usize> {
        self.index.get(name).copied()
    }

    /// Returns the indexes of all regions with their delays from `from`, sorted
    /// by delay. If `from` is none, all have the same delay.
    pub(super) fn regions_from(&self, from: Option<usize>) -> &[(Millis, usize)] {
        from.map_or(&self.unordered, |at| &self.by_delay[at])
    }

    /// Returns the number of entries that a lookup may name.
    #[must_use]
    pub fn len(&self) -> usize {
        self.groups.iter().map(|g| g.members.len()).sum()
    }

    /// Returns whether there is no entry that a lookup may name.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that the view occupies, without the shared text of
    /// names.
    #[must_use]
    pub fn size(&self) -> Size {
        let members = self.groups.iter().map(|g| {
            g.members.capacity() * size_of::<Candidate>() + g.keys.capacity() * size_of::<RankKey>()
        });
        let groups = self.groups.capacity() * size_of::<RegionGroup>();
        let by_delay = self
            .by_delay
            .iter()
            .map(|r| r.capacity() * size_of::<(Millis, usize)>());
        let total = size_of::<Self>() + groups + members.sum::<usize>() + by_delay.sum::<usize>();
        Size(total as u64)
    }
}

fn sort_by_delay(
    from: &RegionName,
    regions: &[&RegionName],
    delays: &RegionDelays,
) -> Vec<(Millis, usize)> {
    let all = regions.iter().enumerate();
    let mut sorted: Vec<_> = all.map(|(at, to)| (delays.between(from, to), at)).collect();
    sorted.sort_unstable();
    sorted
}

fn group_by_region(
    candidates: &[Candidate],
    index: &BTreeMap<RegionName, usize>,
) -> Vec<RegionGroup> {
    let mut groups: Vec<RegionGroup> = index.iter().map(|_| RegionGroup::default()).collect();
    let mut zones = BTreeMap::new();
    for candidate in candidates {
        let Some(group) = index
            .get(&candidate.region)
            .and_then(|i| groups.get_mut(*i))
        else {
            continue;
        };
        group.changed_at = group.changed_at.max(candidate.changed_at);
        group.has_suspect |= candidate.state == EntryState::Suspect;
        if matches!(candidate.state, EntryState::Leaving | EntryState::Dead) {
            continue;
        }
        group.members.push(candidate.clone());
    }
    for group in &mut groups {
        group.members.sort_by(|a, b| a.id.cmp(&b.id));
        group.members.shrink_to_fit();
        group.keys = group
            .members
            .iter()
            .map(|m| rank_key(m, &mut zones))
            .collect();
    }
    groups
}

fn rank_key(member: &Candidate, zones: &mut BTreeMap<(RegionName, AzName), u32>) -> RankKey {
    let next = u32::try_from(zones.len()).unwrap_or(u32::MAX);
    let zone = (member.region.clone(), member.az.clone());
    RankKey {
        hash: xxh3_64(member.id.as_bytes()),
        zone: *zones.entry(zone).or_insert(next),
        level: member.level,
        suspect: member.state == EntryState::Suspect,
    }
}

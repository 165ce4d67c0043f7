//! The entries as look-ups see them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use xxhash_rust::xxh3::xxh3_64;

use super::LoadLevel;
use crate::domain::{AzName, EntryId, Millis, RegionName, SiteId, Size};

/// What the membership knows of an entry's life.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EntryState {
    /// It answers.
    #[default]
    Live,
    /// It did not answer lately.
    Suspect,
    /// It is about to stop.
    Leaving,
    /// It is gone as far as steering is concerned.
    Dead,
}

/// An entry VM that a look-up may name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The entry.
    pub id: EntryId,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub az: AzName,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// The load level that it reported.
    pub level: LoadLevel,
    /// Its state.
    pub state: EntryState,
    /// When the state last changed, by this process's clock.
    pub since: Millis,
}

/// The one-way delays between regions, from settings.
#[derive(Clone, Debug, Default)]
pub struct Delays {
    links: BTreeMap<(RegionName, RegionName), Millis>,
}

impl Delays {
    /// Collects links, each of which counts in both directions.
    pub fn new(links: impl IntoIterator<Item = (RegionName, RegionName, Millis)>) -> Self {
        let links = links.into_iter();
        let both = links.flat_map(|(a, b, d)| [((a.clone(), b.clone()), d), ((b, a), d)]);
        Self {
            links: both.collect(),
        }
    }

    /// Returns the delay between two regions. A region is at no distance from
    /// itself, and a pair without a link is farther than any other.
    #[must_use]
    pub fn between(&self, from: &RegionName, to: &RegionName) -> Millis {
        if from == to {
            return Millis(0);
        }
        let link = self.links.get(&(from.clone(), to.clone()));
        link.copied().unwrap_or(FARTHEST)
    }

    fn regions(&self) -> impl Iterator<Item = &RegionName> {
        self.links.keys().map(|(from, _)| from)
    }
}

/// The distance of regions between which settings name no link.
const FARTHEST: Millis = Millis(u64::MAX);

/// The region of each site.
#[derive(Clone, Debug, Default)]
pub struct Sites {
    /// Sorted by site.
    regions: Box<[(SiteId, RegionName)]>,
}

impl Sites {
    /// Collects sites with their regions. Each site may appear once.
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

    /// Returns the memory that the sites take, without the shared text of names.
    #[must_use]
    pub fn size(&self) -> Size {
        Size((size_of::<Self>() + size_of_val(&*self.regions)) as u64)
    }
}

/// What ranking needs of an entry. A look-up reads the keys of a whole region, so
/// they lie apart from the names and addresses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Key {
    /// The hash of the id, computed once for all look-ups.
    pub(super) hash: u64,
    /// The zone as a number, since zones are compared often.
    pub(super) zone: u32,
    pub(super) level: LoadLevel,
    pub(super) suspect: bool,
}

/// The entries of one region.
#[derive(Debug, Default)]
pub(super) struct Group {
    /// Live and suspect entries in the order of their ids.
    pub(super) members: Vec<Candidate>,
    /// The keys of the members, in the same order.
    pub(super) keys: Vec<Key>,
    /// When an entry last changed its state.
    pub(super) changed: Millis,
    /// Whether an entry is suspect.
    pub(super) doubtful: bool,
}

/// The entries, prepared for ranking. It is rebuilt when the membership, a load
/// level or the settings change, and shared between threads as it is.
#[derive(Debug)]
pub struct View {
    pub(super) groups: Vec<Group>,
    index: BTreeMap<RegionName, usize>,
    /// For each region the others by distance.
    near: Vec<Vec<(Millis, usize)>>,
    /// The order for callers whose region is unknown.
    far: Vec<(Millis, usize)>,
}

impl View {
    /// Prepares a view. Leaving and dead entries only count as changes.
    #[must_use]
    pub fn new(candidates: &[Candidate], delays: &Delays) -> Self {
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
        let near = regions
            .iter()
            .map(|from| by_distance(from, &regions, delays));
        Self {
            near: near.collect(),
            far: (0..regions.len()).map(|at| (FARTHEST, at)).collect(),
            groups: groups(candidates, &index),
            index,
        }
    }

    /// Returns the number of a region.
    pub(super) fn region(&self, name: &RegionName) -> Option<usize> {
        self.index.get(name).copied()
    }

    /// Returns the regions by distance from `from`.
    pub(super) fn near(&self, from: Option<usize>) -> &[(Millis, usize)] {
        from.map_or(&self.far, |at| &self.near[at])
    }

    /// Returns the number of entries that a look-up may name.
    #[must_use]
    pub fn len(&self) -> usize {
        self.groups.iter().map(|g| g.members.len()).sum()
    }

    /// Returns whether a look-up would find nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that the view takes, without the shared text of names.
    #[must_use]
    pub fn size(&self) -> Size {
        let members = self.groups.iter().map(|g| {
            g.members.capacity() * size_of::<Candidate>() + g.keys.capacity() * size_of::<Key>()
        });
        let groups = self.groups.capacity() * size_of::<Group>();
        let near = self
            .near
            .iter()
            .map(|n| n.capacity() * size_of::<(Millis, usize)>());
        let whole = size_of::<Self>() + groups + members.sum::<usize>() + near.sum::<usize>();
        Size(whole as u64)
    }
}

fn by_distance(
    from: &RegionName,
    regions: &[&RegionName],
    delays: &Delays,
) -> Vec<(Millis, usize)> {
    let all = regions.iter().enumerate();
    let mut near: Vec<_> = all.map(|(at, to)| (delays.between(from, to), at)).collect();
    near.sort_unstable();
    near
}

fn groups(candidates: &[Candidate], index: &BTreeMap<RegionName, usize>) -> Vec<Group> {
    let mut groups: Vec<Group> = index.iter().map(|_| Group::default()).collect();
    let mut zones = BTreeMap::new();
    for candidate in candidates {
        let Some(group) = index
            .get(&candidate.region)
            .and_then(|i| groups.get_mut(*i))
        else {
            continue;
        };
        group.changed = group.changed.max(candidate.since);
        group.doubtful |= candidate.state == EntryState::Suspect;
        if matches!(candidate.state, EntryState::Leaving | EntryState::Dead) {
            continue;
        }
        group.members.push(candidate.clone());
    }
    for group in &mut groups {
        group.members.sort_by(|a, b| a.id.cmp(&b.id));
        group.members.shrink_to_fit();
        group.keys = group.members.iter().map(|m| key(m, &mut zones)).collect();
    }
    groups
}

fn key(member: &Candidate, zones: &mut BTreeMap<(RegionName, AzName), u32>) -> Key {
    let next = u32::try_from(zones.len()).unwrap_or(u32::MAX);
    let zone = (member.region.clone(), member.az.clone());
    Key {
        hash: xxh3_64(member.id.as_bytes()),
        zone: *zones.entry(zone).or_insert(next),
        level: member.level,
        suspect: member.state == EntryState::Suspect,
    }
}

//! The progress of a drain, as the entries report it.

use std::{collections::BTreeMap, fmt};

use crate::domain::{EntryId, Incarnation, PlaceName, Revision, ServiceName, TargetId};

/// What is being drained.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// A target of a service.
    Target(ServiceName, TargetId),
    /// A place of a service.
    Place(ServiceName, PlaceName),
    /// An entry VM. Only this entry reports.
    Entry(EntryId),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Target(service, target) => write!(f, "target {target} of {service}"),
            Self::Place(service, place) => write!(f, "place {place} of {service}"),
            Self::Entry(entry) => write!(f, "entry {entry}"),
        }
    }
}

/// One entry's report on a drain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The reporting entry.
    pub entry: EntryId,
    /// The incarnation of the entry that reports.
    pub incarnation: Incarnation,
    /// The number of the report within the incarnation, to detect late reports.
    pub sequence: u64,
    /// The revision of the document that the entry has in effect.
    pub revision: Revision,
    /// The number of requests that it has running at the subject, including
    /// downloads.
    pub running: u32,
}

/// Why an entry blocks a drain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Blocker {
    /// Its current incarnation has not reported.
    NoReport,
    /// It has an older revision in effect and may still send new requests.
    Outdated {
        /// The revision that it has in effect.
        revision: Revision,
        /// The number of requests that it has running.
        running: u32,
    },
    /// It sends no new requests and has this many running.
    Running(u32),
}

impl fmt::Display for Blocker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoReport => f.write_str("no report"),
            Self::Outdated { revision, running } => {
                write!(f, "{running} running, still at revision {revision}")
            }
            Self::Running(running) => write!(f, "{running} running"),
        }
    }
}

/// The entries that still block a drain, sorted by id.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Remaining {
    /// Each entry with its reason.
    pub entries: Vec<(EntryId, Blocker)>,
}

impl Remaining {
    /// Returns whether no entry blocks the drain.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of running requests that were reported.
    #[must_use]
    pub fn running(&self) -> u64 {
        let count = |blocker: &Blocker| match blocker {
            Blocker::NoReport => 0,
            Blocker::Outdated { running, .. } | Blocker::Running(running) => u64::from(*running),
        };
        self.entries.iter().map(|(_, b)| count(b)).sum()
    }
}

/// A drain that an operator asked for, with the latest report of each entry.
#[derive(Clone, Debug)]
pub struct Drain {
    subject: Subject,
    revision: Revision,
    reports: BTreeMap<EntryId, Report>,
}

impl Drain {
    /// Starts a drain that the document of `revision` asks for. The drain of an
    /// entry needs no document and uses revision zero.
    #[must_use]
    pub fn new(subject: Subject, revision: Revision) -> Self {
        Self {
            subject,
            revision,
            reports: BTreeMap::new(),
        }
    }

    /// Returns what is being drained.
    #[must_use]
    pub fn subject(&self) -> &Subject {
        &self.subject
    }

    /// Returns the revision that every entry must have in effect.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Records a report unless a later one of the same entry is known. Returns
    /// whether it was recorded.
    pub fn observe(&mut self, report: Report) -> bool {
        let order = |r: &Report| (r.incarnation, r.sequence);
        let known = self.reports.get(&report.entry);
        let newer = known.is_none_or(|k| order(k) < order(&report));
        if newer {
            self.reports.insert(report.entry.clone(), report);
        }
        newer
    }

    /// Returns the entries that still block the drain.
    ///
    /// `entries` are those that the platform lists, with their current
    /// incarnations. An entry that only the membership considers dead may be
    /// partitioned and still have requests running, so it counts until the
    /// platform reports it gone. A report of an earlier incarnation does not
    /// count, because the new one may have read an older document from a peer.
    pub fn remaining<'a>(
        &self,
        entries: impl IntoIterator<Item = (&'a EntryId, Incarnation)>,
    ) -> Remaining {
        let entries = entries.into_iter().filter(|(id, _)| self.involves(id));
        let blockers = entries
            .filter_map(|(id, incarnation)| Some((id.clone(), self.blocker(id, incarnation)?)));
        let mut entries: Vec<_> = blockers.collect();
        entries.sort_by(|a, b| a.0.cmp(&b.0));
        Remaining { entries }
    }

    fn involves(&self, id: &EntryId) -> bool {
        match &self.subject {
            Subject::Entry(entry) => entry == id,
            Subject::Target(..) | Subject::Place(..) => true,
        }
    }

    fn blocker(&self, id: &EntryId, incarnation: Incarnation) -> Option<Blocker> {
        let current = self
            .reports
            .get(id)
            .filter(|r| r.incarnation >= incarnation);
        let Some(report) = current else {
            return Some(Blocker::NoReport);
        };
        let Report {
            revision, running, ..
        } = *report;
        if revision < self.revision {
            return Some(Blocker::Outdated { revision, running });
        }
        (running > 0).then_some(Blocker::Running(running))
    }
}

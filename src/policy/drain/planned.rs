//! What is left of a drain, as the entries report it.

use std::{collections::BTreeMap, fmt};

use crate::domain::{EntryId, Incarnation, PlaceName, Revision, ServiceName, TargetId};

/// What is being drained.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// A target of a service.
    Target(ServiceName, TargetId),
    /// A place of a service.
    Place(ServiceName, PlaceName),
    /// An entry VM. It alone reports.
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

/// What one entry reports of a drain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The entry.
    pub entry: EntryId,
    /// The life of the entry in which it reports.
    pub incarnation: Incarnation,
    /// Counts the reports of this life, so that late ones are recognised.
    pub sequence: u64,
    /// The revision of the document that it has in effect.
    pub revision: Revision,
    /// The requests that it has running there, downloads included.
    pub running: u32,
}

/// Why an entry holds up a drain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Holdup {
    /// It has not reported in its present life.
    Silent,
    /// It has an older revision in effect and may still send new work.
    Behind {
        /// The revision that it has in effect.
        revision: Revision,
        /// The requests that it has running.
        running: u32,
    },
    /// It sends no new work and has requests running.
    Running(u32),
}

impl fmt::Display for Holdup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Silent => f.write_str("no report"),
            Self::Behind { revision, running } => {
                write!(f, "{running} running, still at revision {revision}")
            }
            Self::Running(running) => write!(f, "{running} running"),
        }
    }
}

/// The entries that hold up a drain, in the order of their ids.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Left {
    /// Each entry with its reason.
    pub entries: Vec<(EntryId, Holdup)>,
}

impl Left {
    /// Returns whether nothing holds up the drain.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests that are known to run.
    #[must_use]
    pub fn running(&self) -> u64 {
        let count = |holdup: &Holdup| match holdup {
            Holdup::Silent => 0,
            Holdup::Behind { running, .. } | Holdup::Running(running) => u64::from(*running),
        };
        self.entries.iter().map(|(_, h)| count(h)).sum()
    }
}

/// A planned drain.
#[derive(Clone, Debug)]
pub struct Drain {
    subject: Subject,
    revision: Revision,
    reports: BTreeMap<EntryId, Report>,
}

impl Drain {
    /// Begins a drain that the document of `revision` asks for. The drain of an
    /// entry needs no document and takes revision zero.
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

    /// Returns the revision that every entry has to have in effect.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Notes a report, unless a later one is known. Returns whether it counts.
    pub fn observe(&mut self, report: Report) -> bool {
        let age = |r: &Report| (r.incarnation, r.sequence);
        let known = self.reports.get(&report.entry);
        let newer = known.is_none_or(|k| age(k) < age(&report));
        if newer {
            self.reports.insert(report.entry.clone(), report);
        }
        newer
    }

    /// Returns what is left.
    ///
    /// `entries` are those that the platform lists, each in its present life. An
    /// entry that only steering holds for dead may be cut off and still have
    /// requests running, so it counts until the platform reports it gone. A
    /// report of a former life does not count, because the new one may have read
    /// an older document from a peer.
    pub fn left<'a>(&self, entries: impl IntoIterator<Item = (&'a EntryId, Incarnation)>) -> Left {
        let entries = entries.into_iter().filter(|(id, _)| self.concerns(id));
        let holdups = entries.filter_map(|(id, life)| Some((id.clone(), self.holdup(id, life)?)));
        let mut entries: Vec<_> = holdups.collect();
        entries.sort_by(|a, b| a.0.cmp(&b.0));
        Left { entries }
    }

    fn concerns(&self, id: &EntryId) -> bool {
        match &self.subject {
            Subject::Entry(entry) => entry == id,
            Subject::Target(..) | Subject::Place(..) => true,
        }
    }

    fn holdup(&self, id: &EntryId, life: Incarnation) -> Option<Holdup> {
        let current = self.reports.get(id).filter(|r| r.incarnation >= life);
        let Some(report) = current else {
            return Some(Holdup::Silent);
        };
        let Report {
            revision, running, ..
        } = *report;
        if revision < self.revision {
            return Some(Holdup::Behind { revision, running });
        }
        (running > 0).then_some(Holdup::Running(running))
    }
}

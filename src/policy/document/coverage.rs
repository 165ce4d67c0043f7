//! Where a revision is in effect.

use std::{collections::BTreeMap, fmt};

use crate::domain::{EntryId, Incarnation, Revision};

/// Which revision of one service's document each entry has in effect.
///
/// An entry keeps this only for services that an operator asks about. For every
/// service and each of 2,800 entries, it would not fit the memory that an entry
/// has for control.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Coverage {
    reports: BTreeMap<EntryId, (Incarnation, Revision)>,
}

impl Coverage {
    /// Notes what an entry reports.
    ///
    /// Reports arrive in any order. Within one life of an entry only a greater
    /// revision counts; a new life starts over, because it begins without
    /// documents.
    pub fn report(&mut self, entry: EntryId, incarnation: Incarnation, revision: Revision) {
        let latest = self.reports.entry(entry).or_default();
        *latest = (*latest).max((incarnation, revision));
    }

    /// Drops an entry whose VM is gone, so that a rollout does not wait for it.
    pub fn forget(&mut self, entry: &EntryId) {
        self.reports.remove(entry);
    }

    /// Returns where `revision` or a later one is in effect among `members`.
    ///
    /// A member without a report counts as behind, since it may still work with
    /// an old revision.
    #[must_use]
    pub fn view<'a>(
        &self,
        revision: Revision,
        members: impl IntoIterator<Item = &'a EntryId>,
    ) -> CoverageView {
        let mut view = CoverageView {
            revision,
            reached: Vec::new(),
            behind: Vec::new(),
        };
        for entry in members {
            match self.reports.get(entry) {
                Some((_, at)) if *at >= revision => view.reached.push(entry.clone()),
                other => {
                    let at = other.map(|(_, at)| *at);
                    view.behind.push((entry.clone(), at));
                }
            }
        }
        view
    }
}

/// Where a revision is in effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CoverageView {
    /// The revision.
    pub revision: Revision,
    /// The members that have it or a later one in effect.
    pub reached: Vec<EntryId>,
    /// The others, each with the revision that it last reported.
    pub behind: Vec<(EntryId, Option<Revision>)>,
}

impl CoverageView {
    /// Tells whether the revision is in effect everywhere. Without members it is
    /// in effect nowhere.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.behind.is_empty() && !self.reached.is_empty()
    }
}

impl fmt::Display for CoverageView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total = self.reached.len() + self.behind.len();
        write!(
            f,
            "revision {} is in effect at {} of {total} entries",
            self.revision,
            self.reached.len()
        )?;
        for (n, (entry, at)) in self.behind.iter().enumerate() {
            f.write_str(if n == 0 { "; behind: " } else { ", " })?;
            match at {
                Some(at) => write!(f, "{entry} at {at}")?,
                None => write!(f, "{entry} without report")?,
            }
        }
        Ok(())
    }
}

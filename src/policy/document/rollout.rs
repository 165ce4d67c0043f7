//! Rollout of a revision: the entries that have it in effect.

use std::{collections::BTreeMap, fmt};

use crate::domain::{EntryId, Incarnation, Revision};

/// The revision of one service's document that each entry reports to have in
/// effect.
///
/// This is meant for the services that an operator asks about. For every
/// service and each of 2,800 entries, it would exceed the memory that an entry
/// has for control data.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RevisionReports {
    reports: BTreeMap<EntryId, (Incarnation, Revision)>,
}

impl RevisionReports {
    /// Records the revision that an entry reports.
    ///
    /// Reports may arrive in any order. Within one incarnation of an entry,
    /// only a greater revision replaces the recorded one. A greater incarnation
    /// always replaces it, because a restarted entry has no documents.
    pub fn report(&mut self, entry: EntryId, incarnation: Incarnation, revision: Revision) {
        let latest = self.reports.entry(entry).or_default();
        *latest = (*latest).max((incarnation, revision));
    }

    /// Returns which of `members` have `revision` or a later one in effect.
    ///
    /// A member without a report counts as behind, since it may still use an
    /// old revision.
    #[must_use]
    pub fn status<'a>(
        &self,
        revision: Revision,
        members: impl IntoIterator<Item = &'a EntryId>,
    ) -> RolloutStatus {
        let mut status = RolloutStatus {
            revision,
            reached: Vec::new(),
            behind: Vec::new(),
        };
        for entry in members {
            match self.reports.get(entry) {
                Some((_, reported)) if *reported >= revision => status.reached.push(entry.clone()),
                other => {
                    let reported = other.map(|(_, reported)| *reported);
                    status.behind.push((entry.clone(), reported));
                }
            }
        }
        status
    }
}

/// The members that have a revision in effect, and those that do not.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutStatus {
    /// The revision.
    pub revision: Revision,
    /// The members that have it or a later one in effect.
    pub reached: Vec<EntryId>,
    /// The other members, each with its last reported revision.
    pub behind: Vec<(EntryId, Option<Revision>)>,
}

impl RolloutStatus {
    /// Returns whether the revision is in effect at every member. Returns false
    /// if there are no members.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.behind.is_empty() && !self.reached.is_empty()
    }
}

impl fmt::Display for RolloutStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total = self.reached.len() + self.behind.len();
        write!(
            f,
            "revision {} is in effect at {} of {total} entries",
            self.revision,
            self.reached.len()
        )?;
        for (n, (entry, reported)) in self.behind.iter().enumerate() {
            f.write_str(if n == 0 { "; behind: " } else { ", " })?;
            match reported {
                Some(reported) => write!(f, "{entry} at {reported}")?,
                None => write!(f, "{entry} without report")?,
            }
        }
        Ok(())
    }
}

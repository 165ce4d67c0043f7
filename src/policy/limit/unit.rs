//! What an entry knows of one unit.

use super::Member;
use crate::domain::Millis;

/// A loan, as its lender sees it.
#[derive(Clone, Debug)]
pub(super) struct Loan {
    /// The borrower.
    pub(super) to: Member,
    /// The ask under which it was granted.
    pub(super) ask: u64,
    /// When the loan began.
    pub(super) since: Millis,
    /// When a rate loan is reclaimed, or when a slot loan is next audited.
    pub(super) until: Millis,
    /// When the unit was last recalled.
    pub(super) recalled: Option<Millis>,
}

/// A borrowed unit.
#[derive(Clone, Debug)]
pub(super) struct Debt {
    /// The lender.
    pub(super) from: Member,
    /// The ask under which it was granted.
    pub(super) ask: u64,
    /// When a rate loan expires. A slot loan never does.
    pub(super) until: Millis,
    /// Since when the unit is idle.
    pub(super) since: Millis,
    /// Whether a request uses it.
    pub(super) busy: bool,
    /// Whether it shall be returned when it is free.
    pub(super) recalled: bool,
}

/// The state of one unit at one entry.
#[derive(Clone, Debug)]
pub(super) enum Unit {
    /// The entry neither owns nor holds it.
    Absent,
    /// Owned and idle since an instant.
    Free(Millis),
    /// Owned and in use by a request. If due, its home has asked for it.
    Busy {
        /// Whether its home has asked for it.
        due: bool,
    },
    /// Owned and lent.
    Lent {
        /// The loan.
        loan: Loan,
        /// Whether its home has asked for it.
        due: bool,
    },
    /// Held from its owner.
    Borrowed(Debt),
}

/// Groups units by a key, in the order of the keys' first appearance.
pub(super) fn group<K: PartialEq>(pairs: impl IntoIterator<Item = (K, u32)>) -> Vec<(K, Vec<u32>)> {
    let mut groups: Vec<(K, Vec<u32>)> = Vec::new();
    for (key, unit) in pairs {
        match groups.iter_mut().find(|(k, _)| *k == key) {
            Some((_, units)) => units.push(unit),
            None => groups.push((key, vec![unit])),
        }
    }
    groups
}

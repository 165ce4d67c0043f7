//! The state of one unit at one entry.

use super::Member;
use crate::domain::Millis;

/// A loan as recorded by the lender.
#[derive(Clone, Debug)]
pub(super) struct Loan {
    /// The borrower.
    pub(super) borrower: Member,
    /// The id of the borrow request that created or last renewed the loan.
    pub(super) request_id: u64,
    /// When the loan began.
    pub(super) granted_at: Millis,
    /// When a rate loan is reclaimed, or a slot loan is audited next.
    pub(super) deadline: Millis,
    /// When the unit was last recalled.
    pub(super) recalled_at: Option<Millis>,
}

/// A loan as recorded by the borrower.
#[derive(Clone, Debug)]
pub(super) struct BorrowedUnit {
    /// The lender.
    pub(super) lender: Member,
    /// The id of the borrow request that created or last renewed the loan.
    pub(super) request_id: u64,
    /// When a rate loan expires. A slot loan does not expire.
    pub(super) expires_at: Millis,
    /// Since when the unit has been idle.
    pub(super) idle_since: Millis,
    /// Whether a request is using it.
    pub(super) busy: bool,
    /// Whether it is to be returned as soon as it is idle.
    pub(super) recalled: bool,
}

/// The state of a unit.
#[derive(Clone, Debug)]
pub(super) enum Unit {
    /// Neither owned nor borrowed.
    Absent,
    /// Owned, and idle since this time.
    Free(Millis),
    /// Owned and in use by a request.
    Busy {
        /// Whether its home has requested it, so that it is handed over once free.
        claimed: bool,
    },
    /// Owned and lent.
    Lent {
        /// The loan.
        loan: Loan,
        /// Whether its home has requested it, so that it is handed over once free.
        claimed: bool,
    },
    /// Borrowed from its owner.
    Borrowed(BorrowedUnit),
}

/// Groups units by key. Groups are in the order in which their keys first appear.
pub(super) fn group_by_key<K: PartialEq>(
    pairs: impl IntoIterator<Item = (K, u32)>,
) -> Vec<(K, Vec<u32>)> {
    let mut groups: Vec<(K, Vec<u32>)> = Vec::new();
    for (key, unit) in pairs {
        match groups.iter_mut().find(|(k, _)| *k == key) {
            Some((_, units)) => units.push(unit),
            None => groups.push((key, vec![unit])),
        }
    }
    groups
}

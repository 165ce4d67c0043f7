//! A summary of a ledger.

/// A summary of a ledger for operators and tests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// The number of units of the limit.
    pub size: u32,
    /// Units that this entry may use, including those in use.
    pub usable: u32,
    /// Units in use by requests.
    pub busy: u32,
    /// Usable units that are borrowed.
    pub borrowed: u32,
    /// Units lent to others.
    pub lent: u32,
    /// Units whose home this entry is but that it does not own yet.
    pub missing: u32,
    /// Units that this entry needs.
    pub need: u32,
}

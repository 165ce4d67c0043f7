//! Documents: which revision is in effect, how an edit is settled, what an edit
//! changes, and where a revision has arrived.
//!
//! The store decides the order of edits, by its compare-and-swap. What remains
//! to be decided here is what each process makes of revisions that arrive late,
//! twice, in any order or with a faulty text, and what a writer concludes when
//! the store's response to its write is lost. All of it is state that is passed
//! in: [`DocumentState`] is held per service in
//! [`Shards`](crate::domain::Shards), and a [`History`] is read from and written
//! to the store by an adapter.
//!
//! Adoption by the store's revision alone needs no clock and no agreement
//! between entries. The cost is that a revision from a store that was restored
//! from a backup, with a lower counter, is not adopted. See
//! [docs/design.md](../../../docs/design.md), section 3.3.

mod coverage;
mod diff;
mod edit;
mod state;

pub use coverage::{Coverage, CoverageView};
pub use diff::{Change, diff};
pub use edit::{Edit, EditError, EditId, FORMER_MAX, Fate, Former, History, Stored};
pub use state::{Adoption, Content, DocumentState, Rejection};

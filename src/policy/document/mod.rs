//! Service documents: which revision is in effect, whether a write took effect,
//! what an edit changes, and which entries have a revision in effect.
//!
//! The store orders edits by compare-and-swap. This module decides how a
//! process handles revisions that arrive late, more than once, out of order or
//! with an invalid text, and what a writer concludes when the store's response
//! to its write is lost. All state is passed in: the caller keeps one
//! [`DocumentState`] per service in [`Shards`](crate::domain::Shards), and an
//! adapter reads and writes a [`History`] in the store.
//!
//! Adoption depends only on the store's revision, so it needs no clock and no
//! agreement between entries. A store that is restored from an older copy assigns
//! revisions again; the record of an edit made after that holds a floor, later
//! than every revision that entries report to have in effect. See
//! [docs/design.md](../../../docs/design.md), section 3.3.

mod diff;
mod edit;
mod rollout;
mod state;

pub use diff::{Change, diff};
pub use edit::{
    Edit, EditError, EditId, FormerRevision, History, MAX_FORMER_REVISIONS, StoredHistory,
    WriteOutcome,
};
pub use rollout::{RevisionReports, RolloutStatus};
pub use state::{Adoption, Content, DocumentState, Rejection};

//! Capacities below one token.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::domain::{EntryId, WorkspaceName};

/// Returns the hashed name of an entry, as the lists of entries that share limits have
/// it.
pub(super) fn entry_hash(entry: &EntryId) -> u64 {
    xxh3_64(entry.as_bytes())
}

/// Returns whether an entry holds a whole token of a capacity that gives each of
/// `entries` less than one. Rendezvous hashing selects as many entries as there are
/// whole tokens, so that all agree without communication.
pub(super) fn holds_token(
    entry: u64,
    workspace: &WorkspaceName,
    capacity: f64,
    entries: &[u64],
) -> bool {
    let rank = |hash: u64| xxh3_64_with_seed(workspace.as_bytes(), hash);
    let own_rank = rank(entry);
    let ahead = entries.iter().filter(|e| rank(**e) > own_rank).count();
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let tokens = capacity.max(0.0) as usize;
    ahead < tokens
}

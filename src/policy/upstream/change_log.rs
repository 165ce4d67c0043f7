//! A log of recent changes, from which other entries are served.

use std::{collections::VecDeque, ops::Range};

use crate::domain::{Millis, Position};

/// The maximum number of changes that are kept. An entry that is further behind
/// must read the full state.
const CHANGES_MAX: usize = 2_000;

/// How long changes are kept. An entry that did not poll for longer must read
/// the full state.
const RETENTION: Millis = Millis(30_000);

/// The maximum number of gaps that are kept. The log starts after older ones.
const GAPS_MAX: usize = 16;

/// Changes that were added together.
struct Batch<T> {
    at: Millis,
    position: Position,
    changes: Vec<T>,
}

/// Recent changes, with the range of positions for which they are complete.
///
/// A batch may be returned to an entry that already has some of its changes.
/// Each change carries the new state, not a difference, so that applying
/// changes again in order is idempotent.
pub struct ChangeLog<T> {
    /// The position after which the log is complete.
    start: Position,
    /// The position up to which the log is complete.
    position: Position,
    /// The instant as of which the log reflects the state of the store.
    as_of: Millis,
    batches: VecDeque<Batch<T>>,
    count: usize,
    /// The positions between which only a difference is known. Those at both
    /// ends are no part of the gap.
    gaps: VecDeque<Range<Position>>,
}

impl<T> Default for ChangeLog<T> {
    fn default() -> Self {
        Self {
            start: Position::MAX,
            position: Position::default(),
            as_of: Millis(0),
            batches: VecDeque::new(),
            count: 0,
            gaps: VecDeque::new(),
        }
    }
}

impl<T> std::fmt::Debug for ChangeLog<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            start, position, ..
        } = self;
        write!(f, "ChangeLog({start}..{position}, {} changes)", self.count)
    }
}

impl<T: Clone> ChangeLog<T> {
    /// Clears the log after the full state up to a position was read at `at`.
    pub fn reset(&mut self, at: Millis, position: Position) {
        *self = Self {
            start: position,
            position,
            as_of: at,
            ..Self::default()
        };
    }

    /// Adds the changes up to a position, which the store returned at `at`.
    pub fn push(&mut self, at: Millis, position: Position, changes: Vec<T>) {
        self.as_of = self.as_of.max(at);
        self.position = self.position.max(position);
        if !changes.is_empty() {
            self.count += changes.len();
            self.batches.push_back(Batch {
                at,
                position,
                changes,
            });
        }
        while let Some(first) = self.batches.front()
            && (self.count > CHANGES_MAX || first.at + RETENTION < at)
        {
            self.start = self.start.max(first.position);
            self.count -= first.changes.len();
            self.batches.pop_front();
        }
    }

    /// Removes the changes that a later one replaces: an entry that gets only the later
    /// one comes to the same state. Otherwise replies would have every version of a large
    /// configuration.
    pub fn remove_replaced(&mut self, is_replaced: impl Fn(&T) -> bool) {
        for batch in &mut self.batches {
            batch.changes.retain(|change| !is_replaced(change));
        }
        self.batches.retain(|batch| !batch.changes.is_empty());
        self.count = self.batches.iter().map(|b| b.changes.len()).sum();
    }

    /// Adds the difference between the state at the log's position and the full
    /// state at a later one, which was read at `at`.
    ///
    /// It lacks the changes that were undone in between. An entry that may have
    /// some of these, as its position lies between the two, must read the full
    /// state itself.
    pub fn push_difference(&mut self, at: Millis, position: Position, difference: Vec<T>) {
        if self.position < position {
            self.gaps.push_back(self.position..position);
        }
        self.push(at, position, difference);
        while let Some(first) = self.gaps.front()
            && (self.gaps.len() > GAPS_MAX || first.end <= self.start)
        {
            self.start = self.start.max(first.end);
            self.gaps.pop_front();
        }
    }

    /// Returns the changes after a position, or `None` if some of them are no
    /// longer in the log.
    #[must_use]
    pub fn changes_after(&self, position: Position) -> Option<Vec<T>> {
        let in_gap = |gap: &Range<Position>| gap.start < position && position < gap.end;
        if position < self.start || self.gaps.iter().any(in_gap) {
            return None;
        }
        let newer = self.batches.iter().filter(|b| b.position > position);
        Some(newer.flat_map(|b| b.changes.iter().cloned()).collect())
    }

    /// Returns whether the changes after a position are a difference, which
    /// lacks changes that were undone.
    #[must_use]
    pub fn has_gap_after(&self, position: Position) -> bool {
        self.gaps.iter().any(|gap| position < gap.end)
    }

    /// Returns the last position before the current era of the store, if the log
    /// contains the begin of that era.
    #[must_use]
    pub fn era_begin(&self) -> Option<Position> {
        let mut gaps = self.gaps.iter().rev();
        let begin = gaps.find(|gap| gap.start.era < gap.end.era);
        begin.map(|gap| gap.start)
    }

    /// Returns the position up to which the log is complete.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the instant as of which the log reflects the state of the store.
    #[must_use]
    pub fn as_of(&self) -> Millis {
        self.as_of
    }
}

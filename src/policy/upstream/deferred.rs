//! Changes that wait, because a later one may show that they did not happen.

use std::collections::BTreeMap;

use crate::domain::Millis;

/// Changes by the item that they concern, each with the instant from which it
/// counts.
#[derive(Clone, Debug)]
pub struct Deferred<K, T> {
    waiting: BTreeMap<K, (Millis, T)>,
}

impl<K, T> Default for Deferred<K, T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
        }
    }
}

impl<K: Clone + Ord, T> Deferred<K, T> {
    /// Adds a change that counts from `due` on. One that waits already keeps its
    /// time, so that repeating it does not delay it.
    pub fn put(&mut self, key: K, due: Millis, change: T) {
        self.waiting.entry(key).or_insert((due, change));
    }

    /// Drops the change of an item. Returns whether there was one.
    pub fn cancel(&mut self, key: &K) -> bool {
        self.waiting.remove(key).is_some()
    }

    /// Drops all changes.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Removes and returns the changes that count from now on.
    pub fn take_due(&mut self, now: Millis) -> Vec<T> {
        let due = self.waiting.iter().filter(|(_, (due, _))| *due <= now);
        let keys: Vec<K> = due.map(|(key, _)| key.clone()).collect();
        let taken = keys.iter().filter_map(|key| self.waiting.remove(key));
        taken.map(|(_, change)| change).collect()
    }

    /// Returns the number of changes that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no change waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

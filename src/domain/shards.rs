//! A map split into shards with a lock each.

use std::{
    collections::HashMap,
    hash::{BuildHasher, Hash, RandomState},
    sync::{Mutex, MutexGuard},
};

use super::lock;

/// The number of shards. It exceeds the number of cores of known entry VMs, so
/// that two threads rarely contend for the same lock.
const SHARD_COUNT: usize = 32;

/// A map from keys to state, split by the hash of the key into shards with a
/// lock each.
///
/// State is accessed only in closures, so no lock guard can be held across an
/// await. A closure must not access another key of the same map, which may be
/// in the locked shard. Several maps are locked in the order documents, limits,
/// targets, claims, see [docs/design.md](../../docs/design.md), section 2.
#[derive(Debug)]
pub struct Shards<K, V> {
    hasher: RandomState,
    shards: Vec<Mutex<HashMap<K, V>>>,
}

impl<K: Eq + Hash, V> Shards<K, V> {
    /// Returns an empty map.
    #[must_use]
    pub fn new() -> Self {
        Self {
            hasher: RandomState::new(),
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
        }
    }

    /// Runs `f` on the state of `key`, after creating it with `new` if there is
    /// none.
    pub fn with<T>(&self, key: K, new: impl FnOnce() -> V, f: impl FnOnce(&mut V) -> T) -> T {
        let mut shard = self.lock(&key);
        f(shard.entry(key).or_insert_with(new))
    }

    /// Runs `f` on the state of `key`, if there is one.
    pub fn get<T>(&self, key: &K, f: impl FnOnce(&mut V) -> T) -> Option<T> {
        self.lock(key).get_mut(key).map(f)
    }

    /// Sets the state of `key` and returns the former one.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        let mut shard = self.lock(&key);
        shard.insert(key, value)
    }

    /// Removes the state of `key` and returns it.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.lock(key).remove(key)
    }

    /// Runs `f` on every key and its state. The shards are locked one after the
    /// other, so `f` does not see a consistent snapshot of the map.
    pub fn each(&self, mut f: impl FnMut(&K, &mut V)) {
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.iter_mut().for_each(|(k, v)| f(k, v));
        }
    }

    fn lock(&self, key: &K) -> MutexGuard<'_, HashMap<K, V>> {
        let index =
            usize::try_from(self.hasher.hash_one(key) % SHARD_COUNT as u64).unwrap_or_default();
        lock(&self.shards[index])
    }
}

impl<K: Eq + Hash, V> Default for Shards<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

//! A map in parts, each under its own lock.

use std::{
    collections::HashMap,
    hash::{BuildHasher, Hash, RandomState},
    sync::{Mutex, MutexGuard, PoisonError},
};

/// The number of parts. It exceeds the cores of the entry VMs we know, so that
/// two threads seldom meet at one lock.
const SHARDS: usize = 32;

/// A map from keys to state, split by the key's hash into parts that are locked
/// one at a time.
///
/// State is reached only through closures, so no guard can be held across an
/// await. A closure must not use another key of the same map. Between maps the
/// order of locking is documents, limits, targets, claims, as in
/// [docs/design.md](../../docs/design.md), section 2.
#[derive(Debug)]
pub struct Shards<K, V> {
    hasher: RandomState,
    parts: Vec<Mutex<HashMap<K, V>>>,
}

impl<K: Eq + Hash, V> Shards<K, V> {
    /// Returns an empty map.
    #[must_use]
    pub fn new() -> Self {
        Self {
            hasher: RandomState::new(),
            parts: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }

    /// Runs `f` on the state of `key`, which is created if there is none.
    pub fn with<T>(&self, key: K, new: impl FnOnce() -> V, f: impl FnOnce(&mut V) -> T) -> T {
        let mut part = self.lock(&key);
        f(part.entry(key).or_insert_with(new))
    }

    /// Runs `f` on the state of `key`, if there is one.
    pub fn get<T>(&self, key: &K, f: impl FnOnce(&mut V) -> T) -> Option<T> {
        self.lock(key).get_mut(key).map(f)
    }

    /// Puts the state of `key` and returns the former one.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        let mut part = self.lock(&key);
        part.insert(key, value)
    }

    /// Removes the state of `key`.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.lock(key).remove(key)
    }

    /// Runs `f` on every key and its state, one part after the other. The whole
    /// is therefore not one snapshot.
    pub fn each(&self, mut f: impl FnMut(&K, &mut V)) {
        for part in &self.parts {
            let mut part = part.lock().unwrap_or_else(PoisonError::into_inner);
            part.iter_mut().for_each(|(k, v)| f(k, v));
        }
    }

    fn lock(&self, key: &K) -> MutexGuard<'_, HashMap<K, V>> {
        let hash = usize::try_from(self.hasher.hash_one(key) % SHARDS as u64).unwrap_or_default();
        // A panic in one request must not stop the others that share its part.
        self.parts[hash]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl<K: Eq + Hash, V> Default for Shards<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

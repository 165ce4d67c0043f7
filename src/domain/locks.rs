//! Access to locks of which a panic must not take the value away.
//!
//! A panic in one request must not fail other requests, so a poisoned lock is used as
//! it is.

use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockWriteGuard};

/// Locks a mutex.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a copy of a value that is replaced as a whole.
pub fn read<T: Clone>(lock: &RwLock<T>) -> T {
    lock.read().unwrap_or_else(PoisonError::into_inner).clone()
}

/// Locks a value to replace it.
pub fn write<T>(lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}

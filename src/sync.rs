//! Mutexes around the state of slices; a lock is held briefly and never across an await.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, even if another thread panicked while it held the lock.
///
/// Slices keep the state behind their mutexes consistent at every statement that can panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

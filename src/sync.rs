//! Short locks around slice state; no lock is held across an await.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also after a panic of another holder.
///
/// The slices keep their state consistent between any two statements that can panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

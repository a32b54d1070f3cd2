//! The wall clock of the stand-ins, and locking of their shared state.

use std::sync;
use std::time;

/// Milliseconds since the Unix epoch; 0 if the system clock is before it.
pub fn unix_ms() -> u64 {
    let since_epoch = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Locks `mutex`, also after a thread panicked while it held the lock.
///
/// The state may be inconsistent then; tests check it themselves.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

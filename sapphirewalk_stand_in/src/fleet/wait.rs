//! Waiting for conditions by polling.

use std::time;

use crate::fleet::error::FleetError;

/// Time between two checks of a condition.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(10);

/// Calls `is_met` repeatedly until it returns true.
///
/// # Errors
///
/// When it returned false at `deadline`; the error contains the text `condition`.
pub async fn await_until<F>(
    deadline: time::Instant,
    condition: &str,
    mut is_met: F,
) -> Result<(), FleetError>
where
    F: AsyncFnMut() -> bool,
{
    while !is_met().await {
        if time::Instant::now() >= deadline {
            return Err(FleetError::TimedOut {
                condition: condition.to_owned(),
            });
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    Ok(())
}

/// The time `seconds` from now, as a deadline for [`await_until`].
pub fn seconds_from_now(seconds: u64) -> time::Instant {
    time::Instant::now() + time::Duration::from_secs(seconds)
}

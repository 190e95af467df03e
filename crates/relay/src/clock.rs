//! The clock of the modules that do input and output; decision functions take the time as an argument.

use lw_base::prelude::*;
use tokio::time::{Duration, Instant};

/// The monotonic clock of the process.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    start: Instant,
}

/// The clock's value at the start, so that subtracting a duration from it never reaches zero.
const OFFSET_MS: u64 = 100_000;

impl HostClock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> MonoMs {
        MonoMs(OFFSET_MS + self.start.elapsed().as_millis() as u64)
    }

    /// Returns the time since the start, in milliseconds.
    #[must_use]
    pub fn uptime_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Converts a time of this clock to an [`Instant`].
    #[must_use]
    pub fn instant(&self, at: MonoMs) -> Instant {
        self.start + Duration::from_millis(at.0.saturating_sub(OFFSET_MS))
    }
}

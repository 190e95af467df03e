//! The clock of the shell; deciding functions take the time as an argument.

use lw_base::prelude::*;
use tokio::time::{Duration, Instant};

/// The monotonic clock of the process.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    start: Instant,
}

/// The clock begins here, so that subtracting a span never reaches zero.
const OFFSET_MS: u64 = 100_000;

impl HostClock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> MonoMs {
        MonoMs(OFFSET_MS + self.start.elapsed().as_millis() as u64)
    }

    /// Returns the time since the start, in milliseconds.
    #[must_use]
    pub fn uptime_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the instant of a point in time.
    #[must_use]
    pub fn instant(&self, at: MonoMs) -> Instant {
        self.start + Duration::from_millis(at.0.saturating_sub(OFFSET_MS))
    }
}

//! The clock of the modules that do input and output; decision functions take the time as an argument.

use lw_base::prelude::*;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::{Duration, Instant};

/// The monotonic clock of the process. It also counts the time for which the machine is suspended, so that what the host
/// knows has aged when it wakes.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    start_ms: u64,
}

/// The clock's value at the start, so that subtracting a duration from it never reaches zero.
const OFFSET_MS: u64 = 100_000;

impl HostClock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start_ms: boot_ms(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> MonoMs {
        MonoMs(OFFSET_MS + self.uptime_ms())
    }

    /// Returns the time since the start, in milliseconds.
    #[must_use]
    pub fn uptime_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.start_ms)
    }

    /// Converts a time of this clock to an [`Instant`]; a time in the past becomes the current one.
    #[must_use]
    pub fn instant(&self, at: MonoMs) -> Instant {
        Instant::now() + Duration::from_millis(at.since_ms(self.now()))
    }
}

/// Returns the time since the machine booted, in milliseconds.
fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

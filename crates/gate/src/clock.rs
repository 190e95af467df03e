//! Monotonic and wall clock of a host.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lw_base::prelude::*;
use lw_route::Now;

/// The monotonic clock and the wall clock of a host.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock. Its monotonic time starts at 1 s, because some components use zero for "never".
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time on both clocks.
    #[must_use]
    pub fn now(&self) -> Now {
        Now {
            mono: self.mono(),
            wall: Self::wall(),
        }
    }

    /// Returns the current monotonic time.
    #[must_use]
    pub fn mono(&self) -> MonoMs {
        let elapsed_ms = self.start.elapsed().as_millis();
        MonoMs(1_000 + u64::try_from(elapsed_ms).unwrap_or(u64::MAX - 1_000))
    }

    /// Returns the current wall-clock time.
    #[must_use]
    pub fn wall() -> WallMs {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let epoch_ms = since_epoch.unwrap_or(Duration::ZERO).as_millis();
        WallMs(u64::try_from(epoch_ms).unwrap_or(u64::MAX))
    }

    /// Converts a monotonic time to an instant for the timers of tokio.
    #[must_use]
    pub(crate) fn instant(&self, at: MonoMs) -> tokio::time::Instant {
        let elapsed = Duration::from_millis(at.0.saturating_sub(1_000));
        tokio::time::Instant::from_std(self.start + elapsed)
    }
}

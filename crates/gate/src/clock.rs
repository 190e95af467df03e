//! Clocks of a host.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lw_base::prelude::*;
use lw_route::Now;

/// The monotonic clock and the wall clock of a host, read together.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock; its monotonic time counts from a second, because zero means "never" to some decisions.
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
        let since = self.start.elapsed().as_millis();
        MonoMs(1_000 + u64::try_from(since).unwrap_or(u64::MAX - 1_000))
    }

    /// Returns the current wall-clock time.
    #[must_use]
    pub fn wall() -> WallMs {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let since = since.unwrap_or(Duration::ZERO).as_millis();
        WallMs(u64::try_from(since).unwrap_or(u64::MAX))
    }

    /// Returns the point of the monotonic clock as the runtime's timers take it.
    #[must_use]
    pub(crate) fn instant(&self, at: MonoMs) -> tokio::time::Instant {
        let since = Duration::from_millis(at.0.saturating_sub(1_000));
        tokio::time::Instant::from_std(self.start + since)
    }
}

//! The clocks of a node.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use lw_base::prelude::*;

type SleepFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// The clocks of a node as closures, so that tests can run them faster than real time.
#[derive(Clone)]
pub struct NodeClock {
    mono: Arc<dyn Fn() -> MonoMs + Send + Sync>,
    wall: Arc<dyn Fn() -> WallMs + Send + Sync>,
    sleep: Arc<dyn Fn(u64) -> SleepFuture + Send + Sync>,
}

impl NodeClock {
    /// Builds clocks from the closures that read the monotonic clock and the wall clock; waits use the timers of tokio.
    pub fn new(
        mono: impl Fn() -> MonoMs + Send + Sync + 'static,
        wall: impl Fn() -> WallMs + Send + Sync + 'static,
    ) -> Self {
        Self {
            mono: Arc::new(mono),
            wall: Arc::new(wall),
            sleep: Arc::new(|wait_ms| Box::pin(tokio::time::sleep(Duration::from_millis(wait_ms)))),
        }
    }

    /// Divides the length of every wait by `speed`, for clocks that run `speed` times as fast as real time.
    #[must_use]
    pub fn at_speed(mut self, speed: u32) -> Self {
        let speed = speed.max(1);
        self.sleep = Arc::new(move |wait_ms| {
            Box::pin(tokio::time::sleep(Duration::from_millis(wait_ms) / speed))
        });
        self
    }

    /// Returns the monotonic time.
    #[must_use]
    pub fn mono(&self) -> MonoMs {
        (self.mono)()
    }

    /// Returns the wall-clock time.
    #[must_use]
    pub fn wall(&self) -> WallMs {
        (self.wall)()
    }

    pub(crate) async fn sleep(&self, wait_ms: u64) {
        (self.sleep)(wait_ms).await;
    }

    /// Awaits `work` for at most `timeout_ms`; returns `None` on a timeout.
    pub(crate) async fn timeout<T>(
        &self,
        timeout_ms: u64,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            done = work => Some(done),
            () = self.sleep(timeout_ms) => None,
        }
    }
}

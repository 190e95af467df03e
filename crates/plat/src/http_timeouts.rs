//! Time limits of an HTTP client.

use std::time::Duration;

/// The time limits of calls to one platform service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpTimeouts {
    /// The longest time to open a connection, in milliseconds.
    pub connect_ms: u64,
    /// The longest time from the open connection to the whole reply, in milliseconds.
    pub call_ms: u64,
}

impl HttpTimeouts {
    /// Returns the limit to open a connection.
    pub(crate) fn connect(self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    /// Returns the limit of a whole call that the service may hold open for `wait_ms`.
    ///
    /// It includes the connect limit, so a slow connect ends as unreachable and not as a lost reply.
    pub(crate) fn total(self, wait_ms: u64) -> Duration {
        Duration::from_millis(
            self.connect_ms
                .saturating_add(self.call_ms)
                .saturating_add(wait_ms),
        )
    }
}

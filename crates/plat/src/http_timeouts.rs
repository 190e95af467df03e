//! Timeouts of an HTTP client.

use std::time::Duration;

/// The timeouts of calls to one platform service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpTimeouts {
    /// The timeout for opening a connection, in milliseconds.
    pub connect_ms: u64,
    /// The timeout from the open connection to the complete reply, in milliseconds.
    pub call_ms: u64,
}

impl HttpTimeouts {
    /// Returns the timeout for opening a connection.
    pub(crate) fn connect(self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    /// Returns the timeout of a complete call that the service may hold open for `wait_ms`.
    ///
    /// It includes the connect timeout, so that a slow connect is reported as unreachable and not as a lost reply.
    pub(crate) fn total(self, wait_ms: u64) -> Duration {
        Duration::from_millis(
            self.connect_ms
                .saturating_add(self.call_ms)
                .saturating_add(wait_ms),
        )
    }
}

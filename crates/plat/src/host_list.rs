//! Client of the platform's list of live and leaving hosts.

use std::sync::Arc;

use crate::host_entry::HostEntry;
use crate::http_client::HttpClient;
use crate::http_timeouts::HttpTimeouts;
use crate::platform_error::{PlatformError, PlatformFuture};

/// The largest accepted reply; the entries of 380 hosts need well under 1 MB.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;

/// A client of the host list.
#[derive(Clone)]
pub struct HostList {
    list: Arc<dyn Fn() -> PlatformFuture<Vec<HostEntry>> + Send + Sync>,
}

impl HostList {
    /// Creates a client from a closure that reads the list.
    pub fn new(list: impl Fn() -> PlatformFuture<Vec<HostEntry>> + Send + Sync + 'static) -> Self {
        Self {
            list: Arc::new(list),
        }
    }

    /// Creates an HTTP client of the host list at `address` (IP address and port).
    pub fn over_http(address: &str, timeouts: HttpTimeouts) -> Self {
        let client = HttpClient::new(address, timeouts, MAX_REPLY_BYTES);
        Self::new(move || {
            let client = client.clone();
            Box::pin(async move { client.get_json("/hosts").await })
        })
    }

    /// Reads the list, which lags behind the actual state of the hosts.
    ///
    /// # Errors
    ///
    /// Returns an error when the service rejects the call, cannot be reached or does not reply in time.
    pub async fn list(&self) -> Result<Vec<HostEntry>, PlatformError> {
        (self.list)().await
    }
}

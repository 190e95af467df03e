//! Client of the directory in which callers look up entry hosts.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;

use crate::host_entry::HostEntry;
use crate::http_client::{HttpClient, check_status, encode, with_body};
use crate::http_timeouts::HttpTimeouts;
use crate::platform_error::{PlatformError, PlatformFuture};

/// The largest accepted reply; the entries of 380 hosts need well under 1 MB.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;

/// A client of the directory.
#[derive(Clone)]
pub struct Directory {
    put: Arc<dyn Fn(HostEntry) -> PlatformFuture<()> + Send + Sync>,
    remove: Arc<dyn Fn(String) -> PlatformFuture<()> + Send + Sync>,
    list: Arc<dyn Fn(String) -> PlatformFuture<Vec<HostEntry>> + Send + Sync>,
}

impl Directory {
    /// Creates a client from closures that add, remove and list hosts.
    pub fn new(
        put: impl Fn(HostEntry) -> PlatformFuture<()> + Send + Sync + 'static,
        remove: impl Fn(String) -> PlatformFuture<()> + Send + Sync + 'static,
        list: impl Fn(String) -> PlatformFuture<Vec<HostEntry>> + Send + Sync + 'static,
    ) -> Self {
        Self {
            put: Arc::new(put),
            remove: Arc::new(remove),
            list: Arc::new(list),
        }
    }

    /// Creates an HTTP client of the directory at `address` (IP address and port).
    pub fn over_http(address: &str, timeouts: HttpTimeouts) -> Self {
        let put_client = HttpClient::new(address, timeouts, MAX_REPLY_BYTES);
        let remove_client = put_client.clone();
        let list_client = put_client.clone();
        Self::new(
            move |entry| {
                let client = put_client.clone();
                Box::pin(async move { put_entry(&client, &entry).await })
            },
            move |host| {
                let client = remove_client.clone();
                Box::pin(async move { remove_entry(&client, &host).await })
            },
            move |region| {
                let client = list_client.clone();
                let path = format!("/directory?region={}", encode(&region));
                Box::pin(async move { client.get_json(&path).await })
            },
        )
    }

    /// Adds a host or replaces its entry; the call is idempotent.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::ReplyLost`] when the entry may or may not have been written.
    pub async fn put(&self, entry: HostEntry) -> Result<(), PlatformError> {
        (self.put)(entry).await
    }

    /// Removes a host; succeeds when the host has no entry.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::ReplyLost`] when the entry may or may not have been removed.
    pub async fn remove(&self, host: &str) -> Result<(), PlatformError> {
        (self.remove)(host.to_owned()).await
    }

    /// Lists the hosts of a region.
    ///
    /// # Errors
    ///
    /// Returns an error when the service rejects the call, cannot be reached or does not reply in time.
    pub async fn list(&self, region: &str) -> Result<Vec<HostEntry>, PlatformError> {
        (self.list)(region.to_owned()).await
    }
}

async fn put_entry(client: &HttpClient, entry: &HostEntry) -> Result<(), PlatformError> {
    let path = format!("/directory/{}", encode(&entry.host));
    let body = serde_json::to_vec(entry).map_err(|_| PlatformError::Malformed)?;
    let builder = client.request(Method::PUT, &path);
    let request = with_body(
        builder.header("content-type", "application/json"),
        body.into(),
    )?;
    check_status(client.send(request, 0).await?.parts.status)
}

async fn remove_entry(client: &HttpClient, host: &str) -> Result<(), PlatformError> {
    let path = format!("/directory/{}", encode(host));
    let request = with_body(client.request(Method::DELETE, &path), Bytes::new())?;
    match check_status(client.send(request, 0).await?.parts.status) {
        Err(PlatformError::Absent) => Ok(()),
        other => other,
    }
}

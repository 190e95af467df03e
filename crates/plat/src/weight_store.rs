//! Client of the store of model weights.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;

use crate::http_client::{HttpClient, check_status, encode, with_body};
use crate::http_timeouts::HttpTimeouts;
use crate::platform_error::{PlatformError, PlatformFuture};

/// A client of the weight store.
#[derive(Clone)]
pub struct WeightStore {
    fetch: Arc<dyn Fn(String, String) -> PlatformFuture<Bytes> + Send + Sync>,
}

impl WeightStore {
    /// Creates a client from a closure that fetches the weights of a model and version.
    pub fn new(
        fetch: impl Fn(String, String) -> PlatformFuture<Bytes> + Send + Sync + 'static,
    ) -> Self {
        Self {
            fetch: Arc::new(fetch),
        }
    }

    /// Creates an HTTP client of the weight store at `address` (IP address and port) with at most `max_bytes`
    /// per model.
    pub fn over_http(address: &str, timeouts: HttpTimeouts, max_bytes: usize) -> Self {
        let client = HttpClient::new(address, timeouts, max_bytes);
        Self::new(move |model, version| {
            let client = client.clone();
            Box::pin(async move { fetch_weights(&client, &model, &version).await })
        })
    }

    /// Fetches the weights of a model and version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] when the rate limit is exceeded, and [`PlatformError::Absent`] for an
    /// unknown model.
    pub async fn fetch(&self, model: &str, version: &str) -> Result<Bytes, PlatformError> {
        (self.fetch)(model.to_owned(), version.to_owned()).await
    }
}

async fn fetch_weights(
    client: &HttpClient,
    model: &str,
    version: &str,
) -> Result<Bytes, PlatformError> {
    let path = format!("/weights/{}/{}", encode(model), encode(version));
    let request = with_body(client.request(Method::GET, &path), Bytes::new())?;
    let reply = client.send(request, 0).await?;
    check_status(reply.parts.status)?;
    Ok(reply.body)
}

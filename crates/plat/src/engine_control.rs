//! Client of the control interface of model engines.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;

use crate::engine_messages::{EngineCommand, EngineLoad, EngineState};
use crate::http_client::{HttpClient, check_status, with_body};
use crate::http_timeouts::HttpTimeouts;
use crate::platform_error::{PlatformError, PlatformFuture};

/// The largest accepted reply, which is well above the size of any reply of the control interface.
const MAX_REPLY_BYTES: usize = 64 * 1024;

/// A client of the control interface of all engines; each call takes the address of the engine.
#[derive(Clone)]
pub struct EngineControl {
    command: Arc<dyn Fn(String, EngineCommand) -> PlatformFuture<()> + Send + Sync>,
    state: Arc<dyn Fn(String) -> PlatformFuture<EngineState> + Send + Sync>,
    load: Arc<dyn Fn(String) -> PlatformFuture<EngineLoad> + Send + Sync>,
}

impl EngineControl {
    /// Creates a client from closures that send a command, read the state and read the load.
    pub fn new(
        command: impl Fn(String, EngineCommand) -> PlatformFuture<()> + Send + Sync + 'static,
        state: impl Fn(String) -> PlatformFuture<EngineState> + Send + Sync + 'static,
        load: impl Fn(String) -> PlatformFuture<EngineLoad> + Send + Sync + 'static,
    ) -> Self {
        Self {
            command: Arc::new(command),
            state: Arc::new(state),
            load: Arc::new(load),
        }
    }

    /// Creates a client over HTTP.
    ///
    /// A command takes at most the sum of both timeouts, and placement relies on this bound.
    pub fn over_http(timeouts: HttpTimeouts) -> Self {
        let command_client = HttpClient::new("", timeouts, MAX_REPLY_BYTES);
        let state_client = command_client.clone();
        let load_client = command_client.clone();
        Self::new(
            move |address, command| {
                let client = command_client.with_address(&address);
                Box::pin(async move { send_command(&client, &command).await })
            },
            move |address| {
                let client = state_client.with_address(&address);
                Box::pin(async move { client.get_json("/state").await })
            },
            move |address| {
                let client = load_client.with_address(&address);
                Box::pin(async move { client.get_json("/load").await })
            },
        )
    }

    /// Sends a command to the engine at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Stale`] when the engine has received a higher fencing number, and
    /// [`PlatformError::ReplyLost`] when the command may have taken effect.
    pub async fn command(
        &self,
        address: &str,
        command: EngineCommand,
    ) -> Result<(), PlatformError> {
        (self.command)(address.to_owned(), command).await
    }

    /// Reads which model the engine at `address` has loaded.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine cannot be reached or does not reply in time.
    pub async fn state(&self, address: &str) -> Result<EngineState, PlatformError> {
        (self.state)(address.to_owned()).await
    }

    /// Reads the load report of the engine at `address`, which lags behind its current load.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine cannot be reached or does not reply in time.
    pub async fn load(&self, address: &str) -> Result<EngineLoad, PlatformError> {
        (self.load)(address.to_owned()).await
    }
}

async fn send_command(client: &HttpClient, command: &EngineCommand) -> Result<(), PlatformError> {
    let body = serde_json::to_vec(command).map_err(|_| PlatformError::Malformed)?;
    let builder = client.request(Method::POST, "/command");
    let builder = builder.header("content-type", "application/json");
    let request = with_body(builder, Bytes::from(body))?;
    check_status(client.send(request, 0).await?.parts.status)
}

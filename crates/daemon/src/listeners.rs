//! HTTP listeners of a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lw_gate::{Gate, Handler, HttpServer, MAX_BODY_BYTES, ServerOptions};
use tokio::time::Instant;

use crate::settings::Settings;
use crate::start_error::StartError;

/// Poll interval of a drain for requests and connections that have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// HTTP listeners of a host.
pub(crate) struct Listeners {
    pub(crate) callers: HttpServer,
    pub(crate) peers: HttpServer,
    pub(crate) admin: HttpServer,
}

impl Listeners {
    /// Binds the addresses of the settings and starts serving.
    pub(crate) fn start(
        settings: &Settings,
        gate: &Arc<Gate>,
        admin: Handler,
    ) -> Result<Self, StartError> {
        let listen = &settings.listen;
        let threads = settings.worker_threads;
        Ok(Self {
            callers: bind(
                "callers",
                listen.callers,
                server_options(threads, MAX_BODY_BYTES),
                gate.caller_handler(),
            )?,
            peers: bind(
                "peers",
                listen.peers,
                server_options(threads, MAX_BODY_BYTES),
                gate.peer_handler(),
            )?,
            admin: bind(
                "admin",
                listen.admin,
                server_options(1, lw_console::web::MAX_BODY_BYTES),
                admin,
            )?,
        })
    }

    /// Closes idle connections until no connection of callers or other hosts is open.
    ///
    /// Returns false if requests are still in flight at `deadline`.
    pub(crate) async fn drain(&self, gate: &Gate, deadline: Instant) -> bool {
        loop {
            self.callers.close_idle();
            if gate.state().in_flight() == 0 {
                self.peers.close_idle();
                if self.callers.open_connections() + self.peers.open_connections() == 0 {
                    return true;
                }
            }
            if Instant::now() >= deadline {
                return gate.state().in_flight() == 0;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Stops all listeners.
    pub(crate) async fn stop(self) {
        self.callers.stop().await;
        self.peers.stop().await;
        self.admin.stop().await;
    }
}

fn bind(
    listener: &'static str,
    address: SocketAddr,
    options: ServerOptions,
    handler: Handler,
) -> Result<HttpServer, StartError> {
    HttpServer::start(address, options, handler).map_err(|error| StartError::Listen {
        listener,
        address,
        error,
    })
}

fn server_options(worker_threads: usize, max_body_bytes: usize) -> ServerOptions {
    ServerOptions {
        worker_threads,
        max_body_bytes,
        body_timeout_ms: 30_000,
        keep_alive_ms: 15_000,
    }
}

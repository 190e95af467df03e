//! The HTTP listeners of a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lw_gate::{AdminActions, Gate, Handler, HttpServer, MAX_BODY_BYTES, ServerOptions};
use tokio::time::Instant;

use crate::settings::Settings;
use crate::start_error::StartError;

/// How often a planned stop looks for requests that ended.
const POLL: Duration = Duration::from_millis(20);

/// The HTTP listeners of a host.
pub(crate) struct Listeners {
    pub(crate) callers: HttpServer,
    pub(crate) peers: HttpServer,
    pub(crate) admin: HttpServer,
}

impl Listeners {
    /// Binds the addresses of the settings.
    pub(crate) fn start(
        settings: &Settings,
        gate: &Arc<Gate>,
        actions: AdminActions,
    ) -> Result<Self, StartError> {
        let listen = &settings.listen;
        let threads = settings.worker_threads;
        Ok(Self {
            callers: bind("callers", listen.callers, threads, gate.caller_handler())?,
            peers: bind("peers", listen.peers, threads, gate.peer_handler())?,
            admin: bind("admin", listen.admin, 1, gate.admin_handler(actions))?,
        })
    }

    /// Waits until the connections of callers and hosts are closed; returns false when `until` comes first.
    pub(crate) async fn drain(&self, gate: &Gate, until: Instant) -> bool {
        loop {
            self.callers.close_idle();
            if gate.state().in_flight() == 0 {
                self.peers.close_idle();
                if self.callers.open_connections() + self.peers.open_connections() == 0 {
                    return true;
                }
            }
            if Instant::now() >= until {
                return gate.state().in_flight() == 0;
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Ends all listeners.
    pub(crate) async fn stop(self) {
        self.callers.stop().await;
        self.peers.stop().await;
        self.admin.stop().await;
    }
}

fn bind(
    listener: &'static str,
    address: SocketAddr,
    worker_threads: usize,
    handler: Handler,
) -> Result<HttpServer, StartError> {
    let options = ServerOptions {
        worker_threads,
        max_body_bytes: MAX_BODY_BYTES,
        body_timeout_ms: 30_000,
        keep_alive_ms: 15_000,
    };
    HttpServer::start(address, options, handler).map_err(|error| StartError::Listen {
        listener,
        address,
        error,
    })
}

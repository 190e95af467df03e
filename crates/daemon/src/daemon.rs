//! A running host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lw_base::prelude::*;
use lw_base::{stable_hash, violate};
use lw_doc::{Fleet, compile, parse_document};
use lw_gate::{AdminActions, Clock, Gate, GateParts, HostView, Identity, KeyedRuns};
use lw_route::Router;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::exit::Exit;
use crate::listeners::Listeners;
use crate::settings::Settings;
use crate::start_error::StartError;

/// How often admission queues are looked after.
const TICK: Duration = Duration::from_millis(50);

/// The bound addresses of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for other hosts.
    pub peers: SocketAddr,
    /// HTTP for operators and probes.
    pub admin: SocketAddr,
}

/// A running host.
pub struct Daemon {
    settings: Settings,
    gate: Arc<Gate>,
    listeners: Listeners,
    drain_requested: CancellationToken,
    tasks: Vec<AbortOnDropHandle<()>>,
}

impl Daemon {
    /// Starts a host.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound or the document file cannot be used.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let clock = Clock::start();
        let fleet = first_fleet(&settings)?;
        let ready = fleet.revision > 0;
        let seed = stable_hash(settings.host.as_bytes()) ^ Clock::wall().0;
        let router = Router::new(clock.mono(), &Arc::new(fleet), &settings.region, seed);
        let router = Arc::new(router);
        let gate = Gate::new(GateParts {
            identity: Identity {
                host: settings.host.as_str().into(),
                region: settings.region.as_str().into(),
                zone: settings.zone.as_str().into(),
            },
            clock,
            router,
            hosts: HostView::alone(),
            keyed: KeyedRuns::refused(),
            peer_key: settings.peer_key.clone().into_bytes(),
            operators: settings.operators().map_err(StartError::Operator)?,
        });
        gate.state().set_ready(ready);
        let drain_requested = CancellationToken::new();
        let requested = drain_requested.clone();
        let actions = AdminActions {
            status: Arc::new(serde_json::Map::new),
            drain: Arc::new(move |_| requested.cancel()),
        };
        let listeners = Listeners::start(&settings, &gate, actions)?;
        let tasks = vec![spawn_tick(gate.clone())];
        log::info!(
            "daemon: {} in {} serves callers on {}",
            settings.host,
            settings.zone,
            listeners.callers.address()
        );
        Ok(Self {
            settings,
            gate,
            listeners,
            drain_requested,
            tasks,
        })
    }

    /// Returns the bound addresses.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        Addresses {
            callers: self.listeners.callers.address(),
            peers: self.listeners.peers.address(),
            admin: self.listeners.admin.address(),
        }
    }

    /// Returns the HTTP side.
    #[must_use]
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Returns when an operator asks for a planned stop.
    pub async fn drain_requested(&self) {
        self.drain_requested.cancelled().await;
    }

    /// Performs a planned stop.
    pub async fn drain(self) -> Exit {
        let state = self.gate.state().clone();
        state.set_leaving();
        log::info!(
            "daemon: leaving with {} requests in flight",
            state.in_flight()
        );
        tokio::time::sleep(Duration::from_millis(self.settings.move_ms)).await;
        self.listeners.callers.close_listener();
        state.close();
        let until = Instant::now() + Duration::from_millis(self.settings.drain_limit_ms);
        let drained = self.listeners.drain(&self.gate, until).await;
        let exit = self.end(drained).await;
        log::info!("daemon: stopped with exit code {}", exit.code());
        exit
    }

    /// Ends at once, as a host that fails: requests in flight are cut off.
    pub async fn kill(self) {
        self.gate.state().halt();
        drop(self.tasks);
        self.listeners.stop().await;
    }

    async fn end(self, drained: bool) -> Exit {
        let in_flight = self.gate.state().in_flight();
        self.gate.state().halt();
        drop(self.tasks);
        self.listeners.stop().await;
        if drained {
            return Exit::Ok;
        }
        violate(
            Invariant::GracefulStop,
            format_args!("{in_flight} requests were cut off at the limit of a planned stop"),
        );
        Exit::DrainTimedOut
    }
}

fn spawn_tick(gate: Arc<Gate>) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK);
        loop {
            interval.tick().await;
            gate.tick();
        }
    }))
}

/// Returns the document of the settings, or an empty one with revision 0.
fn first_fleet(settings: &Settings) -> Result<Fleet, StartError> {
    let Some(file) = &settings.document_file else {
        return Ok(Fleet::default());
    };
    let text = std::fs::read_to_string(file)
        .map_err(|error| StartError::Document(format!("{file}: cannot be read: {error}")))?;
    let parsed =
        parse_document(file, &text).map_err(|error| StartError::Document(error.to_string()))?;
    Ok(compile(&parsed.document, 1))
}

//! Starts, drains and stops the gateway process of a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lw_base::prelude::*;
use lw_base::{report_violation, stable_hash};
use lw_doc::{Fleet, compile, parse_document};
use lw_gate::{AdminActions, Clock, Gate, GateParts, Identity};
use lw_node::{Node, NodeStatus, Placement};
use lw_peer::FrameRefusal;
use lw_plat::Kv;
use lw_route::Router;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::console_handle::ConsoleHandle;
use crate::console_start::build_console;
use crate::control_window::ControlSample;
use crate::exit::Exit;
use crate::listeners::Listeners;
use crate::node_handle::NodeHandle;
use crate::node_metrics::NodeMetrics;
use crate::node_start::{kv_client, start_node, start_placement};
use crate::resident_memory::resident_bytes;
use crate::settings::Settings;
use crate::start_error::StartError;
use crate::status::node_status;
use crate::unknown_key_reporter::UnknownKeyReporter;

/// Interval of the maintenance task: planned stops, expired waits in the admission queues, readiness and metrics.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks between two updates of the node metrics.
const TICKS_PER_METRICS_UPDATE: u64 = 20;
/// Time limit of the shard handover; filling a new backup takes seconds.
const HANDOVER_LIMIT_MS: u64 = 30_000;

/// Socket addresses that a host listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for other hosts.
    pub peers: SocketAddr,
    /// HTTP for operators and probes.
    pub admin: SocketAddr,
}

/// How long a host that has reached its drain limit writes the answers to its open requests.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// The gateway process of one host.
pub struct Daemon {
    settings: Settings,
    gate: Arc<Gate>,
    node: Option<Arc<Node>>,
    placement: Option<Placement>,
    listeners: Listeners,
    drain_requested: CancellationToken,
    tasks: Vec<AbortOnDropHandle<()>>,
}

impl Daemon {
    /// Starts a host.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound, an operator's token digest is malformed, the node cannot start
    /// or the document file cannot be used.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let kv = kv_client(&settings);
        Self::start_with(settings, kv).await
    }

    /// Starts a host with the given key-value client, for example one for a service in the same process.
    ///
    /// # Errors
    ///
    /// See [`Daemon::start`].
    pub async fn start_with(settings: Settings, kv: Option<Kv>) -> Result<Self, StartError> {
        let clock = Clock::start();
        let fleet = Arc::new(initial_fleet(&settings)?);
        let seed = stable_hash(settings.host.as_bytes()) ^ Clock::wall().0;
        let router = Arc::new(Router::new(clock.mono(), &fleet, &settings.region, seed));
        let node_handle = NodeHandle::default();
        let gate = build_gate(&settings, clock, &router, &node_handle)?;
        let drain_requested = CancellationToken::new();
        let actions = admin_actions(&node_handle, &drain_requested);
        let console = ConsoleHandle::default();
        let admin = console.handler(gate.admin_handler(actions));
        let listeners = Listeners::start(&settings, &gate, admin)?;
        let node = match kv {
            None => None,
            Some(kv) => {
                let addresses = addresses_of(&listeners);
                let console_kv = kv.clone();
                let node = start_node(&settings, kv, &gate, &router, clock, addresses, seed)?;
                node_handle.set(&node);
                console.set(build_console(&settings, &node, console_kv, addresses));
                Some(node)
            }
        };
        let placement = start_placement(&settings, node.as_ref());
        gate.state().set_ready(node.is_none() && fleet.revision > 0);
        let tasks = vec![spawn_tick(gate.clone(), node.clone(), node_handle, clock)];
        log::info!(
            "daemon: host {} in zone {} accepts callers on {}",
            settings.host,
            settings.zone,
            listeners.callers.address()
        );
        Ok(Self {
            settings,
            gate,
            node,
            placement,
            listeners,
            drain_requested,
            tasks,
        })
    }

    /// Returns the bound addresses.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        addresses_of(&self.listeners)
    }

    /// Returns the node, or `None` on a host without a key-value service.
    #[must_use]
    pub fn node(&self) -> Option<&Arc<Node>> {
        self.node.as_ref()
    }

    /// Returns the model placement task, or `None` if the settings do not enable it.
    #[must_use]
    pub fn placement(&self) -> Option<&Placement> {
        self.placement.as_ref()
    }

    /// Returns the gate, which handles HTTP requests.
    #[must_use]
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Completes when an operator requests a planned stop.
    pub async fn drain_requested(&self) {
        self.drain_requested.cancelled().await;
    }

    /// Performs a planned stop: waits for requests in flight, at most until the drain limit.
    pub async fn drain(mut self) -> Exit {
        let state = self.gate.state().clone();
        state.set_leaving();
        log::info!(
            "daemon: leaving with {} requests in flight",
            state.in_flight()
        );
        if let Some(placement) = self.placement.take() {
            placement.leave().await;
        }
        let move_period = tokio::time::sleep(Duration::from_millis(self.settings.move_ms));
        tokio::join!(move_period, self.hand_over());
        self.listeners.callers.close_listener();
        state.close();
        let deadline = Instant::now() + Duration::from_millis(self.settings.drain_limit_ms);
        let drained = self.listeners.drain(&self.gate, deadline).await;
        let exit = self.finish_drain(drained).await;
        log::info!("daemon: stopped with exit code {}", exit.code());
        exit
    }

    /// Removes the host from the directory and hands over its shards.
    async fn hand_over(&self) {
        let Some(node) = &self.node else {
            return;
        };
        let limit_ms = HANDOVER_LIMIT_MS.min(self.settings.drain_limit_ms);
        if !node.leave(limit_ms).await {
            log::warn!(
                "daemon: no other host took over the shards; requests with idempotency keys in these shards end with outcome unknown"
            );
        }
    }

    /// Stops at once and cuts off requests in flight, as a host failure does.
    pub async fn kill(self) {
        self.gate.state().halt();
        self.stop().await;
    }

    async fn stop(self) {
        drop(self.tasks);
        drop(self.placement);
        if let Some(node) = &self.node {
            node.kill();
        }
        self.listeners.stop().await;
    }

    async fn finish_drain(self, drained: bool) -> Exit {
        let in_flight = self.gate.state().in_flight();
        self.gate.state().halt();
        if !drained {
            self.gate.state().end_requests();
            self.listeners
                .drain(&self.gate, Instant::now() + ANSWER_TIME)
                .await;
        }
        self.stop().await;
        if drained {
            return Exit::Ok;
        }
        report_violation(
            Invariant::GracefulStop,
            format_args!(
                "a planned stop reached its drain limit and cut off {in_flight} requests in flight"
            ),
        );
        Exit::DrainTimedOut
    }
}

fn addresses_of(listeners: &Listeners) -> Addresses {
    Addresses {
        callers: listeners.callers.address(),
        peers: listeners.peers.address(),
        admin: listeners.admin.address(),
    }
}

fn build_gate(
    settings: &Settings,
    clock: Clock,
    router: &Arc<Router>,
    node_handle: &NodeHandle,
) -> Result<Arc<Gate>, StartError> {
    Ok(Gate::new(GateParts {
        identity: Identity {
            host: settings.host.as_str().into(),
            region: settings.region.as_str().into(),
            zone: settings.zone.as_str().into(),
        },
        clock,
        router: router.clone(),
        hosts: node_handle.host_view(),
        idempotency_hooks: node_handle.idempotency_hooks(),
        peer_key: settings.peer_key.clone().into_bytes(),
        peer_keys_accepted: settings
            .peer_keys_accepted
            .iter()
            .map(|key| key.clone().into_bytes())
            .collect(),
        operators: settings.operators().map_err(StartError::Operator)?,
    }))
}

fn admin_actions(node_handle: &NodeHandle, drain_requested: &CancellationToken) -> AdminActions {
    let (node_handle, requested) = (node_handle.clone(), drain_requested.clone());
    AdminActions {
        status: Arc::new(move || node_status(&node_handle)),
        drain: Arc::new(move |_| requested.cancel()),
    }
}

fn spawn_tick(
    gate: Arc<Gate>,
    node: Option<Arc<Node>>,
    node_handle: NodeHandle,
    clock: Clock,
) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(async move {
        let metrics = NodeMetrics::register(gate.registry());
        let mut key_reporter = UnknownKeyReporter::default();
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        for tick in 0_u64.. {
            interval.tick().await;
            gate.tick();
            if let Some(node) = &node {
                let serving = node.may_serve(clock.mono());
                gate.state().set_ready(serving != Err(ErrorKind::NotReady));
                gate.state()
                    .set_isolated(serving == Err(ErrorKind::Isolated));
                if tick.is_multiple_of(TICKS_PER_METRICS_UPDATE) {
                    let status = node.status();
                    node_handle.sample_control(control_sample(clock.mono(), &status));
                    metrics.set(&status, &node_handle.control_metrics());
                    warn_of_unknown_keys(&mut key_reporter, clock.mono(), &status);
                }
            }
        }
    }))
}

fn control_sample(now: MonoMs, status: &NodeStatus) -> ControlSample {
    ControlSample {
        at: now,
        bytes: status.sent_bytes + status.received_bytes,
        busy_us: status.busy_us,
        resident_bytes: resident_bytes(),
    }
}

fn warn_of_unknown_keys(reporter: &mut UnknownKeyReporter, now: MonoMs, status: &NodeStatus) {
    let reason = FrameRefusal::Key.as_str();
    let refused = status.refused_frames.iter();
    let refused = refused.filter(|(name, _)| *name == reason);
    let count = refused.map(|(_, count)| count).sum();
    if let Some(new) = reporter.observe(now, count) {
        log::warn!(
            "daemon: refused {new} peer messages with an unknown key; compare peer_key and peer_keys_accepted of the hosts"
        );
    }
}

/// Compiles the document file of the settings; returns an empty fleet with revision 0 if none is set.
fn initial_fleet(settings: &Settings) -> Result<Fleet, StartError> {
    let Some(file) = &settings.document_file else {
        return Ok(Fleet::default());
    };
    let text = std::fs::read_to_string(file).map_err(|error| {
        StartError::Document(format!(
            "{file}: cannot be read: {error}; check the path and its permissions"
        ))
    })?;
    let parsed =
        parse_document(file, &text).map_err(|error| StartError::Document(error.to_string()))?;
    Ok(compile(&parsed.document, 1))
}

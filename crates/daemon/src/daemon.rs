//! A running host.

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

use crate::console_link::ConsoleLink;
use crate::console_start::build_console;
use crate::control_window::ControlSample;
use crate::exit::Exit;
use crate::listeners::Listeners;
use crate::node_link::NodeLink;
use crate::node_metrics::NodeMetrics;
use crate::node_start::{key_value, start_node, start_placement};
use crate::peer_key_watch::PeerKeyWatch;
use crate::resident_memory::resident_bytes;
use crate::settings::Settings;
use crate::start_error::StartError;
use crate::status::node_status;

/// How often admission queues are looked after.
const TICK: Duration = Duration::from_millis(50);
/// How many ticks pass between two readings of the node's figures.
const TICKS_PER_METRICS: u64 = 20;
/// The longest time to hand over the shards; a new backup is filled within seconds.
const HAND_OVER_MS: u64 = 30_000;

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
    /// Returns an error when an address cannot be bound or the document file cannot be used.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let kv = key_value(&settings);
        Self::start_with(settings, kv).await
    }

    /// Starts a host with a key-value service of the caller, for example one in the same process.
    ///
    /// # Errors
    ///
    /// See [`Daemon::start`].
    pub async fn start_with(settings: Settings, kv: Option<Kv>) -> Result<Self, StartError> {
        let clock = Clock::start();
        let fleet = Arc::new(first_fleet(&settings)?);
        let seed = stable_hash(settings.host.as_bytes()) ^ Clock::wall().0;
        let router = Arc::new(Router::new(clock.mono(), &fleet, &settings.region, seed));
        let link = NodeLink::default();
        let gate = build_gate(&settings, clock, &router, &link)?;
        let drain_requested = CancellationToken::new();
        let actions = admin_actions(&link, &drain_requested);
        let console = ConsoleLink::default();
        let admin = console.handler(gate.admin_handler(actions));
        let listeners = Listeners::start(&settings, &gate, admin)?;
        let node = match kv {
            None => None,
            Some(kv) => {
                let addresses = addresses_of(&listeners);
                let kv_of_console = kv.clone();
                let node = start_node(&settings, kv, &gate, &router, clock, addresses, seed)?;
                link.connect(&node);
                console.connect(build_console(&settings, &node, kv_of_console, addresses));
                Some(node)
            }
        };
        let placement = start_placement(&settings, node.as_ref());
        gate.state().set_ready(node.is_none() && fleet.revision > 0);
        let tasks = vec![spawn_tick(gate.clone(), node.clone(), link, clock)];
        log::info!(
            "daemon: {} in {} serves callers on {}",
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

    /// Returns the node, or `None` for a host without a key-value service.
    #[must_use]
    pub fn node(&self) -> Option<&Arc<Node>> {
        self.node.as_ref()
    }

    /// Returns the placement of models, or `None` when the settings do not ask for it.
    #[must_use]
    pub fn placement(&self) -> Option<&Placement> {
        self.placement.as_ref()
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
        let moved = tokio::time::sleep(Duration::from_millis(self.settings.move_ms));
        tokio::join!(moved, self.hand_over());
        self.listeners.callers.close_listener();
        state.close();
        let until = Instant::now() + Duration::from_millis(self.settings.drain_limit_ms);
        let drained = self.listeners.drain(&self.gate, until).await;
        let exit = self.end(drained).await;
        log::info!("daemon: stopped with exit code {}", exit.code());
        exit
    }

    /// Leaves the directory and hands over the shards.
    async fn hand_over(&self) {
        let Some(node) = &self.node else {
            return;
        };
        let limit_ms = HAND_OVER_MS.min(self.settings.drain_limit_ms);
        if !node.leave(limit_ms).await {
            log::warn!("daemon: no other host took the shards; keys in them end as unknown");
        }
    }

    /// Ends at once, as a host that fails: requests in flight are cut off.
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

    async fn end(self, drained: bool) -> Exit {
        let in_flight = self.gate.state().in_flight();
        self.gate.state().halt();
        self.stop().await;
        if drained {
            return Exit::Ok;
        }
        report_violation(
            Invariant::GracefulStop,
            format_args!("{in_flight} requests were cut off at the limit of a planned stop"),
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
    link: &NodeLink,
) -> Result<Arc<Gate>, StartError> {
    Ok(Gate::new(GateParts {
        identity: Identity {
            host: settings.host.as_str().into(),
            region: settings.region.as_str().into(),
            zone: settings.zone.as_str().into(),
        },
        clock,
        router: router.clone(),
        hosts: link.host_view(),
        keyed: link.keyed_runs(),
        peer_key: settings.peer_key.clone().into_bytes(),
        peer_keys_accepted: settings
            .peer_keys_accepted
            .iter()
            .map(|key| key.clone().into_bytes())
            .collect(),
        operators: settings.operators().map_err(StartError::Operator)?,
    }))
}

fn admin_actions(link: &NodeLink, drain_requested: &CancellationToken) -> AdminActions {
    let (link, requested) = (link.clone(), drain_requested.clone());
    AdminActions {
        status: Arc::new(move || node_status(&link)),
        drain: Arc::new(move |_| requested.cancel()),
    }
}

fn spawn_tick(
    gate: Arc<Gate>,
    node: Option<Arc<Node>>,
    link: NodeLink,
    clock: Clock,
) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(async move {
        let metrics = NodeMetrics::register(gate.registry());
        let mut keys = PeerKeyWatch::default();
        let mut interval = tokio::time::interval(TICK);
        for tick in 0_u64.. {
            interval.tick().await;
            gate.tick();
            if let Some(node) = &node {
                let standing = node.may_serve(clock.mono());
                gate.state().set_ready(standing != Err(ErrorKind::NotReady));
                gate.state()
                    .set_isolated(standing == Err(ErrorKind::Isolated));
                if tick.is_multiple_of(TICKS_PER_METRICS) {
                    let status = node.status();
                    link.sample_control(control_sample(clock.mono(), &status));
                    metrics.set(&status, &link.control_figures());
                    warn_of_unknown_keys(&mut keys, clock.mono(), &status);
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

fn warn_of_unknown_keys(watch: &mut PeerKeyWatch, now: MonoMs, status: &NodeStatus) {
    let reason = FrameRefusal::Key.as_str();
    let refused = status.refused_frames.iter();
    let refused = refused.filter(|(name, _)| *name == reason);
    let count = refused.map(|(_, count)| count).sum();
    if let Some(new) = watch.observe(now, count) {
        log::warn!(
            "daemon: refused {new} peer messages with an unknown key; compare peer_key and peer_keys_accepted of the hosts"
        );
    }
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

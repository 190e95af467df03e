//! Shared state of the HTTP listeners of a host.

use std::sync::Arc;

use lw_admit::CustomerLimits;
use lw_base::prelude::*;
use lw_doc::Fleet;
use lw_route::Router;
use parking_lot::Mutex;

use crate::admission_control::AdmissionControl;
use crate::clock::Clock;
use crate::credentials::Operator;
use crate::entry_host::HostView;
use crate::gate_state::GateState;
use crate::idempotency_hooks::IdempotencyHooks;
use crate::identity::Identity;
use crate::metrics::GateMetrics;
use crate::peer_auth::PeerAuth;
use crate::target_client::TargetClient;

/// Parts that a [`Gate`] is built from.
pub struct GateParts {
    /// The name, region and availability zone of the host.
    pub identity: Identity,
    /// The clock of the host.
    pub clock: Clock,
    /// The routing state, including the configuration by which requests are routed.
    pub router: Arc<Router>,
    /// Lookups of other hosts.
    pub hosts: HostView,
    /// Hooks that decide whether a non-idempotent request runs.
    pub idempotency_hooks: IdempotencyHooks,
    /// The key that authenticates requests between hosts.
    pub peer_key: Vec<u8>,
    /// Further keys that are accepted from other hosts, for key rotation.
    pub peer_keys_accepted: Vec<Vec<u8>>,
    /// The operators who may use the admin listener.
    pub operators: Vec<Operator>,
}

/// Handles the HTTP requests of a host: from callers, other hosts and operators.
pub struct Gate {
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) router: Arc<Router>,
    pub(crate) hosts: HostView,
    pub(crate) idempotency_hooks: IdempotencyHooks,
    pub(crate) operators: Vec<Operator>,
    pub(crate) state: Arc<GateState>,
    pub(crate) admission_control: AdmissionControl,
    pub(crate) customer_limits: Mutex<CustomerLimits>,
    pub(crate) target_client: TargetClient,
    pub(crate) peer_auth: PeerAuth,
    pub(crate) metrics: GateMetrics,
}

impl Gate {
    /// Creates a gate that rejects requests until [`GateState::set_ready`].
    #[must_use]
    pub fn new(parts: GateParts) -> Arc<Self> {
        Arc::new(Self {
            identity: parts.identity,
            clock: parts.clock,
            router: parts.router,
            hosts: parts.hosts,
            idempotency_hooks: parts.idempotency_hooks,
            operators: parts.operators,
            state: Arc::default(),
            admission_control: AdmissionControl::default(),
            customer_limits: Mutex::default(),
            target_client: TargetClient::new(),
            peer_auth: PeerAuth::new(&parts.peer_key, &parts.peer_keys_accepted),
            metrics: GateMetrics::new(),
        })
    }

    /// Returns the state that the daemon controls.
    #[must_use]
    pub fn state(&self) -> &Arc<GateState> {
        &self.state
    }

    /// Returns the request rate limits of customers; hosts exchange how much of each limit they use.
    #[must_use]
    pub fn customer_limits(&self) -> &Mutex<CustomerLimits> {
        &self.customer_limits
    }

    /// Returns the metrics registry, for further metrics of the daemon.
    #[must_use]
    pub fn registry(&self) -> &prometheus::Registry {
        self.metrics.registry()
    }

    /// Applies planned stops of this host, expires queued requests and updates the queue limits from the configuration.
    ///
    /// The daemon calls this every 50 ms.
    pub fn tick(&self) {
        let view = self.router.view();
        self.state
            .set_planned_stop(self.is_stopped(view.fleet(), Clock::wall()));
        self.admission_control
            .tick(self.clock.mono(), &view, (self.hosts.live_hosts)());
    }

    /// Returns true when a planned stop covers this host or its availability zone.
    fn is_stopped(&self, fleet: &Fleet, now: WallMs) -> bool {
        let host = fleet.host_stops.get(&self.identity.host);
        let zone = fleet.zones.key(&self.identity.zone);
        let zone = zone.map(|key| &fleet.zones[key].stops);
        let mut stops = host.into_iter().chain(zone).flatten();
        stops.any(|stop| stop.contains(now))
    }

    /// Returns the configuration revision by which requests are currently routed.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.router.view().fleet().revision
    }

    /// Returns the addresses of the entry hosts in `regions`, without hosts that are leaving.
    pub(crate) fn entry_addresses(&self, regions: impl Iterator<Item = RegionKey>) -> Vec<String> {
        let view = self.router.view();
        let names = regions.filter_map(|key| {
            view.fleet().regions.get(key)?;
            Some(view.fleet().regions.name(key).clone())
        });
        names
            .flat_map(|name| (self.hosts.entry_hosts)(&name))
            .filter(|host| !host.leaving)
            .map(|host| host.address)
            .collect()
    }
}

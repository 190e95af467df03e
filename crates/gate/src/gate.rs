//! The shared state of the HTTP side of a host.

use std::sync::Arc;

use lw_admit::CustomerLimits;
use lw_base::prelude::*;
use lw_doc::Fleet;
use lw_route::Router;
use parking_lot::Mutex;

use crate::admission::Admission;
use crate::clock::Clock;
use crate::credentials::Operator;
use crate::entry_host::HostView;
use crate::gate_state::GateState;
use crate::idempotency_hooks::IdempotencyHooks;
use crate::identity::Identity;
use crate::metrics::GateMetrics;
use crate::peer_auth::PeerAuth;
use crate::target_client::TargetClient;

/// What a gate is built from.
pub struct GateParts {
    /// The place of the host.
    pub identity: Identity,
    /// The clock of the host.
    pub clock: Clock,
    /// The routing state, which also holds the configuration that requests are decided on.
    pub router: Arc<Router>,
    /// The knowledge about other hosts.
    pub hosts: HostView,
    /// The decisions on requests that must not run twice.
    pub keyed: IdempotencyHooks,
    /// The key that authenticates requests between hosts.
    pub peer_key: Vec<u8>,
    /// Older or newer keys that are accepted from other hosts as well.
    pub peer_keys_accepted: Vec<Vec<u8>>,
    /// The operators who may use the admin listener.
    pub operators: Vec<Operator>,
}

/// The HTTP side of a host.
pub struct Gate {
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) router: Arc<Router>,
    pub(crate) hosts: HostView,
    pub(crate) keyed: IdempotencyHooks,
    pub(crate) operators: Vec<Operator>,
    pub(crate) state: Arc<GateState>,
    pub(crate) admission: Admission,
    pub(crate) customer_limits: Mutex<CustomerLimits>,
    pub(crate) targets: TargetClient,
    pub(crate) peer_auth: PeerAuth,
    pub(crate) metrics: GateMetrics,
}

impl Gate {
    /// Builds a gate; it rejects requests until [`GateState::set_ready`].
    #[must_use]
    pub fn new(parts: GateParts) -> Arc<Self> {
        Arc::new(Self {
            identity: parts.identity,
            clock: parts.clock,
            router: parts.router,
            hosts: parts.hosts,
            keyed: parts.keyed,
            operators: parts.operators,
            state: Arc::default(),
            admission: Admission::default(),
            customer_limits: Mutex::default(),
            targets: TargetClient::new(),
            peer_auth: PeerAuth::new(&parts.peer_key, &parts.peer_keys_accepted),
            metrics: GateMetrics::new(),
        })
    }

    /// Returns the switches of the gate.
    #[must_use]
    pub fn state(&self) -> &Arc<GateState> {
        &self.state
    }

    /// Returns the limits per customer, which exchange their use with other hosts.
    #[must_use]
    pub fn customer_limits(&self) -> &Mutex<CustomerLimits> {
        &self.customer_limits
    }

    /// Returns the metrics registry, for further metrics of the daemon.
    #[must_use]
    pub fn registry(&self) -> &prometheus::Registry {
        self.metrics.registry()
    }

    /// Applies planned stops of this host, ends waits whose deadline has come and adapts the queues to the current load. The daemon calls it every 50 ms.
    pub fn tick(&self) {
        let view = self.router.view();
        self.state
            .set_planned_stop(self.is_stopped(view.fleet(), Clock::wall()));
        self.admission
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

    /// Returns the revision that requests are decided on now.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.router.view().fleet().revision
    }

    /// Returns the addresses of entry hosts in the given regions.
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

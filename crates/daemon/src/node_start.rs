//! Builds and starts the node of a host from its settings.

use std::sync::Arc;

use lw_gate::{Clock, Gate};
use lw_node::{
    CustomerUsageExchange, Node, NodeClock, NodeIdentity, NodeParts, Placement, PlacementOptions,
    Transport,
};
use lw_peer::PeerKeys;
use lw_plat::{Directory, EngineControl, HostList, HttpTimeouts, Kv, http_kv};
use lw_route::Router;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::daemon::Addresses;
use crate::settings::Settings;
use crate::start_error::StartError;

/// Timeouts of calls to the platform; a healthy key-value service answers within milliseconds.
const PLATFORM_TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect_ms: 500,
    call_ms: 3_000,
};
/// Timeouts of load polls; after a timeout the engine is polled again in the next period.
const ENGINE_TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect_ms: 500,
    call_ms: 1_000,
};
/// Memory limit of the idempotency records: a quarter of the 256 MB budget of control work.
const IDEMPOTENCY_TABLE_BYTES: usize = 64 * 1024 * 1024;

/// Returns a client for the key-value service of the settings, or `None` if none is set.
pub(crate) fn kv_client(settings: &Settings) -> Option<Kv> {
    let address = settings.platform.key_value.as_ref()?;
    Some(http_kv(address, PLATFORM_TIMEOUTS))
}

/// Starts the node.
pub(crate) fn start_node(
    settings: &Settings,
    kv: Kv,
    gate: &Arc<Gate>,
    router: &Arc<Router>,
    clock: Clock,
    addresses: Addresses,
    seed: u64,
) -> Result<Arc<Node>, StartError> {
    let platform = &settings.platform;
    let (config_router, config_clock) = (router.clone(), clock);
    let parts = NodeParts {
        identity: NodeIdentity {
            host: settings.host.as_str().into(),
            region: settings.region.as_str().into(),
            zone: settings.zone.as_str().into(),
            incarnation: Clock::wall().0,
        },
        caller_address: addresses.callers.to_string(),
        peer_http_address: addresses.peers.to_string(),
        transport: Transport::Nng {
            listen: settings.listen.nng.to_string(),
        },
        peer_keys: peer_keys(settings),
        seeds: settings.seeds.clone(),
        region_seeds: settings.region_seeds.clone(),
        kv,
        host_list: platform
            .host_list
            .as_ref()
            .map(|address| HostList::over_http(address, PLATFORM_TIMEOUTS)),
        directory: platform
            .directory
            .as_ref()
            .map(|address| Directory::over_http(address, PLATFORM_TIMEOUTS)),
        engines: Some(EngineControl::over_http(ENGINE_TIMEOUTS)),
        clock: NodeClock::new(move || clock.mono(), Clock::wall),
        rng: ChaCha8Rng::seed_from_u64(seed),
        router: router.clone(),
        usage: customer_usage(gate),
        on_config: Box::new(move |config| {
            config_router.apply(config_clock.mono(), &config.fleet);
            log::info!("conf: revision {} is in force", config.mark.revision);
        }),
        table_bytes: IDEMPOTENCY_TABLE_BYTES,
    };
    let node = Node::start(parts).map_err(|error| StartError::Node(error.to_string()))?;
    Ok(Arc::new(node))
}

fn peer_keys(settings: &Settings) -> PeerKeys {
    let keys = PeerKeys::new(settings.peer_key.as_bytes());
    let accepted = settings.peer_keys_accepted.iter();
    accepted.fold(keys, |keys, key| keys.and_accept(key.as_bytes()))
}

/// Starts model placement if the settings enable it and the host has a node.
pub(crate) fn start_placement(settings: &Settings, node: Option<&Arc<Node>>) -> Option<Placement> {
    let placement = settings.placement?;
    node?.start_placement(PlacementOptions {
        weight_loads_per_s: placement.weight_loads_per_s,
        weight_burst: placement.weight_burst,
        ..PlacementOptions::default()
    })
}

fn customer_usage(gate: &Arc<Gate>) -> CustomerUsageExchange {
    let (local, remote) = (gate.clone(), gate.clone());
    CustomerUsageExchange {
        take_local_rates: Arc::new(move |now| {
            let mut rates = Vec::new();
            local
                .customer_limits()
                .lock()
                .take_usage_report(now, &mut rates);
            rates
        }),
        apply_peer_rates: Arc::new(move |now, host, rates| {
            remote
                .customer_limits()
                .lock()
                .record_remote_usage(now, host, rates);
        }),
    }
}

//! Builds a node and starts its tasks.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, OnceLock, Weak};

use lw_conf::{ReplicaDriver, ReplicaDriverParts};
use lw_idem::{Idem, MapHost};
use lw_member::{MemberState, MemberUpdate, Membership};
use lw_peer::{Codec, Network, NngNetwork};
use lw_plat::{Kv, KvError};
use parking_lot::Mutex;
use rand::RngCore;
use tokio::sync::{Notify, mpsc};
use tokio_util::task::AbortOnDropHandle;

use crate::control_counters::ControlCounters;
use crate::core::Core;
use crate::directory_task::{read_regions, register};
use crate::engine_state_task::poll_engine_states;
use crate::host_addresses::HostAddresses;
use crate::host_list_task::read_host_list;
use crate::load_task::{PolledLoads, poll_targets, send_load_boards};
use crate::map_task::{MapProposal, read_maps, write_maps};
use crate::node::Node;
use crate::node_error::NodeError;
use crate::node_parts::NodeParts;
use crate::pending_decisions::PendingDecisions;
use crate::retention_task::run_audit_retention;
use crate::socket_cleanup_task::close_unused_sockets;
use crate::target_list::TargetListCache;
use crate::tick_task::tick;
use crate::transport::Transport;

/// A reference to the core for closures that are created before the core; it is empty until the core exists.
type CoreCell = Arc<OnceLock<Weak<Core>>>;

pub(crate) fn start(parts: NodeParts) -> Result<Node, NodeError> {
    let cell = CoreCell::default();
    let (transport, address, network) = open_transport(&parts.transport, &cell)?;
    let (proposals, proposal_queue) = mpsc::unbounded_channel();
    let core = build_core(parts, &cell, address, network, proposals);
    drop(cell.set(Arc::downgrade(&core)));
    let transport = Arc::new(Mutex::new(transport));
    let mut tasks = spawn_all(&core, proposal_queue);
    tasks.push(spawn(close_unused_sockets(core.clone(), transport.clone())));
    Ok(Node {
        core,
        tasks: Mutex::new(tasks),
        transport,
    })
}

fn open_transport(
    transport: &Transport,
    cell: &CoreCell,
) -> Result<(Option<NngNetwork>, String, Network), NodeError> {
    match transport {
        Transport::Custom { address, network } => Ok((None, address.clone(), network.clone())),
        Transport::Nng { listen } => {
            let parsed = listen.parse::<SocketAddr>();
            if parsed.is_ok_and(|address| address.ip().is_unspecified()) {
                return Err(NodeError::Unspecified {
                    address: listen.clone(),
                });
            }
            let cell = cell.clone();
            let opened = NngNetwork::listen(listen, move |frame| {
                if let Some(core) = core_of(&cell) {
                    core.on_frame(frame);
                }
            });
            let nng = opened.map_err(|error| NodeError::Listen {
                address: listen.clone(),
                reason: error.to_string(),
            })?;
            let (address, network) = (nng.address().to_owned(), nng.network());
            Ok((Some(nng), address, network))
        }
    }
}

fn core_of(cell: &CoreCell) -> Option<Arc<Core>> {
    cell.get().and_then(Weak::upgrade)
}

fn build_core(
    parts: NodeParts,
    cell: &CoreCell,
    nng_address: String,
    network: Network,
    proposals: mpsc::UnboundedSender<MapProposal>,
) -> Arc<Core> {
    let now = parts.clock.mono();
    let own_addresses = HostAddresses {
        nng: nng_address,
        peer_http: Some(parts.peer_http_address.clone()),
        caller: Some(parts.caller_address.clone()),
    };
    let kv = with_answer_recording(parts.kv.clone(), cell);
    let mut rng = parts.rng.clone();
    let without_self = |addresses: &[String]| -> Vec<Arc<str>> {
        let others = addresses
            .iter()
            .filter(|address| **address != own_addresses.nng);
        others.map(|address| address.as_str().into()).collect()
    };
    let (seeds, region_seeds) = (
        without_self(&parts.seeds),
        without_self(&parts.region_seeds),
    );
    let me = MemberUpdate {
        host: parts.identity.host.clone(),
        zone: parts.identity.zone.clone(),
        address: own_addresses.encode(),
        incarnation: parts.identity.incarnation,
        refutation: 0,
        state: MemberState::Alive,
    };
    let mut members = Membership::new(&parts.identity.region, me, rng.next_u64(), now);
    members.set_seeds(seeds.clone());
    members.set_region_seeds(region_seeds.clone());
    let map_host = MapHost {
        instance: parts.identity.instance(),
        zone: parts.identity.zone.clone(),
    };
    let conf = ReplicaDriver::new(
        &parts.identity.host,
        replica_driver_parts(&parts, &kv, cell),
    );
    Arc::new(Core {
        codec: Codec::new(
            &parts.identity.host,
            parts.identity.incarnation,
            parts.peer_keys,
        ),
        idem: Idem::new(map_host, parts.table_bytes, now),
        members: Mutex::new(members),
        identity: parts.identity,
        own_addresses,
        clock: parts.clock,
        rng: Mutex::new(rng),
        network,
        kv,
        host_list: parts.host_list,
        directory: parts.directory,
        engines: parts.engines,
        conf,
        delivery_lock: Mutex::new(()),
        delivered_revision: AtomicU64::new(0),
        on_config: parts.on_config,
        router: parts.router,
        usage: parts.usage,
        pending_decisions: PendingDecisions::default(),
        proposal_rule: Mutex::default(),
        proposals,
        map_lock: tokio::sync::Mutex::new(()),
        map_read_requested: Notify::new(),
        counters: ControlCounters::default(),
        target_lists: TargetListCache::default(),
        not_serving: Mutex::default(),
        summary_measure_times: Mutex::default(),
        region_hosts: Mutex::default(),
        directory_lock: tokio::sync::Mutex::new(()),
        last_host_list: Mutex::new(Arc::new([])),
        seeds,
        region_seeds,
        remote_hosts: Mutex::default(),
        map_read_sent_at_ms: AtomicU64::new(0),
        kv_answered_at_ms: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        stopped: AtomicBool::new(false),
    })
}

fn replica_driver_parts(parts: &NodeParts, kv: &Kv, cell: &CoreCell) -> ReplicaDriverParts {
    let (sender, random, clock) = (cell.clone(), cell.clone(), parts.clock.clone());
    ReplicaDriverParts {
        kv: kv.clone(),
        send: Box::new(move |to, bytes| {
            if let Some(core) = core_of(&sender) {
                core.send_conf(to, bytes);
            }
        }),
        now: Box::new(move || clock.mono()),
        random: Box::new(move || core_of(&random).map_or(0, |core| core.rng.lock().next_u64())),
    }
}

/// Wraps the client so that answers of the key-value service are recorded.
///
/// Only replies that the service itself produced count; [`KvError::Unavailable`] shows an outage.
fn with_answer_recording(kv: Kv, cell: &CoreCell) -> Kv {
    let cell = cell.clone();
    Kv::new(move |call| {
        let (kv, cell) = (kv.clone(), cell.clone());
        Box::pin(async move {
            let reply = kv.call(call).await;
            let answered = matches!(
                reply,
                Ok(_) | Err(KvError::Conflict { .. } | KvError::LeaseExpired | KvError::TooLarge)
            );
            if let Some(core) = core_of(&cell).filter(|_| answered) {
                core.record_kv_answer();
            }
            reply
        })
    })
}

fn spawn_all(
    core: &Arc<Core>,
    proposals: mpsc::UnboundedReceiver<MapProposal>,
) -> Vec<AbortOnDropHandle<()>> {
    let polled_loads = PolledLoads::default();
    let conf = core.conf.clone();
    let mut tasks = vec![
        spawn(async move { conf.run().await }),
        spawn(tick(core.clone())),
        spawn(read_maps(core.clone())),
        spawn(write_maps(core.clone(), proposals)),
        spawn(send_load_boards(core.clone(), polled_loads.clone())),
        spawn(run_audit_retention(core.clone())),
    ];
    if let Some(list) = core.host_list.clone() {
        tasks.push(spawn(read_host_list(core.clone(), list)));
    }
    if let Some(directory) = core.directory.clone() {
        tasks.push(spawn(register(core.clone(), directory.clone())));
        tasks.push(spawn(read_regions(core.clone(), directory)));
    }
    if let Some(engines) = core.engines.clone() {
        tasks.push(spawn(poll_engine_states(core.clone(), engines.clone())));
        tasks.push(spawn(poll_targets(core.clone(), engines, polled_loads)));
    }
    tasks
}

fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(task))
}

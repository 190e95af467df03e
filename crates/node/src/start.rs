//! Starting a node.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, OnceLock, Weak};

use lw_conf::{ConfShell, ShellParts};
use lw_idem::{Idem, MapHost};
use lw_member::{MemberState, MemberUpdate, Membership};
use lw_peer::{Codec, Network, NngNetwork};
use lw_plat::{Kv, KvError};
use parking_lot::Mutex;
use rand::RngCore;
use tokio::sync::{Notify, mpsc};
use tokio_util::task::AbortOnDropHandle;

use crate::answers::Answers;
use crate::contact::Contact;
use crate::core::Core;
use crate::directory_task::{read_regions, register};
use crate::host_list_task::read_host_list;
use crate::load_task::{Collected, poll_targets, send_boards};
use crate::map_task::{Proposed, read_maps, write_maps};
use crate::node::Node;
use crate::node_error::NodeError;
use crate::node_parts::NodeParts;
use crate::retention_task::keep_audit;
use crate::role_task::read_roles;
use crate::socket_task::close_unused;
use crate::target_list::TargetLists;
use crate::tick_task::tick;
use crate::traffic::Traffic;
use crate::transport::Transport;

/// The core of a node that is being built, for closures that are built before it.
type CoreCell = Arc<OnceLock<Weak<Core>>>;

pub(crate) fn start(parts: NodeParts) -> Result<Node, NodeError> {
    let cell = CoreCell::default();
    let (transport, address, network) = open(&parts.transport, &cell)?;
    let (proposals, queue) = mpsc::unbounded_channel();
    let core = build(parts, &cell, address, network, proposals);
    drop(cell.set(Arc::downgrade(&core)));
    let transport = Arc::new(Mutex::new(transport));
    let mut tasks = spawn_all(&core, queue);
    tasks.push(spawn(close_unused(core.clone(), transport.clone())));
    Ok(Node {
        core,
        tasks: Mutex::new(tasks),
        transport,
    })
}

fn open(
    transport: &Transport,
    cell: &CoreCell,
) -> Result<(Option<NngNetwork>, String, Network), NodeError> {
    match transport {
        Transport::Attached { address, network } => Ok((None, address.clone(), network.clone())),
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

fn build(
    parts: NodeParts,
    cell: &CoreCell,
    nng_address: String,
    network: Network,
    proposals: mpsc::UnboundedSender<Proposed>,
) -> Arc<Core> {
    let now = parts.clock.mono();
    let contact = Contact {
        nng: nng_address,
        peer_http: Some(parts.peer_http_address.clone()),
        caller: Some(parts.caller_address.clone()),
    };
    let kv = noting_answers(parts.kv.clone(), cell);
    let mut rng = parts.rng.clone();
    let shared = |addresses: &[String]| -> Vec<Arc<str>> {
        let others = addresses.iter().filter(|address| **address != contact.nng);
        others.map(|address| address.as_str().into()).collect()
    };
    let (seeds, region_seeds) = (shared(&parts.seeds), shared(&parts.region_seeds));
    let me = MemberUpdate {
        host: parts.identity.host.clone(),
        zone: parts.identity.zone.clone(),
        address: contact.text(),
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
    let conf = ConfShell::new(&parts.identity.host, shell_parts(&parts, &kv, cell));
    Arc::new(Core {
        codec: Codec::new(
            &parts.identity.host,
            parts.identity.incarnation,
            parts.peer_keys,
        ),
        idem: Idem::new(map_host, parts.table_bytes, now),
        members: Mutex::new(members),
        identity: parts.identity,
        contact,
        clock: parts.clock,
        rng: Mutex::new(rng),
        network,
        kv,
        host_list: parts.host_list,
        directory: parts.directory,
        engines: parts.engines,
        conf,
        delivery: Mutex::new(()),
        delivered: AtomicU64::new(0),
        on_config: parts.on_config,
        router: parts.router,
        usage: parts.usage,
        answers: Answers::default(),
        proposal_rule: Mutex::default(),
        proposals,
        map_turn: tokio::sync::Mutex::new(()),
        read_map: Notify::new(),
        traffic: Traffic::default(),
        targets: TargetLists::default(),
        not_serving: Mutex::default(),
        regions: Mutex::default(),
        directory_view: Mutex::default(),
        directory_turn: tokio::sync::Mutex::new(()),
        listed: Mutex::new(Arc::new([])),
        seeds,
        region_seeds,
        strangers: Mutex::default(),
        map_read_at: AtomicU64::new(0),
        service_at: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        stopped: AtomicBool::new(false),
    })
}

fn shell_parts(parts: &NodeParts, kv: &Kv, cell: &CoreCell) -> ShellParts {
    let (sender, random, clock) = (cell.clone(), cell.clone(), parts.clock.clone());
    ShellParts {
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

/// Returns a client that notes when the service answers; a refused call shows an outage, not the service.
fn noting_answers(kv: Kv, cell: &CoreCell) -> Kv {
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
                core.service_answered();
            }
            reply
        })
    })
}

fn spawn_all(
    core: &Arc<Core>,
    proposals: mpsc::UnboundedReceiver<Proposed>,
) -> Vec<AbortOnDropHandle<()>> {
    let collected = Collected::default();
    let conf = core.conf.clone();
    let mut tasks = vec![
        spawn(async move { conf.run().await }),
        spawn(tick(core.clone())),
        spawn(read_maps(core.clone())),
        spawn(write_maps(core.clone(), proposals)),
        spawn(send_boards(core.clone(), collected.clone())),
        spawn(keep_audit(core.clone())),
    ];
    if let Some(list) = core.host_list.clone() {
        tasks.push(spawn(read_host_list(core.clone(), list)));
    }
    if let Some(directory) = core.directory.clone() {
        tasks.push(spawn(register(core.clone(), directory.clone())));
        tasks.push(spawn(read_regions(core.clone(), directory)));
    }
    if let Some(engines) = core.engines.clone() {
        tasks.push(spawn(read_roles(core.clone(), engines.clone())));
        tasks.push(spawn(poll_targets(core.clone(), engines, collected)));
    }
    tasks
}

fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(task))
}

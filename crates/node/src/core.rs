//! The state of a node that its tasks share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use lw_base::prelude::*;
use lw_conf::ReplicaDriver;
use lw_idem::Idem;
use lw_member::{MemberState, Membership};
use lw_peer::{Codec, Message, Network, SendOutcome};
use lw_plat::{Directory, EngineControl, HostEntry, HostList, Kv};
use lw_route::Router;
use parking_lot::Mutex;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, mpsc};

use crate::clock::NodeClock;
use crate::control_counters::{ControlCounters, add};
use crate::customer_usage_exchange::CustomerUsageExchange;
use crate::host_addresses::{HostAddresses, nng_address_of};
use crate::identity::NodeIdentity;
use crate::map_task::MapProposal;
use crate::node_parts::OnConfig;
use crate::pending_decisions::PendingDecisions;
use crate::proposal_rule::ProposalRule;
use crate::region_host_cache::RegionHostCache;
use crate::region_load::SummaryMeasureTimes;
use crate::target_list::TargetListCache;

/// The state of a node that its tasks share.
pub(crate) struct Core {
    pub(crate) identity: NodeIdentity,
    pub(crate) own_addresses: HostAddresses,
    pub(crate) clock: NodeClock,
    pub(crate) rng: Mutex<ChaCha8Rng>,
    pub(crate) codec: Codec,
    pub(crate) network: Network,
    pub(crate) kv: Kv,
    pub(crate) host_list: Option<HostList>,
    pub(crate) directory: Option<Directory>,
    pub(crate) engines: Option<EngineControl>,
    pub(crate) members: Mutex<Membership>,
    pub(crate) idem: Idem,
    pub(crate) conf: Arc<ReplicaDriver>,
    /// Serializes the calls of `on_config`, so that revisions are delivered in ascending order.
    pub(crate) delivery_lock: Mutex<()>,
    /// The revision that `on_config` was last called with.
    pub(crate) delivered_revision: AtomicU64,
    pub(crate) on_config: OnConfig,
    pub(crate) router: Arc<Router>,
    pub(crate) usage: CustomerUsageExchange,
    pub(crate) pending_decisions: PendingDecisions,
    pub(crate) proposal_rule: Mutex<ProposalRule>,
    pub(crate) proposals: mpsc::UnboundedSender<MapProposal>,
    /// Serializes reads and writes of the shard map, so that an older read does not follow a newer write.
    pub(crate) map_lock: tokio::sync::Mutex<()>,
    /// Requests a read of the shard map before the next periodic one.
    pub(crate) map_read_requested: Notify,
    pub(crate) counters: ControlCounters,
    pub(crate) target_lists: TargetListCache,
    /// The engines polled by this host that are draining, on standby or without their model.
    pub(crate) not_serving: Mutex<FastSet<Arc<str>>>,
    pub(crate) summary_measure_times: Mutex<SummaryMeasureTimes>,
    pub(crate) region_hosts: Mutex<RegionHostCache>,
    /// Serializes registration and removal, so that a renewal cannot follow the removal.
    pub(crate) directory_lock: tokio::sync::Mutex<()>,
    /// The entries of the last host list that was read, of all regions.
    pub(crate) last_host_list: Mutex<Arc<[HostEntry]>>,
    pub(crate) seeds: Vec<Arc<str>>,
    pub(crate) region_seeds: Vec<Arc<str>>,
    /// The names of hosts in other regions, by the address in their last region digest.
    pub(crate) remote_hosts: Mutex<FastMap<Arc<str>, Arc<str>>>,
    /// When the last successful read of the shard map was sent, in milliseconds of the monotonic clock.
    pub(crate) map_read_sent_at_ms: AtomicU64,
    /// When the key-value service last answered, in milliseconds of the monotonic clock; 0 for never.
    pub(crate) kv_answered_at_ms: AtomicU64,
    pub(crate) leaving: AtomicBool,
    pub(crate) stopped: AtomicBool,
}

impl Core {
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns a random number below `below`.
    pub(crate) fn random(&self, below: u64) -> u64 {
        self.rng.lock().random_range(0..below.max(1))
    }

    /// Returns a period with a jitter of plus or minus 10%, so that hosts do not act at the same time.
    pub(crate) fn jittered(&self, period_ms: u64) -> u64 {
        let tenth = period_ms / 10;
        period_ms - tenth + self.random(2 * tenth + 1)
    }

    /// Records that the key-value service answered now.
    pub(crate) fn record_kv_answer(&self) {
        let now = self.clock.mono();
        self.kv_answered_at_ms.fetch_max(now.0, Ordering::AcqRel);
    }

    /// Returns the encoded address of a host, and its incarnation if it is a member.
    pub(crate) fn address_of(&self, host: &str) -> Option<(Arc<str>, Option<u64>)> {
        let members = self.members.lock();
        if let Some(update) = members.members().find(|update| &*update.host == host) {
            return Some((update.address.clone(), Some(update.incarnation)));
        }
        drop(members);
        let remote_hosts = self.remote_hosts.lock();
        let mut remote_hosts = remote_hosts.iter();
        remote_hosts
            .find(|(_, name)| &***name == host)
            .map(|(address, _)| (address.clone(), None))
    }

    /// Returns the names and addresses of the members that are alive or leaving, without suspects.
    pub(crate) fn live_members(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let members = self.members.lock();
        let live = members
            .members()
            .filter(|update| update.state <= MemberState::Leaving);
        live.map(|update| (update.host.clone(), update.address.clone()))
            .collect()
    }

    /// Sends a message to a host without confirmation of delivery.
    pub(crate) fn send(&self, host: &str, address: &str, message: &Message) {
        if self.is_stopped() {
            return;
        }
        let frame = match self.codec.encode(host, message) {
            Ok(frame) => frame,
            Err(error) => {
                log::error!("node: a {} was not sent: {error}", message.kind_name());
                add(&self.counters.dropped_frames, 1);
                return;
            }
        };
        let bytes = frame.len();
        match self.network.send(nng_address_of(address), frame) {
            SendOutcome::Queued => self.counters.record_sent(bytes),
            SendOutcome::Full | SendOutcome::Unreachable => {
                add(&self.counters.dropped_frames, 1);
            }
        }
    }

    /// Returns true if a configuration is in force that is at least as new as the one that was stored at startup.
    pub(crate) fn is_ready(&self) -> bool {
        self.delivered_revision.load(Ordering::Acquire) > 0 && self.conf.ready()
    }

    /// Returns the newest configuration revision of this host, 0 for none.
    pub(crate) fn revision(&self) -> u64 {
        self.conf.mark().map_or(0, |mark| mark.revision)
    }
}

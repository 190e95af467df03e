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

use crate::answers::Answers;
use crate::clock::NodeClock;
use crate::contact::{Contact, nng_part};
use crate::customer_usage::CustomerUsage;
use crate::entry_hosts::RegionDirectory;
use crate::identity::NodeIdentity;
use crate::map_task::Proposed;
use crate::node_parts::OnConfig;
use crate::proposal_rule::ProposalRule;
use crate::region_feed::RegionFeed;
use crate::target_list::TargetLists;
use crate::traffic::{Traffic, add};

/// The state of a node that its tasks share.
pub(crate) struct Core {
    pub(crate) identity: NodeIdentity,
    pub(crate) contact: Contact,
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
    /// Serializes the calls of `on_config`, so that revisions arrive in rising order.
    pub(crate) delivery: Mutex<()>,
    /// The revision that `on_config` was last called with.
    pub(crate) delivered: AtomicU64,
    pub(crate) on_config: OnConfig,
    pub(crate) router: Arc<Router>,
    pub(crate) usage: CustomerUsage,
    pub(crate) answers: Answers,
    pub(crate) proposal_rule: Mutex<ProposalRule>,
    pub(crate) proposals: mpsc::UnboundedSender<Proposed>,
    /// Serializes reads and writes of the shard map, so that an older read does not follow a newer write.
    pub(crate) map_turn: tokio::sync::Mutex<()>,
    /// Asks for a read of the shard map before the next regular one.
    pub(crate) read_map: Notify,
    pub(crate) traffic: Traffic,
    pub(crate) targets: TargetLists,
    /// The engines that this host polls and that drain, stand by or lack their model.
    pub(crate) not_serving: Mutex<FastSet<Arc<str>>>,
    pub(crate) regions: Mutex<RegionFeed>,
    pub(crate) directory_view: Mutex<RegionDirectory>,
    /// Serializes registration and removal, so that a renewal cannot follow the removal.
    pub(crate) directory_turn: tokio::sync::Mutex<()>,
    /// The last host list, all regions.
    pub(crate) listed: Mutex<Arc<[HostEntry]>>,
    pub(crate) seeds: Vec<Arc<str>>,
    pub(crate) region_seeds: Vec<Arc<str>>,
    /// The names of hosts in other regions, by the address that they gave in a region digest.
    pub(crate) strangers: Mutex<FastMap<Arc<str>, Arc<str>>>,
    /// When the last read of the shard map that succeeded was sent, in milliseconds of the monotonic clock.
    pub(crate) map_read_at: AtomicU64,
    /// When the key-value service last answered, in milliseconds of the monotonic clock; 0 for never.
    pub(crate) service_at: AtomicU64,
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

    pub(crate) fn random(&self, below: u64) -> u64 {
        self.rng.lock().random_range(0..below.max(1))
    }

    /// Returns a period with a jitter of a tenth to both sides, so that hosts do not act in step.
    pub(crate) fn jittered(&self, period_ms: u64) -> u64 {
        let tenth = period_ms / 10;
        period_ms - tenth + self.random(2 * tenth + 1)
    }

    pub(crate) fn service_answered(&self) {
        let now = self.clock.mono();
        self.service_at.fetch_max(now.0, Ordering::AcqRel);
    }

    /// Returns the address of a host for peer messages, with its incarnation when it is a member.
    pub(crate) fn address_of(&self, host: &str) -> Option<(Arc<str>, Option<u64>)> {
        let members = self.members.lock();
        if let Some(update) = members.members().find(|update| &*update.host == host) {
            return Some((update.address.clone(), Some(update.incarnation)));
        }
        drop(members);
        let strangers = self.strangers.lock();
        let mut strangers = strangers.iter();
        strangers
            .find(|(_, name)| &***name == host)
            .map(|(address, _)| (address.clone(), None))
    }

    /// Returns name and address of the members that answer.
    pub(crate) fn live_members(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let members = self.members.lock();
        let live = members
            .members()
            .filter(|update| update.state <= MemberState::Leaving);
        live.map(|update| (update.host.clone(), update.address.clone()))
            .collect()
    }

    /// Sends a message to a host of the given name by its address; the message may be lost.
    pub(crate) fn send(&self, host: &str, address: &str, message: &Message) {
        if self.is_stopped() {
            return;
        }
        let frame = match self.codec.encode(host, message) {
            Ok(frame) => frame,
            Err(error) => {
                log::error!("node: a {} was not sent: {error}", message.kind_name());
                add(&self.traffic.dropped_frames, 1);
                return;
            }
        };
        let bytes = frame.len();
        match self.network.send(nng_part(address), frame) {
            SendOutcome::Queued => self.traffic.sent(bytes),
            SendOutcome::Full | SendOutcome::Unreachable => {
                add(&self.traffic.dropped_frames, 1);
            }
        }
    }

    /// Returns true when a configuration is in force that is as new as the one of the service at the start.
    pub(crate) fn is_ready(&self) -> bool {
        self.delivered.load(Ordering::Acquire) > 0 && self.conf.ready()
    }

    /// Returns the newest held revision, 0 for none.
    pub(crate) fn revision(&self) -> u64 {
        self.conf.mark().map_or(0, |mark| mark.revision)
    }
}

//! A running node.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use lw_base::prelude::*;
use lw_conf::{ConfigReader, PublishError, PublishRequest, Published, ReplicaDriver};
use lw_idem::{RecordKey, ShardMap};
use lw_member::MemberUpdate;
use lw_peer::NngNetwork;
use parking_lot::Mutex;
use tokio_util::task::AbortOnDropHandle;

use crate::core::Core;
use crate::entry_host::EntryHost;
use crate::idem_answer::IdemAnswer;
use crate::idem_ask::IdemAsk;
use crate::node_error::NodeError;
use crate::node_parts::NodeParts;
use crate::node_status::NodeStatus;
use crate::placement::{self, Placement, PlacementOptions};
use crate::start::start;

/// A running node. Dropping it stops it as [`Node::kill`] does.
pub struct Node {
    pub(crate) core: Arc<Core>,
    pub(crate) tasks: Mutex<Vec<AbortOnDropHandle<()>>>,
    pub(crate) transport: Arc<Mutex<Option<NngNetwork>>>,
}

impl Node {
    /// Starts a node; it must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when the address for peer messages cannot be used.
    pub fn start(parts: NodeParts) -> Result<Self, NodeError> {
        start(parts)
    }

    /// Starts placement of models on the engines of the region; it ends when the result is dropped.
    ///
    /// Returns `None` when the node was built without [`NodeParts::engines`].
    #[must_use]
    pub fn start_placement(&self, options: PlacementOptions) -> Option<Placement> {
        placement::start(&self.core, options)
    }

    /// Returns the address for peer messages.
    #[must_use]
    pub fn peer_address(&self) -> &str {
        &self.core.contact.nng
    }

    /// Takes a frame from an attached transport.
    pub fn on_frame(&self, frame: &[u8]) {
        self.core.on_frame(frame);
    }

    /// Returns a closure that takes frames from an attached transport and does not keep the node alive.
    pub fn frame_taker(&self) -> impl Fn(&[u8]) + Send + Sync + 'static {
        let core = Arc::downgrade(&self.core);
        move |frame| {
            if let Some(core) = core.upgrade() {
                core.on_frame(frame);
            }
        }
    }

    /// Returns a reader of the configuration in force.
    #[must_use]
    pub fn reader(&self) -> ConfigReader {
        self.core.conf.reader()
    }

    /// Returns the replica of the configuration.
    #[must_use]
    pub fn conf(&self) -> &Arc<ReplicaDriver> {
        &self.core.conf
    }

    /// Returns the other members of the region with the configuration revision that each last showed.
    #[must_use]
    pub fn members(&self) -> Vec<(MemberUpdate, u64)> {
        let members = self.core.members.lock();
        let known = members.revisions();
        known
            .map(|(member, revision)| (member.clone(), revision))
            .collect()
    }

    /// Publishes a document and pushes it to the region at once.
    ///
    /// # Errors
    ///
    /// See [`lw_conf::publish`].
    pub async fn publish(&self, request: PublishRequest) -> Result<Published, PublishError> {
        let published = self.core.conf.publish(request).await?;
        self.core.deliver_config();
        Ok(published)
    }

    /// Decides on a non-idempotent request. The future may be dropped: a request that did not get its permit has not
    /// run.
    pub fn submit(&self, ask: IdemAsk) -> impl Future<Output = IdemAnswer> + Send + 'static {
        self.core.clone().submit(ask)
    }

    /// Waits up to 2 s until another host than `former` owns the key, and returns whether that happened.
    ///
    /// When a forward to `former` failed or was refused as `owner_unreachable`, the request may be submitted again:
    /// its key keeps it from running twice.
    pub fn wait_for_owner(
        &self,
        key: RecordKey,
        former: &str,
        deadline: MonoMs,
    ) -> impl Future<Output = bool> + Send + 'static {
        let core = self.core.clone();
        core.wait_for_owner(key, former.to_owned(), deadline)
    }

    /// Returns whether requests may be served now.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NotReady`] without a configuration, and [`ErrorKind::Isolated`] when the host reaches
    /// neither half of its region nor the key-value service.
    pub fn may_serve(&self, now: MonoMs) -> Result<(), ErrorKind> {
        self.core.may_serve(now)
    }

    /// Returns false when the wall clock is off, so that non-idempotent requests must be rejected.
    #[must_use]
    pub fn clock_ok(&self, now: MonoMs) -> bool {
        self.core.members.lock().clock_ok(now)
    }

    /// Returns the entry hosts of a region as far as they are known, the own availability zone first.
    #[must_use]
    pub fn entry_hosts(&self, region: &str) -> Vec<EntryHost> {
        self.core.entry_hosts(region)
    }

    /// Returns addresses in another region that take forwarded requests, in random order.
    #[must_use]
    pub fn forward_addresses(&self, region: &str) -> Vec<String> {
        self.core.forward_addresses(region)
    }

    /// Returns the number of live hosts of the own region, this one included.
    #[must_use]
    pub fn live_hosts(&self) -> u32 {
        self.core.live_hosts()
    }

    /// Returns the held shard map.
    #[must_use]
    pub fn shard_map(&self) -> Option<Arc<ShardMap>> {
        self.core.idem.map()
    }

    /// Returns counters and states.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
        NodeStatus::of(&self.core)
    }

    /// Leaves the directory, tells the peers and hands over all shards. The node keeps running until it is killed.
    ///
    /// Returns true when no shard depends on this host any more, and false when `limit_ms` passed or no other host is
    /// there.
    pub async fn leave(&self, limit_ms: u64) -> bool {
        self.core.leave(limit_ms).await
    }

    /// Stops at once without telling anybody.
    pub fn kill(&self) {
        self.core.stopped.store(true, Ordering::Release);
        self.tasks.lock().clear();
        self.core.answers.clear();
        if let Some(transport) = self.transport.lock().take() {
            // The receiving thread ends within its poll period, which a task must not wait for.
            std::thread::spawn(move || drop(transport));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

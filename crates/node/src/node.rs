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
use crate::node_error::NodeError;
use crate::node_parts::NodeParts;
use crate::node_status::NodeStatus;
use crate::placement::{self, Placement, PlacementOptions};
use crate::start::start;
use crate::submit_decision::SubmitDecision;
use crate::submit_request::SubmitRequest;

/// A running node. Dropping it has the effect of [`Node::kill`].
pub struct Node {
    pub(crate) core: Arc<Core>,
    pub(crate) tasks: Mutex<Vec<AbortOnDropHandle<()>>>,
    pub(crate) transport: Arc<Mutex<Option<NngNetwork>>>,
}

impl Node {
    /// Starts a node. Must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address for peer messages cannot be used.
    pub fn start(parts: NodeParts) -> Result<Self, NodeError> {
        start(parts)
    }

    /// Starts placement of models on the engines of the region. Placement ends when the result is dropped.
    ///
    /// Returns `None` if the node was built without [`NodeParts::engines`].
    #[must_use]
    pub fn start_placement(&self, options: PlacementOptions) -> Option<Placement> {
        placement::start(&self.core, options)
    }

    /// Returns the address for peer messages.
    #[must_use]
    pub fn peer_address(&self) -> &str {
        &self.core.own_addresses.nng
    }

    /// Handles a frame that a custom transport received.
    pub fn on_frame(&self, frame: &[u8]) {
        self.core.on_frame(frame);
    }

    /// Returns a closure that handles frames of a custom transport and does not keep the node alive.
    pub fn frame_handler(&self) -> impl Fn(&[u8]) + Send + Sync + 'static {
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

    /// Returns the configuration replica.
    #[must_use]
    pub fn conf(&self) -> &Arc<ReplicaDriver> {
        &self.core.conf
    }

    /// Returns the other members of the region, each with the configuration revision from its last heartbeat.
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

    /// Decides on a non-idempotent request.
    ///
    /// The future may be dropped: a request that did not receive its permit has not run.
    pub fn submit(
        &self,
        request: SubmitRequest,
    ) -> impl Future<Output = SubmitDecision> + Send + 'static {
        self.core.clone().submit(request)
    }

    /// Waits up to 2 s until a host other than `former` owns the key, and returns true if one does.
    ///
    /// After a forward to `former` failed or was refused as `owner_unreachable`, the request may be submitted again:
    /// its idempotency key prevents a second run.
    pub fn wait_for_owner(
        &self,
        key: RecordKey,
        former: &str,
        deadline: MonoMs,
    ) -> impl Future<Output = bool> + Send + 'static {
        let core = self.core.clone();
        core.wait_for_owner(key, former.to_owned(), deadline)
    }

    /// Checks whether requests may be served now.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NotReady`] without a configuration, and [`ErrorKind::Isolated`] if the host reaches
    /// neither half of its region nor the key-value service.
    pub fn may_serve(&self, now: MonoMs) -> Result<(), ErrorKind> {
        self.core.may_serve(now)
    }

    /// Returns false if the wall clock deviates from the region, so that non-idempotent requests must be rejected.
    #[must_use]
    pub fn clock_ok(&self, now: MonoMs) -> bool {
        self.core.members.lock().clock_ok(now)
    }

    /// Returns the known entry hosts of a region, those in the availability zone of this host first.
    #[must_use]
    pub fn entry_hosts(&self, region: &str) -> Vec<EntryHost> {
        self.core.entry_hosts(region)
    }

    /// Returns addresses in another region that accept forwarded requests, in random order.
    #[must_use]
    pub fn forward_addresses(&self, region: &str) -> Vec<String> {
        self.core.forward_addresses(region)
    }

    /// Returns the number of live hosts in the region of this host, itself included.
    #[must_use]
    pub fn live_hosts(&self) -> u32 {
        self.core.live_hosts()
    }

    /// Returns the current shard map of this host.
    #[must_use]
    pub fn shard_map(&self) -> Option<Arc<ShardMap>> {
        self.core.idem.map()
    }

    /// Returns a snapshot of counters and states.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
        NodeStatus::of(&self.core)
    }

    /// Removes the host from the directory, announces the leave to the peers and hands over all shards.
    ///
    /// The node keeps running until it is killed.
    ///
    /// Returns true once this host is neither owner nor backup of a shard, and false if `limit_ms` passes first or no
    /// other host is present.
    pub async fn leave(&self, limit_ms: u64) -> bool {
        self.core.leave(limit_ms).await
    }

    /// Stops the node immediately, without announcing it to the peers.
    pub fn kill(&self) {
        self.core.stopped.store(true, Ordering::Release);
        self.tasks.lock().clear();
        self.core.pending_decisions.clear();
        if let Some(transport) = self.transport.lock().take() {
            // The receiving thread ends only after its poll period, and a task must not block that long.
            std::thread::spawn(move || drop(transport));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

//! What a node is built from.

use std::sync::Arc;

use lw_conf::Config;
use lw_peer::PeerKeys;
use lw_plat::{Directory, EngineControl, HostList, Kv};
use lw_route::Router;
use rand_chacha::ChaCha8Rng;

use crate::clock::NodeClock;
use crate::customer_usage_exchange::CustomerUsageExchange;
use crate::identity::NodeIdentity;
use crate::transport::Transport;

/// Takes each new configuration.
pub type OnConfig = Box<dyn Fn(&Arc<Config>) + Send + Sync>;

/// What a node is built from.
pub struct NodeParts {
    /// The name and the place of the node.
    pub identity: NodeIdentity,
    /// The address for callers.
    pub caller_address: String,
    /// The address that takes forwarded requests of other hosts.
    pub peer_http_address: String,
    /// The transport of peer messages.
    pub transport: Transport,
    /// The keys that authenticate peer messages.
    pub peer_keys: PeerKeys,
    /// Addresses for peer messages of hosts in the same region, to join by.
    pub seeds: Vec<String>,
    /// Addresses for peer messages of hosts in other regions.
    pub region_seeds: Vec<String>,
    /// The key-value service.
    pub kv: Kv,
    /// The platform's host list.
    pub host_list: Option<HostList>,
    /// The directory for clients.
    pub directory: Option<Directory>,
    /// The control interface of engines, which is polled for load reports.
    pub engines: Option<EngineControl>,
    /// The clocks.
    pub clock: NodeClock,
    /// The source of random numbers.
    pub rng: ChaCha8Rng,
    /// Takes load reports, leaving marks and region summaries.
    pub router: Arc<Router>,
    /// The customer limits of the host.
    pub usage: CustomerUsageExchange,
    /// Is called with each new configuration, in rising order of revisions; it must call [`Router::apply`].
    pub on_config: OnConfig,
    /// The memory for the records of idempotency keys, in bytes.
    pub table_bytes: usize,
}

//! The dependencies and options of a node.

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

/// A callback for each new configuration.
pub type OnConfig = Box<dyn Fn(&Arc<Config>) + Send + Sync>;

/// The dependencies and options of a node.
pub struct NodeParts {
    /// The name, location and incarnation of the node.
    pub identity: NodeIdentity,
    /// The address for callers.
    pub caller_address: String,
    /// The HTTP address for requests that other hosts forward.
    pub peer_http_address: String,
    /// The transport of peer messages.
    pub transport: Transport,
    /// The keys that authenticate peer messages.
    pub peer_keys: PeerKeys,
    /// Addresses for peer messages of hosts in the same region, by which the node joins.
    pub seeds: Vec<String>,
    /// Addresses for peer messages of hosts in other regions.
    pub region_seeds: Vec<String>,
    /// The key-value service.
    pub kv: Kv,
    /// The platform's host list.
    pub host_list: Option<HostList>,
    /// The directory in which clients find entry hosts.
    pub directory: Option<Directory>,
    /// The control interface of engines, which is polled for load reports.
    pub engines: Option<EngineControl>,
    /// The clocks.
    pub clock: NodeClock,
    /// The source of random numbers.
    pub rng: ChaCha8Rng,
    /// The router, which receives load reports, leaving marks and region summaries.
    pub router: Arc<Router>,
    /// The exchange of customer request rates with other hosts.
    pub usage: CustomerUsageExchange,
    /// The callback for each new configuration, in ascending order of revisions. It must call [`Router::apply`].
    pub on_config: OnConfig,
    /// The memory limit for the records of idempotency keys, in bytes.
    pub table_bytes: usize,
}

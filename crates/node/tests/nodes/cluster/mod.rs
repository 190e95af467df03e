//! Several nodes in one process with an accelerated clock, a simulated key-value service and a fake network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant};

use lw_base::prelude::*;
use lw_conf::{PublishError, PublishRequest, Published};
use lw_doc::{Document, parse_document};
use lw_idem::Instance;
use lw_node::{CustomerUsageExchange, Node, NodeClock, NodeIdentity, NodeParts};
use lw_node::{NodeStatus, Transport};
use lw_peer::PeerKeys;
use lw_plat::{Kv, KvCall};
use lw_route::Router;
use lw_stand::{FakeKv, KvLink};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

mod fake_network;
mod requests;

use fake_network::FakeNetwork;
pub(crate) use requests::Reply;

/// The clocks of the nodes run this many times as fast as real time.
pub(crate) const SPEED: u32 = 5;

pub(crate) const REGION: &str = "gujarat-east";

const SEED: u64 = 20_261_203;
const WALL_START: u64 = 1_800_000_000_000;

/// The maximum real time that a test waits for a state; only failing tests reach it.
const MAX_WAIT: Duration = Duration::from_secs(180);

type Customize = Box<dyn Fn(&mut NodeParts) + Send + Sync>;

/// The customer rates that a host received: the hash of the reporting host, the customer and its requests per second.
pub(crate) type ReportedRates = Arc<Mutex<Vec<(u64, lw_admit::CustomerId, f64)>>>;

#[derive(Clone)]
pub(crate) struct FastClock {
    start: Instant,
}

impl FastClock {
    pub(crate) fn mono(&self) -> MonoMs {
        let since = self.start.elapsed() * SPEED;
        MonoMs(1_000 + since.as_millis() as u64)
    }

    pub(crate) fn wall(&self) -> WallMs {
        WallMs(WALL_START + self.mono().0)
    }
}

/// A started node with the controls of its host.
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) instance: Instance,
    pub(crate) node: Arc<Node>,
    pub(crate) router: Arc<Router>,
    pub(crate) kv_link: KvLink,
    pub(crate) wall_offset_ms: Arc<AtomicI64>,
    /// The revisions that `on_config` received, in order.
    pub(crate) revisions: Arc<Mutex<Vec<u64>>>,
    pub(crate) reported_rates: ReportedRates,
}

impl Host {
    pub(crate) fn status(&self) -> NodeStatus {
        self.node.status()
    }
}

/// The nodes under test with their clock, key-value service and network.
pub(crate) struct Cluster {
    pub(crate) clock: FastClock,
    pub(crate) kv: FakeKv,
    pub(crate) fake_network: FakeNetwork,
    pub(crate) hosts: Vec<Host>,
    /// How often the target ran each key.
    pub(crate) runs: Arc<Mutex<BTreeMap<Uuid, u32>>>,
    pub(crate) customize: Option<Customize>,
    incarnation: u64,
}

impl Cluster {
    pub(crate) fn new() -> Self {
        println!("seed {SEED}");
        let clock = FastClock {
            start: Instant::now(),
        };
        let kv_clock = clock.clone();
        Self {
            clock,
            kv: FakeKv::with_clock(move || kv_clock.mono()),
            fake_network: FakeNetwork::start(),
            hosts: Vec::new(),
            runs: Arc::default(),
            customize: None,
            incarnation: 0,
        }
    }

    /// Starts nodes with these names and waits until the cluster is settled.
    pub(crate) async fn with_hosts(names: &[&str]) -> Self {
        let mut cluster = Self::new();
        cluster.start_all(names);
        cluster.wait_until_settled().await;
        cluster
    }

    pub(crate) fn start_all(&mut self, names: &[&str]) {
        for name in names {
            self.start(name);
        }
    }

    /// Starts a node with all running nodes as its seeds.
    pub(crate) fn start(&mut self, name: &str) -> &Host {
        let seeds = self
            .hosts
            .iter()
            .map(|host| host.node.peer_address().to_owned());
        let seeds: Vec<String> = seeds.collect();
        self.start_with_seeds(name, seeds)
    }

    pub(crate) fn start_with_seeds(&mut self, name: &str, seeds: Vec<String>) -> &Host {
        self.incarnation += 1;
        let kv_link = KvLink::default();
        let wall_offset_ms = Arc::new(AtomicI64::new(0));
        let router = Arc::new(Router::new(
            self.clock.mono(),
            &Arc::default(),
            REGION,
            SEED,
        ));
        let revisions: Arc<Mutex<Vec<u64>>> = Arc::default();
        let reported_rates = ReportedRates::default();
        let mut parts = NodeParts {
            identity: NodeIdentity {
                host: name.into(),
                region: REGION.into(),
                zone: zone_of(self.hosts.len()).into(),
                incarnation: self.incarnation,
            },
            caller_address: format!("10.0.0.1:{}", 8_000 + self.incarnation),
            peer_http_address: format!("{name}:81"),
            transport: Transport::Custom {
                address: format!("{name}:{}", self.incarnation),
                network: self.fake_network.network(name),
            },
            peer_keys: PeerKeys::new(b"a key of the test bed"),
            seeds,
            region_seeds: Vec::new(),
            kv: with_scaled_watches(kv_link.attach(self.kv.kv())),
            host_list: None,
            directory: None,
            engines: None,
            clock: self.node_clock(&wall_offset_ms),
            rng: ChaCha8Rng::seed_from_u64(SEED + self.incarnation),
            router: router.clone(),
            usage: usage_exchange(&reported_rates),
            on_config: on_config(&self.clock, &router, &revisions),
            table_bytes: 16 * 1024 * 1024,
        };
        if let Some(customize) = &self.customize {
            customize(&mut parts);
        }
        let node = Arc::new(Node::start(parts).expect("the node starts"));
        self.fake_network
            .attach(name, &format!("{name}:{}", self.incarnation), &node);
        self.hosts.push(Host {
            name: name.to_owned(),
            instance: Instance {
                host: name.into(),
                incarnation: self.incarnation,
            },
            node,
            router,
            kv_link,
            wall_offset_ms,
            revisions,
            reported_rates,
        });
        self.hosts.last().expect("a host was pushed")
    }

    fn node_clock(&self, wall_offset_ms: &Arc<AtomicI64>) -> NodeClock {
        let (mono, wall, offset) = (
            self.clock.clone(),
            self.clock.clone(),
            wall_offset_ms.clone(),
        );
        let clock = NodeClock::new(
            move || mono.mono(),
            move || {
                WallMs(
                    wall.wall()
                        .0
                        .wrapping_add_signed(offset.load(Ordering::Relaxed)),
                )
            },
        );
        clock.at_speed(SPEED)
    }

    /// Waits until a state is reached, and panics with `what` on a timeout.
    pub(crate) async fn wait_until(&self, what: &str, mut reached: impl FnMut(&Self) -> bool) {
        let began = Instant::now();
        while !reached(self) {
            let status: Vec<_> = self
                .hosts
                .iter()
                .map(|host| (&host.name, host.status()))
                .collect();
            assert!(
                began.elapsed() < MAX_WAIT,
                "not reached: {what}: {status:#?}"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until the clocks of the nodes have advanced by `span_ms`.
    pub(crate) async fn advance_ms(&self, span_ms: u64) {
        tokio::time::sleep(Duration::from_millis(span_ms) / SPEED).await;
    }

    /// Waits until all nodes know each other and have the same map, in which every shard has a running owner, a
    /// complete backup and no cutoff in the future.
    pub(crate) async fn wait_until_settled(&self) {
        let others = self.hosts.len() - 1;
        self.wait_until("one settled map with complete backups", |cluster| {
            let map = cluster.hosts[0].node.shard_map();
            let Some(map) = map else { return false };
            let wall = cluster.clock.wall();
            let complete = map.shards.iter().all(|view| {
                let cutoff_passed = view.cutoff.is_none_or(|cutoff| cutoff.issued_before < wall);
                let runs = |instance: &Instance| {
                    cluster.hosts.iter().any(|host| host.instance == *instance)
                };
                let backup = view.backup.as_ref().is_some_and(runs);
                let pair_complete = others == 0 || (backup && view.backup_complete);
                cutoff_passed && runs(&view.owner) && pair_complete
            });
            let same = cluster.hosts.iter().all(|host| {
                let host_map = host.node.shard_map();
                host.status().alive_members == others
                    && host_map.is_some_and(|host_map| host_map.revision == map.revision)
            });
            complete && same && map.hosts.len() == others + 1
        })
        .await;
    }

    pub(crate) fn host(&self, name: &str) -> &Host {
        let found = self.hosts.iter().find(|host| host.name == name);
        found.expect("the host runs")
    }

    /// Kills a node without notice to the others.
    pub(crate) fn kill(&mut self, name: &str) {
        let index = self.hosts.iter().position(|host| host.name == name);
        let host = self.hosts.remove(index.expect("the host runs"));
        host.node.kill();
        self.fake_network.detach(name);
    }

    /// Publishes the sample document with `deadline_ms` as the deadline of one service, based on the newest revision of
    /// the host.
    pub(crate) async fn publish(
        &self,
        on: &Host,
        deadline_ms: u64,
    ) -> Result<Published, PublishError> {
        let mut next = sample();
        let service = next
            .services
            .get_mut("member-portal")
            .expect("in the sample");
        service.deadline_ms = deadline_ms;
        let base = on.node.reader().load();
        on.node
            .publish(PublishRequest {
                base_revision: base.map_or(0, |config| config.mark.revision),
                base_digest: None,
                next,
                operator: "nina".to_owned(),
                operation: Uuid::from_u128(u128::from(deadline_ms)),
                wall: self.clock.wall(),
                gateway_addresses: Vec::new(),
                confirmed: true,
                known: None,
            })
            .await
    }

    /// Publishes revision 1 and waits until it is in force everywhere.
    pub(crate) async fn publish_first_revision(&self) {
        let published = self.publish(&self.hosts[0], 5_000).await;
        published.expect("published");
        self.wait_for_revision(1).await;
    }

    pub(crate) async fn wait_for_revision(&self, revision: u64) {
        self.wait_until("the revision is in force everywhere", |cluster| {
            let mut all = cluster.hosts.iter();
            all.all(|host| host.status().revision >= revision && host.status().ready)
        })
        .await;
    }
}

pub(crate) fn sample() -> Document {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/sahyog.json");
    let text = std::fs::read_to_string(path).expect("the sample exists");
    parse_document("sahyog.json", &text)
        .expect("the sample is valid")
        .document
}

fn zone_of(index: usize) -> &'static str {
    ["ahmedabad-1", "vadodara-1"][index % 2]
}

/// Shortens the waits of watches, which the simulated service measures in real time.
fn with_scaled_watches(kv: Kv) -> Kv {
    Kv::new(move |call| {
        let kv = kv.clone();
        let call = match call {
            KvCall::Watch {
                key,
                after_version,
                wait_ms,
            } => KvCall::Watch {
                key,
                after_version,
                wait_ms: wait_ms / u64::from(SPEED),
            },
            other => other,
        };
        Box::pin(async move { kv.call(call).await })
    })
}

fn usage_exchange(reported_rates: &ReportedRates) -> CustomerUsageExchange {
    let reported_rates = reported_rates.clone();
    CustomerUsageExchange {
        take_local_rates: Arc::new(|_| vec![(lw_admit::CustomerId(5), 2.5)]),
        apply_peer_rates: Arc::new(move |_, host, rates| {
            reported_rates
                .lock()
                .extend(rates.iter().map(|(id, rate)| (host, *id, *rate)));
        }),
    }
}

fn on_config(
    clock: &FastClock,
    router: &Arc<Router>,
    revisions: &Arc<Mutex<Vec<u64>>>,
) -> lw_node::OnConfig {
    let (clock, router, revisions) = (clock.clone(), router.clone(), revisions.clone());
    Box::new(move |config| {
        router.apply(clock.mono(), &config.fleet);
        revisions.lock().push(config.mark.revision);
    })
}

//! Several nodes in one process: a fast clock, a key-value stand-in, and a network that can be cut.

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
use lw_stand::{KvLink, KvStand};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

mod requests;
mod wires;

pub(crate) use requests::Told;
use wires::Wires;

/// The clocks of the nodes run this many times as fast as real time.
pub(crate) const SPEED: u32 = 5;

pub(crate) const REGION: &str = "gujarat-east";

const SEED: u64 = 20_261_203;
const WALL_START: u64 = 1_800_000_000_000;

/// The longest real time that a test waits for a state; it only ends tests that failed.
const PATIENCE: Duration = Duration::from_secs(180);

type Customize = Box<dyn Fn(&mut NodeParts) + Send + Sync>;

/// The use of customers that a host was told: the telling host, the customer and its requests per second.
pub(crate) type GivenUse = Arc<Mutex<Vec<(u64, lw_admit::CustomerId, f64)>>>;

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

/// One started node with the knobs of its host.
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) instance: Instance,
    pub(crate) node: Arc<Node>,
    pub(crate) router: Arc<Router>,
    pub(crate) kv_link: KvLink,
    pub(crate) wall_offset_ms: Arc<AtomicI64>,
    pub(crate) revisions: Arc<Mutex<Vec<u64>>>,
    pub(crate) given: GivenUse,
}

impl Host {
    pub(crate) fn status(&self) -> NodeStatus {
        self.node.status()
    }
}

/// A region under test.
pub(crate) struct Bed {
    pub(crate) clock: FastClock,
    pub(crate) kv: KvStand,
    pub(crate) wires: Wires,
    pub(crate) hosts: Vec<Host>,
    /// How often the target ran each key.
    pub(crate) runs: Arc<Mutex<BTreeMap<Uuid, u32>>>,
    pub(crate) customize: Option<Customize>,
    incarnation: u64,
}

impl Bed {
    pub(crate) fn new() -> Self {
        println!("seed {SEED}");
        let clock = FastClock {
            start: Instant::now(),
        };
        let kv_clock = clock.clone();
        Self {
            clock,
            kv: KvStand::with_clock(move || kv_clock.mono()),
            wires: Wires::start(),
            hosts: Vec::new(),
            runs: Arc::default(),
            customize: None,
            incarnation: 0,
        }
    }

    /// Starts nodes with these names and waits until they know each other and every shard has a complete backup.
    pub(crate) async fn with_hosts(names: &[&str]) -> Self {
        let mut bed = Self::new();
        bed.start_all(names);
        bed.settle().await;
        bed
    }

    pub(crate) fn start_all(&mut self, names: &[&str]) {
        for name in names {
            self.start(name);
        }
    }

    /// Starts a node; every node knows the first one as its seed.
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
        let given = GivenUse::default();
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
                network: self.wires.network(name),
            },
            peer_keys: PeerKeys::new(b"a key of the test bed"),
            seeds,
            region_seeds: Vec::new(),
            kv: slowed(kv_link.attach(self.kv.kv())),
            host_list: None,
            directory: None,
            engines: None,
            clock: self.node_clock(&wall_offset_ms),
            rng: ChaCha8Rng::seed_from_u64(SEED + self.incarnation),
            router: router.clone(),
            usage: usage(&given),
            on_config: on_config(&self.clock, &router, &revisions),
            table_bytes: 16 * 1024 * 1024,
        };
        if let Some(customize) = &self.customize {
            customize(&mut parts);
        }
        let node = Arc::new(Node::start(parts).expect("the node starts"));
        self.wires
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
            given,
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

    /// Waits until a state is reached; `what` is reported when it is not.
    pub(crate) async fn until(&self, what: &str, mut reached: impl FnMut(&Self) -> bool) {
        let began = Instant::now();
        while !reached(self) {
            let status: Vec<_> = self
                .hosts
                .iter()
                .map(|host| (&host.name, host.status()))
                .collect();
            assert!(
                began.elapsed() < PATIENCE,
                "not reached: {what}: {status:#?}"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Lets the clocks of the nodes advance.
    pub(crate) async fn pass_ms(&self, span_ms: u64) {
        tokio::time::sleep(Duration::from_millis(span_ms) / SPEED).await;
    }

    /// Waits until all nodes know each other, hold one map with complete pairs, and the cutoffs of the map are over.
    pub(crate) async fn settle(&self) {
        let others = self.hosts.len() - 1;
        self.until("one settled map with complete pairs", |bed| {
            let map = bed.hosts[0].node.shard_map();
            let Some(map) = map else { return false };
            let wall = bed.clock.wall();
            let complete = map.shards.iter().all(|view| {
                let over = view.cutoff.is_none_or(|cutoff| cutoff.issued_before < wall);
                let runs =
                    |instance: &Instance| bed.hosts.iter().any(|host| host.instance == *instance);
                let backup = view.backup.as_ref().is_some_and(runs);
                let pair = others == 0 || (backup && view.backup_complete);
                over && runs(&view.owner) && pair
            });
            let same = bed.hosts.iter().all(|host| {
                let held = host.node.shard_map();
                host.status().alive_members == others
                    && held.is_some_and(|held| held.revision == map.revision)
            });
            complete && same && map.hosts.len() == others + 1
        })
        .await;
    }

    pub(crate) fn host(&self, name: &str) -> &Host {
        let found = self.hosts.iter().find(|host| host.name == name);
        found.expect("the host runs")
    }

    /// Kills a node without telling anybody.
    pub(crate) fn kill(&mut self, name: &str) {
        let index = self.hosts.iter().position(|host| host.name == name);
        let host = self.hosts.remove(index.expect("the host runs"));
        host.node.kill();
        self.wires.detach(name);
    }

    /// Publishes the sample document with `changes` applied to it, on the newest revision of the host.
    pub(crate) async fn publish(&self, on: &Host, wait_ms: u64) -> Result<Published, PublishError> {
        let mut next = sample();
        let service = next
            .services
            .get_mut("member-portal")
            .expect("in the sample");
        service.deadline_ms = wait_ms;
        let base = on.node.reader().load();
        on.node
            .publish(PublishRequest {
                base_revision: base.map_or(0, |config| config.mark.revision),
                base_digest: None,
                next,
                operator: "nina".to_owned(),
                operation: Uuid::from_u128(u128::from(wait_ms)),
                wall: self.clock.wall(),
                gateway_addresses: Vec::new(),
                confirmed: true,
                known: None,
            })
            .await
    }

    /// Publishes revision 1 and waits until it is in force everywhere.
    pub(crate) async fn publish_first(&self) {
        let published = self.publish(&self.hosts[0], 5_000).await;
        published.expect("published");
        self.until_revision(1).await;
    }

    pub(crate) async fn until_revision(&self, revision: u64) {
        self.until("the revision is in force everywhere", |bed| {
            let mut all = bed.hosts.iter();
            all.all(|host| host.status().revision >= revision && host.status().ready)
        })
        .await;
    }
}

pub(crate) fn sample() -> Document {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/sahyog.json");
    let text = std::fs::read_to_string(path).expect("the sample is there");
    parse_document("sahyog.json", &text)
        .expect("the sample is valid")
        .document
}

fn zone_of(index: usize) -> &'static str {
    ["ahmedabad-1", "vadodara-1"][index % 2]
}

/// Shortens the waits of watches, which the stand-in measures in real time.
fn slowed(kv: Kv) -> Kv {
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

fn usage(given: &GivenUse) -> CustomerUsageExchange {
    let given = given.clone();
    CustomerUsageExchange {
        take_local_rates: Arc::new(|_| vec![(lw_admit::CustomerId(5), 2.5)]),
        apply_peer_rates: Arc::new(move |_, host, rates| {
            given
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

//! A simulation of several hosts with lossy messages between them, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use lw_base::MonoMs;
use lw_conf::{ConfMessage, MAX_MESSAGE_BYTES, ReplicaDriver, ReplicaDriverParts, RevisionMark};
use lw_doc::Document;
use lw_plat::{Kv, KvError};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;

use super::{FakeKv, request};

pub(crate) struct Net {
    pub(crate) rng: ChaCha8Rng,
    pub(crate) drop_percent: u32,
    pub(crate) delay_ms: u64,
    pub(crate) messages: usize,
    pub(crate) bytes: usize,
    drivers: BTreeMap<String, Arc<ReplicaDriver>>,
    regions: BTreeMap<String, Vec<String>>,
    highest_revisions: BTreeMap<String, u64>,
    /// Hosts that cannot reach the key-value service.
    pub(crate) cut_off: BTreeSet<String>,
}

#[derive(Clone)]
pub(crate) struct Sim {
    pub(crate) kv: FakeKv,
    pub(crate) net: Arc<Mutex<Net>>,
    tasks: Arc<Mutex<BTreeMap<String, JoinHandle<()>>>>,
}

impl Sim {
    /// Starts `hosts` hosts, spread over `regions` regions.
    pub(crate) fn start(seed: u64, hosts: usize, regions: usize) -> Self {
        let mut by_region: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for number in 0..hosts {
            let region = format!("region-{:02}", number % regions);
            by_region
                .entry(region)
                .or_default()
                .push(format!("host-{number:03}"));
        }
        let net = Net {
            rng: ChaCha8Rng::seed_from_u64(seed),
            drop_percent: 0,
            delay_ms: 5,
            messages: 0,
            bytes: 0,
            drivers: BTreeMap::new(),
            regions: by_region.clone(),
            highest_revisions: BTreeMap::new(),
            cut_off: BTreeSet::new(),
        };
        let kv = FakeKv::default();
        kv.0.lock().latency_ms = 2;
        let sim = Self {
            kv,
            net: Arc::new(Mutex::new(net)),
            tasks: Arc::default(),
        };
        for name in by_region.values().flatten() {
            sim.start_host(name);
        }
        sim
    }

    /// Starts a host without a configuration, and stops a running host of the same name.
    pub(crate) fn start_host(&self, name: &str) {
        let start = tokio::time::Instant::now();
        let (sender, random) = (self.clone(), self.net.clone());
        let from = name.to_owned();
        let parts = ReplicaDriverParts {
            kv: self.kv_client(name),
            send: Box::new(move |to, bytes| sender.send(&from, to, bytes)),
            now: Box::new(move || MonoMs(u64::try_from(start.elapsed().as_millis()).unwrap())),
            random: Box::new(move || random.lock().rng.random()),
        };
        let driver = ReplicaDriver::new(name, parts);
        let mut net = self.net.lock();
        let (region, hosts) = net.region_of(name);
        driver.set_hosts(&region, &hosts);
        net.highest_revisions.remove(name);
        net.drivers.insert(name.to_owned(), driver.clone());
        drop(net);
        let (sim, host) = (self.clone(), name.to_owned());
        let task = tokio::spawn(async move {
            tokio::join!(driver.run(), sim.heartbeats(&host));
        });
        if let Some(old) = self.tasks.lock().insert(name.to_owned(), task) {
            old.abort();
        }
    }

    /// Returns a client of the service whose calls fail while the host is cut off.
    fn kv_client(&self, name: &str) -> Kv {
        let (kv, net, host) = (self.kv.client(), self.net.clone(), name.to_owned());
        Kv::new(move |call| {
            let is_cut_off = net.lock().cut_off.contains(&host);
            let kv = kv.clone();
            Box::pin(async move {
                match is_cut_off {
                    true => Err(KvError::Unreachable),
                    false => kv.call(call).await,
                }
            })
        })
    }

    pub(crate) fn driver(&self, name: &str) -> Arc<ReplicaDriver> {
        self.net.lock().drivers[name].clone()
    }

    pub(crate) fn names(&self) -> Vec<String> {
        self.net.lock().drivers.keys().cloned().collect()
    }

    pub(crate) fn marks(&self) -> Vec<Option<RevisionMark>> {
        let drivers: Vec<_> = self.net.lock().drivers.values().cloned().collect();
        drivers.iter().map(|driver| driver.mark()).collect()
    }

    /// Returns true when every host has the same revision, and it is at least `revision`.
    pub(crate) fn all_at(&self, revision: u64) -> bool {
        let marks = self.marks();
        let first = marks[0];
        first.is_some_and(|mark| mark.revision >= revision) && marks.iter().all(|m| *m == first)
    }

    /// Returns true when every host has the revision of the head.
    pub(crate) fn all_at_head(&self) -> bool {
        let head = self.kv.head();
        self.marks().iter().all(|mark| *mark == head)
    }

    /// Waits in virtual time until `done` returns true, and returns the waiting time in milliseconds.
    ///
    /// Panics after `limit_ms`, with `what` as the name of the awaited state.
    pub(crate) async fn wait_for(
        &self,
        limit_ms: u64,
        what: &str,
        done: impl Fn(&Self) -> bool,
    ) -> u64 {
        for waited_ms in (0..=limit_ms).step_by(20) {
            self.check_revisions();
            if done(self) {
                return waited_ms;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let marks = self
            .marks()
            .into_iter()
            .map(|mark| mark.map(|m| (m.revision, m.digest.0[0])));
        panic!(
            "{what} took more than {limit_ms} ms: {:?}",
            marks.collect::<Vec<_>>()
        );
    }

    /// Asserts that no host reverted to an older revision since the last check.
    pub(crate) fn check_revisions(&self) {
        let drivers: Vec<_> = self.net.lock().drivers.clone().into_iter().collect();
        for (name, driver) in drivers {
            let revision = driver.mark().map_or(0, |mark| mark.revision);
            let before = self
                .net
                .lock()
                .highest_revisions
                .insert(name.clone(), revision)
                .unwrap_or(0);
            assert!(
                revision >= before,
                "{name} reverted from revision {before} to {revision}"
            );
        }
    }

    fn send(&self, from: &str, to: &str, bytes: Bytes) {
        assert!(
            bytes.len() <= MAX_MESSAGE_BYTES,
            "a message of {} bytes",
            bytes.len()
        );
        assert!(ConfMessage::decode(&bytes).is_some());
        let Some(delay) = self.transfer(bytes.len()) else {
            return;
        };
        let (sim, from, to) = (self.clone(), from.to_owned(), to.to_owned());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            sim.driver(&to).on_message(&from, &bytes);
        });
    }

    /// Counts a message and returns its delay, or `None` when it is lost.
    fn transfer(&self, bytes: usize) -> Option<Duration> {
        let mut net = self.net.lock();
        net.messages += 1;
        net.bytes += bytes;
        let drop_percent = net.drop_percent;
        if net.rng.random_range(0..100) < drop_percent {
            return None;
        }
        let max_delay_ms = net.delay_ms;
        Some(Duration::from_millis(
            net.rng.random_range(0..=max_delay_ms),
        ))
    }

    /// Exchanges revisions once a second with a random host of the region, as probes do. The first host of a region
    /// also exchanges them with the first host of a random region, as relays do.
    async fn heartbeats(&self, name: &str) {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let peers = self.net.lock().heartbeat_peers(name);
            for peer in peers {
                let (request_arrives, reply_arrives) = {
                    let mut net = self.net.lock();
                    (net.heartbeat_arrives(), net.heartbeat_arrives())
                };
                let (own, other) = (self.driver(name), self.driver(&peer));
                if let Some(mark) = own.mark().filter(|_| request_arrives) {
                    other.on_peer_mark(name, mark);
                }
                if let Some(mark) = other.mark().filter(|_| request_arrives && reply_arrives) {
                    own.on_peer_mark(&peer, mark);
                }
            }
        }
    }
}

impl Net {
    fn region_of(&self, name: &str) -> (String, Vec<String>) {
        let mut regions = self.regions.iter();
        let found = regions.find(|(_, hosts)| hosts.iter().any(|host| host == name));
        let (region, hosts) = found.expect("the host has a region");
        (region.clone(), hosts.clone())
    }

    fn heartbeat_peers(&mut self, name: &str) -> Vec<String> {
        let (_, own) = self.region_of(name);
        let regions: Vec<Vec<String>> = self.regions.values().cloned().collect();
        let local_peer = own[self.rng.random_range(0..own.len())].clone();
        let remote_peer = &regions[self.rng.random_range(0..regions.len())][0];
        let mut peers = vec![local_peer];
        if own[0] == name {
            peers.push(remote_peer.clone());
        }
        peers.retain(|peer| peer != name);
        peers
    }

    fn heartbeat_arrives(&mut self) -> bool {
        let drop_percent = self.drop_percent;
        self.rng.random_range(0..100) >= drop_percent
    }
}

/// The time within which a revision must be in force on all hosts.
pub(crate) const BOUND_MS: u64 = 11_000;

pub(crate) async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

pub(crate) async fn publish_at(sim: &Sim, host: &str, operation: u128, next: Document) {
    let base = sim.driver(host).mark().map_or(0, |mark| mark.revision);
    let published = sim
        .driver(host)
        .publish(request(operation, base, next))
        .await;
    published.expect("published");
}

pub(crate) fn count_with_customer(sim: &Sim, hosts: &[String], customer: &str) -> usize {
    let configs = hosts
        .iter()
        .filter_map(|host| sim.driver(host).reader().load());
    let with_customer = configs.filter(|config| config.document.customers.contains_key(customer));
    with_customer.count()
}

pub(crate) fn has_customer(sim: &Sim, name: &str) -> bool {
    let names = sim.names();
    count_with_customer(sim, &names, name) == names.len()
}

//! A randomized test with requests, repeats, host failures, outages of the key-value service and lost frames.

use std::collections::BTreeMap;

use bytes::Bytes;
use lw_base::prelude::*;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::cluster::{Cluster, Reply};

const SEED: u64 = 7;
const STEPS: u32 = 1_500;

/// The replies that callers received, and the keys that ran.
#[derive(Default)]
struct Observations {
    done: Vec<Uuid>,
    counts: BTreeMap<&'static str, u32>,
}

impl Observations {
    /// Checks a reply against the number of runs of the key before and after the request, and counts it.
    fn record(&mut self, id: Uuid, reply: &Reply, runs: (u32, u32)) {
        let label = match reply {
            Reply::Done(_) => {
                assert_eq!(runs, (0, 1), "key {id} ran more than once");
                self.done.push(id);
                "done"
            }
            Reply::Replayed(body) => {
                assert_eq!(*body, Bytes::from(id.to_string()), "answer of another key");
                assert_eq!(runs, (1, 1), "key {id} was replayed and ran again");
                "replayed"
            }
            Reply::Refused(_, Outcome::NotRun) => {
                assert_eq!(runs, (0, 0), "key {id} ran although reported as not run");
                "not run"
            }
            Reply::Refused(..) => {
                assert_eq!(runs.0, runs.1, "a refused key {id} ran");
                "unknown"
            }
        };
        *self.counts.entry(label).or_default() += 1;
    }
}

async fn request(cluster: &Cluster, observations: &mut Observations, rng: &mut ChaCha8Rng) {
    let names: Vec<&str> = cluster
        .hosts
        .iter()
        .map(|host| host.name.as_str())
        .collect();
    let at = names.choose(rng).expect("a host runs");
    let old = observations
        .done
        .choose(rng)
        .copied()
        .filter(|_| rng.random_ratio(1, 2));
    let id = old.unwrap_or_else(|| cluster.new_key());
    let runs = |cluster: &Cluster| cluster.runs.lock().get(&id).copied().unwrap_or(0);
    let before = runs(cluster);
    let reply = cluster.request(at, id, old.is_none()).await;
    observations.record(id, &reply, (before, runs(cluster)));
}

/// Guards against second runs and wrong outcomes in combinations of failures that the other tests do not cover.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_key_runs_twice_in_a_random_run() {
    println!("seed {SEED}");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut observations = Observations::default();
    let mut cluster = Cluster::with_hosts(&["a", "b", "c", "d", "e"]).await;
    cluster.fake_network.set_loss(0.03);
    for step in 0..STEPS {
        request(&cluster, &mut observations, &mut rng).await;
        cluster.advance_ms(40).await;
        match step % 300 {
            60 => {
                let index = rng.random_range(0..cluster.hosts.len());
                let name = cluster.hosts[index].name.clone();
                println!("step {step}: kill {name}");
                cluster.kill(&name);
                if rng.random() {
                    cluster.start(&name);
                }
            }
            150 => cluster.kv.set_outage(true),
            210 => cluster.kv.set_outage(false),
            240 if cluster.hosts.len() < 5 => {
                cluster.start(&format!("n{step}"));
            }
            _ => {}
        }
    }
    println!("{:?}", observations.counts);
    cluster.assert_no_key_ran_twice();
    for label in ["done", "replayed"] {
        let count = observations.counts.get(label).copied().unwrap_or(0);
        assert!(count >= STEPS / 10, "only {count} of {STEPS} were {label}");
    }
}

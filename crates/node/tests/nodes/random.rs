//! A random run: requests, repeats, failures of hosts and of the service, lost frames.

use std::collections::BTreeMap;

use bytes::Bytes;
use lw_base::prelude::*;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::bed::{Bed, Told};

const SEED: u64 = 7;
const STEPS: u32 = 1_500;

/// What the callers were told about the keys.
#[derive(Default)]
struct Book {
    done: Vec<Uuid>,
    counts: BTreeMap<&'static str, u32>,
}

impl Book {
    /// Checks an answer against the runs of the target before and after it.
    fn enter(&mut self, id: Uuid, told: &Told, runs: (u32, u32)) {
        let label = match told {
            Told::Done(_) => {
                assert_eq!(runs, (0, 1), "key {id} ran more than once");
                self.done.push(id);
                "done"
            }
            Told::Replayed(body) => {
                assert_eq!(*body, Bytes::from(id.to_string()), "answer of another key");
                assert_eq!(runs, (1, 1), "key {id} was replayed and ran again");
                "replayed"
            }
            Told::Refused(_, Outcome::NotRun) => {
                assert_eq!(runs, (0, 0), "key {id} ran although told not run");
                "not run"
            }
            Told::Refused(..) => {
                assert_eq!(runs.0, runs.1, "a refused key {id} ran");
                "unknown"
            }
        };
        *self.counts.entry(label).or_default() += 1;
    }
}

async fn request(bed: &Bed, book: &mut Book, rng: &mut ChaCha8Rng) {
    let names: Vec<&str> = bed.hosts.iter().map(|host| host.name.as_str()).collect();
    let at = names.choose(rng).expect("a host runs");
    let old = book
        .done
        .choose(rng)
        .copied()
        .filter(|_| rng.random_ratio(1, 2));
    let id = old.unwrap_or_else(|| bed.key());
    let runs = |bed: &Bed| bed.runs.lock().get(&id).copied().unwrap_or(0);
    let before = runs(bed);
    let told = bed.ask(at, id, old.is_none()).await;
    book.enter(id, &told, (before, runs(bed)));
}

/// Guards against second runs and wrong outcomes in combinations of failures that the other tests do not have.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_key_runs_twice_in_a_random_run() {
    println!("seed {SEED}");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut book = Book::default();
    let mut bed = Bed::with_hosts(&["a", "b", "c", "d", "e"]).await;
    bed.wires.set_loss(0.03);
    for step in 0..STEPS {
        request(&bed, &mut book, &mut rng).await;
        bed.pass_ms(40).await;
        match step % 300 {
            60 => {
                let index = rng.random_range(0..bed.hosts.len());
                let name = bed.hosts[index].name.clone();
                println!("step {step}: kill {name}");
                bed.kill(&name);
                if rng.random() {
                    bed.start(&name);
                }
            }
            150 => bed.kv.set_outage(true),
            210 => bed.kv.set_outage(false),
            240 if bed.hosts.len() < 5 => {
                bed.start(&format!("n{step}"));
            }
            _ => {}
        }
    }
    println!("{:?}", book.counts);
    bed.assert_no_key_ran_twice();
    for label in ["done", "replayed"] {
        let count = book.counts.get(label).copied().unwrap_or(0);
        assert!(count >= STEPS / 10, "only {count} of {STEPS} were {label}");
    }
}

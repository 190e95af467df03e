//! Measures the calls of leases on the key-value service by number of contenders in a region.

use std::sync::Arc;

use lw_base::MonoMs;
use lw_lease::{LeaseClient, LeaseTimes};
use lw_plat::{CallCounts, Kv, KvCall, KvReply};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::slopes::kv_service::{KvCalls, KvService, resolve_immediately};
use crate::slopes::slope::Slope;
use crate::slopes::target::{host_name, largest_region};

const CONTENDERS: [usize; 4] = [1, 2, 8, 22];
const STEP_MS: u64 = 50;
const START_MS: u64 = 10_000;
const SPAN_MS: u64 = 120_000;
const OUTAGE_MS: u64 = 60_000;
/// Time observed after an outage; clients spread their reconnects over at most 10 s.
const RECOVERY_MS: u64 = 20_000;

/// The calls for the lease of one region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseRun {
    pub(crate) per_s: KvCalls,
    pub(crate) at_start: KvCalls,
    pub(crate) start_peak: KvCalls,
    pub(crate) outage_peak: KvCalls,
}

struct Contender {
    client: LeaseClient,
    /// The pending watch, and when it ends.
    watch: Option<(KvCall, u64)>,
}

pub(crate) fn measure(seed: u64) -> Vec<Slope> {
    let runs = CONTENDERS.map(|contenders| (contenders as f64, run(contenders, seed)));
    let slope = |id, what, unit, value: &dyn Fn(&LeaseRun) -> f64| {
        let points = runs.iter().map(|(size, run)| (*size, value(run)));
        let size = "contenders of the region";
        Slope::new(id, what, unit, size, points, largest_region() as f64)
    };
    vec![
        slope(
            "kv.lease_reads_per_s",
            "reads and watches of one region's lease",
            "calls/s",
            &|run| run.per_s.all_reads(),
        ),
        slope(
            "kv.lease_writes_per_s",
            "writes of one region's lease",
            "calls/s",
            &|run| run.per_s.writes,
        ),
        slope(
            "kv.lease_start_writes",
            "writes until a region's lease is held after a start",
            "calls",
            &|run| run.at_start.writes,
        ),
        slope(
            "kv.lease_start_peak_reads_per_s",
            "most reads and watches of one region's lease in one second of a start",
            "calls/s",
            &|run| run.start_peak.reads,
        ),
        slope(
            "kv.lease_start_peak_writes_per_s",
            "most writes of one region's lease in one second of a start",
            "calls/s",
            &|run| run.start_peak.writes,
        ),
        slope(
            "kv.lease_outage_peak_reads_per_s",
            "most reads and watches of one region's lease in one second after an outage",
            "calls/s",
            &|run| run.outage_peak.reads,
        ),
        slope(
            "kv.lease_outage_peak_writes_per_s",
            "most writes of one region's lease in one second after an outage",
            "calls/s",
            &|run| run.outage_peak.writes,
        ),
    ]
}

/// Simulates `contenders` hosts of one region that start at once and compete for the lease, with an outage at the end.
pub(crate) fn run(contenders: usize, seed: u64) -> LeaseRun {
    let mut contention = LeaseContention::new(contenders, seed);
    let start_peak = contention.run_for(START_MS);
    let at_start = KvCalls::of(&contention.counts);
    contention.run_for(SPAN_MS);
    let steady = KvCalls::of(&contention.counts).since(at_start);
    contention.service.fake.set_outage(true);
    contention.run_for(OUTAGE_MS);
    contention.service.fake.set_outage(false);
    LeaseRun {
        per_s: steady.scaled(1_000.0 / SPAN_MS as f64),
        at_start,
        start_peak,
        outage_peak: contention.run_for(RECOVERY_MS),
    }
}

struct LeaseContention {
    now_ms: u64,
    service: KvService,
    counts: Arc<CallCounts>,
    counted: Kv,
    uncounted: Kv,
    rng: ChaCha8Rng,
    contenders: Vec<Contender>,
}

impl LeaseContention {
    fn new(contenders: usize, seed: u64) -> Self {
        let service = KvService::new();
        let counts: Arc<CallCounts> = Arc::default();
        let new_contender = |number| {
            let id = format!("{}-1", host_name(0, number));
            let mut client = LeaseClient::new("place/region-00", id, LeaseTimes::default());
            client.set_wanted(MonoMs(0), true);
            client.set_preferred(number == 0);
            Contender {
                client,
                watch: None,
            }
        };
        Self {
            now_ms: 0,
            counted: service.counting_client(&counts),
            uncounted: service.fake.kv(),
            service,
            counts,
            rng: ChaCha8Rng::seed_from_u64(seed),
            contenders: (0..contenders).map(new_contender).collect(),
        }
    }

    /// Advances the time and returns the most calls of each kind in one second.
    fn run_for(&mut self, span_ms: u64) -> KvCalls {
        let mut peak = KvCalls::default();
        for _ in 0..span_ms / 1_000 {
            let before = KvCalls::of(&self.counts);
            for _ in 0..1_000 / STEP_MS {
                self.step();
            }
            let calls = KvCalls::of(&self.counts).since(before);
            peak.reads = peak.reads.max(calls.all_reads());
            peak.writes = peak.writes.max(calls.writes);
        }
        peak
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.service.set_now(self.now_ms);
        let now = MonoMs(self.now_ms);
        for contender in &mut self.contenders {
            if let Some((call, end)) = contender.watch.take() {
                // An uncounted poll replaces the pending watch, which was counted when it started.
                let reply = resolve_immediately(self.uncounted.call(call.clone()));
                if reply == Ok(KvReply::Unchanged) && self.now_ms < end {
                    contender.watch = Some((call, end));
                    continue;
                }
                contender.client.reply(now, &mut self.rng, reply);
            }
            match contender.client.tick(now) {
                None => {}
                Some(KvCall::Watch {
                    key,
                    after_version,
                    wait_ms,
                }) => {
                    let poll = KvCall::Watch {
                        key,
                        after_version,
                        wait_ms: 0,
                    };
                    // The reply is read by the uncounted poll of the next step.
                    let _ = resolve_immediately(self.counted.call(poll.clone()));
                    contender.watch = Some((poll, self.now_ms + wait_ms));
                }
                Some(call) => {
                    let reply = resolve_immediately(self.counted.call(call));
                    contender.client.reply(now, &mut self.rng, reply);
                }
            }
        }
    }
}

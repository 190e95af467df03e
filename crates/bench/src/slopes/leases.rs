//! Calls of leases on the key-value service, by contenders of a region.

use std::sync::Arc;

use lw_base::MonoMs;
use lw_lease::{LeaseClient, LeaseTimes};
use lw_plat::{CallCounts, Kv, KvCall, KvReply};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::slopes::service::{KvCalls, Service, at_once};
use crate::slopes::slope::Slope;
use crate::slopes::target::{host_name, largest_region};

const CONTENDERS: [usize; 4] = [1, 2, 8, 22];
const STEP_MS: u64 = 50;
const START_MS: u64 = 10_000;
const SPAN_MS: u64 = 120_000;
const OUTAGE_MS: u64 = 60_000;
/// Reconnects are spread over at most 10 s.
const RETURN_MS: u64 = 20_000;

/// What a region's lease costs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseRun {
    pub(crate) per_s: KvCalls,
    pub(crate) at_start: KvCalls,
    pub(crate) start_peak: KvCalls,
    pub(crate) outage_peak: KvCalls,
}

struct Contender {
    holder: LeaseClient,
    /// The watch that waits, and when it ends.
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

/// Lets `contenders` hosts of one region start at once and hold or want the lease, with an outage at the end.
pub(crate) fn run(contenders: usize, seed: u64) -> LeaseRun {
    let mut race = Race::new(contenders, seed);
    let start_peak = race.run_for(START_MS);
    let at_start = KvCalls::of(&race.counts);
    race.run_for(SPAN_MS);
    let steady = KvCalls::of(&race.counts).since(at_start);
    race.service.stand.set_outage(true);
    race.run_for(OUTAGE_MS);
    race.service.stand.set_outage(false);
    LeaseRun {
        per_s: steady.times(1_000.0 / SPAN_MS as f64),
        at_start,
        start_peak,
        outage_peak: race.run_for(RETURN_MS),
    }
}

struct Race {
    now: u64,
    service: Service,
    counts: Arc<CallCounts>,
    counted: Kv,
    free: Kv,
    rng: ChaCha8Rng,
    contenders: Vec<Contender>,
}

impl Race {
    fn new(contenders: usize, seed: u64) -> Self {
        let service = Service::new();
        let counts: Arc<CallCounts> = Arc::default();
        let contender = |number| {
            let id = format!("{}-1", host_name(0, number));
            let mut holder = LeaseClient::new("place/region-00", id, LeaseTimes::default());
            holder.set_wanted(MonoMs(0), true);
            holder.set_preferred(number == 0);
            Contender {
                holder,
                watch: None,
            }
        };
        Self {
            now: 0,
            counted: service.counted(&counts),
            free: service.stand.kv(),
            service,
            counts,
            rng: ChaCha8Rng::seed_from_u64(seed),
            contenders: (0..contenders).map(contender).collect(),
        }
    }

    /// Returns the most calls of each kind in one second.
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
        self.now += STEP_MS;
        self.service.set_now(self.now);
        let now = MonoMs(self.now);
        for one in &mut self.contenders {
            if let Some((call, end)) = one.watch.take() {
                // A look without wait stands for the watch, which was counted when it began.
                let reply = at_once(self.free.call(call.clone()));
                if reply == Ok(KvReply::Unchanged) && self.now < end {
                    one.watch = Some((call, end));
                    continue;
                }
                one.holder.reply(now, &mut self.rng, reply);
            }
            match one.holder.tick(now) {
                None => {}
                Some(KvCall::Watch {
                    key,
                    after_version,
                    wait_ms,
                }) => {
                    let look = KvCall::Watch {
                        key,
                        after_version,
                        wait_ms: 0,
                    };
                    // Its reply is that of the next step.
                    let _ = at_once(self.counted.call(look.clone()));
                    one.watch = Some((look, self.now + wait_ms));
                }
                Some(call) => {
                    let reply = at_once(self.counted.call(call));
                    one.holder.reply(now, &mut self.rng, reply);
                }
            }
        }
    }
}

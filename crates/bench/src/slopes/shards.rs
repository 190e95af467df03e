//! Measures the at-most-once protocol: calls on the key-value service, messages per request, and memory per record.

use bytes::Bytes;
use lw_base::WallMs;
use lw_idem::{BodyDigest, ClaimId, Ending, Record, RecordKey, ShardTable};
use uuid::Uuid;

use crate::counting_alloc::live_bytes;
use crate::slopes::kv_service::KvCalls;
use crate::slopes::shard_region::ShardRegion;
use crate::slopes::slope::Slope;
use crate::slopes::target::{
    NODES, NON_IDEMPOTENT_SHARE, REQUESTS_PER_S, SECONDS_PER_DAY, largest_region,
};

const REGION_SIZES: [usize; 4] = [2, 8, 14, 22];
/// Numbers of records in a shard table; a host holds about 26,000 records at the target size.
const RECORD_COUNTS: [usize; 3] = [1_000, 10_000, 50_000];
/// Body sizes of stored answers.
const ANSWER_BYTES: [usize; 3] = [0, 512, 4_096];
/// Time to settle; longer than the cutoff of the first map and the convergence of the membership.
const SETTLE_MS: u64 = 180_000;
const STEADY_MS: u64 = 60_000;
const REQUESTS: u64 = 300;
/// Maximum lifetime of a record: 10 minutes plus a margin of 10 s, and a sweep every 10 s.
const RECORD_LIFETIME_S: f64 = 620.0;

/// The measured values of one region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShardRun {
    pub(crate) steady_per_s: KvCalls,
    pub(crate) writes_per_loss: f64,
    pub(crate) writes_per_return: f64,
    pub(crate) start_writes: f64,
    pub(crate) start_peak_reads_per_s: f64,
    pub(crate) start_peak_writes_per_s: f64,
    map_bytes: f64,
}

pub(crate) fn measure(seed: u64) -> Vec<Slope> {
    let mut slopes = service_slopes(seed);
    slopes.extend(request_slopes(seed));
    slopes.push(record_slope());
    slopes
}

fn service_slopes(seed: u64) -> Vec<Slope> {
    let runs = REGION_SIZES.map(|hosts| (hosts as f64, run(hosts, seed)));
    let slope = |id, what, unit, value: &dyn Fn(&ShardRun) -> f64| {
        let points = runs.iter().map(|(hosts, run)| (*hosts, value(run)));
        let size = "nodes of the region";
        Slope::new(id, what, unit, size, points, largest_region() as f64)
    };
    vec![
        slope(
            "kv.map_reads_per_s",
            "reads of one region's shard map",
            "calls/s",
            &|run| run.steady_per_s.reads,
        ),
        slope(
            "kv.map_writes_per_loss",
            "writes of the map after the loss of a host",
            "calls",
            &|run| run.writes_per_loss,
        ),
        slope(
            "kv.map_writes_per_return",
            "writes of the map after the return of a host",
            "calls",
            &|run| run.writes_per_return,
        ),
        slope(
            "kv.map_start_writes",
            "writes of the map after a restart of the whole region",
            "calls",
            &|run| run.start_writes,
        ),
        slope(
            "kv.map_start_peak_reads_per_s",
            "most reads of the map in one second of that restart",
            "calls/s",
            &|run| run.start_peak_reads_per_s,
        ),
        slope(
            "kv.map_start_peak_writes_per_s",
            "most writes of the map in one second of that restart",
            "calls/s",
            &|run| run.start_peak_writes_per_s,
        ),
        slope(
            "idem.map_bytes",
            "the shard map as stored",
            "bytes",
            &|run| run.map_bytes,
        ),
    ]
}

/// Simulates one region through its start, a steady minute, the loss and return of a host, and a restart of all hosts.
pub(crate) fn run(hosts: usize, seed: u64) -> ShardRun {
    let mut region = ShardRegion::new(hosts, seed);
    region.run_for(SETTLE_MS);
    let before = region.calls;
    region.run_for(STEADY_MS);
    let steady = region.calls.since(before);
    let map = region.map().map(postcard::to_stdvec);
    let map_bytes = map.and_then(Result::ok).map_or(0, |bytes| bytes.len());
    let writes_per_loss = counted_writes(&mut region, |region| region.kill(hosts - 1));
    let writes_per_return = counted_writes(&mut region, |region| region.restart(hosts - 1));
    let restart_second = region.calls_by_second.len();
    let start_writes = counted_writes(&mut region, ShardRegion::restart_all);
    let peak = |column: usize| {
        let seconds = region.calls_by_second[restart_second..].iter();
        f64::from(seconds.map(|counts| counts[column]).max().unwrap_or(0))
    };
    ShardRun {
        steady_per_s: steady.scaled(1_000.0 / STEADY_MS as f64),
        writes_per_loss,
        writes_per_return,
        start_writes,
        start_peak_reads_per_s: peak(0),
        start_peak_writes_per_s: peak(1),
        map_bytes: map_bytes as f64,
    }
}

fn counted_writes(region: &mut ShardRegion, event: impl FnOnce(&mut ShardRegion)) -> f64 {
    let before = region.calls.writes;
    event(region);
    region.run_for(SETTLE_MS);
    region.calls.writes - before
}

fn request_slopes(seed: u64) -> Vec<Slope> {
    let rows = ANSWER_BYTES.map(|answer| requests(answer, seed));
    let slope = |id, what, unit, column: usize| {
        let points = ANSWER_BYTES.iter().zip(&rows);
        let points = points.map(|(answer, row)| (*answer as f64, row[column]));
        let largest = ANSWER_BYTES[ANSWER_BYTES.len() - 1] as f64;
        Slope::new(id, what, unit, "bytes of the kept answer", points, largest)
    };
    vec![
        slope(
            "request.key_messages",
            "peer messages per non-idempotent request",
            "messages",
            0,
        ),
        slope(
            "request.key_bytes",
            "frame bytes per non-idempotent request",
            "bytes",
            1,
        ),
        slope(
            "request.forwards",
            "forwards to the owner per non-idempotent request, in the largest region",
            "calls",
            2,
        ),
        slope(
            "request.kv_calls",
            "calls on the key-value service per non-idempotent request",
            "calls",
            3,
        ),
        slope(
            "request.records",
            "records per non-idempotent request on all hosts",
            "records",
            4,
        ),
    ]
}

fn requests(answer_bytes: usize, seed: u64) -> [f64; 5] {
    let mut region = ShardRegion::new(largest_region(), seed);
    region.answer_bytes = answer_bytes;
    region.run_for(SETTLE_MS);
    let records = region.records();
    let calls = region.calls;
    let mut forwarded = 0;
    for _ in 0..REQUESTS {
        forwarded += u64::from(region.request());
    }
    assert_eq!(region.completed_runs, REQUESTS, "every request ran");
    let per_request = 1.0 / REQUESTS as f64;
    let calls = region.calls.since(calls);
    [
        region.key_messages as f64 * per_request,
        region.key_bytes as f64 * per_request,
        forwarded as f64 * per_request,
        (calls.all_reads() + calls.writes) * per_request,
        (region.records() - records) as f64 * per_request,
    ]
}

fn record_slope() -> Slope {
    let points = RECORD_COUNTS.map(|records| (records as f64, record_bytes(records, 512)));
    Slope::new(
        "idem.record_bytes",
        "memory per record with an answer of 512 bytes",
        "bytes",
        "records of a table",
        points,
        records_per_host(),
    )
}

/// Returns the bytes of memory per record with an answer of `answer_bytes`.
pub(crate) fn record_bytes(records: usize, answer_bytes: usize) -> f64 {
    let before = live_bytes();
    let mut table = ShardTable::new(usize::MAX / 2);
    for number in 0..records {
        let record = Record {
            key: RecordKey {
                scope: 7,
                id: Uuid::from_u128(number as u128 * 0x9E37_79B9_7F4A_7C15),
            },
            issued: WallMs(1),
            digest: BodyDigest([1; 16]),
            claim: ClaimId {
                epoch: 1,
                number: number as u64,
            },
            ending: Some(Ending::complete(
                200,
                "application/json",
                Bytes::from(vec![0x61; answer_bytes]),
            )),
            ended: Some(WallMs(2)),
        };
        assert!(table.insert(record), "the table has no bound");
    }
    let bytes = (live_bytes() - before) as f64 / records as f64;
    drop(table);
    bytes
}

/// Returns the number of records that a host holds as owner and as backup at the target size.
pub(crate) fn records_per_host() -> f64 {
    let requests_per_s = REQUESTS_PER_S * NON_IDEMPOTENT_SHARE / NODES as f64;
    2.0 * requests_per_s * RECORD_LIFETIME_S
}

/// Converts events per day to events per second.
pub(crate) fn per_second(events_per_day: f64) -> f64 {
    events_per_day / SECONDS_PER_DAY
}

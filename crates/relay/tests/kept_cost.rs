//! The cost of one request does not grow with what a host keeps of the requests before it.

use std::time::Duration;

use cpu_time::ThreadTime;
use lw_base::prelude::*;
use lw_mesh::PlacedPart;
use lw_quarantine::{CrashStage, PartKey};
use lw_relay::{BrokenAttempts, PlacedPartQueue, PrefixCacheEstimate, PromptPart, Warmth};
use test_case::test_case;

/// The numbers of shared parts in a prompt.
const PARTS: [u64; 4] = [1, 4, 16, 64];
/// Each bound is reached by this number of parts, and a long time before this greater one.
const FEW_KEPT: u64 = 5_000;
const MANY_KEPT: u64 = 100_000;
/// The greatest ratio of the cost of a request with many parts kept to its cost with few.
const MAX_RATIO: f64 = 2.0;
/// The requests of a measurement, and the number of measurements. The least one counts, since other work of the machine
/// only adds to the time.
const REQUESTS: u64 = 40;
const MEASUREMENTS: usize = 25;
/// Added to both costs, since the clock of a thread has steps.
const CLOCK_STEP: Duration = Duration::from_micros(5);

/// Records a request with the parts of these numbers.
type Record = Box<dyn FnMut(std::ops::Range<u64>)>;

fn placed_parts() -> Record {
    let mut queue = PlacedPartQueue::default();
    Box::new(move |parts| {
        for part in parts.clone() {
            let placed = PlacedPart {
                target: 1,
                part,
                tokens: 300,
            };
            queue.push(placed, 3);
        }
        if parts.start.is_multiple_of(1_000) {
            queue.take_batch();
        }
    })
}

fn cached_parts() -> Record {
    let mut cache = PrefixCacheEstimate::default();
    Box::new(move |parts| {
        for number in parts {
            let part = PromptPart {
                prefix_hash: number,
                tokens: 300,
            };
            cache.record(MonoMs(number), part, 300_000);
            std::hint::black_box(cache.cached_tokens(&[part]));
        }
    })
}

fn broken_attempts() -> Record {
    let mut broken = BrokenAttempts::default();
    Box::new(move |parts| {
        let keys: Vec<PartKey> = parts
            .clone()
            .map(|part| format!("{part:016x}").parse().expect("a hexadecimal key"))
            .collect();
        // A request a millisecond.
        let now = MonoMs(parts.start / (parts.end - parts.start));
        broken.record(now, 1, CrashStage::Starting, keys.as_slice());
    })
}

fn unverified_sends() -> Record {
    let mut warmth = Warmth::default();
    Box::new(move |parts| {
        let now = MonoMs(parts.start / (parts.end - parts.start));
        std::hint::black_box(warmth.needed_check(now, None, Some(usize::MAX)));
        warmth.record_send(now);
    })
}

fn least_cost(record: &mut Record, next: &mut u64, parts: u64) -> Duration {
    let measured = (0..MEASUREMENTS).map(|_| {
        let begin = ThreadTime::now();
        for _ in 0..REQUESTS {
            record(*next..*next + parts);
            *next += parts;
        }
        begin.elapsed()
    });
    measured.min().unwrap_or_default()
}

// Guards against a host that falls behind under a constant load, because each request searches what was kept of all before it.
#[test_case(placed_parts; "placed parts")]
#[test_case(cached_parts; "cached parts of an engine")]
#[test_case(broken_attempts; "broken attempts")]
#[test_case(unverified_sends; "unverified sends")]
fn the_cost_of_a_request_is_flat_over_what_is_kept(new_record: fn() -> Record) {
    for parts in PARTS {
        let mut record = new_record();
        let mut next = 0;
        let mut costs = [FEW_KEPT, MANY_KEPT].map(|kept| {
            while next < kept {
                record(next..next + parts);
                next += parts;
            }
            least_cost(&mut record, &mut next, parts) + CLOCK_STEP
        });
        costs.sort_unstable();
        let ratio = costs[1].as_secs_f64() / costs[0].as_secs_f64();
        println!("{parts} parts: {costs:?} for {REQUESTS} requests");
        assert!(ratio <= MAX_RATIO, "{parts} parts: {costs:?}");
    }
}

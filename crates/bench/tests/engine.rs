//! Tests of the engine and cache models that the policy comparison depends on.

use lw_base::prelude::*;
use lw_bench::play::{Arrival, Engine, MODEL, PrefixCache};
use lw_doc::ServiceKind;

fn arrival(class: PriorityClass, prefix: u64) -> Arrival {
    Arrival {
        at_us: 0,
        region: RegionKey(0),
        host_draw: 0,
        service: MODEL,
        class,
        region_bound: false,
        prefix,
        prefix_tokens: 4_000,
        prompt_tokens: 800,
        output_tokens: 100,
    }
}

/// Guards against an unbounded cache, which would hide the misses of policies that spread prefixes over targets.
#[test]
fn prefix_cache_evicts_the_least_recently_used_prefix() {
    let mut cache = PrefixCache::new(8_000);
    assert!(!cache.touch(1, 4_000));
    assert!(!cache.touch(2, 4_000));
    assert!(cache.touch(1, 4_000));
    assert!(!cache.touch(3, 4_000));
    assert!(cache.touch(1, 4_000));
    assert!(!cache.touch(2, 4_000));
}

/// Guards against an engine model in which a cache miss has no cost or higher priority classes are not served first.
#[test]
fn cache_misses_add_prefill_time_and_higher_classes_start_first() {
    let arrivals = [
        arrival(PriorityClass::Batch, 1),
        arrival(PriorityClass::Batch, 1),
        arrival(PriorityClass::Batch, 1),
        arrival(PriorityClass::Interactive, 2),
    ];
    let mut engine = Engine::new(ServiceKind::Model, 2);
    let first = engine.accept(0, 0, &arrivals[0]).expect("a free slot");
    let second = engine.accept(0, 1, &arrivals[1]).expect("a free slot");
    assert!(first.missed && !second.missed);
    // Prefill of 4,800 tokens, then of 800 tokens, at 8,000 tokens per second.
    assert!(first.first_token_us > 600_000 && second.first_token_us > 700_000);
    assert!(engine.accept(0, 2, &arrivals[2]).is_none());
    assert!(engine.accept(0, 3, &arrivals[3]).is_none());
    assert_eq!(engine.requests(), 4);
    let next = engine
        .complete(first.done_us, &arrivals)
        .expect("a queued request");
    assert_eq!(next.request, 3);
}

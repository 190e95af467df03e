//! Sending placed parts to the hosts of the region.

use lw_base::prelude::*;
use lw_mesh::PlacedPart;
use lw_relay::{PlacedPartQueue, PrefixCacheEstimate, PromptPart};
use test_case::test_case;

fn part(part: u64) -> PlacedPart {
    PlacedPart {
        target: 1,
        part,
        tokens: 13_000,
    }
}

struct Case {
    placed: u64,
    heartbeats: usize,
    /// The number of parts in each of the following heartbeats.
    batch_sizes: Vec<usize>,
}

// Guards against hosts that never receive a placed part: a heartbeat reaches only some hosts of the region, and each
// part was sent only once.
#[test_case(&Case { placed: 0, heartbeats: 3, batch_sizes: vec![0] }; "nothing is queued")]
#[test_case(&Case { placed: 2, heartbeats: 3, batch_sizes: vec![2, 2, 2, 0] }; "a part is repeated in each heartbeat")]
#[test_case(&Case { placed: 30, heartbeats: 1, batch_sizes: vec![24, 6, 0] }; "parts beyond the datagram limit stay queued")]
fn parts_are_repeated_for_the_given_number_of_heartbeats(case: &Case) {
    let mut queue = PlacedPartQueue::default();
    for index in 0..case.placed {
        queue.push(part(index), case.heartbeats);
    }
    for batch_size in &case.batch_sizes {
        assert_eq!(queue.take_batch().len(), *batch_size);
    }
}

/// Guards against datagrams that grow with each use of the same part.
#[test]
fn a_repeated_part_appears_once_per_heartbeat() {
    let mut queue = PlacedPartQueue::default();
    for _ in 0..50 {
        queue.push(part(7), 2);
    }
    assert_eq!(queue.take_batch().len(), 1);
    queue.push(part(7), 2);
    let batch_sizes: Vec<usize> = (0..3).map(|_| queue.take_batch().len()).collect();
    assert_eq!(batch_sizes, [1, 1, 0]);
}

/// Some thousand prompts with parts of their own.
const PLACED: u64 = 20_000;
/// More than a host keeps of placed parts, or of the parts of one engine.
const MAX_KEPT: usize = 5_000;

/// Guards against work for one request that grows with the parts of all requests before it.
#[test]
fn the_queue_of_placed_parts_is_bounded() {
    let mut queue = PlacedPartQueue::default();
    for index in 0..PLACED {
        queue.push(part(index), 3);
    }
    assert!(queue.len() <= MAX_KEPT, "{} parts", queue.len());
    let newest = PLACED - queue.len() as u64;
    assert_eq!(queue.take_batch()[0], part(newest));
}

// The same for what a host remembers of the cache of an engine.
#[test_case(0; "parts without tokens")]
#[test_case(1; "parts of one token")]
#[test_case(300; "parts of documents")]
fn the_remembered_parts_of_an_engine_are_bounded(tokens: u32) {
    let mut cache = PrefixCacheEstimate::default();
    for index in 0..PLACED {
        let part = PromptPart {
            prefix_hash: index,
            tokens,
        };
        cache.record(MonoMs(index / 10), part, 300_000);
    }
    assert!(cache.len() <= MAX_KEPT, "{} parts", cache.len());
    let newest = PromptPart {
        prefix_hash: PLACED - 1,
        tokens,
    };
    assert_eq!(cache.cached_tokens(&[newest]), u64::from(tokens));
}

//! Sending placed parts to the hosts of the region.

use lw_mesh::PlacedPart;
use lw_relay::PlacedPartQueue;
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

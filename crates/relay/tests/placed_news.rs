//! What hosts tell one another of placed parts.

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
    beats: usize,
    /// The parts in each of the following beats.
    told: Vec<usize>,
}

// Guards against hosts that never hear of a part: a beat goes to some hosts of the region only, and a part was told once.
#[test_case(&Case { placed: 0, beats: 3, told: vec![0] }; "nothing was placed")]
#[test_case(&Case { placed: 2, beats: 3, told: vec![2, 2, 2, 0] }; "each host hears of a part")]
#[test_case(&Case { placed: 30, beats: 1, told: vec![24, 6, 0] }; "what does not fit waits")]
fn parts_are_told_to_all_hosts(case: &Case) {
    let mut news = PlacedPartQueue::default();
    for index in 0..case.placed {
        news.push(part(index), case.beats);
    }
    for told in &case.told {
        assert_eq!(news.take_batch().len(), *told);
    }
}

/// Guards against datagrams that grow with each use of the same part.
#[test]
fn a_part_is_told_once_a_beat() {
    let mut news = PlacedPartQueue::default();
    for _ in 0..50 {
        news.push(part(7), 2);
    }
    assert_eq!(news.take_batch().len(), 1);
    news.push(part(7), 2);
    let left: Vec<usize> = (0..3).map(|_| news.take_batch().len()).collect();
    assert_eq!(left, [1, 1, 0]);
}

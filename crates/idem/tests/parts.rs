//! Keys, the record table and map changes.

use bytes::Bytes;
use lw_base::{ErrorKind, WallMs};
use lw_idem::{
    BodyDigest, ClaimId, Ending, IdempotencyKey, Instance, MapContext, MapHost, RECORD_WINDOW_MS,
    Record, RecordKey, SHARDS, ShardMap, ShardTable, next_map,
};
use test_case::test_case;
use uuid::Builder;

const WALL: u64 = 1_800_000_000_000;

fn id(millis: u64, number: u8) -> uuid::Uuid {
    Builder::from_unix_timestamp_millis(millis, &[number; 10]).into_uuid()
}

/// Guards against keys that are accepted without a valid region, version or issue time.
#[test_case("gujarat.east.", 0, true; "region with a dot")]
#[test_case("saurashtra.", 2_000, true; "issue time at the limit")]
#[test_case("saurashtra.", 2_001, false; "issue time past the limit")]
#[test_case(".", 0, false; "no region")]
#[test_case("", 0, false; "no separator")]
fn keys_without_a_valid_region_or_issue_time_are_refused(region: &str, ahead_ms: u64, valid: bool) {
    let text = format!("{region}{}", id(WALL + ahead_ms, 1));
    let key = IdempotencyKey::parse(&text, WallMs(WALL));
    assert_eq!(key.is_ok(), valid, "{key:?}");
    if let Ok(key) = key {
        assert_eq!(key.issued, WallMs(WALL + ahead_ms));
        assert_eq!(format!("{}.", key.region), region);
    }
    let version_4 = "saurashtra.8c5e2f4e-6d2b-4a55-9c5b-0b7f0f6a9a11";
    let refused = IdempotencyKey::parse(version_4, WallMs(WALL));
    assert_eq!(refused, Err(ErrorKind::KeyMalformed));
}

fn record(number: u8, ending: Option<Ending>) -> Record {
    Record {
        key: RecordKey {
            scope: 1,
            id: id(WALL, number),
        },
        issued: WallMs(WALL),
        digest: BodyDigest([0; 16]),
        claim: ClaimId {
            epoch: 1,
            number: u64::from(number),
        },
        ended: ending.as_ref().map(|_| WallMs(WALL)),
        ending,
    }
}

fn kept_ending(bytes: usize) -> Option<Ending> {
    Some(Ending::complete(200, "", Bytes::from(vec![0; bytes])))
}

/// Guards against the removal of a claim to save memory, after which its key could run again.
#[test]
fn a_full_table_evicts_responses_but_no_claims() {
    let mut table = ShardTable::new(10_000);
    for number in 0..200 {
        let ending = if number % 2 == 0 {
            kept_ending(4_000)
        } else {
            None
        };
        let _ = table.insert(record(number, ending));
        assert!(table.bytes() <= 10_000);
    }
    assert_eq!(table.get(&record(1, None).key).unwrap().ending, None);
    let first = table.get(&record(0, None).key).unwrap();
    assert_eq!(
        first.ending,
        Some(Ending::NotKept),
        "the oldest response is evicted first"
    );
    assert!(
        !table.insert(record(250, None)),
        "a table full of claims refuses a further claim"
    );
    assert!(table.len() >= 30);
    assert_eq!(kept_ending(4_097), Some(Ending::NotKept));
}

/// Guards against a record that is removed while its key is still accepted, and against a watermark that falls.
#[test]
fn records_are_kept_longer_than_their_keys_are_accepted() {
    let mut table = ShardTable::new(10_000);
    assert!(table.insert(record(1, kept_ending(10))));
    let end = WALL + RECORD_WINDOW_MS;
    table.sweep(WallMs(end + 5_000), |_| false);
    assert_eq!(table.len(), 1);
    assert!(table.watermark(WallMs(end + 5_000)) > WallMs(WALL));
    assert_eq!(table.watermark(WallMs(WALL)), WallMs(WALL + 5_000));
    table.sweep(WallMs(end + 20_000), |_| true);
    assert_eq!(table.len(), 1, "a running claim stays");
    table.sweep(WallMs(end + 20_000), |_| false);
    assert!(table.is_empty() && table.bytes() == 0);
}

fn host(number: usize) -> MapHost {
    MapHost {
        instance: Instance {
            host: format!("h{number}").into(),
            incarnation: 1,
        },
        zone: format!("z{}", number % 3).into(),
    }
}

/// Applies the proposals of every host until the map no longer changes; transfers complete at once.
fn settle(mut map: ShardMap, hosts: &[usize], lost: &[usize]) -> ShardMap {
    for _ in 0..400 {
        let mut changed = false;
        for number in hosts {
            let me = host(*number);
            let context = MapContext {
                me: &me,
                leaving: false,
                is_lost: &|instance| lost.iter().any(|lost| host(*lost).instance == *instance),
                is_leaving: &|_| false,
                is_transferred: &|_| true,
                cutoff_is_late: &|_| false,
                may_take_over: &|_| false,
                wall: WallMs(WALL),
            };
            if let Some(next) = next_map(&map, &context) {
                map = next;
                changed = true;
            }
        }
        if !changed {
            return map;
        }
    }
    panic!("the map still changes after 400 rounds");
}

/// Guards against pairs in one availability zone, a map that never settles, and the loss of a host that moves shards
/// of which it was neither owner nor backup.
#[test]
fn pairs_span_zones_and_only_shards_of_a_lost_host_move() {
    let all: Vec<usize> = (0..8).collect();
    let map = settle(ShardMap::first(host(0), WallMs(WALL)), &all, &[]);
    let zone_of = |instance: &Instance| instance.host[1..].parse::<usize>().unwrap() % 3;
    for view in &map.shards {
        let backup = view.backup.as_ref().unwrap();
        assert_ne!(zone_of(&view.owner), zone_of(backup));
        assert!(view.backup_complete);
    }
    let remaining: Vec<usize> = (0..7).collect();
    let after = settle(map.clone(), &remaining, &[7]);
    let lost = host(7).instance;
    assert!(after.shards.iter().all(|view| !view.has(&lost)));
    let moved = (0..SHARDS)
        .filter(|shard| !map.shards[*shard].has(&lost))
        .filter(|shard| !map.shards[*shard].same_pair(&after.shards[*shard]))
        .count();
    println!(
        "{moved} of {SHARDS} shards moved of which the lost host was neither owner nor backup"
    );
    assert_eq!(moved, 0);
    let text = serde_json::to_vec(&after).unwrap();
    assert!(text.len() < 64 * 1024, "{} bytes", text.len());
    assert_eq!(serde_json::from_slice::<ShardMap>(&text).unwrap(), after);
}

//! The lease task publishes the grant in its handle, and the single holder check detects a shared fencing number.

use std::time::{Duration, Instant};

use lw_base::{Invariant, MonoMs, violation_count};
use lw_lease::{LeaseClient, LeaseHandle, LeaseTimes, SingleHolderCheck, run_lease};
use lw_stand::FakeKv;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 7;

/// Guards against a handle that returns a grant after the lease was released, or never returns one.
#[tokio::test]
async fn handle_follows_the_lease_client() {
    println!("seed {SEED}");
    let kv = FakeKv::default();
    let handle = LeaseHandle::default();
    let start = Instant::now();
    let now = move || MonoMs(start.elapsed().as_millis() as u64);
    let lease_task = tokio::spawn(run_lease(
        LeaseClient::new("s", "h-1", LeaseTimes::default()),
        kv.kv(),
        handle.clone(),
        now,
        |wait_ms| tokio::time::sleep(Duration::from_millis(wait_ms)),
        ChaCha8Rng::seed_from_u64(SEED),
    ));
    assert_eq!(handle.current_grant(now()), None);
    handle.set_wanted(true);
    let acquired = async {
        while handle.current_grant(now()).is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let limit = Duration::from_secs(20);
    tokio::time::timeout(limit, acquired)
        .await
        .expect("acquired");
    handle.set_wanted(false);
    assert_eq!(handle.current_grant(now()), None);
    lease_task.abort();
}

/// Guards against a check that misses two holders under one fencing number, accepts a lower fencing number, or reports
/// repeated actions of one holder.
#[test]
fn check_detects_two_holders_under_one_fencing_number() {
    let mut check = SingleHolderCheck::default();
    assert!(check.record_action("s", 4, "a"));
    assert!(check.record_action("s", 4, "a"));
    assert!(check.record_action("s", 5, "b"));
    assert!(!check.record_action("s", 4, "a"));
    assert_eq!(violation_count(Invariant::OneHolder), 0);
    assert!(check.record_action("s", 5, "a"));
    assert_eq!(violation_count(Invariant::OneHolder), 1);
}

//! A lease under process pauses, lost replies, service outages and contention.

mod harness;

use std::sync::atomic::Ordering;

use harness::Harness;
use lw_base::{Invariant, MonoMs, violation_count};
use lw_stand::LinkState;
use rand::Rng;

const SEED: u64 = 7;

/// Guards against two holders at the start, and a contender that never takes over after a graceful release.
#[tokio::test]
async fn graceful_release_hands_the_lease_over() {
    let mut harness = Harness::new(2, SEED);
    harness.run(20_000, &[0, 1]).await;
    let (first, epoch) = harness.current_holder();
    let now = harness.now();
    harness.contenders[first].client.set_wanted(now, false);
    assert_eq!(harness.acting(), []);
    harness.run(1_000, &[0, 1]).await;
    let (second, next_epoch) = harness.current_holder();
    assert_ne!(first, second);
    assert!(next_epoch > epoch);
    assert!(harness.contenders[first].client.is_idle());
}

/// Guards against a holder that still acts after a pause that outlasted its lease, twice in a row.
#[tokio::test]
async fn paused_holder_does_not_act_after_expiry() {
    let mut harness = Harness::new(2, SEED);
    harness.run(5_000, &[0, 1]).await;
    for _ in 0..2 {
        let (paused, old_epoch) = harness.current_holder();
        let other = 1 - paused;
        harness.run(15_000, &[other]).await;
        let (new_holder, new_epoch) = harness.current_holder();
        assert_eq!(new_holder, other);
        assert!(new_epoch > old_epoch);
        let may_act = harness.contenders[paused].client.may_act(harness.now());
        assert_eq!(may_act, None);
        harness.run(5_000, &[0, 1]).await;
        assert_eq!(harness.current_holder(), (other, new_epoch));
    }
}

/// Guards against a holder that releases the lease, or acquires it twice, because replies were lost.
#[tokio::test]
async fn lost_replies_do_not_change_the_epoch() {
    // The first three writes open the lease and write the claim and epoch keys; the fourth is a renewal.
    for lost_write in 0..4 {
        for repeats in 1..=2 {
            let mut harness = Harness::new(1, SEED);
            while harness.fake_kv.traffic().writes < lost_write {
                if !harness.make_call(0).await {
                    harness.clock.fetch_add(100, Ordering::SeqCst);
                }
            }
            harness.fake_kv.drop_replies(repeats);
            harness.run(30_000, &[0]).await;
            let (_, epoch) = harness.current_holder();
            harness.run(60_000, &[0]).await;
            assert_eq!(
                harness.current_holder(),
                (0, epoch),
                "write {lost_write}, {repeats}"
            );
        }
    }
}

/// Guards against a holder that keeps acting in a long outage, and one that releases the lease in a short one.
#[tokio::test]
async fn only_a_long_outage_ends_the_authority() {
    let mut harness = Harness::new(2, SEED);
    harness.run(5_000, &[0, 1]).await;
    let before = harness.current_holder();
    harness.fake_kv.set_outage(true);
    harness.run(3_000, &[0, 1]).await;
    assert_eq!(harness.current_holder(), before);
    harness.fake_kv.set_outage(false);
    harness.run(3_000, &[0, 1]).await;
    assert_eq!(harness.current_holder(), before);
    harness.fake_kv.set_outage(true);
    harness.run(7_000, &[0, 1]).await;
    assert_eq!(harness.acting(), []);
    harness.run(60_000, &[0, 1]).await;
    harness.fake_kv.set_outage(false);
    harness.run(25_000, &[0, 1]).await;
    assert!(harness.current_holder().1 > before.1);
}

/// Guards against a holder that keeps renewing after the service lost its claim and another host acquired the lease.
#[tokio::test]
async fn lost_claim_ends_the_older_holder() {
    let mut harness = Harness::new(2, SEED);
    harness.run(5_000, &[0]).await;
    let (_, old_epoch) = harness.current_holder();
    // The last two key writes are those of the claim and the epoch.
    harness.fake_kv.revert_last_writes(2);
    harness.make_due_calls(1).await;
    let new_epoch = harness.contenders[1]
        .client
        .may_act(harness.now())
        .expect("claim");
    assert!(new_epoch > old_epoch);
    for _ in 0..40 {
        harness.clock.fetch_add(100, Ordering::SeqCst);
        harness.make_due_calls(0).await;
        harness.make_due_calls(1).await;
    }
    assert_eq!(harness.acting(), [(1, new_epoch)]);
}

/// Guards against a fencing number that decreases when an older lease is claimed after a newer one.
#[tokio::test]
async fn fencing_number_rises_when_leases_are_claimed_out_of_order() {
    let mut harness = Harness::new(2, SEED);
    let now = harness.now();
    // Contender 0 reads the claim key, opens its lease, and pauses before it writes the claim.
    assert!(harness.make_call(0).await);
    assert!(harness.make_call(0).await);
    harness.make_due_calls(1).await;
    let first = harness.current_holder();
    assert_eq!(first.0, 1);
    harness.contenders[1].client.set_wanted(now, false);
    harness.make_due_calls(1).await;
    harness.make_due_calls(0).await;
    assert_eq!(harness.current_holder().0, 0);
    assert!(harness.current_holder().1 > first.1);
}

/// Guards against a fencing number that targets refuse forever after the service lost its last writes.
#[tokio::test]
async fn new_fencing_number_exceeds_the_one_a_target_has_seen() {
    let mut harness = Harness::new(2, SEED);
    harness.run(5_000, &[0, 1]).await;
    let (first, epoch) = harness.current_holder();
    for one in &mut harness.contenders {
        one.client.require_epoch_above(MonoMs(6_000), epoch + 40);
    }
    assert_eq!(harness.acting(), []);
    harness.run(20_000, &[0, 1]).await;
    assert!(harness.current_holder().1 > epoch + 40);
    // The same bound again has no effect.
    let before = harness.current_holder();
    let now = harness.now();
    harness.contenders[first]
        .client
        .require_epoch_above(now, epoch + 40);
    harness.run(20_000, &[0, 1]).await;
    assert_eq!(harness.current_holder(), before);
}

/// Guards against a lease validity that is measured from the reply instead of the send, with pauses in two calls
/// in a row.
///
/// The second call may be the read of the epoch key that comes just before a successor writes it.
#[tokio::test]
async fn lease_validity_is_measured_from_the_send() {
    for calls_before in 0..12 {
        let pauses: [[(u64, &[usize]); 2]; 2] =
            [[(15_000, &[1]), (0, &[])], [(6_000, &[]), (5_000, &[1])]];
        for pauses in pauses {
            let mut harness = Harness::new(2, SEED);
            for _ in 0..calls_before {
                while !harness.make_call(0).await {
                    harness.clock.fetch_add(100, Ordering::SeqCst);
                }
            }
            for (pause_ms, running) in pauses {
                call_with_delayed_reply(&mut harness, pause_ms, running).await;
            }
            harness.run(30_000, &[0, 1]).await;
            assert_eq!(harness.acting().len(), 1, "after {calls_before} calls");
        }
    }
}

/// Makes the next call of contender 0 and delivers the reply after a pause.
async fn call_with_delayed_reply(harness: &mut Harness, pause_ms: u64, running: &[usize]) {
    let call = loop {
        let now = harness.now();
        match harness.contenders[0].client.tick(now) {
            Some(call) => break call,
            None => harness.clock.fetch_add(100, Ordering::SeqCst),
        };
    };
    let result = harness.contenders[0].kv.call(call).await;
    harness.run(pause_ms, running).await;
    let now = harness.now();
    let Harness {
        contenders, rng, ..
    } = harness;
    contenders[0].client.reply(now, rng, result);
    assert!(harness.acting().len() <= 1, "{:?}", harness.acting());
}

/// Guards against two hosts that may act at the same time under random pauses, link failures, outages and lost replies.
#[tokio::test]
async fn random_faults_never_give_two_holders() {
    for seed in 0..20 {
        let mut harness = Harness::new(3, seed);
        for _ in 0..60 {
            let running: Vec<usize> = (0..3).filter(|_| harness.rng.random_bool(0.7)).collect();
            for index in 0..3 {
                let state = match harness.rng.random_range(0..6) {
                    0 => LinkState::Down,
                    1 => LinkState::RepliesLost,
                    _ => LinkState::Up,
                };
                harness.contenders[index].link.set(state);
            }
            harness.fake_kv.drop_replies(harness.rng.random_range(0..3));
            let outage = harness.rng.random_bool(0.1);
            harness.fake_kv.set_outage(outage);
            let span_ms = harness.rng.random_range(0..12_000);
            harness.run(span_ms, &running).await;
        }
        for one in &harness.contenders {
            one.link.set(LinkState::Up);
        }
        harness.fake_kv.set_outage(false);
        harness.fake_kv.drop_replies(0);
        harness.run(30_000, &[0, 1, 2]).await;
        assert_eq!(harness.acting().len(), 1, "seed {seed}");
    }
    assert_eq!(violation_count(Invariant::OneHolder), 0);
}

/// Guards against a region whose hosts all write at once when the lease is free, and against a lease that stays free
/// because the preferred host is down.
#[tokio::test]
async fn contenders_spread_their_claims_of_a_free_lease() {
    const CONTENDERS: usize = 22;
    for preferred_is_running in [true, false] {
        let mut harness = Harness::new(CONTENDERS, SEED);
        for (index, contender) in harness.contenders.iter_mut().enumerate() {
            contender.client.set_preferred(index == 0);
        }
        let running: Vec<usize> = (usize::from(!preferred_is_running)..CONTENDERS).collect();
        harness.run(5_000, &running).await;
        let (holder, _) = harness.current_holder();
        assert_eq!(holder == 0, preferred_is_running);
        // The holder opens the lease, writes the claim and the epoch, and renews once; a second contender may open and
        // close a lease.
        let writes = harness.fake_kv.traffic().writes;
        assert!(writes <= 8, "{writes} writes");
    }
}

//! Failures of a lease: pauses, lost replies, outages and contenders.

mod bed;

use std::sync::atomic::Ordering;

use bed::Bed;
use lw_base::{Invariant, MonoMs, invariant_count};
use lw_stand::LinkState;
use rand::Rng;

const SEED: u64 = 7;

/// Guards against two holders at the start, and a loser that never takes over after a graceful end.
#[tokio::test]
async fn two_contenders_and_a_graceful_end() {
    let mut bed = Bed::new(2, SEED);
    bed.run(20_000, &[0, 1]).await;
    let (first, epoch) = bed.holder();
    let now = bed.now();
    bed.contenders[first].holder.set_wanted(now, false);
    assert_eq!(bed.acting(), []);
    bed.run(1_000, &[0, 1]).await;
    let (second, next) = bed.holder();
    assert_ne!(first, second);
    assert!(next > epoch);
    assert!(bed.contenders[first].holder.is_idle());
}

/// Guards against a holder that wakes from a pause and still believes that it holds the lease; twice.
#[tokio::test]
async fn a_pause_past_the_lease() {
    let mut bed = Bed::new(2, SEED);
    bed.run(5_000, &[0, 1]).await;
    for _ in 0..2 {
        let (paused, old) = bed.holder();
        let other = 1 - paused;
        bed.run(15_000, &[other]).await;
        let (new_holder, new) = bed.holder();
        assert_eq!(new_holder, other);
        assert!(new > old);
        let may_act = bed.contenders[paused].holder.may_act(bed.now());
        assert_eq!(may_act, None);
        bed.run(5_000, &[0, 1]).await;
        assert_eq!(bed.holder(), (other, new));
    }
}

/// Guards against a holder that steps down, or holds twice, because replies were lost.
#[tokio::test]
async fn lost_replies() {
    // The first writes are open, claim and record; the fourth is a renewal.
    for lost_write in 0..4 {
        for repeats in 1..=2 {
            let mut bed = Bed::new(1, SEED);
            while bed.stand.traffic().writes < lost_write {
                if !bed.one_call(0).await {
                    bed.clock.fetch_add(100, Ordering::SeqCst);
                }
            }
            bed.stand.drop_replies(repeats);
            bed.run(30_000, &[0]).await;
            let (_, epoch) = bed.holder();
            bed.run(60_000, &[0]).await;
            assert_eq!(bed.holder(), (0, epoch), "write {lost_write}, {repeats}");
        }
    }
}

/// Guards against a holder that acts on after it lost contact, and one that gives up in a short outage.
#[tokio::test]
async fn outages() {
    let mut bed = Bed::new(2, SEED);
    bed.run(5_000, &[0, 1]).await;
    let before = bed.holder();
    bed.stand.set_outage(true);
    bed.run(3_000, &[0, 1]).await;
    assert_eq!(bed.holder(), before);
    bed.stand.set_outage(false);
    bed.run(3_000, &[0, 1]).await;
    assert_eq!(bed.holder(), before);
    bed.stand.set_outage(true);
    bed.run(7_000, &[0, 1]).await;
    assert_eq!(bed.acting(), []);
    bed.run(60_000, &[0, 1]).await;
    bed.stand.set_outage(false);
    bed.run(25_000, &[0, 1]).await;
    assert!(bed.holder().1 > before.1);
}

/// Guards against a holder that renews on although the service lost its claim and another host took over.
#[tokio::test]
async fn a_lost_claim_ends_the_older_holder() {
    let mut bed = Bed::new(2, SEED);
    bed.run(5_000, &[0]).await;
    let old = bed.holder();
    // Forgets the epoch and the claim, the last two writes of a key.
    bed.stand.forget_last_writes(2);
    bed.pump(1).await;
    let new = bed.contenders[1].holder.may_act(bed.now()).expect("claim");
    assert!(new > old.1);
    for _ in 0..40 {
        bed.clock.fetch_add(100, Ordering::SeqCst);
        bed.pump(0).await;
        bed.pump(1).await;
    }
    assert_eq!(bed.acting(), [(1, new)]);
}

/// Guards against fencing numbers that fall when an older lease is claimed after a newer one.
#[tokio::test]
async fn leases_claimed_out_of_order() {
    let mut bed = Bed::new(2, SEED);
    let now = bed.now();
    // Contender 0 looks, opens its lease, and pauses before it claims.
    assert!(bed.one_call(0).await);
    assert!(bed.one_call(0).await);
    bed.pump(1).await;
    let first = bed.holder();
    assert_eq!(first.0, 1);
    bed.contenders[1].holder.set_wanted(now, false);
    bed.pump(1).await;
    bed.pump(0).await;
    assert_eq!(bed.holder().0, 0);
    assert!(bed.holder().1 > first.1);
}

/// Guards against a number that targets refuse for ever, after the service lost its last writes.
#[tokio::test]
async fn a_target_has_seen_a_higher_number() {
    let mut bed = Bed::new(2, SEED);
    bed.run(5_000, &[0, 1]).await;
    let (first, epoch) = bed.holder();
    for one in &mut bed.contenders {
        one.holder.require_epoch_above(MonoMs(6_000), epoch + 40);
    }
    assert_eq!(bed.acting(), []);
    bed.run(20_000, &[0, 1]).await;
    assert!(bed.holder().1 > epoch + 40);
    // The same again changes nothing.
    let before = bed.holder();
    let now = bed.now();
    bed.contenders[first]
        .holder
        .require_epoch_above(now, epoch + 40);
    bed.run(20_000, &[0, 1]).await;
    assert_eq!(bed.holder(), before);
}

/// Guards against a validity that counts from the reply and not from the send, for pauses in two calls in a row.
///
/// The second call may be the check for a successor, made just before there is one.
#[tokio::test]
async fn pauses_during_calls() {
    for calls_before in 0..12 {
        let pauses: [[(u64, &[usize]); 2]; 2] =
            [[(15_000, &[1]), (0, &[])], [(6_000, &[]), (5_000, &[1])]];
        for pauses in pauses {
            let mut bed = Bed::new(2, SEED);
            for _ in 0..calls_before {
                while !bed.one_call(0).await {
                    bed.clock.fetch_add(100, Ordering::SeqCst);
                }
            }
            for (pause_ms, awake) in pauses {
                paused_call(&mut bed, pause_ms, awake).await;
            }
            bed.run(30_000, &[0, 1]).await;
            assert_eq!(bed.acting().len(), 1, "after {calls_before} calls");
        }
    }
}

/// Makes the next call of contender 0, which gets the reply after a pause.
async fn paused_call(bed: &mut Bed, pause_ms: u64, awake: &[usize]) {
    let call = loop {
        let now = bed.now();
        match bed.contenders[0].holder.tick(now) {
            Some(call) => break call,
            None => bed.clock.fetch_add(100, Ordering::SeqCst),
        };
    };
    let result = bed.contenders[0].kv.call(call).await;
    bed.run(pause_ms, awake).await;
    let now = bed.now();
    let Bed {
        contenders, rng, ..
    } = bed;
    contenders[0].holder.reply(now, rng, result);
    assert!(bed.acting().len() <= 1, "{:?}", bed.acting());
}

/// Guards against any mix of pauses, cuts, outages and lost replies in which two hosts may act.
#[tokio::test]
async fn random_faults_never_give_two_holders() {
    for seed in 0..20 {
        let mut bed = Bed::new(3, seed);
        for _ in 0..60 {
            let awake: Vec<usize> = (0..3).filter(|_| bed.rng.random_bool(0.7)).collect();
            for index in 0..3 {
                let state = match bed.rng.random_range(0..6) {
                    0 => LinkState::Down,
                    1 => LinkState::RepliesLost,
                    _ => LinkState::Up,
                };
                bed.contenders[index].link.set(state);
            }
            bed.stand.drop_replies(bed.rng.random_range(0..3));
            let outage = bed.rng.random_bool(0.1);
            bed.stand.set_outage(outage);
            let span_ms = bed.rng.random_range(0..12_000);
            bed.run(span_ms, &awake).await;
        }
        for one in &bed.contenders {
            one.link.set(LinkState::Up);
        }
        bed.stand.set_outage(false);
        bed.stand.drop_replies(0);
        bed.run(30_000, &[0, 1, 2]).await;
        assert_eq!(bed.acting().len(), 1, "seed {seed}");
    }
    assert_eq!(invariant_count(Invariant::OneHolder), 0);
}

/// Guards against a region whose hosts all write at once when the lease is free, and against one that leaves the lease
/// free because its first host is away.
#[tokio::test]
async fn contenders_of_a_free_lease_take_turns() {
    const CONTENDERS: usize = 22;
    for first_is_awake in [true, false] {
        let mut bed = Bed::new(CONTENDERS, SEED);
        for (index, contender) in bed.contenders.iter_mut().enumerate() {
            contender.holder.set_preferred(index == 0);
        }
        let awake: Vec<usize> = (usize::from(!first_is_awake)..CONTENDERS).collect();
        bed.run(5_000, &awake).await;
        let (holder, _) = bed.holder();
        assert_eq!(holder == 0, first_is_awake);
        // One holder opens, claims and records, and renews once; a second contender may open and close a lease.
        let writes = bed.stand.traffic().writes;
        assert!(writes <= 8, "{writes} writes");
    }
}

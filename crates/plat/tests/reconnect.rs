//! Reconnect delays are spread and bounded.

use lw_plat::ReconnectBackoff;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 11;

/// Guards against reconnects that happen all at once or wait longer than 10 s.
#[test]
fn delays_spread_over_the_whole_range() {
    println!("seed {SEED}");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut backoff = ReconnectBackoff::default();
    let delays: Vec<u64> = (0..1_000)
        .map(|_| backoff.next_delay_ms(&mut rng))
        .collect();
    assert!(delays.iter().all(|delay_ms| *delay_ms <= 10_000));
    let at_max_bound = &delays[10..];
    for tenth in 0..10u64 {
        let range = tenth * 1_000..(tenth + 1) * 1_000;
        let hits = at_max_bound
            .iter()
            .filter(|delay| range.contains(delay))
            .count();
        assert!((50..=150).contains(&hits), "{range:?} has {hits}");
    }
}

/// Guards against long delays that remain after the service has recovered.
#[test]
fn a_success_resets_the_delay() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut backoff = ReconnectBackoff::default();
    for _ in 0..20 {
        backoff.next_delay_ms(&mut rng);
    }
    assert_eq!(backoff.failures(), 20);
    backoff.reset();
    assert!(backoff.next_delay_ms(&mut rng) <= 200);
}

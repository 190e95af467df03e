//! The reconnect schedule is spread and bounded.

use lw_plat::ReconnectBackoff;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 11;

/// Guards against reconnects that pile up at one moment or wait longer than 10 s.
#[test]
fn delays_fill_the_whole_range() {
    println!("seed {SEED}");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut reconnect = ReconnectBackoff::default();
    let delays: Vec<u64> = (0..1_000)
        .map(|_| reconnect.next_delay_ms(&mut rng))
        .collect();
    assert!(delays.iter().all(|delay_ms| *delay_ms <= 10_000));
    let late = &delays[10..];
    for tenth in 0..10u64 {
        let range = tenth * 1_000..(tenth + 1) * 1_000;
        let hits = late.iter().filter(|delay| range.contains(delay)).count();
        assert!((50..=150).contains(&hits), "{range:?} has {hits}");
    }
}

/// Guards against a schedule that stays slow after the service came back.
#[test]
fn a_success_starts_over() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut reconnect = ReconnectBackoff::default();
    for _ in 0..20 {
        reconnect.next_delay_ms(&mut rng);
    }
    assert_eq!(reconnect.failures(), 20);
    reconnect.reset();
    assert!(reconnect.next_delay_ms(&mut rng) <= 200);
}

//! Fair shares of a full service between its routes.

use lw_admit::RouteShares;
use lw_base::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const START: MonoMs = MonoMs(100_000);

struct ShareCase {
    /// The requests of each route in ten seconds, and how many of them were answered.
    routes: &'static [(u64, u64)],
    within_share: &'static [bool],
}

// Guards against a rarely used route that is refused like the busy ones, and against a busy one that is preferred.
#[test_case(&ShareCase { routes: &[(1_000, 400), (1_000, 400), (10, 4)], within_share: &[false, false, true] }; "two busy routes and one rarely used")]
#[test_case(&ShareCase { routes: &[(1_000, 1_000), (10, 10)], within_share: &[true, true] }; "a service with room for all")]
#[test_case(&ShareCase { routes: &[(500, 200), (500, 200)], within_share: &[false, false] }; "equal routes")]
#[test_case(&ShareCase { routes: &[(1_000, 100), (200, 20), (30, 3)], within_share: &[false, false, true] }; "routes of three sizes")]
fn routes_below_an_equal_share_are_within_it(case: &ShareCase) {
    let mut shares = RouteShares::default();
    for at in 0..10_000 {
        let now = START.plus_ms(at);
        for (route, (asked, served)) in case.routes.iter().enumerate() {
            let is_due = |count: u64| (at * count) % 10_000 < count;
            if is_due(*asked) {
                shares.record_asked(now, route as u64);
            }
            if is_due(*served) {
                shares.record_served(now, route as u64);
            }
        }
    }
    let now = START.plus_ms(10_000);
    let within: Vec<bool> = (0..case.routes.len())
        .map(|route| shares.is_within_share(now, route as u64))
        .collect();
    assert_eq!(within, case.within_share);
}

/// Guards against a preference that lasts after a route has become busy, and against routes that are never forgotten.
#[test]
fn shares_follow_the_rates() {
    let mut shares = RouteShares::default();
    let mut now = START;
    for _ in 0..200 {
        now = now.plus_ms(10);
        shares.record_asked(now, 1);
        if now.0.is_multiple_of(40) {
            shares.record_served(now, 1);
        }
    }
    assert!(shares.is_within_share(now, 2), "a new route");
    for _ in 0..2_000 {
        now = now.plus_ms(5);
        shares.record_asked(now, 1);
        shares.record_asked(now, 2);
        if now.0.is_multiple_of(40) {
            shares.record_served(now, 1);
        }
    }
    assert!(
        !shares.is_within_share(now, 2),
        "a route that has become busy"
    );
}

/// What callers got in [`play`].
#[derive(Debug, Default)]
struct Outcome {
    rare_asked: u32,
    rare_served: u32,
    busy_served: u32,
}

/// Plays 30 s of two targets with six slots of 65 ms each, in front of which two routes ask 300 times a second each and
/// eight routes once a second. A queue of 12 requests is open to all routes, and 6 further places only to routes within
/// their share, if `has_shares`.
fn play(seed: u64, has_shares: bool) -> Outcome {
    const SLOTS: usize = 12;
    const WORK_MS: u64 = 65;
    const QUEUE: usize = 24;
    const RESERVE: usize = 12;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut shares = RouteShares::default();
    let mut outcome = Outcome::default();
    let mut queue: Vec<u64> = Vec::new();
    let mut running: Vec<(MonoMs, u64)> = Vec::new();
    for at in 0..30_000 {
        let now = START.plus_ms(at);
        let is_done = |(until, _): &(MonoMs, u64)| *until <= now;
        for (_, route) in running.extract_if(.., |entry| is_done(entry)) {
            shares.record_served(now, route);
            match route {
                0 | 1 => outcome.busy_served += 1,
                _ => outcome.rare_served += 1,
            }
        }
        for route in 0..10 {
            let per_s = if route < 2 { 300.0 } else { 1.0 };
            if !rng.random_bool(per_s / 1_000.0) {
                continue;
            }
            outcome.rare_asked += u32::from(route >= 2);
            shares.record_asked(now, route);
            let is_preferred = has_shares && shares.is_within_share(now, route);
            let places = QUEUE + if is_preferred { RESERVE } else { 0 };
            if queue.len() < places {
                queue.push(route);
            }
        }
        while running.len() < SLOTS && !queue.is_empty() {
            running.push((now.plus_ms(WORK_MS), queue.remove(0)));
        }
    }
    outcome
}

/// Guards against rarely used routes whose callers are refused while busy routes fill the service.
#[test]
fn callers_of_rarely_used_routes_are_served_by_a_full_service() {
    for seed in 0..10 {
        let without = play(seed, false);
        let with = play(seed, true);
        assert!(
            without.rare_served * 2 < without.rare_asked,
            "without shares most are refused: {without:?}"
        );
        assert!(
            with.rare_served * 10 >= with.rare_asked * 9,
            "with shares nearly all are served: {with:?}"
        );
        let total = |outcome: &Outcome| outcome.rare_served + outcome.busy_served;
        assert!(
            total(&with) * 100 >= total(&without) * 99,
            "as many requests are served: {with:?} {without:?}"
        );
    }
}

//! How much of its part of a limit a host lends to others.

use lw_admit::{LimitDemand, lending_per_s};
use test_case::test_case;

const LIMIT_PER_S: f64 = 8.0;

/// What a host asks, and its part, both in requests per second.
type Demand = (f64, f64);

struct Case {
    own: Demand,
    others: &'static [Demand],
    lent_per_s: &'static [f64],
}

fn demand((asked_per_s, part_per_s): Demand) -> LimitDemand {
    LimitDemand {
        asked_per_s,
        part_per_s,
    }
}

// Guards against parts that lie idle, and against a host that lends what its own callers need.
#[test_case(&Case { own: (0.0, 2.0), others: &[(0.0, 2.0), (0.0, 2.0)], lent_per_s: &[0.0, 0.0] }; "nobody asks")]
#[test_case(&Case { own: (0.0, 2.0), others: &[(40.0, 2.0), (0.0, 2.0), (0.0, 2.0)], lent_per_s: &[2.0, 0.0, 0.0] }; "one host asks for everything")]
#[test_case(&Case { own: (40.0, 2.0), others: &[(0.0, 2.0), (0.0, 2.0), (0.0, 2.0)], lent_per_s: &[0.0, 0.0, 0.0] }; "this host asks for everything")]
#[test_case(&Case { own: (10.0, 2.0), others: &[(10.0, 2.0), (10.0, 2.0), (10.0, 2.0)], lent_per_s: &[0.0, 0.0, 0.0] }; "all ask alike")]
#[test_case(&Case { own: (10.0, 2.0), others: &[(30.0, 2.0), (0.0, 2.0), (0.0, 2.0)], lent_per_s: &[0.0, 0.0, 0.0] }; "this host gets its share")]
#[test_case(&Case { own: (5.0, 2.0), others: &[(75.0, 2.0), (0.0, 2.0), (0.0, 2.0)], lent_per_s: &[1.5, 0.0, 0.0] }; "this host keeps its share")]
#[test_case(&Case { own: (0.0, 4.0), others: &[(20.0, 0.0), (20.0, 4.0)], lent_per_s: &[4.0, 0.0] }; "a host without a part")]
#[test_case(&Case { own: (0.0, 4.0), others: &[(20.0, 0.0), (60.0, 0.0), (0.0, 4.0)], lent_per_s: &[1.0, 3.0, 0.0] }; "in proportion to what hosts ask")]
#[test_case(&Case { own: (0.0, 4.0), others: &[(1.0, 0.0), (0.0, 4.0)], lent_per_s: &[0.75, 0.0] }; "no more than is needed")]
fn holders_lend_what_they_do_not_need(case: &Case) {
    let others: Vec<LimitDemand> = case.others.iter().copied().map(demand).collect();
    let lent = lending_per_s(LIMIT_PER_S, demand(case.own), &others);
    assert_eq!(lent.len(), case.lent_per_s.len());
    for (lent, expected) in lent.iter().zip(case.lent_per_s) {
        assert!(
            (lent - expected).abs() < 1e-9,
            "{lent}, {expected} expected"
        );
    }
}

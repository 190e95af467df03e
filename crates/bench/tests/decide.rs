//! Checks the cost of a routing decision by counts, which do not depend on the machine.

use lw_bench::measure_decision_cost;

/// Guards against a full scan or an allocation per decision, with up to 2,500 targets and 38,000 customers.
#[test]
fn decisions_consider_at_most_four_targets_and_do_not_allocate() {
    let rows = measure_decision_cost(2_000);
    assert_eq!(rows.len(), 4);
    for row in rows {
        assert!(row.considered <= 4, "{row:?}");
        assert!(row.allocations < 0.01, "{row:?}");
    }
}

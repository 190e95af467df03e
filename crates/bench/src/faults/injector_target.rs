//! Faults of targets: slow responses, refusals, broken or mislabelled responses.

use std::time::Duration;

use crate::faults::schedule::{Fault, PlannedFault};
use crate::faults::targets::Stand;
use crate::faults::test_cluster::TestCluster;

const SLOW_MS: u64 = 1_500;
const SLOW_FACTOR: f64 = 8.0;
/// Number of requests that a target fault affects.
const FAILURES: u32 = 4;
const TOKENS_BEFORE_CUT: usize = 7;

/// Makes a target fail its next requests, or slows it down for the duration of the fault.
pub(crate) async fn inject_target_fault(cluster: &TestCluster, planned: PlannedFault) -> String {
    let target = &cluster.targets.all[planned.random_index % cluster.targets.all.len()];
    match (&target.stand, planned.fault) {
        (Stand::Plain(stand), Fault::TargetRefuses) => stand.refuse(FAILURES),
        (Stand::Plain(stand), Fault::TargetBreaks) => stand.break_after_run(FAILURES),
        (Stand::Plain(stand), Fault::TargetMislabels) => stand.answer_with_wrong_attempt(FAILURES),
        (Stand::Engine(stand), Fault::TargetRefuses) => stand.refuse(FAILURES),
        (Stand::Engine(stand), Fault::TargetBreaks) => {
            stand.break_after_tokens(TOKENS_BEFORE_CUT, FAILURES);
        }
        (Stand::Engine(stand), Fault::TargetMislabels) => stand.answer_with_wrong_attempt(FAILURES),
        (Stand::Plain(stand), _) => stand.set_delay_ms(SLOW_MS),
        (Stand::Engine(stand), _) => stand.slow_down(SLOW_FACTOR),
    }
    if planned.fault == Fault::TargetSlow {
        tokio::time::sleep(Duration::from_millis(planned.duration_ms)).await;
        match &target.stand {
            Stand::Plain(stand) => stand.set_delay_ms(0),
            Stand::Engine(stand) => stand.slow_down(1.0),
        }
    }
    target.name.clone()
}

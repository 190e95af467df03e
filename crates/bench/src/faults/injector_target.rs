//! Faults of targets: slow responses, refusals, aborted connections, and responses with the id of another attempt.

use std::time::Duration;

use crate::faults::schedule::{Fault, PlannedFault};
use crate::faults::targets::TargetFake;
use crate::faults::test_cluster::TestCluster;

const SLOW_MS: u64 = 1_500;
const SLOW_FACTOR: f64 = 8.0;
/// Number of requests that a target fault affects.
const FAILURES: u32 = 4;
const TOKENS_BEFORE_ABORT: usize = 7;

/// Makes a target fail its next requests, or slows it down for the duration of the fault.
pub(crate) async fn inject_target_fault(cluster: &TestCluster, planned: PlannedFault) -> String {
    let target = &cluster.targets.all[planned.random_index % cluster.targets.all.len()];
    match (&target.fake, planned.fault) {
        (TargetFake::Plain(service), Fault::TargetRefuses) => service.refuse(FAILURES),
        (TargetFake::Plain(service), Fault::TargetBreaks) => {
            service.abort_after_execution(FAILURES);
        }
        (TargetFake::Plain(service), Fault::TargetMislabels) => {
            service.answer_with_wrong_attempt(FAILURES);
        }
        (TargetFake::Engine(engine), Fault::TargetRefuses) => engine.refuse(FAILURES),
        (TargetFake::Engine(engine), Fault::TargetBreaks) => {
            engine.abort_completions_after_tokens(TOKENS_BEFORE_ABORT, FAILURES);
        }
        (TargetFake::Engine(engine), Fault::TargetMislabels) => {
            engine.answer_with_wrong_attempt(FAILURES);
        }
        (TargetFake::Plain(service), _) => service.set_delay_ms(SLOW_MS),
        (TargetFake::Engine(engine), _) => engine.slow_down(SLOW_FACTOR),
    }
    if planned.fault == Fault::TargetSlow {
        tokio::time::sleep(Duration::from_millis(planned.duration_ms)).await;
        match &target.fake {
            TargetFake::Plain(service) => service.set_delay_ms(0),
            TargetFake::Engine(engine) => engine.slow_down(1.0),
        }
    }
    target.name.clone()
}

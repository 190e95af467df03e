//! Targets that are slow or give wrong answers.

use std::time::Duration;

use crate::faults::schedule::{Fault, Planned};
use crate::faults::targets::Stand;
use crate::faults::world::World;

const SLOW_MS: u64 = 1_500;
const SLOW_FACTOR: f64 = 8.0;
/// Requests that a fault of a target spoils.
const COUNT: u32 = 4;
const TOKENS_BEFORE_BREAK: usize = 7;

/// Spoils answers of a target, or slows it down for the time of the fault.
pub(crate) async fn spoil_target(world: &World, planned: Planned) -> String {
    let target = &world.targets.all[planned.pick % world.targets.all.len()];
    match (&target.stand, planned.fault) {
        (Stand::Plain(stand), Fault::TargetRefuses) => stand.refuse(COUNT),
        (Stand::Plain(stand), Fault::TargetBreaks) => stand.break_after_run(COUNT),
        (Stand::Plain(stand), Fault::TargetMislabels) => stand.answer_with_wrong_attempt(COUNT),
        (Stand::Engine(stand), Fault::TargetRefuses) => stand.refuse(COUNT),
        (Stand::Engine(stand), Fault::TargetBreaks) => {
            stand.break_after_tokens(TOKENS_BEFORE_BREAK, COUNT);
        }
        (Stand::Engine(stand), Fault::TargetMislabels) => stand.answer_with_wrong_attempt(COUNT),
        (Stand::Plain(stand), _) => stand.set_delay_ms(SLOW_MS),
        (Stand::Engine(stand), _) => stand.slow_down(SLOW_FACTOR),
    }
    if planned.fault == Fault::TargetSlow {
        tokio::time::sleep(Duration::from_millis(planned.lasts_ms)).await;
        match &target.stand {
            Stand::Plain(stand) => stand.set_delay_ms(0),
            Stand::Engine(stand) => stand.slow_down(1.0),
        }
    }
    target.name.clone()
}

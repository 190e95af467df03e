//! Polls which engines serve their model, for the routers of the region.

use std::sync::Arc;

use futures_util::{StreamExt, stream};
use lw_base::prelude::*;
use lw_place::EngineRole;
use lw_plat::{EngineControl, EngineState};

use crate::core::Core;
use crate::load_task::{CALL_TIMEOUT_MS, CONCURRENT_POLLS};

const READ_PERIOD_MS: u64 = 5_000;

/// Polls the states of the engines that are assigned to this host until the node ends.
///
/// Load boards pass the result to the other hosts.
pub(crate) async fn poll_engine_states(core: Arc<Core>, engines: EngineControl) {
    loop {
        let assigned = core.targets_to_poll();
        let names: FastSet<Arc<str>> = assigned.iter().map(|(name, _)| name.clone()).collect();
        let reads = assigned.into_iter().map(|(name, address)| {
            let (core, engines) = (core.clone(), engines.clone());
            async move {
                let state = core
                    .clock
                    .timeout(CALL_TIMEOUT_MS, engines.state(&address))
                    .await;
                Some((name, state?.ok()?))
            }
        });
        let states: Vec<(Arc<str>, EngineState)> = stream::iter(reads)
            .buffer_unordered(CONCURRENT_POLLS)
            .filter_map(std::future::ready)
            .collect()
            .await;
        core.apply_engine_states(&names, &states);
        core.clock.sleep(core.jittered(READ_PERIOD_MS)).await;
    }
}

impl Core {
    fn apply_engine_states(&self, polled: &FastSet<Arc<str>>, states: &[(Arc<str>, EngineState)]) {
        let (now, view) = (self.clock.mono(), self.router.view());
        let mut not_serving = self.not_serving.lock();
        // A failed read leaves the last known state of the engine unchanged.
        not_serving.retain(|name| polled.contains(name));
        for (name, state) in states {
            let Some(target) = view.fleet().targets.key(name) else {
                continue;
            };
            let service = view.fleet().targets[target].service;
            let placed = view.fleet().model_versions.contains_key(&service);
            let serving = !placed || serves_model(state, view.fleet().services.name(service));
            view.set_serving(now, target, serving);
            match serving {
                true => not_serving.remove(name),
                false => not_serving.insert(name.clone()),
            };
        }
    }
}

/// Returns true for an engine that has loaded any version of the model and is neither draining nor on standby.
fn serves_model(state: &EngineState, model: &str) -> bool {
    let out_of_service = matches!(
        EngineRole::from_name(&state.role),
        Some(EngineRole::Drain | EngineRole::Standby)
    );
    state.model == model && !out_of_service
}

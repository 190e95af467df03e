//! Reading which engines serve their model, for the routers of the region.

use std::sync::Arc;

use futures_util::{StreamExt, stream};
use lw_base::prelude::*;
use lw_place::EngineRole;
use lw_plat::{EngineControl, EngineState};

use crate::core::Core;
use crate::load_task::{CALL_MS, CONCURRENT_POLLS};

const READ_MS: u64 = 5_000;

/// Reads the states of the engines that fall to this host until the node ends. Load boards tell the other hosts.
pub(crate) async fn read_roles(core: Arc<Core>, engines: EngineControl) {
    loop {
        let due = core.targets_to_poll();
        let names: FastSet<Arc<str>> = due.iter().map(|(name, _)| name.clone()).collect();
        let reads = due.into_iter().map(|(name, address)| {
            let (core, engines) = (core.clone(), engines.clone());
            async move {
                let state = core.clock.limit(CALL_MS, engines.state(&address)).await;
                Some((name, state?.ok()?))
            }
        });
        let states: Vec<(Arc<str>, EngineState)> = stream::iter(reads)
            .buffer_unordered(CONCURRENT_POLLS)
            .filter_map(std::future::ready)
            .collect()
            .await;
        core.take_states(&names, &states);
        core.clock.sleep(core.jittered(READ_MS)).await;
    }
}

impl Core {
    fn take_states(&self, polled: &FastSet<Arc<str>>, states: &[(Arc<str>, EngineState)]) {
        let (now, view) = (self.clock.mono(), self.router.view());
        let mut idle = self.not_serving.lock();
        // A reading that failed changes nothing.
        idle.retain(|name| polled.contains(name));
        for (name, state) in states {
            let Some(target) = view.fleet().targets.key(name) else {
                continue;
            };
            let service = view.fleet().targets[target].service;
            let placed = view.fleet().model_versions.contains_key(&service);
            let serving = !placed || serves(state, view.fleet().services.name(service));
            view.set_serving(now, target, serving);
            match serving {
                true => idle.remove(name),
                false => idle.insert(name.clone()),
            };
        }
    }
}

/// Returns true for an engine with the model, of any version, that no decider took out of service.
fn serves(state: &EngineState, model: &str) -> bool {
    let taken_out = matches!(
        EngineRole::from_name(&state.role),
        Some(EngineRole::Drain | EngineRole::Standby)
    );
    state.model == model && !taken_out
}

//! Readings of what engines hold.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures_util::{StreamExt, stream};
use lw_base::prelude::*;
use lw_place::{EngineRole, ObservedState};
use lw_plat::{EngineControl, EngineState};
use parking_lot::Mutex;

use crate::clock::NodeClock;

/// How long a reading may take.
const CALL_MS: u64 = 1_000;

/// Readings at the same time: all engines of a large region fit into one period.
const CONCURRENT_READS: usize = 64;

/// Collects readings while commands are on their way.
#[derive(Debug, Default)]
pub(crate) struct EngineReader {
    state: Mutex<Readings>,
    pub(crate) failed: AtomicU64,
}

#[derive(Debug, Default)]
struct Readings {
    waiting: Vec<(Arc<str>, ObservedState)>,
    /// When the last command to an engine ended: a reading that began before it may show the state before.
    commanded: FastMap<Arc<str>, MonoMs>,
}

impl EngineReader {
    /// Reads the engines once.
    pub(crate) async fn read(
        &self,
        clock: &NodeClock,
        engines: &EngineControl,
        targets: Vec<(Arc<str>, String)>,
    ) {
        let reads = targets.into_iter().map(|(name, address)| async move {
            let began = clock.mono();
            match clock.limit(CALL_MS, read_one(engines, &address)).await {
                Some(Some(view)) => self.push(began, name, view),
                _ => drop(self.failed.fetch_add(1, Ordering::Relaxed)),
            }
        });
        let all = stream::iter(reads).buffer_unordered(CONCURRENT_READS);
        all.collect::<()>().await;
    }

    fn push(&self, began: MonoMs, name: Arc<str>, view: ObservedState) {
        let mut state = self.state.lock();
        let outdated = state.commanded.get(&name).is_some_and(|at| began <= *at);
        if !outdated {
            state.waiting.push((name, view));
        }
    }

    /// Notes the end of a command; earlier readings of the engine are dropped.
    pub(crate) fn command_ended(&self, now: MonoMs, name: &Arc<str>) {
        let mut state = self.state.lock();
        state.waiting.retain(|(waiting, _)| waiting != name);
        state.commanded.insert(name.clone(), now);
    }

    pub(crate) fn take(&self) -> Vec<(Arc<str>, ObservedState)> {
        std::mem::take(&mut self.state.lock().waiting)
    }
}

async fn read_one(engines: &EngineControl, address: &str) -> Option<ObservedState> {
    let state = engines.state(address).await.ok()?;
    let role = EngineRole::from_name(&state.role);
    // Only a draining engine is waited for, and load reports of the others would double the calls.
    let busy = match role {
        Some(EngineRole::Drain) => {
            let load = engines.load(address).await.ok()?;
            load.queued.saturating_add(load.running)
        }
        _ => 0,
    };
    Some(view_of(&state, role, busy))
}

fn view_of(state: &EngineState, role: Option<EngineRole>, busy: u32) -> ObservedState {
    ObservedState {
        model: state.model.as_str().into(),
        version: state.version.as_str().into(),
        role,
        fencing: state.fencing,
        busy,
    }
}

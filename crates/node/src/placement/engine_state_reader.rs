//! Reads the states of engines.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures_util::{StreamExt, stream};
use lw_base::prelude::*;
use lw_place::{EngineRole, ObservedState};
use lw_plat::{EngineControl, EngineState};
use parking_lot::Mutex;

use crate::clock::NodeClock;

/// The timeout of one read.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// The maximum number of concurrent reads, with which all engines of a large region fit into one period.
const CONCURRENT_READS: usize = 64;

/// Reads engine states, and discards those that may show an engine before its last command.
#[derive(Debug, Default)]
pub(crate) struct EngineStateReader {
    readings: Mutex<Readings>,
    pub(crate) failed_reads: AtomicU64,
}

#[derive(Debug, Default)]
struct Readings {
    pending: Vec<(Arc<str>, ObservedState)>,
    /// When the last command to an engine ended. A read that started earlier may show the state before the command.
    last_command_ended_at: FastMap<Arc<str>, MonoMs>,
}

impl EngineStateReader {
    /// Reads the engines once.
    pub(crate) async fn read(
        &self,
        clock: &NodeClock,
        engines: &EngineControl,
        targets: Vec<(Arc<str>, String)>,
    ) {
        let reads = targets.into_iter().map(|(name, address)| async move {
            let started_at = clock.mono();
            match clock
                .timeout(CALL_TIMEOUT_MS, read_engine(engines, &address))
                .await
            {
                Some(Some(observed)) => self.push(started_at, name, observed),
                _ => drop(self.failed_reads.fetch_add(1, Ordering::Relaxed)),
            }
        });
        let all = stream::iter(reads).buffer_unordered(CONCURRENT_READS);
        all.collect::<()>().await;
    }

    fn push(&self, started_at: MonoMs, name: Arc<str>, observed: ObservedState) {
        let mut readings = self.readings.lock();
        let outdated = readings
            .last_command_ended_at
            .get(&name)
            .is_some_and(|at| started_at <= *at);
        if !outdated {
            readings.pending.push((name, observed));
        }
    }

    /// Records the end of a command and drops earlier reads of the engine.
    pub(crate) fn command_ended(&self, now: MonoMs, name: &Arc<str>) {
        let mut readings = self.readings.lock();
        readings.pending.retain(|(pending, _)| pending != name);
        readings.last_command_ended_at.insert(name.clone(), now);
    }

    pub(crate) fn take_readings(&self) -> Vec<(Arc<str>, ObservedState)> {
        std::mem::take(&mut self.readings.lock().pending)
    }
}

async fn read_engine(engines: &EngineControl, address: &str) -> Option<ObservedState> {
    let state = engines.state(address).await.ok()?;
    let role = EngineRole::from_name(&state.role);
    // Placement waits only for draining engines; reading the load of the others too would double the calls.
    let busy = match role {
        Some(EngineRole::Drain) => {
            let load = engines.load(address).await.ok()?;
            load.queued.saturating_add(load.running)
        }
        _ => 0,
    };
    Some(to_observed_state(&state, role, busy))
}

fn to_observed_state(state: &EngineState, role: Option<EngineRole>, busy: u32) -> ObservedState {
    ObservedState {
        model: state.model.as_str().into(),
        version: state.version.as_str().into(),
        role,
        fencing: state.fencing,
        busy,
    }
}

//! Decisions of a host whose process or machine stood still.

use lw_base::prelude::*;
use lw_mesh::StateDoubt;

/// A process that did not run for this long, in milliseconds, was suspended or starved: three intervals of heartbeats.
const SUSPENSION_MS: u64 = 1_200;
/// How long requests wait for the state of a neighbour after the process has woken, in milliseconds: several round trips
/// within a region, and a small part of the usual latency goals.
const MAX_WAKE_WAIT_MS: u64 = 150;

/// Returns whether a task that last ran at `ran_at`, and runs every few hundred milliseconds, stood still until now.
#[must_use]
pub fn stood_still(now: MonoMs, ran_at: Option<MonoMs>) -> bool {
    ran_at.is_some_and(|at| now.since_ms(at) > SUSPENSION_MS)
}

/// Returns whether a request has to wait for the state of a neighbour before it is sent.
///
/// Load: requests that arrived while the host stood still. Targets may have begun to drain meanwhile, zones may have been
/// evacuated, and prompt parts may have entered the quarantine. A host that no neighbour answers goes on with its last
/// state.
#[must_use]
pub fn must_wait_for_state(
    now: MonoMs,
    request_started_at: MonoMs,
    ran_at: Option<MonoMs>,
    woke_at: MonoMs,
    doubt: Option<StateDoubt>,
) -> bool {
    if doubt != Some(StateDoubt::Isolated) || now.since_ms(request_started_at) >= MAX_WAKE_WAIT_MS {
        return false;
    }
    stood_still(now, ran_at) || now.since_ms(woke_at) < MAX_WAKE_WAIT_MS
}

//! Starts the tasks of placement.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};

use lw_lease::{LeaseClient, LeaseHandle, run_lease};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio_util::task::AbortOnDropHandle;

use crate::core::Core;
use crate::placement::context::PlacementContext;
use crate::placement::controller_task::{read_states, run_controller};
use crate::placement::engine_state_reader::EngineStateReader;
use crate::placement::handle::Placement;
use crate::placement::options::PlacementOptions;

/// Starts placement on a node; returns `None` without a control interface for engines.
pub(crate) fn start(core: &Arc<Core>, options: PlacementOptions) -> Option<Placement> {
    let identity = &core.identity;
    let context = Arc::new(PlacementContext {
        engines: core.engines.clone()?,
        scope: format!("place/{}", identity.region),
        holder: format!("{}-{}", identity.host, identity.incarnation),
        options,
        lease: LeaseHandle::default(),
        reader: EngineStateReader::default(),
        queued_commands: AtomicUsize::new(0),
        sent_commands: AtomicU64::new(0),
        core: core.clone(),
    });
    let lease_task = tokio::spawn(run_lease_client(context.clone()));
    Some(Placement {
        controller_task: AbortOnDropHandle::new(tokio::spawn(run_controller(context.clone()))),
        _read_task: AbortOnDropHandle::new(tokio::spawn(read_states(context.clone()))),
        _lease_task: AbortOnDropHandle::new(lease_task),
        context,
    })
}

async fn run_lease_client(context: Arc<PlacementContext>) {
    let client = LeaseClient::new(
        &context.scope,
        context.holder.clone(),
        context.options.lease_times,
    );
    let rng = ChaCha8Rng::from_rng(&mut *context.core.rng.lock());
    let clock = &context.core.clock;
    run_lease(
        client,
        context.core.kv.clone(),
        context.lease.clone(),
        || clock.mono(),
        |wait_ms| clock.sleep(wait_ms),
        rng,
    )
    .await;
}

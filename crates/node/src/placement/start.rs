//! Starts the tasks of placement.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};

use lw_lease::{LeaseClient, LeaseHandle, run_lease};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio_util::task::AbortOnDropHandle;

use crate::core::Core;
use crate::placement::context::PlacementContext;
use crate::placement::decide_task::{decide, read_states};
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
        queued: AtomicUsize::new(0),
        sent: AtomicU64::new(0),
        core: core.clone(),
    });
    let leasing = tokio::spawn(run_lease_client(context.clone()));
    Some(Placement {
        deciding: AbortOnDropHandle::new(tokio::spawn(decide(context.clone()))),
        _reading: AbortOnDropHandle::new(tokio::spawn(read_states(context.clone()))),
        _leasing: AbortOnDropHandle::new(leasing),
        context,
    })
}

async fn run_lease_client(context: Arc<PlacementContext>) {
    let holder = LeaseClient::new(
        &context.scope,
        context.holder.clone(),
        context.options.lease_times,
    );
    let rng = ChaCha8Rng::from_rng(&mut *context.core.rng.lock());
    let clock = &context.core.clock;
    run_lease(
        holder,
        context.core.kv.clone(),
        context.lease.clone(),
        || clock.mono(),
        |wait_ms| clock.sleep(wait_ms),
        rng,
    )
    .await;
}

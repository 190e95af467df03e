//! Starting placement.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};

use lw_lease::{LeaseClient, LeaseHandle, run_lease};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio_util::task::AbortOnDropHandle;

use crate::core::Core;
use crate::placement::decide_task::{decide, read_states};
use crate::placement::engine_reader::EngineReader;
use crate::placement::handle::Placement;
use crate::placement::options::PlacementOptions;
use crate::placement::shared::Shared;

/// Starts placement on a node; `None` without a control interface of engines.
pub(crate) fn start(core: &Arc<Core>, options: PlacementOptions) -> Option<Placement> {
    let identity = &core.identity;
    let shared = Arc::new(Shared {
        engines: core.engines.clone()?,
        scope: format!("place/{}", identity.region),
        holder: format!("{}-{}", identity.host, identity.incarnation),
        options,
        lease: LeaseHandle::default(),
        reader: EngineReader::default(),
        queued: AtomicUsize::new(0),
        sent: AtomicU64::new(0),
        core: core.clone(),
    });
    let leasing = tokio::spawn(hold_lease(shared.clone()));
    Some(Placement {
        deciding: AbortOnDropHandle::new(tokio::spawn(decide(shared.clone()))),
        _reading: AbortOnDropHandle::new(tokio::spawn(read_states(shared.clone()))),
        _leasing: AbortOnDropHandle::new(leasing),
        shared,
    })
}

async fn hold_lease(shared: Arc<Shared>) {
    let holder = LeaseClient::new(
        &shared.scope,
        shared.holder.clone(),
        shared.options.lease_times,
    );
    let rng = ChaCha8Rng::from_rng(&mut *shared.core.rng.lock());
    let clock = &shared.core.clock;
    run_lease(
        holder,
        shared.core.kv.clone(),
        shared.lease.clone(),
        || clock.mono(),
        |wait_ms| clock.sleep(wait_ms),
        rng,
    )
    .await;
}

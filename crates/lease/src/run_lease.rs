//! The shell that performs the calls of a holder.

use std::future::Future;

use lw_base::MonoMs;
use lw_plat::Kv;
use rand::Rng;

use crate::lease_client::LeaseClient;
use crate::lease_handle::LeaseHandle;

/// How soon a changed wish is noticed between two calls.
const POLL_MS: u64 = 100;

/// Drives `holder` until its future is dropped.
///
/// To leave gracefully, call [`LeaseHandle::set_wanted`] with false and go on driving for a second, so that the lease
/// is closed and not left to lapse.
pub async fn run_lease<S: Future<Output = ()>>(
    mut holder: LeaseClient,
    kv: Kv,
    handle: LeaseHandle,
    now: impl Fn() -> MonoMs,
    sleep_ms: impl Fn(u64) -> S,
    mut rng: impl Rng,
) {
    loop {
        holder.set_wanted(now(), handle.wanted());
        holder.require_epoch_above(now(), handle.floor());
        holder.set_preferred(handle.first());
        let call = holder.tick(now());
        publish(&holder, &handle);
        let Some(call) = call else {
            let wait_ms = holder.wake_at().since_ms(now());
            sleep_ms(wait_ms.clamp(1, POLL_MS)).await;
            continue;
        };
        let result = kv.call(call).await;
        holder.reply(now(), &mut rng, result);
        publish(&holder, &handle);
    }
}

fn publish(holder: &LeaseClient, handle: &LeaseHandle) {
    if !handle.publish(holder.authority()) {
        return;
    }
    match holder.authority() {
        Some(held) => log::info!("lease: {} holds epoch {}", holder.id(), held.epoch),
        None => log::info!("lease: {} holds nothing", holder.id()),
    }
}

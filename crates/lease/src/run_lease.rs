//! The loop that performs the calls of a lease client.

use std::future::Future;

use lw_base::MonoMs;
use lw_plat::Kv;
use rand::Rng;

use crate::lease_client::LeaseClient;
use crate::lease_handle::LeaseHandle;

/// The longest sleep between two reads of the settings in the [`LeaseHandle`].
const MAX_SLEEP_MS: u64 = 100;

/// Performs the calls of `client` and publishes its current grant in `handle` until the future is dropped.
///
/// To release the lease, call [`LeaseHandle::set_wanted`] with false and keep polling the future for a second, so that
/// the lease is closed instead of expiring.
pub async fn run_lease<S: Future<Output = ()>>(
    mut client: LeaseClient,
    kv: Kv,
    handle: LeaseHandle,
    now: impl Fn() -> MonoMs,
    sleep_ms: impl Fn(u64) -> S,
    mut rng: impl Rng,
) {
    loop {
        client.set_wanted(now(), handle.wanted());
        client.require_epoch_above(now(), handle.epoch_lower_bound());
        client.set_preferred(handle.is_preferred());
        let call = client.tick(now());
        publish(&client, &handle);
        let Some(call) = call else {
            let wait_ms = client.wake_at().since_ms(now());
            sleep_ms(wait_ms.clamp(1, MAX_SLEEP_MS)).await;
            continue;
        };
        let result = kv.call(call).await;
        client.reply(now(), &mut rng, result);
        publish(&client, &handle);
    }
}

fn publish(client: &LeaseClient, handle: &LeaseHandle) {
    if !handle.publish(client.current_grant()) {
        return;
    }
    match client.current_grant() {
        Some(grant) => log::info!(
            "lease: {} acquired the lease with epoch {}",
            client.id(),
            grant.epoch
        ),
        None => log::info!("lease: {} no longer holds the lease", client.id()),
    }
}

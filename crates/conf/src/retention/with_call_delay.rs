//! A key-value client with a bounded call rate.

use std::future::Future;
use std::sync::Arc;

use lw_plat::Kv;

/// Returns a client that awaits `wait` before each call; `wait` sleeps for the time between two calls.
///
/// The calls of one task are sequential, so the delay bounds their rate.
pub fn with_call_delay<F>(kv: Kv, wait: impl Fn() -> F + Send + Sync + 'static) -> Kv
where
    F: Future<Output = ()> + Send + 'static,
{
    let wait = Arc::new(wait);
    Kv::new(move |call| {
        let (kv, wait) = (kv.clone(), wait.clone());
        Box::pin(async move {
            wait().await;
            kv.call(call).await
        })
    })
}

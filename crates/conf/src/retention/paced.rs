//! A client that calls at a bounded rate.

use std::future::Future;
use std::sync::Arc;

use lw_plat::Kv;

/// Returns a client that waits before each call; `wait` sleeps for the time between two calls.
///
/// Calls of one task follow each other, so the rate is bounded by the wait.
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

//! Sends traffic at a constant rate.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::caller::Caller;
use crate::demo_request::DemoRequest;
use crate::traffic_counts::TrafficCounts;
use crate::workload::Workload;

/// The state that the callers share; clones share it too.
#[derive(Clone)]
pub(crate) struct Traffic {
    pub(crate) caller: Caller,
    pub(crate) workload: Arc<Mutex<Workload>>,
    pub(crate) counts: Arc<Mutex<TrafficCounts>>,
}

impl Traffic {
    /// Sends one request and records its result.
    pub(crate) async fn send(&self, request: DemoRequest) {
        self.counts.lock().started += 1;
        let result = self.caller.call(&request).await;
        self.counts.lock().record(&request, &result);
    }

    /// Sends requests at a constant rate until `stop` is cancelled, and then waits for in-flight requests.
    ///
    /// The rate does not depend on latency (open-loop load), as with many independent callers.
    pub(crate) async fn run(self, requests_per_s: f64, stop: CancellationToken) {
        let period = Duration::from_secs_f64(1.0 / requests_per_s.clamp(0.1, 10_000.0));
        let mut interval = tokio::time::interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut sent = JoinSet::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = interval.tick() => {
                    let request = self.workload.lock().next();
                    let traffic = self.clone();
                    sent.spawn(async move { traffic.send(request).await });
                }
                Some(_) = sent.join_next() => {}
            }
        }
        while sent.join_next().await.is_some() {}
    }
}

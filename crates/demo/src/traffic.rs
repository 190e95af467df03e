//! Traffic at a steady rate.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::ask::Ask;
use crate::caller::Caller;
use crate::tally::Tally;
use crate::workload::Workload;

/// What the callers share.
#[derive(Clone)]
pub(crate) struct Traffic {
    pub(crate) caller: Caller,
    pub(crate) workload: Arc<Mutex<Workload>>,
    pub(crate) tally: Arc<Mutex<Tally>>,
}

impl Traffic {
    /// Sends one request and counts how it ended.
    pub(crate) async fn send(&self, ask: Ask) {
        self.tally.lock().started += 1;
        let ended = self.caller.call(&ask).await;
        self.tally.lock().ended(&ask, &ended);
    }

    /// Sends requests at a steady rate until `stop`, and then waits for those in flight.
    ///
    /// The rate does not fall when answers are slow, as with callers that do not know of each other.
    pub(crate) async fn run(self, requests_per_s: f64, stop: CancellationToken) {
        let period = Duration::from_secs_f64(1.0 / requests_per_s.clamp(0.1, 10_000.0));
        let mut interval = tokio::time::interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut sent = JoinSet::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = interval.tick() => {
                    let ask = self.workload.lock().next();
                    let traffic = self.clone();
                    sent.spawn(async move { traffic.send(ask).await });
                }
                Some(_) = sent.join_next() => {}
            }
        }
        while sent.join_next().await.is_some() {}
    }
}

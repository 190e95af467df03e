//! Counts of the traffic from the callers' point of view.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use lw_base::Outcome;

use crate::caller::CallResult;
use crate::demo_request::{DemoRequest, TrafficClass};

/// Counts of one class of requests.
#[derive(Clone, Debug)]
pub(crate) struct ClassCounts {
    pub(crate) complete: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) no_outcome: u64,
    /// Latencies of complete requests, in milliseconds.
    pub(crate) latency_ms: Histogram<u64>,
}

impl ClassCounts {
    fn new() -> Self {
        Self {
            complete: 0,
            not_run: 0,
            unknown: 0,
            no_outcome: 0,
            latency_ms: Histogram::new(3).expect("three digits are in the range of the crate"),
        }
    }

    /// Returns the number of requests that ended.
    pub(crate) fn total(&self) -> u64 {
        self.complete + self.not_run + self.unknown + self.no_outcome
    }
}

/// Counts of the traffic since the start.
pub(crate) struct TrafficCounts {
    classes: BTreeMap<TrafficClass, ClassCounts>,
    /// Requests without the outcome complete, by error kind.
    pub(crate) kinds: BTreeMap<String, u64>,
    pub(crate) started: u64,
    pub(crate) retries: u64,
    pub(crate) wrong_answers: u64,
    /// The idempotency keys of the orders that were sent, with the outcome that each caller received.
    pub(crate) orders: Vec<(String, Option<Outcome>)>,
}

impl Default for TrafficCounts {
    fn default() -> Self {
        Self {
            classes: TrafficClass::ALL
                .map(|class| (class, ClassCounts::new()))
                .into(),
            kinds: BTreeMap::new(),
            started: 0,
            retries: 0,
            wrong_answers: 0,
            orders: Vec::new(),
        }
    }
}

impl TrafficCounts {
    /// Records the result of a request.
    pub(crate) fn record(&mut self, request: &DemoRequest, result: &CallResult) {
        let class_counts = self
            .classes
            .entry(request.class)
            .or_insert_with(ClassCounts::new);
        match result.outcome {
            Some(Outcome::Complete) => {
                class_counts.complete += 1;
                class_counts
                    .latency_ms
                    .saturating_record(result.latency_ms.max(1));
            }
            Some(Outcome::NotRun) => class_counts.not_run += 1,
            Some(Outcome::Unknown) => class_counts.unknown += 1,
            None => class_counts.no_outcome += 1,
        }
        if result.outcome != Some(Outcome::Complete) {
            *self.kinds.entry(result.kind.clone()).or_default() += 1;
        }
        self.retries += u64::from(result.retries);
        self.wrong_answers += u64::from(result.wrong_answer);
        if let Some(key) = request.key() {
            self.orders.push((key.to_owned(), result.outcome));
        }
    }

    /// Returns the counts of a class.
    pub(crate) fn class(&self, class: TrafficClass) -> &ClassCounts {
        &self.classes[&class]
    }

    /// Returns the number of requests that ended.
    pub(crate) fn total(&self) -> u64 {
        self.classes.values().map(ClassCounts::total).sum()
    }

    /// Returns the number of requests that ended without an outcome.
    pub(crate) fn without_outcome(&self) -> u64 {
        self.classes
            .values()
            .map(|class_counts| class_counts.no_outcome)
            .sum()
    }
}

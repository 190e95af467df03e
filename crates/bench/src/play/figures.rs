//! The figures that a simulation measures.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use lw_base::prelude::*;
use serde::Serialize;

use crate::play::deployment::MODEL;

/// Largest latency that a histogram distinguishes; deadlines are shorter.
const MAX_LATENCY_US: u64 = 2_000_000_000;

/// Latencies of the complete responses of one service and priority class, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ClassFigures {
    /// Number of complete responses.
    pub complete: u64,
    /// Median latency.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99th percentile of the time to the first token.
    pub first_token_p99_ms: f64,
}

/// The figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Number of arrivals.
    pub requests: u64,
    /// Complete responses by service and class, for example `model batch`.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Rejections by error kind.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Engine time in seconds.
    pub engine_s: f64,
    /// Requests with a prefix that started on an engine.
    pub prefix_starts: u64,
    /// Started requests whose prefix was not cached.
    pub cache_misses: u64,
    /// Bytes between regions.
    pub wide_area_bytes: u64,
    /// Requests that were forwarded to another region.
    pub forwarded: u64,
    /// Retries.
    pub retries: u64,
    /// Hedged attempts; they also count as retries.
    pub hedges: u64,
    /// Hedged attempts that completed before the first attempt.
    pub hedges_won: u64,
    /// The highest number of retries per request of one service in a window of ten seconds, over all hosts.
    pub highest_retry_share: f64,
    /// Requests without an outcome at the end.
    pub lost: u64,
    /// Batch requests without an outcome at the end.
    pub batch_lost: u64,
    /// Batch requests that were accepted and expired in a queue.
    pub batch_expired: u64,
    /// Invariant violations counted during the run.
    pub violations: u64,
}

impl Figures {
    /// Returns the share of requests that were forwarded.
    #[must_use]
    pub fn forwarded_share(&self) -> f64 {
        self.forwarded as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of requests that were rejected.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        self.refusals.values().sum::<u64>() as f64 / self.requests.max(1) as f64
    }

    /// Returns the figures of a priority class of a service; all zero if it did not occur.
    #[must_use]
    pub fn class(&self, service: ServiceKey, class: PriorityClass) -> ClassFigures {
        let name = class_name(service, class);
        self.classes.get(&name).copied().unwrap_or_default()
    }
}

fn class_name(service: ServiceKey, class: PriorityClass) -> String {
    let service = if service == MODEL { "model" } else { "plain" };
    format!("{service} {}", class.as_str())
}

/// Latency histograms by service and priority class: to completion and to the first token.
#[derive(Debug, Default)]
pub(crate) struct Latencies {
    by_class: BTreeMap<(ServiceKey, PriorityClass), [Histogram<u64>; 2]>,
}

impl Latencies {
    pub(crate) fn add(
        &mut self,
        service: ServiceKey,
        class: PriorityClass,
        complete_us: u64,
        first_token_us: u64,
    ) {
        let histograms = self
            .by_class
            .entry((service, class))
            .or_insert_with(|| [histogram(), histogram()]);
        histograms[0].saturating_record(complete_us);
        histograms[1].saturating_record(first_token_us);
    }

    pub(crate) fn figures(&self) -> BTreeMap<String, ClassFigures> {
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        self.by_class
            .iter()
            .map(|((service, class), [complete, first_token])| {
                let figures = ClassFigures {
                    complete: complete.len(),
                    p50_ms: ms(complete, 0.50),
                    p95_ms: ms(complete, 0.95),
                    p99_ms: ms(complete, 0.99),
                    first_token_p99_ms: ms(first_token, 0.99),
                };
                (class_name(*service, *class), figures)
            })
            .collect()
    }
}

pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds of the histogram are constant")
}

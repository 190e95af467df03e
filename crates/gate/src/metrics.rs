//! Prometheus metrics of the gate.

use lw_base::prelude::*;
use lw_base::violation_count;
use lw_flow::FinalOutcome;
use prometheus::{Encoder, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder};

/// Counters and gauges of one gate, in a separate registry.
pub(crate) struct GateMetrics {
    registry: Registry,
    outcomes: IntCounterVec,
    rejected: IntCounterVec,
    attempts: IntCounterVec,
    invariant_violations: IntCounterVec,
    queue: IntGaugeVec,
    in_flight: IntGauge,
    pub(crate) peer_refused: IntCounterVec,
}

impl GateMetrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let new_counter_vec = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels);
            let counters = counters.expect("metric names are literals");
            register(&registry, counters.clone());
            counters
        };
        let new_gauge_vec = |name: &str, help: &str, labels: &[&str]| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), labels);
            let gauges = gauges.expect("metric names are literals");
            register(&registry, gauges.clone());
            gauges
        };
        let in_flight = IntGauge::new("lacewingstile_in_flight", "Requests in flight");
        let in_flight = in_flight.expect("metric names are literals");
        register(&registry, in_flight.clone());
        Self {
            outcomes: new_counter_vec(
                "lacewingstile_requests_total",
                "Accepted requests by service, outcome and error kind",
                &["service", "outcome", "kind"],
            ),
            rejected: new_counter_vec(
                "lacewingstile_rejected_total",
                "Requests that were rejected at entry, by error kind",
                &["kind"],
            ),
            attempts: new_counter_vec(
                "lacewingstile_attempts_total",
                "Attempts by service and type: first, retry, resume, region, owner",
                &["service", "type"],
            ),
            invariant_violations: new_counter_vec(
                "lacewingstile_invariant_violations_total",
                "Violations of invariants in this process",
                &["invariant"],
            ),
            queue: new_gauge_vec(
                "lacewingstile_queue_length",
                "Waiting requests by service",
                &["service"],
            ),
            peer_refused: new_counter_vec(
                "lacewingstile_peer_refused_total",
                "Refused requests of other hosts, by reason",
                &["reason"],
            ),
            in_flight,
            registry,
        }
    }

    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts the end of an accepted request.
    pub(crate) fn count_ended(&self, service: &str, final_outcome: FinalOutcome) {
        let kind = final_outcome.kind.map_or("", ErrorKind::as_str);
        self.outcomes
            .with_label_values(&[service, final_outcome.outcome.as_str(), kind])
            .inc();
    }

    /// Counts a request that was rejected at entry.
    pub(crate) fn count_rejected(&self, kind: ErrorKind) {
        self.rejected.with_label_values(&[kind.as_str()]).inc();
    }

    /// Counts an attempt.
    pub(crate) fn count_attempt(&self, service: &str, attempt_type: &str) {
        self.attempts
            .with_label_values(&[service, attempt_type])
            .inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn encode(
        &self,
        in_flight: usize,
        queued_requests: &[(std::sync::Arc<str>, usize)],
    ) -> Vec<u8> {
        for invariant in Invariant::ALL {
            let counter = self
                .invariant_violations
                .with_label_values(&[invariant.as_str()]);
            counter.inc_by(violation_count(invariant).saturating_sub(counter.get()));
        }
        for (service, length) in queued_requests {
            let length = i64::try_from(*length).unwrap_or(i64::MAX);
            self.queue.with_label_values(&[&**service]).set(length);
        }
        self.in_flight
            .set(i64::try_from(in_flight).unwrap_or(i64::MAX));
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("gate: failed to encode the metrics: {error}");
        }
        text
    }
}

fn register(registry: &Registry, metric: impl prometheus::core::Collector + 'static) {
    registry
        .register(Box::new(metric))
        .expect("each metric is registered once");
}

//! Prometheus metrics of a host.

use http::StatusCode;
use lw_flow::AttemptFailure;
use lw_mesh::StateVersion;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// The upper bounds of the latency buckets, in seconds: from a short answer without an engine to the longest deadline.
const LATENCY_BUCKETS_S: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.4, 1.0, 1.5, 3.0, 5.0, 8.0];

/// Prometheus metrics of a host.
pub struct HostMetrics {
    registry: Registry,
    request_ends: IntCounterVec,
    attempt_failures: IntCounterVec,
    request_s: Histogram,
    requests: IntGauge,
    connections: IntGauge,
    /// The bytes of all answers that are being read.
    pub(crate) buffered_bytes: IntGauge,
    /// The bytes of request bodies and answers that the host holds.
    pub(crate) held_bytes: IntGauge,
    pub(crate) held_bytes_limit: IntGauge,
    /// Requests whose bodies waited for room.
    pub(crate) room_waits: IntCounter,
    /// Requests that were refused because there was no room for their bodies.
    pub(crate) room_refusals: IntCounter,
    mirror_era: IntGauge,
    mirror_revision: IntGauge,
    earlier_states: IntGauge,
    /// Restores of the platform's store from a copy that this host noticed.
    pub store_restores: IntCounter,
    pub(crate) target_notices: IntCounterVec,
    /// Requests to cold targets.
    pub(crate) cold_sends: IntCounter,
    /// Requests that the limit of a cold target did not allow after the target was chosen.
    pub(crate) cold_refusals: IntCounter,
    /// Requests of limits that targets name, lent to other hosts.
    pub(crate) limit_loans: IntCounter,
    /// Health checks that show whether a target is cold, by result.
    pub(crate) health_checks: IntCounterVec,
    /// Targets that ended while they were working on requests of this host.
    pub(crate) target_crashes: IntCounter,
    /// Prompt parts that entered the quarantine.
    pub(crate) quarantined_parts: IntCounter,
    /// Requests that were refused because of a part in quarantine.
    pub(crate) quarantine_refusals: IntCounter,
    /// Requests that were open when the process ended.
    pub(crate) dropped_requests: IntCounter,
    /// Calls to the platform by kind and result.
    pub platform_calls: IntCounterVec,
}

impl HostMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Panics
    ///
    /// Panics when two metrics have the same name, which is a bug in this function.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels);
            let counters = counters.expect("the names are valid");
            registry
                .register(Box::new(counters.clone()))
                .expect("each name is used once");
            counters
        };
        let request_ends = counters(
            "lacewingstile_relay_ends_total",
            "Ends of requests",
            &["status"],
        );
        let attempt_failures = counters(
            "lacewingstile_relay_attempt_failures_total",
            "Attempts without an answer",
            &["failure"],
        );
        let target_notices = counters(
            "lacewingstile_relay_target_notices_total",
            "Targets that said that they are leaving, or asked for a pause",
            &["notice"],
        );
        let health_checks = counters(
            "lacewingstile_relay_health_checks_total",
            "Health checks that show whether a target is cold",
            &["result"],
        );
        let platform_calls = counters(
            "lacewingstile_relay_platform_calls_total",
            "Calls to the platform",
            &["call", "result"],
        );
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the names are valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("each name is used once");
            gauge
        };
        let requests = gauge("lacewingstile_relay_requests", "Requests being served");
        let connections = gauge("lacewingstile_relay_connections", "Open connections");
        let buffered_bytes = gauge(
            "lacewingstile_relay_buffered_bytes",
            "Bytes of the answers that are being read",
        );
        let held_bytes = gauge(
            "lacewingstile_relay_held_bytes",
            "Bytes of request bodies and answers in memory",
        );
        let held_bytes_limit = gauge(
            "lacewingstile_relay_held_bytes_limit",
            "Budget for request bodies and answers in memory, in bytes",
        );
        let mirror_era = gauge(
            "lacewingstile_relay_mirror_era",
            "Era of the mirror of the platform's store",
        );
        let mirror_revision = gauge(
            "lacewingstile_relay_mirror_revision",
            "Revision of the mirror of the platform's store",
        );
        let earlier_states = gauge(
            "lacewingstile_relay_earlier_states",
            "Keys whose state from before a restore of the store holds",
        );
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("the names are valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("each name is used once");
            counter
        };
        let room_waits = counter(
            "lacewingstile_relay_room_waits_total",
            "Requests whose bodies waited for room in memory",
        );
        let room_refusals = counter(
            "lacewingstile_relay_room_refusals_total",
            "Requests refused because there was no room in memory for their bodies",
        );
        let store_restores = counter(
            "lacewingstile_relay_store_restores_total",
            "Restores of the platform's store from a copy",
        );
        let cold_sends = counter(
            "lacewingstile_relay_cold_sends_total",
            "Requests written to cold targets",
        );
        let cold_refusals = counter(
            "lacewingstile_relay_cold_refusals_total",
            "Requests that the limit of a cold target did not allow",
        );
        let limit_loans = counter(
            "lacewingstile_relay_limit_loans_total",
            "Requests of the limits that targets name, lent to other hosts",
        );
        let target_crashes = counter(
            "lacewingstile_relay_target_crashes_total",
            "Targets that crashed while they were working on requests of this host",
        );
        let quarantined_parts = counter(
            "lacewingstile_relay_quarantined_parts_total",
            "Prompt parts and requests that entered the quarantine",
        );
        let quarantine_refusals = counter(
            "lacewingstile_relay_quarantine_refusals_total",
            "Requests refused because they, or parts of their prompts, are in quarantine",
        );
        let dropped_requests = counter(
            "lacewingstile_relay_dropped_requests_total",
            "Requests that were open when the process ended",
        );
        let options = HistogramOpts::new(
            "lacewingstile_relay_request_seconds",
            "Time from the arrival of a request to its end",
        );
        let options = options.buckets(LATENCY_BUCKETS_S.to_vec());
        let request_s =
            Histogram::with_opts(options).expect("the bucket bounds are in ascending order");
        registry
            .register(Box::new(request_s.clone()))
            .expect("each name is used once");
        Self {
            registry,
            request_ends,
            attempt_failures,
            request_s,
            requests,
            connections,
            buffered_bytes,
            held_bytes,
            held_bytes_limit,
            room_waits,
            room_refusals,
            mirror_era,
            mirror_revision,
            earlier_states,
            store_restores,
            target_notices,
            cold_sends,
            cold_refusals,
            limit_loans,
            health_checks,
            target_crashes,
            quarantined_parts,
            quarantine_refusals,
            dropped_requests,
            platform_calls,
        }
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            log::warn!(reason = error.to_string().as_str(); "the metrics could not be encoded");
        }
        String::from_utf8(bytes).unwrap_or_default()
    }

    pub(crate) fn record_end(&self, status: StatusCode, took_ms: u64) {
        self.request_ends
            .with_label_values(&[status.as_str()])
            .inc();
        self.request_s.observe(took_ms as f64 / 1_000.0);
    }

    pub(crate) fn record_attempt_failure(&self, failure: AttemptFailure) {
        let name = match failure {
            AttemptFailure::ConnectFailed => "connect",
            AttemptFailure::TargetRefused => "refused",
            AttemptFailure::AnswerLost => "lost",
            AttemptFailure::AnswerIncomplete => "incomplete",
            AttemptFailure::CrossedAnswer => "crossed",
            AttemptFailure::DeadlineAfterSend => "deadline",
            AttemptFailure::Reported { .. } => "reported",
        };
        self.attempt_failures.with_label_values(&[name]).inc();
    }

    pub(crate) fn set_mirror(&self, as_of: StateVersion, earlier_states: usize) {
        let gauge_value = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.mirror_era.set(gauge_value(as_of.era));
        self.mirror_revision.set(gauge_value(as_of.revision));
        self.earlier_states.set(gauge_value(earlier_states as u64));
    }

    pub(crate) fn set_load(&self, requests: u32, connections: u32) {
        self.requests.set(i64::from(requests));
        self.connections.set(i64::from(connections));
    }
}

impl Default for HostMetrics {
    fn default() -> Self {
        Self::new()
    }
}

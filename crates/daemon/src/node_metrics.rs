//! Prometheus metrics of the control work of a host.

use lw_node::NodeStatus;
use prometheus::{GaugeVec, IntGauge, IntGaugeVec, Opts, Registry};

use crate::control_window::ControlMetric;

/// Gauges that are set from the node status.
pub(crate) struct NodeMetrics {
    control: IntGaugeVec,
    control_use: GaugeVec,
    control_budget: GaugeVec,
    refused_frames: IntGaugeVec,
    members: IntGaugeVec,
    shards: IntGaugeVec,
    revision: IntGauge,
}

impl NodeMetrics {
    /// Registers the gauges.
    pub(crate) fn register(registry: &Registry) -> Self {
        let revision = IntGauge::new("lacewingstile_revision", "Configuration revision in force");
        let revision = revision.expect("metric names are literals");
        registry
            .register(Box::new(revision.clone()))
            .expect("each metric is registered once");
        Self {
            control: int_gauges(
                registry,
                "lacewingstile_control",
                "Control traffic and processor time since the start: frames, bytes, microseconds",
                "figure",
            ),
            control_use: float_gauges(
                registry,
                "lacewingstile_control_use",
                "Usage of control work over the last minute: bytes per second, share of a core; resident bytes of the process",
            ),
            control_budget: float_gauges(
                registry,
                "lacewingstile_control_budget",
                "Upper limit of lacewingstile_control_use",
            ),
            refused_frames: int_gauges(
                registry,
                "lacewingstile_refused_frames",
                "Refused peer messages since the start, by reason",
                "reason",
            ),
            members: int_gauges(
                registry,
                "lacewingstile_members",
                "Other members of the region by state",
                "state",
            ),
            shards: int_gauges(
                registry,
                "lacewingstile_shards",
                "Shards of idempotency keys by role of this host",
                "role",
            ),
            revision,
        }
    }

    /// Sets the gauges from a node status and the current usage.
    pub(crate) fn set(&self, status: &NodeStatus, metrics: &[ControlMetric]) {
        for metric in metrics {
            let label = [metric.name];
            let budget = self.control_budget.with_label_values(&label);
            budget.set(metric.budget);
            if let Some(measured) = metric.measured {
                self.control_use.with_label_values(&label).set(measured);
            }
        }
        for (reason, count) in &status.refused_frames {
            set(&self.refused_frames, reason, *count);
        }
        let control = [
            ("sent_frames", status.sent_frames),
            ("sent_bytes", status.sent_bytes),
            ("received_frames", status.received_frames),
            ("received_bytes", status.received_bytes),
            ("dropped_frames", status.dropped_frames),
            ("busy_us", status.busy_us),
        ];
        for (figure, value) in control {
            set(&self.control, figure, value);
        }
        let members = [
            ("alive", status.alive_members),
            ("leaving", status.leaving_members),
            ("suspect", status.suspect_members),
            ("dead", status.dead_members),
        ];
        for (state, count) in members {
            set(&self.members, state, count as u64);
        }
        set(&self.shards, "owner", status.owned_shards as u64);
        set(&self.shards, "backup", status.backup_shards as u64);
        self.revision
            .set(i64::try_from(status.revision).unwrap_or(i64::MAX));
    }
}

fn set(gauges: &IntGaugeVec, label: &str, value: u64) {
    let value = i64::try_from(value).unwrap_or(i64::MAX);
    gauges.with_label_values(&[label]).set(value);
}

fn float_gauges(registry: &Registry, name: &str, help: &str) -> GaugeVec {
    let gauges = GaugeVec::new(Opts::new(name, help), &["figure"]);
    let gauges = gauges.expect("metric names are literals");
    registry
        .register(Box::new(gauges.clone()))
        .expect("each metric is registered once");
    gauges
}

fn int_gauges(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    let gauges = IntGaugeVec::new(Opts::new(name, help), &[label]);
    let gauges = gauges.expect("metric names are literals");
    registry
        .register(Box::new(gauges.clone()))
        .expect("each metric is registered once");
    gauges
}

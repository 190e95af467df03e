//! Tracks the load of one target.

use lw_admit::SharedLimiter;
use lw_base::prelude::*;

use crate::health_check::Warmth;
use crate::limit_share::LimitShare;
use crate::prefix_cache_estimate::PrefixCacheEstimate;
use crate::target_health::TargetHealth;

/// The usage of another host expires this long after its last heartbeat; hosts send one every 400 ms.
const REMOTE_USAGE_TTL_MS: u64 = 1_800;

/// The usage of a target by one host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostTargetUsage {
    /// The number of requests that run or wait at the target.
    pub running: u32,
    /// Pending prefill work, in milliseconds.
    pub backlog_ms: f64,
    /// The recent share of time spent on prefill.
    pub prefill_share: f64,
    /// The tokens of the running requests.
    pub tokens: u64,
}

/// The load of a target.
#[derive(Clone, Debug, Default)]
pub struct TargetLoad {
    /// The number of requests of this host that run or wait at the target.
    pub running: u32,
    /// The tokens of these requests.
    pub tokens: u64,
    /// The time at which the prefill work of this host is done.
    pub prefill_done_at: MonoMs,
    /// The estimated prefix cache.
    pub cache: PrefixCacheEstimate,
    /// Its health.
    pub health: TargetHealth,
    /// The rate limiter for its slow start.
    pub cold_start_limiter: SharedLimiter,
    /// The time until which it is cold.
    pub cold_until: MonoMs,
    /// What the target itself has said of its warmth.
    pub warmth: Warmth,
    /// This host's share of the request rate that the target names in its answers.
    pub limit_share: LimitShare,
    prefill_share: f64,
    prefill_share_at: MonoMs,
    remote: FastMap<u64, (MonoMs, HostTargetUsage)>,
}

/// The time constant with which the prefill share decays; under load, it covers several prompts.
const PREFILL_DECAY_MS: f64 = 1_500.0;

impl TargetLoad {
    /// Records that a target that hosts have used turns cold, until `until`.
    pub fn turn_cold(&mut self, now: MonoMs, until: MonoMs) {
        if self.cold_until <= now {
            self.cold_start_limiter.hold(now);
        }
        self.cold_until = until;
    }

    /// Records the usage that another host reported.
    pub fn record_remote_usage(&mut self, now: MonoMs, host: u64, usage: HostTargetUsage) {
        self.remote.insert(host, (now, usage));
        self.remote
            .retain(|_, (at, _)| now.since_ms(*at) < REMOTE_USAGE_TTL_MS);
    }

    /// Returns the usage by this host.
    #[must_use]
    pub fn own_usage(&self, now: MonoMs) -> HostTargetUsage {
        HostTargetUsage {
            running: self.running,
            backlog_ms: self.prefill_done_at.since_ms(now) as f64,
            prefill_share: self.decayed_share(now),
            tokens: self.tokens,
        }
    }

    /// Returns the usage by all hosts.
    #[must_use]
    pub fn total_usage(&self, now: MonoMs) -> HostTargetUsage {
        let mut sum = self.own_usage(now);
        for (at, usage) in self.remote.values() {
            let age_ms = now.since_ms(*at);
            if age_ms >= REMOTE_USAGE_TTL_MS {
                continue;
            }
            sum.running += usage.running;
            sum.backlog_ms += (usage.backlog_ms - age_ms as f64).max(0.0);
            sum.prefill_share += usage.prefill_share * (-(age_ms as f64) / PREFILL_DECAY_MS).exp();
            sum.tokens += usage.tokens;
        }
        sum
    }

    /// Adds prefill work, in milliseconds.
    pub fn add_backlog(&mut self, now: MonoMs, work_ms: f64) {
        self.prefill_done_at = self.prefill_done_at.max(now).plus_ms(work_ms as u64);
        self.prefill_share = self.decayed_share(now) + work_ms / PREFILL_DECAY_MS;
        self.prefill_share_at = now;
    }

    fn decayed_share(&self, now: MonoMs) -> f64 {
        let age_ms = now.since_ms(self.prefill_share_at) as f64;
        self.prefill_share * (-age_ms / PREFILL_DECAY_MS).exp()
    }
}

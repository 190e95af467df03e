//! What a host knows of the load of one target.

use lw_admit::ColdPace;
use lw_base::prelude::*;

use crate::prefix_cache_estimate::PrefixCacheEstimate;
use crate::target_health::TargetHealth;

/// The use by another host counts for this long after its last word; hosts speak every 400 ms.
const REMOTE_USE_MS: u64 = 1_800;

/// The use that a host makes of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostTargetUsage {
    /// Requests that run or wait there.
    pub running: u32,
    /// Prefill work that is not done yet, in milliseconds.
    pub backlog_ms: f64,
    /// The share of the time that prefill work has taken lately.
    pub prefill_share: f64,
    /// Tokens of the running requests.
    pub tokens: u64,
}

/// The load of a target.
#[derive(Clone, Debug, Default)]
pub struct TargetLoad {
    /// Requests of this host that run or wait there.
    pub running: u32,
    /// Tokens of these requests.
    pub tokens: u64,
    /// When the prefill work that this host has given it is done.
    pub prefill_done_at: MonoMs,
    /// What it probably keeps of prompts.
    pub cache: PrefixCacheEstimate,
    /// Whether it answers.
    pub health: TargetHealth,
    /// The pace while it is cold.
    pub cold_pace: ColdPace,
    /// Until when it is cold.
    pub cold_until: MonoMs,
    prefill_share: f64,
    prefill_share_at: MonoMs,
    remote: FastMap<u64, (MonoMs, HostTargetUsage)>,
}

/// The time in which the share of prefill work fades; it spans some prompts of a busy second.
const PREFILL_FADE_MS: f64 = 1_500.0;

impl TargetLoad {
    /// Takes the word of another host.
    pub fn record_remote_usage(&mut self, now: MonoMs, host: u64, used: HostTargetUsage) {
        self.remote.insert(host, (now, used));
        self.remote
            .retain(|_, (at, _)| now.since_ms(*at) < REMOTE_USE_MS);
    }

    /// Returns the use by this host.
    #[must_use]
    pub fn own_usage(&self, now: MonoMs) -> HostTargetUsage {
        HostTargetUsage {
            running: self.running,
            backlog_ms: self.prefill_done_at.since_ms(now) as f64,
            prefill_share: self.faded_share(now),
            tokens: self.tokens,
        }
    }

    /// Returns the use by all hosts.
    #[must_use]
    pub fn total_usage(&self, now: MonoMs) -> HostTargetUsage {
        let mut sum = self.own_usage(now);
        for (at, used) in self.remote.values() {
            let age_ms = now.since_ms(*at);
            if age_ms >= REMOTE_USE_MS {
                continue;
            }
            sum.running += used.running;
            sum.backlog_ms += (used.backlog_ms - age_ms as f64).max(0.0);
            sum.prefill_share += used.prefill_share * (-(age_ms as f64) / PREFILL_FADE_MS).exp();
            sum.tokens += used.tokens;
        }
        sum
    }

    /// Adds prefill work.
    pub fn add_backlog(&mut self, now: MonoMs, work_ms: f64) {
        self.prefill_done_at = self.prefill_done_at.max(now).plus_ms(work_ms as u64);
        self.prefill_share = self.faded_share(now) + work_ms / PREFILL_FADE_MS;
        self.prefill_share_at = now;
    }

    fn faded_share(&self, now: MonoMs) -> f64 {
        let age_ms = now.since_ms(self.prefill_share_at) as f64;
        self.prefill_share * (-age_ms / PREFILL_FADE_MS).exp()
    }
}

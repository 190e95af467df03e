//! Ways to share a limit between hosts.

use lw_admit::{LimitPart, LimitSpan, SharedLimit, SharedLimiter};
use lw_base::prelude::*;
use lw_mesh::HostTable;
use lw_relay::{LimitShare, limit_part};

/// A way to share a limit between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each host keeps the limit by itself.
    Alone,
    /// All known hosts have equal parts.
    EqualParts,
    /// All hosts that are heard from have equal parts.
    PartsOfLive,
    /// Each host takes its part of what the hosts report to be asked.
    ReportedDemand,
    /// A few hosts have fixed parts.
    Holders,
    /// A few hosts have fixed parts and lend what they do not need.
    Loans,
    /// One counter that every host can ask for each request, without delay.
    Counter,
}

/// What others have asked counts for this long, in milliseconds.
const REPORT_TTL_MS: u64 = 1_300;

/// What a host keeps for one target.
#[derive(Default)]
pub(crate) struct TargetState {
    pub(crate) share: LimitShare,
    pub(crate) limiter: SharedLimiter,
    /// The rates that other hosts have reported, by the hash of their names.
    pub(crate) reported: FastMap<u32, (MonoMs, f64)>,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 7] = [
        Self::Alone,
        Self::EqualParts,
        Self::PartsOfLive,
        Self::ReportedDemand,
        Self::Holders,
        Self::Loans,
        Self::Counter,
    ];

    /// Returns the name for tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Alone => "each host by itself",
            Self::EqualParts => "equal parts of known hosts",
            Self::PartsOfLive => "equal parts of live hosts",
            Self::ReportedDemand => "parts by reported demand",
            Self::Holders => "parts of a few holders",
            Self::Loans => "holders that lend",
            Self::Counter => "one counter",
        }
    }

    /// Returns whether hosts hold their parts by name and lend them.
    pub(crate) fn uses_share(self) -> bool {
        matches!(self, Self::Holders | Self::Loans)
    }

    /// Returns the part of a host of the limit `per_s`, for the ways without holders.
    pub(crate) fn part(
        self,
        now: MonoMs,
        table: &HostTable,
        state: &TargetState,
        asked_per_s: f64,
        per_s: f64,
    ) -> LimitPart {
        let own_per_s = match self {
            Self::EqualParts => per_s / table.sharing_hosts() as f64,
            Self::PartsOfLive => per_s / table.live_hosts_in_region(now) as f64,
            Self::ReportedDemand => {
                let recent = state.reported.values();
                let recent = recent.filter(|(at, _)| now.since_ms(*at) < REPORT_TTL_MS);
                let others_per_s: f64 = recent.map(|(_, asked_per_s)| asked_per_s).sum();
                per_s * (asked_per_s / (asked_per_s + others_per_s).max(f64::MIN_POSITIVE))
            }
            Self::Alone | Self::Counter | Self::Holders | Self::Loans => per_s,
        };
        let own = SharedLimit {
            per_s: own_per_s.max(f64::MIN_POSITIVE),
            span: LimitSpan::Average,
        };
        own.part(1, 0).unwrap_or(LimitPart {
            requests: 1,
            window_ms: u64::MAX,
        })
    }
}

/// Recomputes the part of a host that holds it by name.
pub(crate) fn update_share(
    now: MonoMs,
    up_ms: u64,
    table: &HostTable,
    incarnation: &str,
    share: &mut LimitShare,
) {
    let Some(limit) = share.limit() else {
        return;
    };
    let part = limit_part(now, up_ms, table, incarnation, limit);
    share.set_part(part, table.sharing_order(incarnation));
}

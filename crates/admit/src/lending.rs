//! How much of its part of a shared limit a host lends to others.

/// The time constant of the rates of requests that hosts report to one another, in milliseconds.
pub const ASKED_DECAY_MS: u64 = 500;
/// The need of a host, as a multiple of the rate of its requests: requests do not come evenly.
const NEED_RATIO: f64 = 1.5;

/// What a host asks of a limited target, and its part of the limit, both in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitDemand {
    /// The rate of the requests that the host would send if there were no limit.
    pub asked_per_s: f64,
    /// The rate of the part that the host holds; zero if it holds none.
    pub part_per_s: f64,
}

impl LimitDemand {
    /// Returns the rate that the host gets when `limit_per_s` is divided in proportion to what the hosts ask.
    fn share_per_s(&self, limit_per_s: f64, all_asked_per_s: f64) -> f64 {
        if self.asked_per_s <= 0.0 {
            return 0.0;
        }
        let proportional = limit_per_s * self.asked_per_s / all_asked_per_s;
        proportional.min(NEED_RATIO * self.asked_per_s)
    }
}

/// Returns the rate at which the host with the demand `own` lends to each of the `others`, in requests per second and in
/// their order.
///
/// Load: callers choose hosts unevenly, and the parts of a limit are fixed. Each holder lends what its part exceeds its
/// share, to the hosts whose parts fall short of theirs. If the hosts know the same, all of them get their shares; if they
/// do not, some requests are lent in vain or not at all, but none twice.
#[must_use]
pub fn lending_per_s(limit_per_s: f64, own: LimitDemand, others: &[LimitDemand]) -> Vec<f64> {
    let all = || others.iter().chain(std::iter::once(&own));
    let all_asked_per_s: f64 = all().map(|host| host.asked_per_s).sum();
    let shortfall =
        |host: &LimitDemand| host.share_per_s(limit_per_s, all_asked_per_s) - host.part_per_s;
    let missing_per_s: f64 = all().map(|host| shortfall(host).max(0.0)).sum();
    let spare_per_s: f64 = all().map(|host| (-shortfall(host)).max(0.0)).sum();
    if missing_per_s <= 0.0 || spare_per_s <= 0.0 {
        return vec![0.0; others.len()];
    }
    let own_spare_per_s = (-shortfall(&own)).max(0.0);
    let lent_per_s = own_spare_per_s * (missing_per_s / spare_per_s).min(1.0);
    let parts = others
        .iter()
        .map(|host| lent_per_s * shortfall(host).max(0.0) / missing_per_s);
    parts.collect()
}

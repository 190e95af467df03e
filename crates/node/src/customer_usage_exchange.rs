//! The exchange of customer request rates between hosts.

use std::sync::Arc;

use lw_admit::CustomerId;
use lw_base::prelude::*;

type TakeLocalRates = Arc<dyn Fn(MonoMs) -> Vec<(CustomerId, f64)> + Send + Sync>;
type ApplyPeerRates = Arc<dyn Fn(MonoMs, u64, &[(CustomerId, f64)]) + Send + Sync>;

/// Closures that connect the customer rate limits of the host with the load boards that it sends and receives.
#[derive(Clone)]
pub struct CustomerUsageExchange {
    /// Ends an observation period, and returns the customers to report and the requests per second of each.
    pub take_local_rates: TakeLocalRates,
    /// Applies the rates that another host reports. The second argument is the stable hash of the name of that host.
    pub apply_peer_rates: ApplyPeerRates,
}

impl CustomerUsageExchange {
    /// Returns an exchange that reports and applies nothing.
    #[must_use]
    pub fn disabled() -> Self {
        Self {
            take_local_rates: Arc::new(|_| Vec::new()),
            apply_peer_rates: Arc::new(|_, _, _| {}),
        }
    }
}

//! The exchange of customer usage between hosts.

use std::sync::Arc;

use lw_admit::CustomerId;
use lw_base::prelude::*;

type Take = Arc<dyn Fn(MonoMs) -> Vec<(CustomerId, f64)> + Send + Sync>;
type Give = Arc<dyn Fn(MonoMs, u64, &[(CustomerId, f64)]) + Send + Sync>;

/// The customer limits of the host, as closures.
#[derive(Clone)]
pub struct CustomerUsageExchange {
    /// Closes a period of observation and returns the customers to report with their requests per second.
    pub take_local_rates: Take,
    /// Takes what the host with the given number reports of its customers.
    pub apply_peer_rates: Give,
}

impl CustomerUsageExchange {
    /// Exchanges nothing.
    #[must_use]
    pub fn disabled() -> Self {
        Self {
            take_local_rates: Arc::new(|_| Vec::new()),
            apply_peer_rates: Arc::new(|_, _, _| {}),
        }
    }
}

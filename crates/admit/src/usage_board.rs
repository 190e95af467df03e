//! The use that other hosts report for their most active customers.

use lw_base::prelude::*;

use crate::customer_limits::CustomerId;

/// A host that has not reported for this long counts as using nothing.
const HOST_AGE_MS: u64 = 5_000;

#[derive(Debug)]
struct HostUse {
    received: MonoMs,
    rates: Vec<(CustomerId, f64)>,
}

/// The sum of the reported use by customer, kept up to date with each report.
#[derive(Debug, Default)]
pub(crate) struct UsageBoard {
    hosts: FastMap<u64, HostUse>,
    total: FastMap<CustomerId, f64>,
}

impl UsageBoard {
    pub(crate) fn report(&mut self, now: MonoMs, host: u64, rates: &[(CustomerId, f64)]) {
        self.forget(host);
        for (customer, rate) in rates {
            *self.total.entry(*customer).or_default() += rate;
        }
        let rates = rates.to_vec();
        self.hosts.insert(
            host,
            HostUse {
                received: now,
                rates,
            },
        );
    }

    pub(crate) fn expire(&mut self, now: MonoMs) {
        let old: Vec<u64> = self
            .hosts
            .iter()
            .filter(|(_, entry)| now.since_ms(entry.received) > HOST_AGE_MS)
            .map(|(host, _)| *host)
            .collect();
        for host in old {
            self.forget(host);
        }
    }

    pub(crate) fn total(&self, customer: CustomerId) -> f64 {
        self.total.get(&customer).copied().unwrap_or(0.0)
    }

    fn forget(&mut self, host: u64) {
        /// Sums below this are rounding errors of sums that are zero.
        const NO_USE: f64 = 1e-6;
        let Some(entry) = self.hosts.remove(&host) else {
            return;
        };
        for (customer, rate) in entry.rates {
            if let Some(total) = self.total.get_mut(&customer) {
                *total -= rate;
                if *total < NO_USE {
                    self.total.remove(&customer);
                }
            }
        }
    }
}

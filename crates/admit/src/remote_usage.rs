//! Customer usage reported by other hosts.

use lw_base::prelude::*;

use crate::customer_limits::CustomerId;

/// The age at which a report expires. It exceeds the time for which the sender counts the reported usage as its own.
const REPORT_MAX_AGE_MS: u64 = 12_000;

#[derive(Clone, Copy, Debug)]
struct ReportedRate {
    received_at: MonoMs,
    rate_per_s: f64,
}

/// The latest reported rate per host and customer, with the sum per customer.
#[derive(Debug, Default)]
pub(crate) struct RemoteUsage {
    reports: FastMap<(u64, CustomerId), ReportedRate>,
    total: FastMap<CustomerId, f64>,
}

impl RemoteUsage {
    /// Replaces the rates that `host` reported for these customers; rates of its other customers stay.
    pub(crate) fn report(&mut self, now: MonoMs, host: u64, rates: &[(CustomerId, f64)]) {
        for (customer, rate_per_s) in rates {
            let customer = customer.shortened();
            self.remove(host, customer);
            if *rate_per_s <= 0.0 {
                continue;
            }
            *self.total.entry(customer).or_default() += rate_per_s;
            let report = ReportedRate {
                received_at: now,
                rate_per_s: *rate_per_s,
            };
            self.reports.insert((host, customer), report);
        }
    }

    pub(crate) fn expire(&mut self, now: MonoMs) {
        let reports = self.reports.iter();
        let old: Vec<(u64, CustomerId)> = reports
            .filter(|(_, report)| now.since_ms(report.received_at) > REPORT_MAX_AGE_MS)
            .map(|(key, _)| *key)
            .collect();
        for (host, customer) in old {
            self.remove(host, customer);
        }
    }

    pub(crate) fn total_per_s(&self, customer: CustomerId) -> f64 {
        let total = self.total.get(&customer.shortened());
        total.copied().unwrap_or(0.0)
    }

    fn remove(&mut self, host: u64, customer: CustomerId) {
        /// Smaller sums are rounding errors and count as zero.
        const MIN_PER_S: f64 = 1e-6;
        let Some(report) = self.reports.remove(&(host, customer)) else {
            return;
        };
        if let Some(total) = self.total.get_mut(&customer) {
            *total -= report.rate_per_s;
            if *total < MIN_PER_S {
                self.total.remove(&customer);
            }
        }
    }
}

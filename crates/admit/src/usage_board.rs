//! The use that other hosts report for their most active customers.

use lw_base::prelude::*;

use crate::customer_limits::CustomerId;

/// A report that was not renewed for this long counts as no use; longer than its sender counts it as its own.
const REPORT_AGE_MS: u64 = 12_000;

#[derive(Clone, Copy, Debug)]
struct Reported {
    received: MonoMs,
    rate_per_s: f64,
}

/// The sum of the reported use by customer, kept up to date with each report.
#[derive(Debug, Default)]
pub(crate) struct UsageBoard {
    reports: FastMap<(u64, CustomerId), Reported>,
    total: FastMap<CustomerId, f64>,
}

impl UsageBoard {
    /// Replaces the reported rates of these customers; the other customers of the host keep theirs.
    pub(crate) fn report(&mut self, now: MonoMs, host: u64, rates: &[(CustomerId, f64)]) {
        for (customer, rate_per_s) in rates {
            let customer = customer.shortened();
            self.forget(host, customer);
            if *rate_per_s <= 0.0 {
                continue;
            }
            *self.total.entry(customer).or_default() += rate_per_s;
            let report = Reported {
                received: now,
                rate_per_s: *rate_per_s,
            };
            self.reports.insert((host, customer), report);
        }
    }

    pub(crate) fn expire(&mut self, now: MonoMs) {
        let reports = self.reports.iter();
        let old: Vec<(u64, CustomerId)> = reports
            .filter(|(_, report)| now.since_ms(report.received) > REPORT_AGE_MS)
            .map(|(key, _)| *key)
            .collect();
        for (host, customer) in old {
            self.forget(host, customer);
        }
    }

    pub(crate) fn total(&self, customer: CustomerId) -> f64 {
        let total = self.total.get(&customer.shortened());
        total.copied().unwrap_or(0.0)
    }

    fn forget(&mut self, host: u64, customer: CustomerId) {
        /// Sums below this are rounding errors of sums that are zero.
        const NO_USE: f64 = 1e-6;
        let Some(report) = self.reports.remove(&(host, customer)) else {
            return;
        };
        if let Some(total) = self.total.get_mut(&customer) {
            *total -= report.rate_per_s;
            if *total < NO_USE {
                self.total.remove(&customer);
            }
        }
    }
}

//! Validates customers.

use crate::checker::Checker;
use crate::digest::Digest;
use crate::fault_kind::FaultKind;

/// The minimum rate limit, one request in 1,000 s; a limit of 0 would reject every request of the customer.
const MIN_REQUESTS_PER_S: f64 = 0.001;
const MAX_REQUESTS_PER_S: f64 = 1_000_000.0;

pub(crate) fn check_customers(checker: &mut Checker<'_>) {
    let document = checker.document;
    checker.check_names("customers", &document.customers, true);
    for (name, entry) in &document.customers {
        if let Some(region) = &entry.home_region
            && !document.regions.contains_key(region)
        {
            checker.check_region(&format!("customers/{name}/home_region"), region);
        }
        if let Some(rate) = entry.requests_per_s
            && !(MIN_REQUESTS_PER_S..=MAX_REQUESTS_PER_S).contains(&rate)
        {
            let path = format!("customers/{name}/requests_per_s");
            checker.check_range(&path, rate, MIN_REQUESTS_PER_S, MAX_REQUESTS_PER_S);
        }
        if !entry.key_digest.is_empty() && Digest::from_hex(&entry.key_digest).is_none() {
            checker.fault(
                format!("customers/{name}/key_digest"),
                FaultKind::InvalidDigest,
            );
        }
    }
}

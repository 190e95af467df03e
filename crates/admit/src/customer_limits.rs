//! Request rate limits per customer, shared between hosts by exchanging usage reports.

use lw_base::prelude::*;
use lw_base::stable_hash;

use crate::quantized_rate::QuantizedRate;
use crate::remote_usage::RemoteUsage;

/// The maximum number of customers with a token bucket on one host.
pub const MAX_TRACKED_CUSTOMERS: usize = 8_192;
/// The maximum number of customers in one usage report to the other hosts.
///
/// At 7 bytes each, the reports use 1.3 KB/s of the 12 KB/s control traffic budget in a region of 22 hosts.
pub const MAX_REPORTED_CUSTOMERS: usize = 9;
/// Usage below this fraction of the minimum rate of a host is not reported.
const REPORT_MIN_FRACTION: f64 = 0.5;
/// Usage is reported again when it changes by this fraction of the reported usage or of the minimum rate, whichever is
/// larger.
const REPORT_CHANGE_FRACTION: f64 = 0.2;
/// The interval at which unchanged usage is reported again.
const REPORT_INTERVAL_MS: u64 = 6_000;
/// How long this host counts usage that it reported as its own. Other hosts count the report for 3 s longer.
const LOCAL_REPORT_MAX_AGE_MS: u64 = 9_000;
/// The smoothing factor of the moving average of the local usage.
const USAGE_SMOOTHING: f64 = 0.5;
/// The number of buckets compared to choose one for eviction.
const EVICTION_SAMPLE: usize = 16;

/// Identifies a customer on every host and in every revision, by the stable hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);

impl CustomerId {
    /// Returns the id of the customer with this name.
    #[must_use]
    pub fn of_name(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }

    /// Returns the id truncated to the 40 bits that hosts exchange.
    ///
    /// Two customers with the same 40 bits count as one in the usage of other hosts, which can lower their shares but
    /// never raise them. Among 38,000 customers the probability of any such collision is 0.07%.
    #[must_use]
    pub fn shortened(self) -> Self {
        Self(self.0 & 0xff_ffff_ffff)
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    customer: CustomerId,
    tokens: f64,
    refilled_at: MonoMs,
    used_at: MonoMs,
    /// The requests in the current observation period, admitted or not.
    offered: u32,
    /// The moving average of the requests per second on this host.
    usage_per_s: f64,
    /// The rate that this host always grants, whatever the usage reports.
    min_per_s: f64,
    /// The usage that this host last reported, or zero without a current report.
    reported_per_s: f64,
    reported_at: MonoMs,
}

impl Bucket {
    fn end_period(&mut self, now: MonoMs, span_s: f64) {
        let latest_per_s = f64::from(self.offered) / span_s;
        self.offered = 0;
        self.usage_per_s += USAGE_SMOOTHING * (latest_per_s - self.usage_per_s);
        if now.since_ms(self.reported_at) > LOCAL_REPORT_MAX_AGE_MS {
            self.reported_per_s = 0.0;
        }
    }

    /// Returns the usage to report, or zero when it is well below the minimum rate.
    fn reportable_per_s(&self) -> f64 {
        match self.usage_per_s >= REPORT_MIN_FRACTION * self.min_per_s {
            true => QuantizedRate::of(self.usage_per_s).per_s(),
            false => 0.0,
        }
    }

    /// Returns the priority of a usage report, or `None` when no report is due.
    fn report_priority(&self, now: MonoMs) -> Option<f64> {
        let change_per_s = (self.reportable_per_s() - self.reported_per_s).abs();
        let scale_per_s = self.min_per_s.max(f64::MIN_POSITIVE);
        let changed = change_per_s > REPORT_CHANGE_FRACTION * self.reported_per_s.max(scale_per_s);
        let age_ms = match self.reported_per_s > 0.0 {
            true => now.since_ms(self.reported_at),
            false => 0,
        };
        let due = changed || age_ms >= REPORT_INTERVAL_MS;
        due.then(|| change_per_s / scale_per_s + age_ms as f64 / REPORT_INTERVAL_MS as f64)
    }
}

/// Token buckets of the customers tracked on one host.
#[derive(Debug, Default)]
pub struct CustomerLimits {
    buckets: Vec<Bucket>,
    by_customer: FastMap<CustomerId, usize>,
    remote: RemoteUsage,
    eviction_cursor: usize,
    period_start: MonoMs,
    /// When the first observation period ended. The current reports of all other hosts have arrived
    /// [`LOCAL_REPORT_MAX_AGE_MS`] later.
    listening_since: Option<MonoMs>,
}

impl CustomerLimits {
    /// Takes a token from the bucket of `customer`.
    ///
    /// `limit_per_s` is the limit over all hosts, and `hosts` is the number of live hosts.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token in milliseconds when the customer exceeds its limit.
    pub fn admit(
        &mut self,
        now: MonoMs,
        customer: CustomerId,
        limit_per_s: f64,
        hosts: u32,
    ) -> Result<(), u64> {
        let index = self.bucket_index(now, customer);
        let min_per_s = limit_per_s / (2.0 * f64::from(hosts.max(1)));
        self.buckets[index].min_per_s = min_per_s;
        let refill_per_s = self.local_rate_per_s(now, index, limit_per_s, hosts);
        let bucket = &mut self.buckets[index];
        bucket.offered += 1;
        bucket.used_at = now;
        let burst = refill_per_s.max(1.0);
        let gained = now.since_ms(bucket.refilled_at) as f64 / 1_000.0 * refill_per_s;
        bucket.tokens = (bucket.tokens + gained).min(burst);
        bucket.refilled_at = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = (1.0 - bucket.tokens) / refill_per_s.max(f64::MIN_POSITIVE) * 1_000.0;
        Err(wait_ms.ceil().clamp(1.0, 60_000.0) as u64)
    }

    /// Ends an observation period and appends the customers to report, with their requests per second.
    ///
    /// The caller of this method sends the report to the other hosts. A customer is reported when its usage changes and
    /// again every 6 s, the largest change relative to the limit first. A rate of zero withdraws an earlier report.
    /// Only reported usage counts as local usage, so that the shares of all hosts add up to at most one.
    pub fn take_usage_report(&mut self, now: MonoMs, out: &mut Vec<(CustomerId, f64)>) {
        let span_s = (now.since_ms(self.period_start) as f64 / 1_000.0).max(0.001);
        self.period_start = now;
        self.listening_since.get_or_insert(now);
        self.remote.expire(now);
        let mut due: Vec<(f64, usize)> = Vec::new();
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            bucket.end_period(now, span_s);
            due.extend(
                bucket
                    .report_priority(now)
                    .map(|priority| (priority, index)),
            );
        }
        if due.len() > MAX_REPORTED_CUSTOMERS {
            due.select_nth_unstable_by(MAX_REPORTED_CUSTOMERS - 1, |a, b| b.0.total_cmp(&a.0));
            due.truncate(MAX_REPORTED_CUSTOMERS);
        }
        for (_, index) in due {
            let bucket = &mut self.buckets[index];
            bucket.reported_per_s = bucket.reportable_per_s();
            bucket.reported_at = now;
            out.push((bucket.customer, bucket.reported_per_s));
        }
    }

    /// Records the usage report of another host; entries past [`MAX_REPORTED_CUSTOMERS`] are ignored.
    pub fn record_remote_usage(&mut self, now: MonoMs, host: u64, rates: &[(CustomerId, f64)]) {
        let accepted = &rates[..rates.len().min(MAX_REPORTED_CUSTOMERS)];
        self.remote.report(now, host, accepted);
    }

    /// Returns the number of customers with a token bucket.
    #[must_use]
    pub fn active(&self) -> usize {
        self.buckets.len()
    }

    fn local_rate_per_s(&self, now: MonoMs, index: usize, limit_per_s: f64, hosts: u32) -> f64 {
        let bucket = &self.buckets[index];
        let min_per_s = bucket.min_per_s;
        let is_recent = now.since_ms(bucket.reported_at) <= LOCAL_REPORT_MAX_AGE_MS;
        if bucket.reported_per_s <= 0.0 || !is_recent || !self.has_all_remote_usage(now, hosts) {
            return min_per_s;
        }
        let own = bucket.reported_per_s;
        let share = own / (own + self.remote.total_per_s(bucket.customer));
        (limit_per_s * share).max(min_per_s)
    }

    /// Returns true when this host has listened long enough to have received all current reports of the other hosts.
    fn has_all_remote_usage(&self, now: MonoMs, hosts: u32) -> bool {
        let listening_ms = self.listening_since.map(|since| now.since_ms(since));
        hosts <= 1
            || listening_ms.is_some_and(|listening_ms| listening_ms >= LOCAL_REPORT_MAX_AGE_MS)
    }

    fn bucket_index(&mut self, now: MonoMs, customer: CustomerId) -> usize {
        if let Some(index) = self.by_customer.get(&customer) {
            return *index;
        }
        let new_bucket = Bucket {
            customer,
            tokens: 1.0,
            refilled_at: now,
            used_at: now,
            offered: 0,
            usage_per_s: 0.0,
            min_per_s: 0.0,
            reported_per_s: 0.0,
            reported_at: now,
        };
        let index = if self.buckets.len() < MAX_TRACKED_CUSTOMERS {
            self.buckets.push(new_bucket);
            self.buckets.len() - 1
        } else {
            let index = self.eviction_candidate();
            self.by_customer.remove(&self.buckets[index].customer);
            self.buckets[index] = new_bucket;
            index
        };
        self.by_customer.insert(customer, index);
        index
    }

    /// Returns the least recently used bucket of the next sample.
    fn eviction_candidate(&mut self) -> usize {
        let start = self.eviction_cursor;
        self.eviction_cursor = (self.eviction_cursor + EVICTION_SAMPLE) % self.buckets.len();
        (start..start + EVICTION_SAMPLE)
            .map(|index| index % self.buckets.len())
            .min_by_key(|index| self.buckets[*index].used_at)
            .unwrap_or(0)
    }
}

//! Limits per customer.

use lw_base::prelude::*;
use lw_base::stable_hash;

use crate::usage_board::UsageBoard;

/// How many customers have a bucket on one host.
pub const ACTIVE_CUSTOMERS: usize = 8_192;
/// How many customers a host reports to the others per second.
pub const EXCHANGED_CUSTOMERS: usize = 64;
/// Weight of the newest second in the observed use.
const NEWEST: f64 = 0.5;
/// How many buckets are looked at to find one to give up.
const EVICTION_SAMPLE: usize = 16;

/// Names a customer on every host and in every revision: the stable hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);

impl CustomerId {
    /// Returns the id of the customer with this name.
    #[must_use]
    pub fn of_name(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    customer: CustomerId,
    tokens: f64,
    refilled: MonoMs,
    used: MonoMs,
    offered: u32,
    rate_per_s: f64,
    exchanged_per_s: f64,
}

/// Token buckets of the active customers of one host.
#[derive(Debug, Default)]
pub struct CustomerLimits {
    buckets: Vec<Bucket>,
    by_customer: FastMap<CustomerId, usize>,
    others: UsageBoard,
    hand: usize,
    exchanged_at: MonoMs,
}

impl CustomerLimits {
    /// Takes a token of `customer`.
    ///
    /// `limit_per_s` is the limit over all hosts and `hosts` the number of live hosts.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token, in milliseconds, when the customer is over its limit.
    pub fn admit(
        &mut self,
        now: MonoMs,
        customer: CustomerId,
        limit_per_s: f64,
        hosts: u32,
    ) -> Result<(), u64> {
        let index = self.bucket_of(now, customer);
        let local_per_s = self.local_rate_per_s(index, limit_per_s, hosts);
        let bucket = &mut self.buckets[index];
        bucket.offered += 1;
        bucket.used = now;
        let burst = local_per_s.max(1.0);
        let gained = now.since_ms(bucket.refilled) as f64 / 1_000.0 * local_per_s;
        bucket.tokens = (bucket.tokens + gained).min(burst);
        bucket.refilled = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = (1.0 - bucket.tokens) / local_per_s.max(f64::MIN_POSITIVE) * 1_000.0;
        Err(wait_ms.ceil().clamp(1.0, 60_000.0) as u64)
    }

    /// Closes a period of observation and appends the most active customers with their requests per second.
    ///
    /// The shell calls this once per second and sends the result to the other hosts. Only what was sent counts as own
    /// use, so that the shares of all hosts add up to at most one.
    pub fn exchange(&mut self, now: MonoMs, out: &mut Vec<(CustomerId, f64)>) {
        let span_s = (now.since_ms(self.exchanged_at) as f64 / 1_000.0).max(0.001);
        self.exchanged_at = now;
        self.others.expire(now);
        let mut active: Vec<(f64, usize)> = Vec::new();
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            let newest = f64::from(bucket.offered) / span_s;
            bucket.offered = 0;
            bucket.rate_per_s += NEWEST * (newest - bucket.rate_per_s);
            bucket.exchanged_per_s = 0.0;
            if bucket.rate_per_s > 0.01 {
                active.push((bucket.rate_per_s, index));
            }
        }
        if active.len() > EXCHANGED_CUSTOMERS {
            active.select_nth_unstable_by(EXCHANGED_CUSTOMERS - 1, |a, b| b.0.total_cmp(&a.0));
            active.truncate(EXCHANGED_CUSTOMERS);
        }
        for (rate_per_s, index) in active {
            let bucket = &mut self.buckets[index];
            bucket.exchanged_per_s = rate_per_s;
            out.push((bucket.customer, rate_per_s));
        }
    }

    /// Takes the most active customers of another host.
    pub fn others(&mut self, now: MonoMs, host: u64, rates: &[(CustomerId, f64)]) {
        let kept = &rates[..rates.len().min(EXCHANGED_CUSTOMERS)];
        self.others.report(now, host, kept);
    }

    /// Returns how many customers have a bucket.
    #[must_use]
    pub fn active(&self) -> usize {
        self.buckets.len()
    }

    fn local_rate_per_s(&self, index: usize, limit_per_s: f64, hosts: u32) -> f64 {
        let bucket = &self.buckets[index];
        let own = bucket.exchanged_per_s;
        let least = limit_per_s / (2.0 * f64::from(hosts.max(1)));
        if own <= 0.0 {
            return least;
        }
        let share = own / (own + self.others.total(bucket.customer));
        (limit_per_s * share).max(least)
    }

    fn bucket_of(&mut self, now: MonoMs, customer: CustomerId) -> usize {
        if let Some(index) = self.by_customer.get(&customer) {
            return *index;
        }
        let fresh = Bucket {
            customer,
            tokens: 1.0,
            refilled: now,
            used: now,
            offered: 0,
            rate_per_s: 0.0,
            exchanged_per_s: 0.0,
        };
        let index = if self.buckets.len() < ACTIVE_CUSTOMERS {
            self.buckets.push(fresh);
            self.buckets.len() - 1
        } else {
            let index = self.least_recent();
            self.by_customer.remove(&self.buckets[index].customer);
            self.buckets[index] = fresh;
            index
        };
        self.by_customer.insert(customer, index);
        index
    }

    /// Returns the least recently used of the next few buckets.
    fn least_recent(&mut self) -> usize {
        let start = self.hand;
        self.hand = (self.hand + EVICTION_SAMPLE) % self.buckets.len();
        (start..start + EVICTION_SAMPLE)
            .map(|index| index % self.buckets.len())
            .min_by_key(|index| self.buckets[*index].used)
            .unwrap_or(0)
    }
}

//! Limits per customer.

use lw_base::prelude::*;
use lw_base::stable_hash;

use crate::usage_board::UsageBoard;
use crate::usage_rate::QuantizedRate;

/// How many customers have a bucket on one host.
pub const MAX_TRACKED_CUSTOMERS: usize = 8_192;
/// How many customers a host reports to the others in one message.
///
/// At 7 bytes each they take 1.3 KB/s of the 12 KB/s of control traffic in a region of 22 hosts.
pub const MAX_REPORTED_CUSTOMERS: usize = 9;
/// A customer whose use is below this part of the host's least rate is not reported.
const RELEVANT: f64 = 0.5;
/// A change of this part of the reported use, or of the least rate, is reported.
const CHANGED: f64 = 0.2;
/// A report is renewed after this time.
const RENEW_MS: u64 = 6_000;
/// Own use that was reported longer ago does not count, because other hosts forget it 3 s later.
const OWN_AGE_MS: u64 = 9_000;
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

    /// Returns the id with only the 40 bits that hosts exchange.
    ///
    /// Two customers with the same bits count as one in the use of other hosts, which lowers their shares and never
    /// raises them; among 38,000 customers the probability of any such pair is 0.07%.
    #[must_use]
    pub fn shortened(self) -> Self {
        Self(self.0 & 0xff_ffff_ffff)
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
    /// The limit of a host without a share of the observed use.
    least_per_s: f64,
    exchanged_per_s: f64,
    exchanged_at: MonoMs,
}

impl Bucket {
    fn observe(&mut self, now: MonoMs, span_s: f64) {
        let newest = f64::from(self.offered) / span_s;
        self.offered = 0;
        self.rate_per_s += NEWEST * (newest - self.rate_per_s);
        if now.since_ms(self.exchanged_at) > OWN_AGE_MS {
            self.exchanged_per_s = 0.0;
        }
    }

    /// Returns the use to report: none when the least rate is more than enough.
    fn relevant_per_s(&self) -> f64 {
        match self.rate_per_s >= RELEVANT * self.least_per_s {
            true => QuantizedRate::of(self.rate_per_s).per_s(),
            false => 0.0,
        }
    }

    /// Returns how urgent a report is, or `None` when the others know enough.
    fn urgency(&self, now: MonoMs) -> Option<f64> {
        let change_per_s = (self.relevant_per_s() - self.exchanged_per_s).abs();
        let scale_per_s = self.least_per_s.max(f64::MIN_POSITIVE);
        let changed = change_per_s > CHANGED * self.exchanged_per_s.max(scale_per_s);
        let age_ms = match self.exchanged_per_s > 0.0 {
            true => now.since_ms(self.exchanged_at),
            false => 0,
        };
        let due = changed || age_ms >= RENEW_MS;
        due.then(|| change_per_s / scale_per_s + age_ms as f64 / RENEW_MS as f64)
    }
}

/// Token buckets of the active customers of one host.
#[derive(Debug, Default)]
pub struct CustomerLimits {
    buckets: Vec<Bucket>,
    by_customer: FastMap<CustomerId, usize>,
    others: UsageBoard,
    hand: usize,
    exchanged_at: MonoMs,
    /// When the first period of observation was closed.
    listens_since: Option<MonoMs>,
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
        let least_per_s = limit_per_s / (2.0 * f64::from(hosts.max(1)));
        self.buckets[index].least_per_s = least_per_s;
        let local_per_s = self.local_rate_per_s(now, index, limit_per_s, hosts);
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

    /// Closes a period of observation and appends the customers to report, with their requests per second.
    ///
    /// The shell sends the result to the other hosts. A customer is reported when its use changed and again every 6 s,
    /// the largest change in relation to the limit first; a rate of zero withdraws an earlier report. Only what was
    /// sent counts as own use, so that the shares of all hosts add up to at most one.
    pub fn exchange(&mut self, now: MonoMs, out: &mut Vec<(CustomerId, f64)>) {
        let span_s = (now.since_ms(self.exchanged_at) as f64 / 1_000.0).max(0.001);
        self.exchanged_at = now;
        self.listens_since.get_or_insert(now);
        self.others.expire(now);
        let mut due: Vec<(f64, usize)> = Vec::new();
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            bucket.observe(now, span_s);
            due.extend(bucket.urgency(now).map(|urgency| (urgency, index)));
        }
        if due.len() > MAX_REPORTED_CUSTOMERS {
            due.select_nth_unstable_by(MAX_REPORTED_CUSTOMERS - 1, |a, b| b.0.total_cmp(&a.0));
            due.truncate(MAX_REPORTED_CUSTOMERS);
        }
        for (_, index) in due {
            let bucket = &mut self.buckets[index];
            bucket.exchanged_per_s = bucket.relevant_per_s();
            bucket.exchanged_at = now;
            out.push((bucket.customer, bucket.exchanged_per_s));
        }
    }

    /// Takes the most active customers of another host.
    pub fn others(&mut self, now: MonoMs, host: u64, rates: &[(CustomerId, f64)]) {
        let kept = &rates[..rates.len().min(MAX_REPORTED_CUSTOMERS)];
        self.others.report(now, host, kept);
    }

    /// Returns how many customers have a bucket.
    #[must_use]
    pub fn active(&self) -> usize {
        self.buckets.len()
    }

    fn local_rate_per_s(&self, now: MonoMs, index: usize, limit_per_s: f64, hosts: u32) -> f64 {
        let bucket = &self.buckets[index];
        let least = bucket.least_per_s;
        let fresh = now.since_ms(bucket.exchanged_at) <= OWN_AGE_MS;
        if bucket.exchanged_per_s <= 0.0 || !fresh || !self.heard_all(now, hosts) {
            return least;
        }
        let own = bucket.exchanged_per_s;
        let share = own / (own + self.others.total(bucket.customer));
        (limit_per_s * share).max(least)
    }

    /// Returns true when every use that other hosts count as theirs has been reported to this one.
    fn heard_all(&self, now: MonoMs, hosts: u32) -> bool {
        let listens_ms = self.listens_since.map(|since| now.since_ms(since));
        hosts <= 1 || listens_ms.is_some_and(|listens_ms| listens_ms >= OWN_AGE_MS)
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
            least_per_s: 0.0,
            exchanged_per_s: 0.0,
            exchanged_at: now,
        };
        let index = if self.buckets.len() < MAX_TRACKED_CUSTOMERS {
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

//! This host's share of the limit that a target names.

use std::net::Ipv4Addr;

use lw_admit::{
    LENDING_INTERVAL_MS, LimitDemand, LimitPart, LimitSpan, Permit, SharedLimit, SharedLimiter,
    lending_per_s,
};
use lw_base::prelude::*;
use lw_mesh::SharingHost;

use crate::named_limit::NamedLimit;

/// Targets get at least this many requests per second from all hosts together. Without requests, hosts would not learn of
/// the end of a limit of zero.
const MIN_LIMIT_PER_S: f64 = 0.2;
/// What another host has asked counts for this long, in milliseconds: three intervals of heartbeats.
const ASKED_TTL_MS: u64 = 1_300;

/// This host's share of the limit of one target.
#[derive(Clone, Debug, Default)]
pub struct LimitShare {
    /// What the target says of its limit.
    pub named: NamedLimit,
    limiter: SharedLimiter,
    part: Option<LimitPart>,
    /// The hosts that share the limit, the holders of a part first.
    order: Vec<SharingHost>,
    /// The rates that other hosts ask, in requests per second, by the hash of their names.
    asked: FastMap<u32, (MonoMs, f64)>,
}

/// Requests of one target that this host lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The low half of the stable hash of the borrower's name.
    pub host: u32,
    /// The number of requests.
    pub requests: usize,
}

impl LimitShare {
    /// Returns the limit that hosts apply; `None` while the target names none.
    #[must_use]
    pub fn limit(&self) -> Option<SharedLimit> {
        self.named.per_s().map(|per_s| SharedLimit {
            per_s: per_s.max(MIN_LIMIT_PER_S),
            span: LimitSpan::Average,
        })
    }

    /// Sets the part of this host, and the hosts that share the limit in their order.
    pub fn set_part(&mut self, part: Option<LimitPart>, order: Vec<SharingHost>) {
        self.part = part;
        self.order = order;
    }

    /// Returns the hosts that hold a part of the limit.
    #[must_use]
    pub fn holders(&self) -> &[SharingHost] {
        let holders = self
            .limit()
            .map_or(0, |limit| limit.holders(self.order.len()));
        &self.order[..holders.min(self.order.len())]
    }

    /// Returns the address of a host that shares the limit.
    #[must_use]
    pub fn ip_of(&self, host: u32) -> Option<Ipv4Addr> {
        let known = self.order.iter().find(|other| other.name_hash == host);
        known.and_then(|other| other.ip)
    }

    /// Returns the number of requests that this host may send at once; `None` without a limit.
    #[must_use]
    pub fn available(&self, now: MonoMs) -> Option<usize> {
        self.limit()?;
        Some(self.limiter.available(now, self.part))
    }

    /// Returns the number of requests that this host may send within the next `span_ms` milliseconds, without those that it
    /// lends; `None` without a limit.
    #[must_use]
    pub fn available_within(&self, now: MonoMs, span_ms: u64) -> Option<f64> {
        let available = self.available(now)? as f64;
        let part_per_s = self.part.map_or(0.0, |part| part.per_s());
        let kept_per_s = (part_per_s - self.limiter.lending_per_s()).max(0.0);
        let kept_share = match part_per_s > 0.0 {
            true => kept_per_s / part_per_s,
            false => 1.0,
        };
        Some(available * kept_share + kept_per_s * span_ms as f64 / 1_000.0)
    }

    /// Returns when the target opens for this host, if the limit does not allow a request now.
    #[must_use]
    pub fn closed_until(&self, now: MonoMs) -> Option<MonoMs> {
        if self.available(now)? > 0 {
            return None;
        }
        let own = self.limiter.opens_at(now, self.part);
        // Without a part, the next requests come with the heartbeats of others.
        Some(own.unwrap_or(now.plus_ms(LENDING_INTERVAL_MS)))
    }

    /// Reserves a request; `None` if the limit does not allow one now. Call only while the target names a limit.
    pub fn try_reserve(&mut self, now: MonoMs) -> Option<Permit> {
        self.limiter.try_reserve(now, self.part)
    }

    /// Records that a reserved request is sent.
    pub fn record_sent(&mut self, now: MonoMs, permit: Permit) {
        self.limiter.record_sent(now, permit);
    }

    /// Gives back the reservation of a request that is not sent.
    pub fn cancel(&mut self, permit: Permit) {
        self.limiter.cancel(permit);
    }

    /// Records a request that is sent without a reservation, such as a health check.
    pub fn record_forced(&mut self, now: MonoMs) {
        if self.limit().is_some() {
            self.limiter.record_forced(now, self.part);
        }
    }

    /// Records the rate that another host asks.
    pub fn record_asked(&mut self, now: MonoMs, host: u32, per_s: f64) {
        self.asked
            .retain(|_, (at, _)| now.since_ms(*at) < ASKED_TTL_MS);
        self.asked.insert(host, (now, per_s));
    }

    /// Adds requests that another host lends.
    pub fn borrow(&mut self, now: MonoMs, requests: usize) {
        self.limiter.borrow(now, requests);
    }

    /// Lends what this host does not need of its part. `own_asked_per_s` is the rate that it asks itself; `draw` returns
    /// random numbers from 0 to 1.
    pub fn lend(
        &mut self,
        now: MonoMs,
        own_asked_per_s: f64,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<Loan> {
        let (Some(limit), Some(part)) = (self.limit(), self.part) else {
            return Vec::new();
        };
        let own = LimitDemand {
            asked_per_s: own_asked_per_s,
            part_per_s: part.per_s(),
        };
        let (hosts, demands) = self.demands_of_others(now, &limit);
        let rates = lending_per_s(limit.per_s, own, &demands);
        let total_per_s: f64 = rates.iter().sum();
        self.limiter.set_lending(now, Some(part), total_per_s);
        let mut loans: Vec<Loan> = Vec::new();
        for _ in 0..self.limiter.lend(now, part) {
            let Some(host) = draw_host(&hosts, &rates, draw() * total_per_s) else {
                continue;
            };
            match loans.iter_mut().find(|loan| loan.host == host) {
                Some(loan) => loan.requests += 1,
                None => loans.push(Loan { host, requests: 1 }),
            }
        }
        loans
    }

    /// Returns the other hosts that ask or hold a part, and their demands.
    fn demands_of_others(&self, now: MonoMs, limit: &SharedLimit) -> (Vec<u32>, Vec<LimitDemand>) {
        let part_per_s = |host: u32| {
            let rank = self.order.iter().position(|other| other.name_hash == host);
            let part = rank.and_then(|rank| limit.part(self.order.len(), rank));
            part.map_or(0.0, |part| part.per_s())
        };
        let asked = self.asked.iter();
        let asked = asked.filter(|(_, (at, _))| now.since_ms(*at) < ASKED_TTL_MS);
        let mut demands: FastMap<u32, LimitDemand> = asked
            .map(|(host, (_, asked_per_s))| {
                let demand = LimitDemand {
                    asked_per_s: *asked_per_s,
                    part_per_s: part_per_s(*host),
                };
                (*host, demand)
            })
            .collect();
        for holder in self.holders().iter().filter(|holder| !holder.is_local) {
            demands.entry(holder.name_hash).or_insert(LimitDemand {
                asked_per_s: 0.0,
                part_per_s: part_per_s(holder.name_hash),
            });
        }
        let mut demands: Vec<(u32, LimitDemand)> = demands.into_iter().collect();
        demands.sort_unstable_by_key(|(host, _)| *host);
        demands.into_iter().unzip()
    }
}

/// Returns the host at `position` when the hosts are laid out one after the other by their rates.
fn draw_host(hosts: &[u32], rates: &[f64], position: f64) -> Option<u32> {
    let mut end = 0.0;
    let mut last = None;
    for (host, rate) in hosts.iter().zip(rates) {
        if *rate <= 0.0 {
            continue;
        }
        end += rate;
        last = Some(*host);
        if position < end {
            return last;
        }
    }
    last
}

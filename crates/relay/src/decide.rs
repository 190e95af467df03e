//! Decides where the next attempt of a request goes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lw_base::prelude::*;
use rand::Rng;

use crate::choose::{ChoiceQuery, ChosenTarget, Closure, NoTarget, TargetEligibility, choose};
use crate::host::Host;
use crate::incoming::{Hop, Incoming};
use crate::local_reply::LocalReply;
use crate::prefix_owners::prefix_owners_of;
use crate::spill::{SpillQuery, choose_region};
use crate::suspension::must_wait_for_state;

/// A request waits for this fraction of its latency goal while no target can accept it, and is then refused while its
/// caller can still go elsewhere. An answer within an eighth of the goal costs the caller nothing; the rest of that
/// eighth covers the network time to this host and back, and to another host without free slots.
const WAIT_FRACTION: f64 = 0.08;
/// A request is refused after this many refusals by other hosts. Without a bound, hosts refused one another 100,000
/// requests in 14 s of full load; with a bound of one, requests failed after one refusal by a region whose targets were
/// all cold.
const MAX_REFUSALS: u32 = 2;
/// Waiting requests retry at least this often, because this host is not notified of slots that other hosts free.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// A request that waits for a closed target looks at it at most this often.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Requests that wait for the state of a neighbour check at least this often whether they still have to.
const WAKE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum and random spread of the retry delay for refused callers, as fractions of the latency goal: an answer is
/// still in time if the load has fallen by then, and callers that were refused together do not retry together.
const RETRY_DELAY_FRACTIONS: (f64, f64) = (0.25, 0.35);

/// The destination of an attempt.
pub(crate) enum Destination {
    /// A target in the region of this host.
    Target(ChosenTarget),
    /// Another host, in this region or another one.
    Host {
        address: SocketAddr,
        region: Arc<str>,
    },
}

/// The targets, hosts and regions that a request has tried.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Hashes of target incarnations.
    pub(crate) targets: Vec<u32>,
    /// Other regions.
    pub(crate) regions: Vec<Arc<str>>,
    /// The number of refusals by other hosts without free slots.
    pub(crate) refusals: u32,
    /// A host of this region refused the request, so the heartbeats of the region are out of date and another region is
    /// tried next.
    pub(crate) is_own_region_full: bool,
    /// Other hosts of this region.
    pub(crate) hosts: Vec<SocketAddr>,
}

impl Host {
    /// Decides on the next attempt; waits for a short time while no target can accept the request.
    pub(crate) async fn decide(
        &self,
        incoming: &Incoming,
        tried: &AttemptHistory,
    ) -> Result<Destination, LocalReply> {
        let started = self.clock.now();
        let wait_ms = (incoming.route.latency_goal_ms as f64 * WAIT_FRACTION) as u64;
        // Only the first host waits. A host that received a forwarded request answers at once, because the caller's
        // deadline applies to both hosts.
        let wait_until = match incoming.hop {
            Hop::Caller => started.plus_ms(wait_ms).min(incoming.deadline),
            Hop::Region | Hop::Near => started,
        };
        loop {
            let capacity_changed = self.capacity_changed.notified();
            if self.must_wait_for_state(started) {
                let _ = tokio::time::timeout(WAKE_POLL_INTERVAL, capacity_changed).await;
                continue;
            }
            if let Some(refusal) = self.refuse_suspects(incoming.suspects()) {
                return Err(refusal);
            }
            let refused = match self.decide_now(incoming, tried) {
                Ok(destination) => return Ok(destination),
                Err(refused) => refused,
            };
            let now = self.clock.now();
            let goal_ms = incoming.route.latency_goal_ms;
            match refused {
                NoTarget::Absent => {
                    return Err(LocalReply::not_run(
                        "no target in an allowed region accepts requests",
                        retry_delay_ms(goal_ms),
                    ));
                }
                NoTarget::Closed { until, reason } if until > wait_until => {
                    let reason = match reason {
                        Closure::Pause => "all targets have asked for a pause",
                        Closure::Limit => "the limits of all targets are used up",
                        Closure::Reported => "all targets are closed to the hosts that cover them",
                    };
                    return Err(LocalReply::closed(
                        reason,
                        until.since_ms(now),
                        retry_delay_ms(goal_ms),
                    ));
                }
                NoTarget::Full | NoTarget::Closed { .. } if now >= wait_until => {
                    return Err(LocalReply::not_run(
                        "no target can accept the request at the moment",
                        retry_delay_ms(goal_ms),
                    ));
                }
                NoTarget::Full | NoTarget::Closed { .. } => {}
            }
            let opens_in = match refused {
                NoTarget::Closed { until, .. } => Duration::from_millis(until.since_ms(now)),
                NoTarget::Absent | NoTarget::Full => POLL_INTERVAL,
            };
            let wait = opens_in.clamp(MIN_POLL_INTERVAL, POLL_INTERVAL);
            let _ = tokio::time::timeout(wait, capacity_changed).await;
        }
    }

    /// Returns whether a request that is being decided on since `started` waits for the state of a neighbour.
    fn must_wait_for_state(&self, started: MonoMs) -> bool {
        let now = self.clock.now();
        must_wait_for_state(
            now,
            started,
            self.ran_at.get(),
            self.woke_at.get(),
            self.state_doubt(now),
        )
    }

    fn decide_now(
        &self,
        incoming: &Incoming,
        tried: &AttemptHistory,
    ) -> Result<Destination, NoTarget> {
        let now = self.clock.now();
        // Uses the current plan instead of the one at arrival: targets drain, zones are evacuated and region
        // restrictions tighten while a request waits or runs.
        let plan = &*self.plan();
        let Some(key) = plan.services.key(&incoming.service) else {
            return Err(NoTarget::Absent);
        };
        let service = &plan.services[key];
        let timings = self.timings_of(service);
        let region = &self.settings.region;
        let allows = |region: &str| incoming.allows(plan, region);
        let is_region_allowed = allows(region);
        let owners = prefix_owners_of(plan, key, &incoming.prompt, region, allows);
        let query = ChoiceQuery {
            region,
            service: key,
            prompt: &incoming.prompt,
            prefix_owner: owners.in_region.map(|owner| owner.hash),
            is_owner_in_other_region: owners.is_outside(region),
            answer_events: self.answer_events(incoming),
            latency_goal_ms: incoming.route.latency_goal_ms as f64,
            is_within_share: false,
            tried: &tried.targets,
            timings,
        };
        let cold_part = |service: &_, target: &_| self.cold_part(service, target);
        let coverage = self.coverage.borrow();
        let covers = |target| coverage.covered_by_self(target);
        let rules = TargetEligibility {
            covers: &covers,
            cold_part: &cold_part,
        };
        let mut local_choice = match is_region_allowed {
            true => choose(plan, &query, now, &rules),
            false => Err(NoTarget::Absent),
        };
        // The share of the route matters only when the usual places are taken. Requests to engines differ in size by
        // a factor of a hundred, so their number says nothing about a route's share.
        let is_within_share = || service.engine.is_none() && self.is_within_share(now, incoming);
        if matches!(local_choice, Err(NoTarget::Full)) && is_within_share() {
            let query = ChoiceQuery {
                is_within_share: true,
                ..query
            };
            local_choice = choose(plan, &query, now, &rules);
        }
        drop(coverage);
        if incoming.hop == Hop::Near {
            return local_choice.map(Destination::Target);
        }
        let unshared_ms = incoming.prompt.unshared_tokens() as f64 * timings.prefill_ms_per_token;
        let may_forward = tried.refusals < MAX_REFUSALS;
        let regional_host = match is_region_allowed && may_forward {
            true => self.find_host_in_own_region(
                now,
                service,
                tried,
                &local_choice,
                owners.in_region,
                &incoming.prompt,
            ),
            false => None,
        };
        let serve_in_region = |local_choice: Result<ChosenTarget, NoTarget>| match regional_host {
            Some(regional_host) => Ok(Destination::Host {
                address: regional_host.address,
                region: region.clone(),
            }),
            None => local_choice.map(Destination::Target).or_else(|refused| {
                // The reserved places of a full target do not open one that is closed.
                let is_closed = matches!(refused, NoTarget::Closed { .. });
                let may_use_reserve = may_forward && is_region_allowed && !is_closed;
                let covering = match may_use_reserve && is_within_share() {
                    true => self.find_covering_host(plan, key, tried),
                    false => None,
                };
                let to_host = |address| Destination::Host {
                    address,
                    region: region.clone(),
                };
                covering.map(to_host).ok_or(refused)
            }),
        };
        if incoming.hop == Hop::Region {
            return serve_in_region(local_choice);
        }
        let local_cost_ms = match (&local_choice, regional_host) {
            (Ok(chosen), None) => {
                Some(chosen.cost_ms + owners.copy_cost_ms(&chosen.target, &query))
            }
            (Err(_), Some(_)) if tried.is_own_region_full => None,
            (_, Some(regional_host)) => {
                let copy_ms = owners
                    .in_region
                    .map_or(0.0, |owner| owners.copy_cost_ms(owner, &query));
                Some(regional_host.cost_ms + copy_ms)
            }
            (Err(_), None) => None,
        };
        let spill = SpillQuery {
            local_cost_ms,
            prefill_ms: incoming.prompt.input_tokens as f64 * timings.prefill_ms_per_token,
            prefix_owner: owners
                .global
                .map(|owner| (owner.region.clone(), unshared_ms)),
            candidates: self.region_candidates(
                now,
                service,
                tried,
                owners.global,
                || local_cost_ms.is_none() && is_within_share(),
                allows,
            ),
        };
        if may_forward
            && let Some(candidate) = choose_region(&spill)
            && let Some(address) = self.find_host_in_region(now, service.hash, candidate, tried)
        {
            let region = candidate.region.clone();
            self.recent_spills
                .borrow_mut()
                .record(now, region.clone(), service.hash);
            return Ok(Destination::Host { address, region });
        }
        serve_in_region(local_choice).map_err(|refused| match refused {
            NoTarget::Absent if let Some(until) = self.closed_until(now, service) => {
                NoTarget::Closed {
                    until,
                    reason: Closure::Reported,
                }
            }
            // Another region has the service but no free slot at the moment.
            NoTarget::Absent if self.serves_elsewhere(now, service, allows) => NoTarget::Full,
            refused => refused,
        })
    }
}

/// Returns the delay after which a refused caller should retry, in milliseconds.
pub(crate) fn retry_delay_ms(latency_goal_ms: u64) -> u64 {
    let (base, spread) = RETRY_DELAY_FRACTIONS;
    let fraction = base + spread * rand::rng().random_range(0.0..1.0);
    (latency_goal_ms as f64 * fraction) as u64
}

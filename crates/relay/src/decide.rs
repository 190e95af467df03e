//! Where the next attempt of a request goes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lw_base::prelude::*;
use rand::Rng;

use crate::choose::{ChoiceQuery, Chosen, ColdRules, NoTarget, choose, home_of};
use crate::end::OwnEnd;
use crate::host::Host;
use crate::incoming::Incoming;
use crate::spill::{RegionOffer, SpillQuery, choose_region};

/// A request for which every target is full waits for this part of its aim; after that it is refused while its caller
/// can still go elsewhere.
const WAIT_PART: f64 = 0.25;
/// Waiting requests look again at least this often, because targets of other hosts free up unseen.
const LOOK_AGAIN: Duration = Duration::from_millis(60);
/// When a refused caller should come back, in milliseconds, and how much later at random, so that callers that were
/// refused together do not return together.
const COME_BACK_MS: (u64, u64) = (400, 900);

/// Where an attempt goes.
pub(crate) enum Destination {
    /// A target of the region.
    Target(Chosen),
    /// A host of another region.
    Host {
        address: SocketAddr,
        region: Arc<str>,
    },
}

/// What has been tried for a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tried {
    /// Incarnations of targets.
    pub(crate) targets: Vec<u32>,
    /// Other regions.
    pub(crate) regions: Vec<Arc<str>>,
}

impl Host {
    /// Decides on the next attempt; waits for a short time while all targets are full.
    pub(crate) async fn decide(
        &self,
        incoming: &Incoming,
        tried: &Tried,
    ) -> Result<Destination, OwnEnd> {
        let started = self.clock.now();
        let wait_ms = (incoming.route.aim_ms as f64 * WAIT_PART) as u64;
        let wait_until = started.plus_ms(wait_ms).min(incoming.deadline);
        loop {
            let freed = self.freed.notified();
            let refused = match self.decide_now(incoming, tried) {
                Ok(destination) => return Ok(destination),
                Err(refused) => refused,
            };
            let now = self.clock.now();
            if now >= wait_until || refused == NoTarget::Absent {
                let reason = match refused {
                    NoTarget::Absent => "no target in an allowed region takes work",
                    NoTarget::Full => "all targets are full",
                };
                return Err(OwnEnd::not_run(reason, come_back_ms()));
            }
            let _ = tokio::time::timeout(LOOK_AGAIN, freed).await;
        }
    }

    fn decide_now(&self, incoming: &Incoming, tried: &Tried) -> Result<Destination, NoTarget> {
        let now = self.clock.now();
        // A newer plan counts at once, also for requests that wait; the service of the request stays the same.
        let plan = &incoming.plan;
        let service = &plan.services[incoming.service];
        let pace = self.pace(service);
        let may_stay = incoming.route.allows(&self.settings.region);
        let allows = |region: &str| incoming.route.allows(region);
        let home = home_of(plan, incoming.service, &incoming.prompt, allows);
        let query = ChoiceQuery {
            home: home.map(|home| home.hash),
            region: &self.settings.region,
            service: incoming.service,
            prompt: &incoming.prompt,
            tried: &tried.targets,
            pace,
        };
        let limit = |service: &_, target: &_| self.cold_limit(service, target);
        let cold = ColdRules { limit: &limit };
        let local = match may_stay {
            true => choose(plan, &query, now, &cold),
            false => Err(NoTarget::Absent),
        };
        if incoming.is_hop {
            return local.map(Destination::Target);
        }
        let spill = SpillQuery {
            local_ms: local.as_ref().ok().map(|chosen| chosen.cost_ms),
            prefill_ms: incoming.prompt.input_tokens as f64 * pace.token_ms,
            home: home.map(|home| {
                let own_tokens = incoming.prompt.own_tokens() as f64;
                (home.region.clone(), own_tokens * pace.token_ms)
            }),
            offers: self.offers(now, incoming, tried),
        };
        if let Some(offer) = choose_region(&spill)
            && let Some(address) = self.host_in(now, &offer.region)
        {
            let region = offer.region.clone();
            self.sent_away
                .borrow_mut()
                .note(now, region.clone(), incoming.service);
            return Ok(Destination::Host { address, region });
        }
        local.map(Destination::Target)
    }

    /// Returns what the regions that may serve a request offer.
    fn offers(&self, now: MonoMs, incoming: &Incoming, tried: &Tried) -> Vec<RegionOffer> {
        let service = &incoming.plan.services[incoming.service];
        let hosts = self.hosts.borrow();
        let sent_away = self.sent_away.borrow();
        let mut freshest: FastMap<&Arc<str>, (MonoMs, RegionOffer)> = FastMap::default();
        for (region, heard_at, used) in hosts.region_uses(now, service.hash) {
            let is_own = *region == self.settings.region;
            if is_own || !incoming.route.allows(region) || tried.regions.contains(region) {
                continue;
            }
            let offer = RegionOffer {
                region: region.clone(),
                wait_ms: f64::from(used.wait_ms),
                targets: u32::from(used.targets),
                sent_since: sent_away.count(now, region, incoming.service),
            };
            let known = freshest.get(region).map(|(at, _)| *at);
            if known.is_none_or(|known| known < heard_at) {
                freshest.insert(region, (heard_at, offer));
            }
        }
        freshest.into_values().map(|(_, offer)| offer).collect()
    }

    /// Returns the peer address of a host in a region: the less busy one of two at random.
    fn host_in(&self, now: MonoMs, region: &str) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let in_region: Vec<_> = hosts
            .ready(now)
            .filter(|entry| *entry.address.region == *region)
            .collect();
        if in_region.is_empty() {
            return None;
        }
        let mut rng = rand::rng();
        let mut draw = || in_region[rng.random_range(0..in_region.len())];
        let (first, second) = (draw(), draw());
        let chosen = match first.requests <= second.requests {
            true => first,
            false => second,
        };
        Some(SocketAddr::from((
            chosen.address.ip,
            self.settings.peer_port,
        )))
    }
}

/// Returns when a refused caller should come back, in milliseconds.
pub(crate) fn come_back_ms() -> u64 {
    COME_BACK_MS.0 + rand::rng().random_range(0..COME_BACK_MS.1)
}

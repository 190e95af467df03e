//! Where the next attempt of a request goes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::choose::{ChoiceQuery, Chosen, NoTarget, UseRules, choose};
use crate::end::OwnEnd;
use crate::homes::homes_of;
use crate::host::Host;
use crate::incoming::{Hop, Incoming};
use crate::spill::{SpillQuery, choose_region};

/// A request for which every target is full waits for this part of its aim; after that it is refused while its caller
/// can still go elsewhere. Callers lose nothing by an answer within an eighth of the aim; what is left of that is the way
/// to the host and back, and to another host that has no room either.
const WAIT_PART: f64 = 0.08;
/// After so many refusals of other hosts, a request is refused. Without a bound, hosts refused one another 100,000
/// requests in 14 s of full load; with a single one, requests were lost to a region whose targets were all cold.
const MOST_REFUSALS: u32 = 2;
/// Waiting requests look again at least this often, because targets of other hosts free up unseen.
const LOOK_AGAIN: Duration = Duration::from_millis(60);
/// When a refused caller should come back, and how much later at random, as parts of the aim: an answer is still in time
/// when the load has gone down meanwhile, and callers that were refused together do not return together.
const COME_BACK_PARTS: (f64, f64) = (0.25, 0.35);

/// Where an attempt goes.
pub(crate) enum Destination {
    /// A target of the region.
    Target(Chosen),
    /// Another host, of this region or of another one.
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
    /// How often another host had no room.
    pub(crate) refusals: u32,
    /// A host of this region was among them: its word is outdated, so another region comes next.
    pub(crate) is_near_full: bool,
    /// Other hosts of this region.
    pub(crate) hosts: Vec<SocketAddr>,
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
        // The first host waits. One that it asks answers at once, because the caller's time runs in both.
        let wait_until = match incoming.hop {
            Hop::Caller => started.plus_ms(wait_ms).min(incoming.deadline),
            Hop::Region | Hop::Near => started,
        };
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
                return Err(OwnEnd::not_run(reason, come_back_ms(incoming.route.aim_ms)));
            }
            let _ = tokio::time::timeout(LOOK_AGAIN, freed).await;
        }
    }

    fn decide_now(&self, incoming: &Incoming, tried: &Tried) -> Result<Destination, NoTarget> {
        let now = self.clock.now();
        // The present plan, not the one of the arrival: targets leave, zones are evacuated and homes become stricter
        // while a request waits or runs.
        let plan = &*self.plan();
        let Some(key) = plan.services.key(&incoming.service) else {
            return Err(NoTarget::Absent);
        };
        let service = &plan.services[key];
        let pace = self.pace(service);
        let region = &self.settings.region;
        let allows = |region: &str| incoming.allows(plan, region);
        let may_stay = allows(region);
        let homes = homes_of(plan, key, &incoming.prompt, region, allows);
        let query = ChoiceQuery {
            region,
            service: key,
            prompt: &incoming.prompt,
            home: homes.near.map(|home| home.hash),
            is_home_elsewhere: homes.is_elsewhere(region),
            tried: &tried.targets,
            pace,
        };
        let limit = |service: &_, target: &_| self.cold_limit(service, target);
        let coverage = self.coverage.borrow();
        let covers = |target| coverage.covered_by_self(target);
        let rules = UseRules {
            covers: &covers,
            limit: &limit,
        };
        let local = match may_stay {
            true => choose(plan, &query, now, &rules),
            false => Err(NoTarget::Absent),
        };
        drop(coverage);
        if incoming.hop == Hop::Near {
            return local.map(Destination::Target);
        }
        let own_ms = incoming.prompt.own_tokens() as f64 * pace.token_ms;
        let may_ask = tried.refusals < MOST_REFUSALS;
        let near = match may_stay && may_ask {
            true => self.host_near(now, service, tried, &local, homes.near, &incoming.prompt),
            false => None,
        };
        let stays = |local: Result<Chosen, NoTarget>| match near {
            Some(near) => Ok(Destination::Host {
                address: near.address,
                region: region.clone(),
            }),
            None => local.map(Destination::Target),
        };
        if incoming.hop == Hop::Region {
            return stays(local);
        }
        let local_ms = match (&local, near) {
            (Ok(chosen), None) => Some(chosen.cost_ms + homes.copy_ms(&chosen.target, &query)),
            (Err(_), Some(_)) if tried.is_near_full => None,
            (_, Some(near)) => {
                let copy_ms = homes.near.map_or(0.0, |home| homes.copy_ms(home, &query));
                Some(near.cost_ms + copy_ms)
            }
            (Err(_), None) => None,
        };
        let spill = SpillQuery {
            local_ms,
            prefill_ms: incoming.prompt.input_tokens as f64 * pace.token_ms,
            home: homes.overall.map(|home| (home.region.clone(), own_ms)),
            offers: self.offers(now, service, tried, homes.overall, allows),
        };
        if may_ask
            && let Some(offer) = choose_region(&spill)
            && let Some(address) = self.host_in(now, service.hash, offer)
        {
            let region = offer.region.clone();
            self.sent_away
                .borrow_mut()
                .note(now, region.clone(), service.hash);
            return Ok(Destination::Host { address, region });
        }
        stays(local).map_err(|refused| match refused {
            // Another region has the service, without a free place at present.
            NoTarget::Absent if self.serves_elsewhere(now, service, allows) => NoTarget::Full,
            refused => refused,
        })
    }
}

/// Returns when a refused caller should come back, in milliseconds.
pub(crate) fn come_back_ms(aim_ms: u64) -> u64 {
    let (least, spread) = COME_BACK_PARTS;
    let part = least + spread * rand::rng().random_range(0.0..1.0);
    (aim_ms as f64 * part) as u64
}

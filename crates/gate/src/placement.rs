//! Where the next attempt of a request goes, and its wait for a slot.

use std::sync::Arc;

use lw_admit::Offer;
use lw_base::prelude::*;
use lw_flow::Ending;
use lw_route::{Decision, LocalDecision, Query, Refusal, RegionSet, RouteView};

use crate::exchange::Exchange;
use crate::service_door::Entry;

/// Where the next attempt goes.
pub(crate) enum Place {
    /// A target of the own region.
    Target(Arc<RouteView>, TargetKey),
    /// Another region.
    Region(Arc<str>),
}

impl Exchange {
    /// Decides where the next attempt goes; waits for a slot of the service when that is this region.
    ///
    /// The residency rule is applied again after the wait, with the newest revision.
    pub(crate) async fn place(&mut self) -> Result<Place, Ending> {
        loop {
            let (view, decision) = match self.next.take() {
                Some(next) => next,
                None => {
                    let view = self.gate.router.view();
                    let decision = self.decide(&view);
                    (view, decision)
                }
            };
            let target = match decision {
                Decision::Target(target) => target,
                Decision::Region(region) => {
                    return Ok(Place::Region(view.fleet().regions.name(region).clone()));
                }
                Decision::Refuse(refusal) => return Err(self.refuse(refusal)),
            };
            if self.slot.is_some() {
                return Ok(Place::Target(view, target));
            }
            self.enter(&view).await?;
        }
    }

    /// Decides where another attempt would go; returns false when there is no place left for it.
    ///
    /// With `resumes`, only a target that resumes streams is a place.
    pub(crate) fn decide_next(&mut self, resumes: bool) -> bool {
        let view = self.gate.router.view();
        loop {
            let decision = self.decide(&view);
            match &decision {
                Decision::Refuse(_) => return false,
                Decision::Target(target) if resumes && !view.fleet().targets[*target].resume => {
                    self.tried_target(view.fleet().targets.name(*target).clone());
                    continue;
                }
                Decision::Region(region) => {
                    let name = view.fleet().regions.name(*region).clone();
                    if (self.gate.hosts.forward_addresses)(&name).is_empty() {
                        self.tried_region(name);
                        continue;
                    }
                }
                Decision::Target(_) => {}
            }
            self.next = Some((view, decision));
            return true;
        }
    }

    fn decide(&mut self, view: &RouteView) -> Decision {
        self.revision = view.fleet().revision;
        let Some(service) = view.fleet().services.key(&self.ask.service) else {
            return Decision::Refuse(Refusal {
                kind: ErrorKind::UnknownService,
                regions: RegionSet::EMPTY,
            });
        };
        let door = self
            .gate
            .admission
            .door(view, service, (self.gate.hosts.live_hosts)());
        let targets = &view.fleet().targets;
        let tried: Vec<TargetKey> = self
            .tried
            .iter()
            .filter_map(|name| targets.key(name))
            .collect();
        let regions = &view.fleet().regions;
        let mut query = Query::new(service, self.ask.allowed(view.fleet()));
        query.prefix = self.ask.prefix.map(|(hash, _)| hash);
        query.prefix_prefill_ms = self.ask.prefix.map_or(0.0, |(_, saved_ms)| saved_ms);
        query.local_wait_ms = match self.slot {
            Some(_) => 0.0,
            None => door.expected_wait_ms(self.ask.class),
        };
        query.tried = &tried;
        query.tried_regions = self
            .tried_regions
            .iter()
            .filter_map(|name| regions.key(name))
            .collect();
        if self.door.is_none() {
            door.count_request(self.gate.clock.mono());
        }
        self.door = Some(door);
        let now = self.gate.clock.now();
        match self.ask.hop {
            Hop::Caller if self.ask.idempotent => view.decide(now, &query),
            // A key belongs to its region, so the owner's requests stay in it.
            Hop::Caller | Hop::Region | Hop::Owner => local(view.decide_forwarded(now, &query)),
        }
    }

    /// Waits for a slot of the service.
    async fn enter(&mut self, view: &RouteView) -> Result<(), Ending> {
        let Some(door) = self.door.clone() else {
            return Err(self.end(ErrorKind::Internal));
        };
        let offer = Offer {
            class: self.ask.class,
            bytes: self.ask.body.len() as u64,
            deadline: self.ask.deadline,
        };
        let place = match door.enter(self.gate.clock, offer) {
            Entry::Slot(slot) => {
                self.slot = Some(slot);
                return Ok(());
            }
            Entry::Place(place) => place,
            Entry::Refused {
                kind,
                retry_after_ms,
            } => {
                self.detail.retry_after_ms = Some(retry_after_ms);
                log::debug!(
                    "gate: {} refused at revision {}",
                    self.ask.service,
                    view.fleet().revision
                );
                return Err(self.end(kind));
            }
        };
        self.flow.queue();
        let gone = self.ask.gone.clone();
        tokio::select! {
            () = gone.cancelled() => Err(self.end(ErrorKind::CallerGone)),
            waited = place.wait() => match waited {
                Ok(slot) => {
                    self.slot = Some(slot);
                    Ok(())
                }
                Err(_) => Err(self.end(ErrorKind::DeadlineBeforeSend)),
            },
        }
    }

    fn refuse(&mut self, refusal: Refusal) -> Ending {
        self.detail.entry_hosts = self.gate.entry_addresses(refusal.regions.iter());
        // The failure of the last attempt says more than that no further target is left.
        match self.last_failure {
            Some(failure) if refusal.kind == ErrorKind::NoTarget => self.end_failed(failure),
            _ => self.end(refusal.kind),
        }
    }
}

fn local(decision: LocalDecision) -> Decision {
    decision.into()
}

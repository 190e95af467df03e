//! Choosing the destination of the next attempt, and waiting for a slot of the service.

use std::sync::Arc;

use lw_admit::Offer;
use lw_base::prelude::*;
use lw_flow::FinalOutcome;
use lw_route::{Decision, LocalDecision, Query, Refusal, RegionSet, RouteView};

use crate::exchange::Exchange;
use crate::service_admission::AdmissionResult;

/// Destination of an attempt.
pub(crate) enum Destination {
    /// A target in the region of this host.
    Target(Arc<RouteView>, TargetKey),
    /// Another region.
    Region(Arc<str>),
}

impl Exchange {
    /// Chooses the destination of the next attempt, and waits for a slot of the service when it is a target.
    ///
    /// Chooses again after the wait, so that the residency rules of the newest revision apply. With `own_region_only`,
    /// other regions are not considered.
    pub(crate) async fn choose_destination(
        &mut self,
        own_region_only: bool,
    ) -> Result<Destination, FinalOutcome> {
        loop {
            let next = self.next_decision.take();
            let next = next.filter(|(_, decision)| {
                !own_region_only || !matches!(decision, Decision::Region(_))
            });
            let (view, decision) = match next {
                Some(next) => next,
                None => {
                    let view = self.gate.router.view();
                    let decision = self.decide(&view, own_region_only);
                    (view, decision)
                }
            };
            let target = match decision {
                Decision::Target(target) => target,
                Decision::Region(region) => {
                    return Ok(Destination::Region(
                        view.fleet().regions.name(region).clone(),
                    ));
                }
                Decision::Refuse(refusal) => return Err(self.end_refused(refusal)),
            };
            if self.slot.is_some() {
                return Ok(Destination::Target(view, target));
            }
            self.acquire_slot(&view).await?;
        }
    }

    /// Chooses the destination of another attempt and stores it in `next_decision`; returns false when none is left.
    ///
    /// With `needs_resume`, only targets in the region of this host that can resume streams are considered.
    pub(crate) fn choose_next(&mut self, needs_resume: bool) -> bool {
        let view = self.gate.router.view();
        loop {
            let decision = self.decide(&view, needs_resume);
            match &decision {
                Decision::Refuse(_) => return false,
                Decision::Target(target)
                    if needs_resume && !view.fleet().targets[*target].resume =>
                {
                    self.record_tried_target(view.fleet().targets.name(*target).clone());
                    continue;
                }
                Decision::Region(region) => {
                    let name = view.fleet().regions.name(*region).clone();
                    if (self.gate.hosts.forward_addresses)(&name).is_empty() {
                        self.record_tried_region(name);
                        continue;
                    }
                }
                Decision::Target(_) => {}
            }
            self.next_decision = Some((view, decision));
            return true;
        }
    }

    fn decide(&mut self, view: &RouteView, own_region_only: bool) -> Decision {
        self.revision = view.fleet().revision;
        let Some(service) = view.fleet().services.key(&self.request.service) else {
            return Decision::Refuse(Refusal {
                kind: ErrorKind::UnknownService,
                regions: RegionSet::EMPTY,
            });
        };
        let admission =
            self.gate
                .admission_control
                .service(view, service, (self.gate.hosts.live_hosts)());
        let targets = &view.fleet().targets;
        let tried: Vec<TargetKey> = self
            .tried_targets
            .iter()
            .filter_map(|name| targets.key(name))
            .collect();
        let regions = &view.fleet().regions;
        let mut query = Query::new(service, self.request.allowed_regions(view.fleet()));
        query.prefix = self.request.prefix.map(|(hash, _)| hash);
        query.prefix_prefill_ms = self.request.prefix.map_or(0.0, |(_, saved_ms)| saved_ms);
        query.local_wait_ms = match self.slot {
            Some(_) => 0.0,
            None => admission.expected_wait_ms(self.request.class),
        };
        query.tried = &tried;
        query.tried_regions = self
            .tried_regions
            .iter()
            .filter_map(|name| regions.key(name))
            .collect();
        if self.admission.is_none() {
            admission.count_request(self.gate.clock.mono());
        }
        self.admission = Some(admission);
        let now = self.gate.clock.now();
        match self.request.hop {
            Hop::Caller if self.request.idempotent && !own_region_only => view.decide(now, &query),
            // Non-idempotent requests stay in the home region of their key. Forwarded requests and resumed streams are
            // not forwarded to another region.
            Hop::Caller | Hop::Region | Hop::Owner => {
                to_decision(view.decide_forwarded(now, &query))
            }
        }
    }

    /// Acquires a slot of the service, waiting in its queue if necessary.
    async fn acquire_slot(&mut self, view: &RouteView) -> Result<(), FinalOutcome> {
        let Some(admission) = self.admission.clone() else {
            return Err(self.end(ErrorKind::Internal));
        };
        let offer = Offer {
            class: self.request.class,
            bytes: self.request.body.len() as u64,
            deadline: self.request.deadline,
        };
        let position = match admission.admit(self.gate.clock, offer) {
            AdmissionResult::Admitted(slot) => {
                self.slot = Some(slot);
                return Ok(());
            }
            AdmissionResult::Queued(position) => position,
            AdmissionResult::Refused {
                kind,
                retry_after_ms,
            } => {
                self.detail.retry_after_ms = Some(retry_after_ms);
                log::debug!(
                    "gate: admission refused a request of service {} at revision {}",
                    self.request.service,
                    view.fleet().revision
                );
                return Err(self.end(kind));
            }
        };
        self.flow.queue();
        let caller_gone = self.request.caller_gone.clone();
        tokio::select! {
            () = caller_gone.cancelled() => Err(self.end(ErrorKind::CallerGone)),
            result = position.wait() => match result {
                Ok(slot) => {
                    self.slot = Some(slot);
                    Ok(())
                }
                Err(_) => Err(self.end(ErrorKind::DeadlineBeforeSend)),
            },
        }
    }

    fn end_refused(&mut self, refusal: Refusal) -> FinalOutcome {
        self.detail.entry_hosts = self.gate.entry_addresses(refusal.regions.iter());
        // The failure of the last attempt is more informative than `no_target`.
        match self.last_failure {
            Some(failure) if refusal.kind == ErrorKind::NoTarget => self.end_with_failure(failure),
            _ => self.end(refusal.kind),
        }
    }
}

fn to_decision(decision: LocalDecision) -> Decision {
    decision.into()
}

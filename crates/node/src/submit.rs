//! Decides on non-idempotent requests that the HTTP servers submit.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use lw_base::prelude::*;
use lw_idem::{IdemRequest, IdemRoute, Instance, RecordKey};

use crate::core::Core;
use crate::host_addresses::HostAddresses;
use crate::submit_decision::SubmitDecision;
use crate::submit_request::SubmitRequest;

/// How long a request waits at most for a view change that was written but has not reached all hosts.
const MAX_VIEW_WAIT_MS: u64 = 2_000;

/// The period of view checks during the wait.
const VIEW_POLL_MS: u64 = 50;

impl Core {
    pub(crate) async fn submit(self: Arc<Self>, request: SubmitRequest) -> SubmitDecision {
        if self.is_stopped() {
            return refuse_unsent(ErrorKind::OwnerUnreachable, request);
        }
        let kind = match self.idem.route(request.key) {
            IdemRoute::Here => return self.decide_here(request).await,
            IdemRoute::Forward(owner) if !request.forwarded => {
                return self.forward(&owner, request);
            }
            IdemRoute::Forward(_) | IdemRoute::NoMap if request.forwarded => {
                if self.wait_to_own(request).await {
                    return self.decide_here(request).await;
                }
                ErrorKind::OwnerUnreachable
            }
            IdemRoute::Forward(_) | IdemRoute::NoMap => ErrorKind::OwnerUnreachable,
        };
        refuse_unsent(kind, request)
    }

    async fn decide_here(self: &Arc<Self>, request: SubmitRequest) -> SubmitDecision {
        let (ticket, receiver) = self.pending_decisions.register();
        let idem_request = IdemRequest {
            ticket,
            key: request.key,
            issued: request.issued,
            digest: request.digest,
            first_attempt: request.first_attempt,
            deadline: request.deadline,
        };
        let (now, wall) = (self.clock.mono(), self.clock.wall());
        let mut out = Vec::new();
        self.idem.on_request(&idem_request, now, wall, &mut out);
        self.perform_idem_actions(out);
        match receiver.await {
            Ok(SubmitDecision::Run(mut permit)) => {
                permit.received = true;
                SubmitDecision::Run(permit)
            }
            Ok(decision) => decision,
            // The node stopped before the request received a permit, so nothing was sent.
            Err(_) => refuse_unsent(ErrorKind::OwnerUnreachable, request),
        }
    }

    fn forward(&self, owner: &Instance, request: SubmitRequest) -> SubmitDecision {
        if !self.members.lock().clock_ok(self.clock.mono()) {
            return refuse_unsent(ErrorKind::ClaimRefused, request);
        }
        let address = self.address_of(&owner.host).and_then(|(address, known)| {
            let current = known == Some(owner.incarnation);
            HostAddresses::parse(&address).peer_http.filter(|_| current)
        });
        match address {
            Some(address) => SubmitDecision::Forward {
                host: owner.host.clone(),
                address,
            },
            None => refuse_unsent(ErrorKind::OwnerUnreachable, request),
        }
    }

    /// Waits until this host owns the key, and returns true if it does.
    ///
    /// Returns false on a timeout, or if a map read that was sent after this call does not make this host the owner.
    async fn wait_to_own(&self, request: SubmitRequest) -> bool {
        let requested_at = self.clock.mono();
        let until = requested_at.plus_ms(MAX_VIEW_WAIT_MS).min(request.deadline);
        self.map_read_requested.notify_one();
        while self.clock.mono() < until && !self.map_was_read_after(requested_at) {
            self.clock.sleep(VIEW_POLL_MS).await;
            if self.idem.route(request.key) == IdemRoute::Here {
                return true;
            }
        }
        false
    }

    fn map_was_read_after(&self, moment: MonoMs) -> bool {
        self.map_read_sent_at_ms.load(Ordering::Acquire) > moment.0
    }

    /// Waits until a host other than `former` owns the key, and returns false on a timeout.
    pub(crate) async fn wait_for_owner(
        self: Arc<Self>,
        key: RecordKey,
        former: String,
        deadline: MonoMs,
    ) -> bool {
        let until = self.clock.mono().plus_ms(MAX_VIEW_WAIT_MS).min(deadline);
        self.map_read_requested.notify_one();
        loop {
            let replaced = match self.idem.route(key) {
                IdemRoute::Here => true,
                IdemRoute::Forward(owner) => *owner.host != *former,
                IdemRoute::NoMap => false,
            };
            if replaced || self.clock.mono() >= until {
                return replaced;
            }
            self.clock.sleep(VIEW_POLL_MS).await;
        }
    }
}

/// Refuses a request that was not sent to a target; an earlier attempt may have run.
fn refuse_unsent(kind: ErrorKind, request: SubmitRequest) -> SubmitDecision {
    let outcome = if request.first_attempt {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    };
    SubmitDecision::Refuse { kind, outcome }
}

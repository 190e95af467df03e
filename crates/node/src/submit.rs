//! Decisions on non-idempotent requests for the HTTP side.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use lw_base::prelude::*;
use lw_idem::{IdemRequest, IdemRoute, Instance, RecordKey};

use crate::contact::Contact;
use crate::core::Core;
use crate::submit_decision::SubmitDecision;
use crate::submit_request::SubmitRequest;

/// How long a request waits for a view change that was written and has not arrived at one of the hosts.
const VIEW_WAIT_MS: u64 = 2_000;

/// How often the view is looked at meanwhile.
const VIEW_POLL_MS: u64 = 50;

impl Core {
    pub(crate) async fn submit(self: Arc<Self>, ask: SubmitRequest) -> SubmitDecision {
        if self.is_stopped() {
            return refuse_unsent(ErrorKind::OwnerUnreachable, ask);
        }
        let kind = match self.idem.route(ask.key) {
            IdemRoute::Here => return self.decide_here(ask).await,
            IdemRoute::Forward(owner) if !ask.forwarded => return self.forward(&owner, ask),
            IdemRoute::Forward(_) | IdemRoute::NoMap if ask.forwarded => {
                if self.becomes_owner(ask).await {
                    return self.decide_here(ask).await;
                }
                ErrorKind::OwnerUnreachable
            }
            IdemRoute::Forward(_) | IdemRoute::NoMap => ErrorKind::OwnerUnreachable,
        };
        refuse_unsent(kind, ask)
    }

    async fn decide_here(self: &Arc<Self>, ask: SubmitRequest) -> SubmitDecision {
        let (ticket, receiver) = self.answers.open();
        let request = IdemRequest {
            ticket,
            key: ask.key,
            issued: ask.issued,
            digest: ask.digest,
            first_attempt: ask.first_attempt,
            deadline: ask.deadline,
        };
        let (now, wall) = (self.clock.mono(), self.clock.wall());
        let mut out = Vec::new();
        self.idem.on_request(&request, now, wall, &mut out);
        self.perform_idem(out);
        match receiver.await {
            Ok(SubmitDecision::Run(mut permit)) => {
                permit.received = true;
                SubmitDecision::Run(permit)
            }
            Ok(answer) => answer,
            // The node stops: nothing was sent for this request.
            Err(_) => refuse_unsent(ErrorKind::OwnerUnreachable, ask),
        }
    }

    fn forward(&self, owner: &Instance, ask: SubmitRequest) -> SubmitDecision {
        if !self.members.lock().clock_ok(self.clock.mono()) {
            return refuse_unsent(ErrorKind::ClaimRefused, ask);
        }
        let address = self.address_of(&owner.host).and_then(|(address, known)| {
            let current = known == Some(owner.incarnation);
            Contact::parse(&address).peer_http.filter(|_| current)
        });
        match address {
            Some(address) => SubmitDecision::Forward {
                host: owner.host.clone(),
                address,
            },
            None => refuse_unsent(ErrorKind::OwnerUnreachable, ask),
        }
    }

    /// Waits until this host is the owner, or a read of the map that was sent after now shows another one.
    async fn becomes_owner(&self, ask: SubmitRequest) -> bool {
        let asked = self.clock.mono();
        let until = asked.plus_ms(VIEW_WAIT_MS).min(ask.deadline);
        self.read_map.notify_one();
        while self.clock.mono() < until && !self.map_was_read_after(asked) {
            self.clock.sleep(VIEW_POLL_MS).await;
            if self.idem.route(ask.key) == IdemRoute::Here {
                return true;
            }
        }
        false
    }

    fn map_was_read_after(&self, moment: MonoMs) -> bool {
        self.map_read_at.load(Ordering::Acquire) > moment.0
    }

    /// Waits until another host than `former` owns the key; returns false when that does not happen in time.
    pub(crate) async fn wait_for_owner(
        self: Arc<Self>,
        key: RecordKey,
        former: String,
        deadline: MonoMs,
    ) -> bool {
        let until = self.clock.mono().plus_ms(VIEW_WAIT_MS).min(deadline);
        self.read_map.notify_one();
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

/// Refuses a request of which nothing was sent; an earlier attempt may have run.
fn refuse_unsent(kind: ErrorKind, ask: SubmitRequest) -> SubmitDecision {
    let outcome = if ask.first_attempt {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    };
    SubmitDecision::Refuse { kind, outcome }
}

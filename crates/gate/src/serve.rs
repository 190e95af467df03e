//! Serving accepted requests, idempotent or not.

use std::sync::Arc;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};
use lw_base::prelude::*;
use lw_base::{stable_hash, stable_hash_pair};
use lw_flow::{AttemptFailure, FinalOutcome};
use lw_idem::{BodyDigest, Ending, IdempotencyKey, RecordKey};
use sha2::{Digest, Sha256};
use tokio_util::sync::CancellationToken;

use crate::accepted_request::AcceptedRequest;
use crate::accepted_response::AcceptedResponse;
use crate::attempts::AttemptError;
use crate::clock::Clock;
use crate::exchange::{Exchange, RunEnd};
use crate::header_names::{OUTCOME, REPLAYED, REQUEST_ID, REVISION};
use crate::headers::header_value;
use crate::idempotency_hooks::{KeyedDecision, KeyedRequest, RunPermit};
use crate::reply::Reply;

impl Exchange {
    /// Serves the request and returns the response to its caller.
    pub(crate) async fn serve(self) -> Reply {
        if self.request.idempotent {
            return self.run().await;
        }
        self.serve_keyed().await
    }

    /// Serves a non-idempotent request: the owner of its key decides whether it runs.
    async fn serve_keyed(mut self) -> Reply {
        let keyed = match self.keyed_request() {
            Ok(keyed) => keyed,
            Err(kind) => {
                let final_outcome = self.end(kind);
                return self.rejection_reply(final_outcome);
            }
        };
        let decision = match self.decide_keyed(keyed).await {
            Ok(decision) => decision,
            Err(final_outcome) => return self.rejection_reply(final_outcome),
        };
        let KeyedDecision::Forward { host, address } = decision else {
            return self.apply_decision(decision).await;
        };
        let failure = match self.forward_to_owner(&address).await {
            Ok(response) => return self.reply_with(response).await,
            Err(OwnerForwardError::Ended(final_outcome)) => {
                return self.rejection_reply(final_outcome);
            }
            Err(OwnerForwardError::NotRun(failure)) => failure,
        };
        self.serve_by_next_owner(keyed, host, failure).await
    }

    /// Serves a request that the owner of its key could not accept, if another host becomes the owner in time.
    ///
    /// The former owner has not run the request, and the idempotency key prevents a second run. This waits for only one
    /// change of owner: when the owner changes again, the region is unstable and the caller should retry later.
    async fn serve_by_next_owner(
        mut self,
        keyed: KeyedRequest,
        former_owner: Arc<str>,
        failure: AttemptFailure,
    ) -> Reply {
        let hooks = self.gate.idempotency_hooks.clone();
        let changed = tokio::select! {
            changed = hooks.wait_for_owner(keyed, former_owner) => changed,
            () = self.request.caller_gone.cancelled() => false,
        };
        if !changed {
            let final_outcome = self.end_without_owner(failure);
            return self.rejection_reply(final_outcome);
        }
        let decision = match self.decide_keyed(keyed).await {
            Ok(decision) => decision,
            Err(final_outcome) => return self.rejection_reply(final_outcome),
        };
        let KeyedDecision::Forward { address, .. } = decision else {
            return self.apply_decision(decision).await;
        };
        let final_outcome = match self.forward_to_owner(&address).await {
            Ok(response) => return self.reply_with(response).await,
            Err(OwnerForwardError::Ended(final_outcome)) => final_outcome,
            Err(OwnerForwardError::NotRun(failure)) => self.end_without_owner(failure),
        };
        self.rejection_reply(final_outcome)
    }

    /// Returns the decision on a non-idempotent request, or ends the request when the caller disconnects.
    async fn decide_keyed(&mut self, keyed: KeyedRequest) -> Result<KeyedDecision, FinalOutcome> {
        let hooks = self.gate.idempotency_hooks.clone();
        let caller_gone = self.request.caller_gone.clone();
        tokio::select! {
            decision = hooks.decide(keyed) => Ok(decision),
            // Without a permit this attempt has not run, but an earlier attempt of the caller may have.
            () = caller_gone.cancelled() => Err(self.end(ErrorKind::CallerGone)),
        }
    }

    /// Runs, replays or refuses the request as decided.
    ///
    /// A decision to forward the request is handled before; here it would end the request with `owner_unreachable`.
    async fn apply_decision(mut self, decision: KeyedDecision) -> Reply {
        self.flow.owner_decided();
        let (kind, outcome) = match decision {
            KeyedDecision::Run(permit) => return self.run_once(permit).await,
            KeyedDecision::Replay(ending) => return self.replay(ending),
            KeyedDecision::Refuse { kind, outcome } => (kind, outcome),
            KeyedDecision::Forward { .. } => (ErrorKind::OwnerUnreachable, self.unsent_outcome()),
        };
        let final_outcome = self.end_with_outcome(kind, outcome);
        self.rejection_reply(final_outcome)
    }

    /// Parses the idempotency key and checks that this region is its home region.
    fn keyed_request(&mut self) -> Result<KeyedRequest, ErrorKind> {
        let text = self.request.key.as_deref().ok_or(ErrorKind::KeyMissing)?;
        let parsed = IdempotencyKey::parse(text, Clock::wall());
        // A key whose time is too far ahead of this host's clock may have been accepted by a host whose clock is ahead.
        let well_formed = IdempotencyKey::parse(text, WallMs(u64::MAX)).is_ok();
        if well_formed && !self.request.first_attempt {
            self.flow.mark_possible_earlier_attempt();
        }
        let key = parsed?;
        let view = self.gate.router.view();
        let fleet = view.fleet();
        let home_region = fleet.regions.key(&key.region);
        let home_region = home_region.ok_or(ErrorKind::KeyMalformed)?;
        if self.request.hop == Hop::Region || *key.region != *self.gate.identity.region {
            self.detail.entry_hosts = self.gate.entry_addresses(std::iter::once(home_region));
            return Err(ErrorKind::Misdirected);
        }
        let allowed = self.request.allowed_regions(fleet);
        if !allowed.contains(home_region) {
            self.detail.entry_hosts = self.gate.entry_addresses(allowed.iter());
            return Err(ErrorKind::Misdirected);
        }
        Ok(KeyedRequest {
            key: RecordKey {
                scope: record_scope(&self.request),
                id: key.id,
            },
            issued: key.issued,
            digest: request_digest(&self.request),
            first_attempt: self.request.first_attempt,
            deadline: self.request.deadline,
            forwarded: self.request.hop == Hop::Owner,
        })
    }

    /// Runs the request. The run continues when the caller disconnects, so that a retry of the caller can receive the
    /// recorded response.
    async fn run_once(mut self, permit: RunPermit) -> Reply {
        self.request.caller_gone = CancellationToken::new();
        self.on_end = Some(Box::new(move |end| permit(&ending_for_record(end))));
        self.run().await
    }

    fn replay(mut self, ending: Ending) -> Reply {
        let kind = match ending {
            Ending::Kept {
                status,
                content_type,
                body,
            } => {
                self.complete_from_record();
                return self.recorded_reply(status, &content_type, body);
            }
            Ending::NotKept => ErrorKind::AnswerNotKept,
            Ending::Unknown | Ending::NotRun => ErrorKind::OutcomeUnknown,
        };
        let final_outcome = self.end(kind);
        self.rejection_reply(final_outcome)
    }

    fn recorded_reply(&self, status: u16, content_type: &str, body: bytes::Bytes) -> Reply {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
        let mut reply = Reply::whole(status, body);
        let headers = &mut reply.headers;
        if !content_type.is_empty() {
            headers.insert(CONTENT_TYPE, header_value(content_type));
        }
        headers.insert(REPLAYED, HeaderValue::from_static("true"));
        let outcome = HeaderValue::from_static(Outcome::Complete.as_str());
        headers.insert(OUTCOME, outcome);
        headers.insert(REQUEST_ID, header_value(&self.request.id.to_string()));
        headers.insert(REVISION, HeaderValue::from(self.revision));
        reply
    }

    /// Forwards the request to the owner of its key.
    async fn forward_to_owner(
        &mut self,
        address: &str,
    ) -> Result<AcceptedResponse, OwnerForwardError> {
        match self.forward(Hop::Owner, address).await {
            Ok(response) => Ok(response),
            Err(AttemptError::Failed(_, failure)) if owner_did_not_run(failure) => {
                Err(OwnerForwardError::NotRun(failure))
            }
            Err(AttemptError::Failed(_, failure)) => {
                self.flow.owner_decided();
                Err(OwnerForwardError::Ended(self.end_with_failure(failure)))
            }
            Err(AttemptError::Ended(final_outcome)) => Err(OwnerForwardError::Ended(final_outcome)),
            Err(AttemptError::Skipped) => {
                Err(OwnerForwardError::NotRun(AttemptFailure::ConnectFailed))
            }
        }
    }

    /// Ends a request that no owner accepted, with the outcome that the host reported, if any.
    fn end_without_owner(&mut self, failure: AttemptFailure) -> FinalOutcome {
        let AttemptFailure::Reported { kind, outcome } = failure else {
            return self.end_with_outcome(ErrorKind::OwnerUnreachable, self.unsent_outcome());
        };
        self.flow.owner_decided();
        self.end_with_outcome(kind, outcome)
    }

    /// Returns the outcome of a request that no owner received: only a first attempt is certain not to have run.
    fn unsent_outcome(&self) -> Outcome {
        match self.request.first_attempt {
            true => Outcome::NotRun,
            false => Outcome::Unknown,
        }
    }
}

/// Why forwarding to the owner of a key gave no response.
enum OwnerForwardError {
    /// The owner did not run the request; an earlier attempt may have run.
    NotRun(AttemptFailure),
    /// The request has ended.
    Ended(FinalOutcome),
}

/// Returns true when the host cannot have run the request: it was not reached, is not the owner, or is leaving.
fn owner_did_not_run(failure: AttemptFailure) -> bool {
    match failure {
        AttemptFailure::ConnectFailed => true,
        AttemptFailure::Reported { kind, .. } => {
            matches!(kind, ErrorKind::OwnerUnreachable | ErrorKind::Leaving)
        }
        _ => false,
    }
}

/// Converts the end of a run to the form that the idempotency record stores.
fn ending_for_record(end: RunEnd) -> Ending {
    match (end.final_outcome.outcome, end.buffered_response) {
        (Outcome::Complete, Some((status, content_type, body))) => {
            Ending::complete(status, &content_type, body)
        }
        (Outcome::Complete, None) => Ending::NotKept,
        (Outcome::NotRun, _) => Ending::NotRun,
        (Outcome::Unknown, _) => Ending::Unknown,
    }
}

fn record_scope(request: &AcceptedRequest) -> u64 {
    let customer = stable_hash(request.customer.as_bytes());
    stable_hash_pair(customer, request.service.as_bytes())
}

/// Returns the digest that detects different requests with the same key.
fn request_digest(request: &AcceptedRequest) -> BodyDigest {
    let mut hash = Sha256::new();
    for part in [request.method.as_str(), &request.path] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(&request.body);
    let full = hash.finalize();
    let mut digest = [0; 16];
    digest.copy_from_slice(&full[..16]);
    BodyDigest(digest)
}

//! Serving an accepted request, by the path that its idempotency demands.

use std::sync::Arc;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};
use lw_base::prelude::*;
use lw_base::{stable_hash, stable_hash_pair};
use lw_flow::{AttemptFailure, Ending};
use lw_idem::{BodyDigest, Ending as RecordEnding, IdempotencyKey, RecordKey};
use sha2::{Digest, Sha256};
use tokio_util::sync::CancellationToken;

use crate::answer::Answer;
use crate::ask::Ask;
use crate::attempts::Attempted;
use crate::clock::Clock;
use crate::exchange::{Exchange, RunEnd};
use crate::header_names::{OUTCOME, REPLAYED, REQUEST_ID, REVISION};
use crate::headers::value_of;
use crate::idempotency_hooks::{KeyedDecision, KeyedRequest, RunPermit};
use crate::reply::Reply;

impl Exchange {
    /// Serves the request.
    pub(crate) async fn serve(self) -> Reply {
        if self.ask.idempotent {
            return self.run().await;
        }
        self.serve_keyed().await
    }

    /// Serves a request that must not run twice: the owner of its key decides whether it runs.
    async fn serve_keyed(mut self) -> Reply {
        let keyed = match self.keyed_ask() {
            Ok(keyed) => keyed,
            Err(kind) => {
                let ending = self.end(kind);
                return self.rejection(ending);
            }
        };
        let answer = match self.decide_keyed(keyed).await {
            Ok(answer) => answer,
            Err(ending) => return self.rejection(ending),
        };
        let KeyedDecision::Forward { host, address } = answer else {
            return self.follow(answer).await;
        };
        let failure = match self.forward_to_owner(&address).await {
            Ok(answer) => return self.pass_answer(answer).await,
            Err(Unforwarded::Ended(ending)) => return self.rejection(ending),
            Err(Unforwarded::NotRun(failure)) => failure,
        };
        self.serve_by_next_owner(keyed, host, failure).await
    }

    /// Serves a request whose owner could not take it, when another host becomes the owner in time.
    ///
    /// The former owner has not run the request, and the key keeps it from running twice. One change of the owner is
    /// waited for: with a second one the region is in a state where the caller had better come back later.
    async fn serve_by_next_owner(
        mut self,
        keyed: KeyedRequest,
        former: Arc<str>,
        failure: AttemptFailure,
    ) -> Reply {
        let runs = self.gate.keyed.clone();
        let changed = tokio::select! {
            changed = runs.wait_for_owner(keyed, former) => changed,
            () = self.ask.gone.cancelled() => false,
        };
        if !changed {
            let ending = self.end_unforwarded(failure);
            return self.rejection(ending);
        }
        let answer = match self.decide_keyed(keyed).await {
            Ok(answer) => answer,
            Err(ending) => return self.rejection(ending),
        };
        let KeyedDecision::Forward { address, .. } = answer else {
            return self.follow(answer).await;
        };
        let ending = match self.forward_to_owner(&address).await {
            Ok(answer) => return self.pass_answer(answer).await,
            Err(Unforwarded::Ended(ending)) => ending,
            Err(Unforwarded::NotRun(failure)) => self.end_unforwarded(failure),
        };
        self.rejection(ending)
    }

    /// Asks for the decision on a request that must not run twice.
    async fn decide_keyed(&mut self, keyed: KeyedRequest) -> Result<KeyedDecision, Ending> {
        let runs = self.gate.keyed.clone();
        let gone = self.ask.gone.clone();
        tokio::select! {
            answer = runs.decide(keyed) => Ok(answer),
            // A request that did not get its permit has not run; an earlier attempt may have.
            () = gone.cancelled() => Err(self.end(ErrorKind::CallerGone)),
        }
    }

    /// Follows a decision that needs no other host.
    async fn follow(mut self, answer: KeyedDecision) -> Reply {
        self.flow.owner_decided();
        let (kind, outcome) = match answer {
            KeyedDecision::Run(permit) => return self.run_once(permit).await,
            KeyedDecision::Replay(ending) => return self.replay(ending),
            KeyedDecision::Refuse { kind, outcome } => (kind, outcome),
            KeyedDecision::Forward { .. } => (ErrorKind::OwnerUnreachable, self.unsent_outcome()),
        };
        let ending = self.end_as(kind, outcome);
        self.rejection(ending)
    }

    /// Reads the key and checks that this region is the one that it belongs to.
    fn keyed_ask(&mut self) -> Result<KeyedRequest, ErrorKind> {
        let text = self.ask.key.as_deref().ok_or(ErrorKind::KeyMissing)?;
        let parsed = IdempotencyKey::parse(text, Clock::wall());
        // A key that is only too far ahead of this host's clock may have run on a host whose clock is ahead as well.
        let well_formed = IdempotencyKey::parse(text, WallMs(u64::MAX)).is_ok();
        if well_formed && !self.ask.first_attempt {
            self.flow.mark_possible_earlier_attempt();
        }
        let key = parsed?;
        let view = self.gate.router.view();
        let fleet = view.fleet();
        let home = fleet.regions.key(&key.region);
        let home = home.ok_or(ErrorKind::KeyMalformed)?;
        if self.ask.hop == Hop::Region || *key.region != *self.gate.identity.region {
            self.detail.entry_hosts = self.gate.entry_addresses(std::iter::once(home));
            return Err(ErrorKind::Misdirected);
        }
        let allowed = self.ask.allowed(fleet);
        if !allowed.contains(home) {
            self.detail.entry_hosts = self.gate.entry_addresses(allowed.iter());
            return Err(ErrorKind::Misdirected);
        }
        Ok(KeyedRequest {
            key: RecordKey {
                scope: scope_of(&self.ask),
                id: key.id,
            },
            issued: key.issued,
            digest: digest_of(&self.ask),
            first_attempt: self.ask.first_attempt,
            deadline: self.ask.deadline,
            forwarded: self.ask.hop == Hop::Owner,
        })
    }

    /// Runs the request; it goes on when its caller goes away, so that a repeat receives its answer.
    async fn run_once(mut self, permit: RunPermit) -> Reply {
        self.ask.gone = CancellationToken::new();
        self.on_end = Some(Box::new(move |end| permit(&record_of(end))));
        self.run().await
    }

    fn replay(mut self, ending: RecordEnding) -> Reply {
        let kind = match ending {
            RecordEnding::Kept {
                status,
                content_type,
                body,
            } => {
                self.complete_from_record();
                return self.recorded(status, &content_type, body);
            }
            RecordEnding::NotKept => ErrorKind::AnswerNotKept,
            RecordEnding::Unknown | RecordEnding::NotRun => ErrorKind::OutcomeUnknown,
        };
        let ending = self.end(kind);
        self.rejection(ending)
    }

    fn recorded(&self, status: u16, content_type: &str, body: bytes::Bytes) -> Reply {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
        let mut reply = Reply::whole(status, body);
        let headers = &mut reply.headers;
        if !content_type.is_empty() {
            headers.insert(CONTENT_TYPE, value_of(content_type));
        }
        headers.insert(REPLAYED, HeaderValue::from_static("true"));
        let outcome = HeaderValue::from_static(Outcome::Complete.as_str());
        headers.insert(OUTCOME, outcome);
        headers.insert(REQUEST_ID, value_of(&self.ask.id.to_string()));
        headers.insert(REVISION, HeaderValue::from(self.revision));
        reply
    }

    /// Sends the request to the owner of its key.
    async fn forward_to_owner(&mut self, address: &str) -> Result<Answer, Unforwarded> {
        match self.forward(Hop::Owner, address).await {
            Ok(answer) => Ok(answer),
            Err(Attempted::Failed(_, failure)) if owner_did_not_run(failure) => {
                Err(Unforwarded::NotRun(failure))
            }
            Err(Attempted::Failed(_, failure)) => {
                self.flow.owner_decided();
                Err(Unforwarded::Ended(self.end_failed(failure)))
            }
            Err(Attempted::Ended(ending)) => Err(Unforwarded::Ended(ending)),
            Err(Attempted::Again) => Err(Unforwarded::NotRun(AttemptFailure::ConnectFailed)),
        }
    }

    /// Ends a request that no owner took; only a first attempt is certain not to have run.
    fn end_unforwarded(&mut self, failure: AttemptFailure) -> Ending {
        let AttemptFailure::Reported { kind, outcome } = failure else {
            return self.end_as(ErrorKind::OwnerUnreachable, self.unsent_outcome());
        };
        self.flow.owner_decided();
        self.end_as(kind, outcome)
    }

    fn unsent_outcome(&self) -> Outcome {
        match self.ask.first_attempt {
            true => Outcome::NotRun,
            false => Outcome::Unknown,
        }
    }
}

/// Why the owner of a key gave no answer.
enum Unforwarded {
    /// The owner did not run the request; an earlier attempt may have run.
    NotRun(AttemptFailure),
    /// The request has ended.
    Ended(Ending),
}

/// Returns true when the asked host cannot have run the request: nothing reached it, or it is not the owner.
fn owner_did_not_run(failure: AttemptFailure) -> bool {
    match failure {
        AttemptFailure::ConnectFailed => true,
        AttemptFailure::Reported { kind, .. } => {
            matches!(kind, ErrorKind::OwnerUnreachable | ErrorKind::Leaving)
        }
        _ => false,
    }
}

/// Returns the end of a run as its record holds it.
fn record_of(end: RunEnd) -> RecordEnding {
    match (end.ending.outcome, end.kept) {
        (Outcome::Complete, Some((status, content_type, body))) => {
            RecordEnding::complete(status, &content_type, body)
        }
        (Outcome::Complete, None) => RecordEnding::NotKept,
        (Outcome::NotRun, _) => RecordEnding::NotRun,
        (Outcome::Unknown, _) => RecordEnding::Unknown,
    }
}

fn scope_of(ask: &Ask) -> u64 {
    let customer = stable_hash(ask.customer.as_bytes());
    stable_hash_pair(customer, ask.service.as_bytes())
}

/// Returns the digest that tells apart different requests with the same key.
fn digest_of(ask: &Ask) -> BodyDigest {
    let mut hash = Sha256::new();
    for part in [ask.method.as_str(), &ask.path] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(&ask.body);
    let full = hash.finalize();
    let mut digest = [0; 16];
    digest.copy_from_slice(&full[..16]);
    BodyDigest(digest)
}

//! Serving an accepted request, by the path that its idempotency demands.

use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};
use lw_base::prelude::*;
use lw_base::{stable_hash, stable_hash_pair};
use lw_flow::AttemptFailure;
use lw_idem::{BodyDigest, Ending as RecordEnding, IdempotencyKey, RecordKey};
use sha2::{Digest, Sha256};
use tokio_util::sync::CancellationToken;

use crate::ask::Ask;
use crate::attempts::Attempted;
use crate::clock::Clock;
use crate::exchange::{Exchange, RunEnd};
use crate::header_names::{OUTCOME, REPLAYED, REQUEST_ID, REVISION};
use crate::headers::value_of;
use crate::keyed::{KeyedAnswer, KeyedAsk, RunPermit};
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
        let decision = self.gate.keyed.clone();
        let gone = self.ask.gone.clone();
        let answer = tokio::select! {
            answer = decision.decide(keyed) => answer,
            // A request that did not get its permit has not run; an earlier attempt may have.
            () = gone.cancelled() => {
                let ending = self.end(ErrorKind::CallerGone);
                return self.rejection(ending);
            }
        };
        match answer {
            KeyedAnswer::Run(permit) => self.run_once(permit).await,
            KeyedAnswer::Replay(ending) => self.replay(ending),
            KeyedAnswer::Refuse { kind, outcome } => {
                let ending = self.end_as(kind, outcome);
                self.rejection(ending)
            }
            KeyedAnswer::Forward(address) => self.forward_to_owner(&address).await,
        }
    }

    /// Reads the key and checks that this region is the one that it belongs to.
    fn keyed_ask(&mut self) -> Result<KeyedAsk, ErrorKind> {
        let text = self.ask.key.as_deref().ok_or(ErrorKind::KeyMissing)?;
        let key = IdempotencyKey::parse(text, Clock::wall())?;
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
        Ok(KeyedAsk {
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

    /// Sends the request to the owner of its key, once.
    async fn forward_to_owner(mut self, address: &str) -> Reply {
        let answer = match self.forward(Hop::Owner, address).await {
            Ok(answer) => answer,
            Err(Attempted::Failed(_, failure)) => {
                let ending = match failure {
                    AttemptFailure::ConnectFailed => self.end_unsent(ErrorKind::OwnerUnreachable),
                    _ => self.end_failed(failure),
                };
                return self.rejection(ending);
            }
            Err(Attempted::Ended(ending)) => return self.rejection(ending),
            Err(Attempted::Again) => {
                let ending = self.end_unsent(ErrorKind::OwnerUnreachable);
                return self.rejection(ending);
            }
        };
        self.pass_answer(answer).await
    }

    /// Ends a request of which nothing was sent; only a first attempt is certain not to have run.
    fn end_unsent(&mut self, kind: ErrorKind) -> lw_flow::Ending {
        let outcome = match self.ask.first_attempt {
            true => Outcome::NotRun,
            false => Outcome::Unknown,
        };
        self.end_as(kind, outcome)
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

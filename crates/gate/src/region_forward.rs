//! Forwarding a request to another host.

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue};
use lw_base::prelude::*;
use lw_base::report_violation;
use lw_flow::AttemptFailure;
use rand::seq::IndexedRandom;

use crate::answer::{Answer, Source};
use crate::ask::Ask;
use crate::attempts::Attempted;
use crate::clock::Clock;
use crate::exchange::Exchange;
use crate::gate::Gate;
use crate::header_names::{
    CALLER_ATTEMPT, ERROR, OUTCOME, PEER_ALLOWED, PEER_CUSTOMER, PEER_DEADLINE_MS, PEER_HOP,
    PEER_REQUEST_ID, PEER_REVISION, PEER_SERVICE, PRIORITY, REQUEST_ID,
};
use crate::headers::{for_target, text, value_of};
use crate::target_client::Opened;

/// The path of forwarded requests; the path of the request follows it.
pub(crate) const FORWARD_PATH: &str = "/peer/forward";

impl Exchange {
    /// Forwards the request to a host of another region.
    pub(crate) async fn try_region(&mut self, region: &str) -> Result<Answer, Attempted> {
        self.tried_region(region.into());
        let view = self.gate.router.view();
        let Some(key) = view.fleet().regions.key(region) else {
            return Err(Attempted::Again);
        };
        if !self.check_region(&view, key) {
            return Err(Attempted::Ended(self.end(ErrorKind::ResidencyRefused)));
        }
        let addresses = (self.gate.hosts.forward_addresses)(region);
        let Some(address) = addresses.choose(&mut rand::rng()).cloned() else {
            self.region_failed(region);
            return Err(Attempted::Again);
        };
        let result = self.forward(Hop::Region, &address).await;
        if let Err(Attempted::Failed(_, failure)) = &result
            && failure.kind() != ErrorKind::ResidencyRefused
        {
            self.region_failed(region);
        }
        result
    }

    fn region_failed(&self, region: &str) {
        let view = self.gate.router.view();
        let fleet = view.fleet();
        if let (Some(service), Some(region)) = (
            fleet.services.key(&self.ask.service),
            fleet.regions.key(region),
        ) {
            view.region_failed(self.gate.clock.mono(), service, region);
        }
    }

    /// Sends the request to another host with the next hop.
    pub(crate) async fn forward(&mut self, hop: Hop, address: &str) -> Result<Answer, Attempted> {
        if !self.ask.hop.allows(hop) {
            report_violation(
                Invariant::NoLoop,
                format_args!(
                    "request {} was about to take a second {hop:?} hop",
                    self.ask.id
                ),
            );
            return Err(Attempted::Ended(self.end(ErrorKind::LoopDetected)));
        }
        let attempt = match self.flow.start_attempt(self.gate.clock.mono()) {
            Ok(attempt) => attempt,
            Err(kind) => return Err(Attempted::Ended(self.end(kind))),
        };
        self.gate.metrics.attempt(&self.ask.service, hop.as_str());
        let path = format!("{FORWARD_PATH}{}", self.ask.path);
        let headers = forward_headers(&self.gate, &self.ask, hop, &path);
        let body: Bytes = self.ask.body.clone();
        let client = self.gate.targets.clone();
        let send = client.send(address, &self.ask.method, &path, headers, body);
        let gone = self.ask.gone.clone();
        let sent = tokio::select! {
            sent = send => sent,
            () = gone.cancelled() => return Err(Attempted::Ended(self.end(ErrorKind::CallerGone))),
            () = tokio::time::sleep_until(self.deadline()) => {
                return Err(Attempted::Ended(self.end(self.flow.deadline_kind())));
            }
        };
        let opened = sent.map_err(|failure| Attempted::Failed(attempt, failure))?;
        self.accept_forwarded(attempt, opened)
    }

    fn accept_forwarded(
        &mut self,
        attempt: AttemptId,
        opened: Opened,
    ) -> Result<Answer, Attempted> {
        let headers = opened.response.headers();
        if let Some(failure) = reported_failure(headers) {
            self.detail.retry_after_ms = retry_after_ms(headers);
            return Err(Attempted::Failed(attempt, failure));
        }
        let is_own = text(headers, &REQUEST_ID) == Some(&self.ask.id.to_string());
        if !is_own || !self.flow.accept_head(attempt) {
            opened.poison();
            return Err(Attempted::Failed(attempt, AttemptFailure::CrossedAnswer));
        }
        let (head, body) = opened.response.into_parts();
        Ok(Answer {
            attempt,
            head,
            body,
            source: Source::Host,
        })
    }
}

fn reported_failure(headers: &HeaderMap) -> Option<AttemptFailure> {
    let name = text(headers, &ERROR)?;
    let outcome = text(headers, &OUTCOME).and_then(Outcome::from_name);
    let kind = ErrorKind::from_name(name);
    Some(match (kind, outcome) {
        (Some(kind), Some(outcome)) if outcome != Outcome::Complete => {
            AttemptFailure::Reported { kind, outcome }
        }
        // A host of a newer version may know kinds that this one does not.
        _ => AttemptFailure::AnswerLost,
    })
}

fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: u64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(seconds.saturating_mul(1_000))
}

/// Builds the headers of a forwarded request.
///
/// The allowed regions are those of the sending host; the receiving host intersects them with its own (I1).
fn forward_headers(gate: &Gate, ask: &Ask, hop: Hop, path: &str) -> HeaderMap {
    let view = gate.router.view();
    let fleet = view.fleet();
    let allowed = ask.allowed(fleet);
    let names: Vec<&str> = allowed
        .iter()
        .filter_map(|key| {
            fleet.regions.get(key)?;
            Some(&**fleet.regions.name(key))
        })
        .collect();
    let mut headers = for_target(&ask.headers);
    headers.insert(PEER_HOP, HeaderValue::from_static(hop.as_str()));
    headers.insert(PEER_REQUEST_ID, value_of(&ask.id.to_string()));
    headers.insert(PEER_REVISION, HeaderValue::from(fleet.revision));
    headers.insert(PEER_ALLOWED, value_of(&names.join(",")));
    let remaining_ms = ask.deadline.since_ms(gate.clock.mono());
    headers.insert(PEER_DEADLINE_MS, HeaderValue::from(remaining_ms));
    headers.insert(PEER_SERVICE, value_of(&ask.service));
    headers.insert(PEER_CUSTOMER, value_of(&ask.customer));
    headers.insert(PRIORITY, HeaderValue::from_static(ask.class.as_str()));
    if ask.first_attempt {
        headers.insert(CALLER_ATTEMPT, HeaderValue::from_static("1"));
    }
    gate.peer_auth
        .sign(Clock::wall(), &ask.method, path, &mut headers, &ask.body);
    headers
}

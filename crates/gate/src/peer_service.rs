//! The listener for other hosts.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::report_violation;
use lw_doc::{Fleet, ServiceKind};

use crate::ask::Ask;
use crate::chat_request::ChatRequest;
use crate::clock::Clock;
use crate::exchange::Exchange;
use crate::gate::Gate;
use crate::header_names::{
    CALLER_ATTEMPT, IDEMPOTENCY_KEY, PEER_ALLOWED, PEER_CUSTOMER, PEER_DEADLINE_MS, PEER_HOP,
    PEER_REQUEST_ID, PEER_SERVICE, REQUEST_ID,
};
use crate::headers::{check_size, text, value_of};
use crate::incoming::Incoming;
use crate::intake::{body_of, class_of, is_idempotent};
use crate::limits::MAX_DEADLINE_MS;
use crate::peer_auth::AuthRefusal;
use crate::problem::Problem;
use crate::region_forward::FORWARD_PATH;
use crate::reply::Reply;
use crate::server::Handler;

impl Gate {
    /// Returns the handler of the listener for other hosts.
    #[must_use]
    pub fn peer_handler(self: &Arc<Self>) -> Handler {
        let gate = self.clone();
        Arc::new(move |incoming| {
            let gate = gate.clone();
            Box::pin(async move { gate.serve_peer(incoming).await })
        })
    }

    async fn serve_peer(self: Arc<Self>, incoming: Incoming) -> Reply {
        let ask = match self.peer_intake(&incoming) {
            Ok(ask) => ask,
            Err(problem) => return self.rejected(&problem, &incoming.headers),
        };
        let id = value_of(&ask.id.to_string());
        let mut reply = Exchange::new(self, ask).serve().await;
        reply.headers.insert(REQUEST_ID, id);
        reply
    }

    /// Checks a request of another host and accepts it.
    fn peer_intake(&self, incoming: &Incoming) -> Result<Ask, Problem> {
        check_size(&incoming.headers)?;
        let body = body_of(incoming)?;
        let path = incoming
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str());
        self.peer_auth
            .check(
                Clock::wall(),
                &incoming.method,
                path,
                &incoming.headers,
                &body,
            )
            .map_err(|refusal| self.unauthenticated(refusal))?;
        if let Some(kind) = self.state.refusal() {
            return Err(kind.into());
        }
        let view = self.router.view();
        let fleet = view.fleet();
        let mut ask = forwarded_ask(fleet, incoming, path)?;
        ask.deadline = self.clock.mono().plus_ms(remaining_ms(incoming)?);
        ask.body = body;
        read_chat(&mut ask);
        self.check_forwarded(fleet, &ask)?;
        Ok(ask)
    }

    fn unauthenticated(&self, refusal: AuthRefusal) -> Problem {
        let (reason, message) = match refusal {
            AuthRefusal::Malformed => ("malformed", "the header Lw-Auth is missing or malformed"),
            AuthRefusal::WrongTag => (
                "wrong-tag",
                "the tag of Lw-Auth does not match; compare the peer keys",
            ),
            AuthRefusal::Stale => (
                "stale",
                "the time of Lw-Auth is too far off; compare the wall clocks",
            ),
            AuthRefusal::Replayed => ("replayed", "the request was received before"),
        };
        self.metrics.peer_refused.with_label_values(&[reason]).inc();
        Problem::new(ErrorKind::Unauthorized, message)
    }

    /// Applies the residency rules of both sides (I1).
    ///
    /// A sender whose own allowed set does not hold this region violates the rule; a stricter rule of this host alone
    /// is a newer revision.
    fn check_forwarded(&self, fleet: &Fleet, ask: &Ask) -> Result<(), Problem> {
        let local = &self.identity.region;
        let sent_here = ask
            .sender_allowed
            .as_ref()
            .is_some_and(|names| names.iter().any(|name| name == local));
        if !sent_here {
            report_violation(
                Invariant::Residency,
                format_args!(
                    "request {} was forwarded into a region that its sender does not allow",
                    ask.id
                ),
            );
            return Err(ErrorKind::ResidencyRefused.into());
        }
        let allowed = ask.allowed(fleet);
        let is_allowed = fleet
            .regions
            .key(local)
            .is_some_and(|key| allowed.contains(key));
        match is_allowed {
            true => Ok(()),
            false => Err(ErrorKind::ResidencyRefused.into()),
        }
    }
}

fn malformed(name: &str) -> Problem {
    let message = format!("the header {name} is missing or malformed");
    Problem::new(ErrorKind::BadRequest, message)
}

fn forwarded_ask(fleet: &Fleet, incoming: &Incoming, path: &str) -> Result<Ask, Problem> {
    let headers = &incoming.headers;
    let path = path
        .strip_prefix(FORWARD_PATH)
        .ok_or_else(|| Problem::new(ErrorKind::UnknownService, "use /peer/forward"))?;
    let hop = text(headers, &PEER_HOP).and_then(Hop::from_name);
    let hop = hop.filter(|hop| Hop::Caller.allows(*hop));
    let hop = hop.ok_or_else(|| malformed("Lw-Hop"))?;
    let id = text(headers, &PEER_REQUEST_ID).and_then(|id| id.parse().ok());
    let service_name = text(headers, &PEER_SERVICE).unwrap_or("");
    let key = fleet.services.key(service_name);
    let service = key.map(|key| &fleet.services[key]);
    let service = service.ok_or(ErrorKind::UnknownService)?;
    let allowed = text(headers, &PEER_ALLOWED).ok_or_else(|| malformed("Lw-Allowed-Regions"))?;
    Ok(Ask {
        id: id.ok_or_else(|| malformed("Lw-Request-Id"))?,
        hop,
        service: service_name.into(),
        kind: service.kind,
        customer: text(headers, &PEER_CUSTOMER).unwrap_or("").into(),
        class: class_of(incoming, service)?,
        // The stricter side decides: an owner hop is for requests that must not run twice.
        idempotent: hop != Hop::Owner && is_idempotent(service, &incoming.method),
        key: text(headers, &IDEMPOTENCY_KEY).map(Arc::from),
        first_attempt: text(headers, &CALLER_ATTEMPT) == Some("1"),
        method: incoming.method.clone(),
        path: path.into(),
        headers: headers.clone(),
        body: bytes::Bytes::new(),
        prefix: None,
        deadline: MonoMs(0),
        sender_allowed: Some(allowed.split(',').map(Arc::from).collect()),
        gone: incoming.gone.clone(),
    })
}

fn remaining_ms(incoming: &Incoming) -> Result<u64, Problem> {
    let value = text(&incoming.headers, &PEER_DEADLINE_MS);
    let value = value.and_then(|value| value.parse::<u64>().ok());
    let remaining_ms = value.ok_or_else(|| malformed("Lw-Deadline-Ms"))?;
    Ok(remaining_ms.min(MAX_DEADLINE_MS))
}

fn read_chat(ask: &mut Ask) {
    if ask.kind != ServiceKind::Model {
        return;
    }
    let body = ask.body.clone();
    if let Ok(chat) = ChatRequest::parse(&body) {
        ask.prefix = chat.prefix();
    }
}

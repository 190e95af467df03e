//! Turning a request of a caller into an accepted one.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use lw_admit::CustomerId;
use lw_base::prelude::*;
use lw_doc::{Fleet, Service, ServiceKind};
use uuid::Uuid;

use crate::ask::Ask;
use crate::chat_request::ChatRequest;
use crate::credentials::has_token;
use crate::gate::Gate;
use crate::header_names::{CALLER_ATTEMPT, CUSTOMER, DEADLINE_MS, IDEMPOTENCY_KEY, PRIORITY};
use crate::headers::{check_caller_headers, text};
use crate::incoming_request::{IncomingRequest, RequestBodyError};
use crate::limits::{MAX_BODY_BYTES, MAX_DEADLINE_MS, MAX_KEYED_DEADLINE_MS};
use crate::problem::Problem;

/// The path of chat requests.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
/// The prefix of the paths of plain services.
pub(crate) const PLAIN_PREFIX: &str = "/s/";

/// What the path and the body of a request say.
pub(crate) struct Wanted {
    pub(crate) service: Arc<str>,
    pub(crate) path: Arc<str>,
    pub(crate) prefix: Option<(u64, f64)>,
}

impl Gate {
    /// Checks a request of a caller and accepts it.
    pub(crate) fn intake(&self, incoming: &IncomingRequest) -> Result<Ask, Problem> {
        check_caller_headers(&incoming.headers)?;
        if let Some(kind) = self.state.refusal() {
            return Err(self.host_refusal(kind));
        }
        let body = body_of(incoming)?;
        let wanted = wanted_of(
            &incoming.method,
            incoming.uri.path(),
            incoming.uri.query(),
            &body,
        )?;
        let view = self.router.view();
        let fleet = view.fleet();
        let service = service_of(fleet, &wanted, incoming.uri.path())?;
        let customer = self.customer_of(fleet, incoming)?;
        let mut ask = ask_of(incoming, body, wanted, service, customer)?;
        ask.deadline = self
            .clock
            .mono()
            .plus_ms(deadline_ms(incoming, service, ask.idempotent)?);
        self.check_limit(fleet, &ask)?;
        Ok(ask)
    }

    fn host_refusal(&self, kind: ErrorKind) -> Problem {
        let mut problem = Problem::from(kind);
        let hosts = (self.hosts.entry_hosts)(&self.identity.region);
        let others = hosts.into_iter().filter(|host| !host.leaving);
        problem.detail.entry_hosts = others.map(|host| host.address).collect();
        problem
    }

    /// Finds the customer and checks its credential.
    fn customer_of(&self, fleet: &Fleet, incoming: &IncomingRequest) -> Result<Arc<str>, Problem> {
        if !incoming.headers.contains_key(CUSTOMER) {
            return Ok("".into());
        }
        let name = text(&incoming.headers, &CUSTOMER).unwrap_or("");
        let key = fleet.customers.key(name).ok_or_else(|| {
            let message = format!("no customer has the name {name:?} of the header X-Customer");
            Problem::new(ErrorKind::Unauthorized, message)
        })?;
        if let Some(digest) = &fleet.customers[key].key_digest
            && !has_token(&incoming.headers, digest)
        {
            return Err(ErrorKind::Unauthorized.into());
        }
        Ok(fleet.customers.name(key).clone())
    }

    fn check_limit(&self, fleet: &Fleet, ask: &Ask) -> Result<(), Problem> {
        let Some(key) = fleet.customers.key(&ask.customer) else {
            return Ok(());
        };
        let Some(limit_per_s) = fleet.customers[key].requests_per_s else {
            return Ok(());
        };
        let now = self.clock.mono();
        let id = CustomerId::of_name(&ask.customer);
        let hosts = (self.hosts.live_hosts)();
        let admitted = self
            .customer_limits
            .lock()
            .admit(now, id, limit_per_s, hosts);
        admitted.map_err(|wait_ms| {
            let mut problem = Problem::from(ErrorKind::LimitExceeded);
            problem.detail.retry_after_ms = Some(wait_ms);
            problem
        })
    }
}

/// Returns the body, or why there is none.
pub(crate) fn body_of(incoming: &IncomingRequest) -> Result<Bytes, Problem> {
    incoming.body.clone().map_err(|fault| match fault {
        RequestBodyError::TooLarge => {
            let message =
                format!("the body is larger than {MAX_BODY_BYTES} bytes; send a smaller one");
            Problem::new(ErrorKind::BodyTooLarge, message)
        }
        RequestBodyError::Malformed => Problem::new(
            ErrorKind::BadRequest,
            "the body is shorter than its Content-Length, or its chunks are malformed",
        ),
        RequestBodyError::TooSlow => {
            Problem::new(ErrorKind::BadRequest, "the body did not arrive in time")
        }
    })
}

/// Reads what a request asks for from its path and body.
pub(crate) fn wanted_of(
    method: &Method,
    path: &str,
    query: Option<&str>,
    body: &[u8],
) -> Result<Wanted, Problem> {
    if path == CHAT_PATH {
        return wanted_chat(method, body);
    }
    let Some(rest) = path.strip_prefix(PLAIN_PREFIX) else {
        let message = format!("no such path; use {CHAT_PATH} or {PLAIN_PREFIX}<service>/<path>");
        return Err(Problem::new(ErrorKind::UnknownService, message));
    };
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let path = match query {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    Ok(Wanted {
        service: service.into(),
        path: path.into(),
        prefix: None,
    })
}

fn wanted_chat(method: &Method, body: &[u8]) -> Result<Wanted, Problem> {
    if *method != Method::POST {
        let message = format!("{CHAT_PATH} takes POST only");
        return Err(Problem::new(ErrorKind::BadRequest, message));
    }
    let chat = ChatRequest::parse(body)?;
    Ok(Wanted {
        service: chat.model.as_str().into(),
        path: CHAT_PATH.into(),
        prefix: chat.prefix(),
    })
}

/// Finds the service and checks that its kind fits the path.
pub(crate) fn service_of<'a>(
    fleet: &'a Fleet,
    wanted: &Wanted,
    path: &str,
) -> Result<&'a Service, Problem> {
    let key = fleet.services.key(&wanted.service);
    let service = key.map(|key| &fleet.services[key]).ok_or_else(|| {
        let message = format!("no service has the name {:?}", wanted.service);
        Problem::new(ErrorKind::UnknownService, message)
    })?;
    let kind = match path == CHAT_PATH {
        true => ServiceKind::Model,
        false => ServiceKind::Plain,
    };
    if service.kind == kind {
        return Ok(service);
    }
    let message = match service.kind {
        ServiceKind::Model => format!("{:?} is a model; use {CHAT_PATH}", wanted.service),
        ServiceKind::Plain => {
            format!(
                "{:?} is a plain service; use {PLAIN_PREFIX}{}/",
                wanted.service, wanted.service
            )
        }
    };
    Err(Problem::new(ErrorKind::UnknownService, message))
}

fn ask_of(
    incoming: &IncomingRequest,
    body: Bytes,
    wanted: Wanted,
    service: &Service,
    customer: Arc<str>,
) -> Result<Ask, Problem> {
    let idempotent = is_idempotent(service, &incoming.method);
    let key = text(&incoming.headers, &IDEMPOTENCY_KEY).map(Arc::from);
    if !idempotent && key.is_none() {
        return Err(ErrorKind::KeyMissing.into());
    }
    Ok(Ask {
        id: RequestId(Uuid::now_v7()),
        hop: Hop::Caller,
        service: wanted.service,
        kind: service.kind,
        customer,
        class: class_of(incoming, service)?,
        idempotent,
        key,
        first_attempt: text(&incoming.headers, &CALLER_ATTEMPT) == Some("1"),
        method: incoming.method.clone(),
        path: wanted.path,
        headers: incoming.headers.clone(),
        body,
        prefix: wanted.prefix,
        deadline: MonoMs(0),
        sender_allowed: None,
        gone: incoming.gone.clone(),
    })
}

/// Returns true when a request with this method may run more than once.
pub(crate) fn is_idempotent(service: &Service, method: &Method) -> bool {
    let methods = &service.non_idempotent_methods;
    !methods.iter().any(|listed| **listed == *method.as_str())
}

/// Returns the class of the service, or a lower one that the request asks for.
pub(crate) fn class_of(
    incoming: &IncomingRequest,
    service: &Service,
) -> Result<PriorityClass, Problem> {
    let Some(name) = text(&incoming.headers, &PRIORITY) else {
        return Ok(service.priority);
    };
    let Some(class) = PriorityClass::from_name(name) else {
        let message = format!("Lacewingstile-Priority {name:?}: use lookup, interactive or batch");
        return Err(Problem::new(ErrorKind::BadRequest, message));
    };
    Ok(class.max(service.priority))
}

fn deadline_ms(
    incoming: &IncomingRequest,
    service: &Service,
    idempotent: bool,
) -> Result<u64, Problem> {
    let longest_ms = match idempotent {
        true => MAX_DEADLINE_MS.max(service.deadline_ms),
        false => MAX_KEYED_DEADLINE_MS,
    };
    let Some(value) = text(&incoming.headers, &DEADLINE_MS) else {
        return Ok(service.deadline_ms.min(longest_ms));
    };
    match value.parse::<u64>() {
        Ok(asked_ms) if asked_ms > 0 => Ok(asked_ms.min(longest_ms)),
        _ => {
            let message =
                format!("Lacewingstile-Deadline-Ms {value:?}: use a number of milliseconds from 1");
            Err(Problem::new(ErrorKind::BadRequest, message))
        }
    }
}

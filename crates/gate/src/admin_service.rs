//! Listener for operators, health probes and metrics.

use std::sync::Arc;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, StatusCode};
use lw_base::prelude::*;

use crate::caller_service::json_reply;
use crate::credentials::find_operator;
use crate::error_reply::error_reply;
use crate::gate::Gate;
use crate::incoming_request::IncomingRequest;
use crate::problem::Problem;
use crate::reply::Reply;
use crate::server::Handler;

/// Closures of the daemon that the admin listener calls.
#[derive(Clone)]
pub struct AdminActions {
    /// Returns the fields that the daemon adds to `/admin/status`.
    pub status: Arc<dyn Fn() -> serde_json::Map<String, serde_json::Value> + Send + Sync>,
    /// Starts draining the host. The argument is the name of the operator who requested it.
    pub drain: Arc<dyn Fn(&str) + Send + Sync>,
}

impl Gate {
    /// Returns the handler of the admin listener.
    #[must_use]
    pub fn admin_handler(self: &Arc<Self>, actions: AdminActions) -> Handler {
        let gate = self.clone();
        Arc::new(move |incoming| {
            let reply = gate.serve_admin(&incoming, &actions);
            Box::pin(async move { reply })
        })
    }

    fn serve_admin(&self, incoming: &IncomingRequest, actions: &AdminActions) -> Reply {
        match (&incoming.method, incoming.uri.path()) {
            (&Method::GET, "/healthz") => text_reply("ok\n"),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => self.metrics_text(),
            (method, path) if path.starts_with("/admin/") => {
                self.serve_operator(method, path, incoming, actions)
            }
            _ => Problem::new(
                ErrorKind::UnknownService,
                "no such path; use /healthz, /readyz, /metrics, /admin/status, /admin/explain or /admin/drain",
            )
            .reply(),
        }
    }

    fn serve_operator(
        &self,
        method: &Method,
        path: &str,
        incoming: &IncomingRequest,
        actions: &AdminActions,
    ) -> Reply {
        let Some(operator) = find_operator(&incoming.headers, &self.operators) else {
            let message = "send Authorization: Bearer <token> with the token of an operator from this host's settings";
            return Problem::new(ErrorKind::Unauthorized, message).reply();
        };
        match (method, path) {
            (&Method::GET, "/admin/status") => self.status(actions),
            (&Method::GET, "/admin/explain") => self.explain(incoming.uri.query().unwrap_or("")),
            (&Method::POST, "/admin/drain") => {
                log::info!("gate: operator {} started a drain of this host", operator.name);
                (actions.drain)(&operator.name);
                let mut reply = json_reply(&serde_json::json!({"draining": true}));
                reply.status = StatusCode::ACCEPTED;
                reply
            }
            _ => Problem::new(
                ErrorKind::BadRequest,
                "no such admin endpoint; use GET /admin/status, GET /admin/explain or POST /admin/drain",
            )
            .reply(),
        }
    }

    fn readiness(&self) -> Reply {
        match self.state.refusal() {
            None if self.state.is_leaving() => error_reply(ErrorKind::Leaving),
            None => text_reply("ready\n"),
            Some(kind) => error_reply(kind),
        }
    }

    fn metrics_text(&self) -> Reply {
        let queued_requests = self.admission_control.queued_requests();
        let text = self
            .metrics
            .encode(self.state.in_flight(), &queued_requests);
        let mut reply = Reply::whole(StatusCode::OK, text);
        let value = HeaderValue::from_static("text/plain; version=0.0.4");
        reply.headers.insert(CONTENT_TYPE, value);
        reply
    }

    fn status(&self, actions: &AdminActions) -> Reply {
        let mut status = serde_json::Map::new();
        let identity = &self.identity;
        status.insert("host".into(), identity.host.as_ref().into());
        status.insert("region".into(), identity.region.as_ref().into());
        status.insert("zone".into(), identity.zone.as_ref().into());
        status.insert("revision".into(), self.revision().into());
        status.insert("ready".into(), self.state.is_ready().into());
        status.insert("leaving".into(), self.state.is_leaving().into());
        status.insert("in_flight".into(), self.state.in_flight().into());
        status.extend((actions.status)());
        json_reply(&status)
    }
}

fn text_reply(text: &'static str) -> Reply {
    let mut reply = Reply::whole(StatusCode::OK, text);
    let value = HeaderValue::from_static("text/plain");
    reply.headers.insert(CONTENT_TYPE, value);
    reply
}

//! Listener for callers.

use std::sync::Arc;

use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use lw_base::prelude::*;
use serde::Serialize;

use crate::entry_host::EntryHost;
use crate::error_reply::error_reply;
use crate::exchange::Exchange;
use crate::final_outcome_of_rejection::final_outcome_of_rejection;
use crate::gate::Gate;
use crate::header_names::LEAVING;
use crate::incoming_request::IncomingRequest;
use crate::problem::Problem;
use crate::query_string::query_value;
use crate::reply::Reply;
use crate::server::Handler;

/// The path of the list of entry hosts.
const ENTRY_HOSTS_PATH: &str = "/v1/entry-hosts";

#[derive(Serialize)]
struct EntryHosts<'a> {
    region: &'a str,
    hosts: Vec<EntryHost>,
    revision: u64,
}

impl Gate {
    /// Returns the handler of the listener for callers.
    #[must_use]
    pub fn caller_handler(self: &Arc<Self>) -> Handler {
        let gate = self.clone();
        Arc::new(move |incoming| {
            let gate = gate.clone();
            Box::pin(async move { gate.serve_caller(incoming).await })
        })
    }

    async fn serve_caller(self: Arc<Self>, incoming: IncomingRequest) -> Reply {
        let state = self.state.clone();
        let mut reply = tokio::select! {
            biased;
            reply = self.route_caller(incoming) => reply,
            () = state.must_end_requests() => error_reply(ErrorKind::AnswerLost),
        };
        if state.is_leaving() {
            let headers = &mut reply.headers;
            headers.insert(LEAVING, HeaderValue::from_static("true"));
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    async fn route_caller(self: Arc<Self>, incoming: IncomingRequest) -> Reply {
        if incoming.method == Method::GET && incoming.uri.path() == ENTRY_HOSTS_PATH {
            return self.entry_hosts(&incoming);
        }
        match self.accept_caller_request(&incoming) {
            Ok(request) => Exchange::new(self, request).serve().await,
            Err(problem) => self.reject(&problem, &incoming.headers),
        }
    }

    /// Counts a request that is not accepted and builds its response.
    pub(crate) fn reject(&self, problem: &Problem, headers: &HeaderMap) -> Reply {
        self.metrics.count_rejected(problem.kind);
        problem.reply_as(final_outcome_of_rejection(problem.kind, headers))
    }

    fn entry_hosts(&self, incoming: &IncomingRequest) -> Reply {
        let query = incoming.uri.query().unwrap_or("");
        let region = query_value(query, "region");
        let region = region.unwrap_or_else(|| self.identity.region.to_string());
        let zone = query_value(query, "zone").unwrap_or_else(|| self.identity.zone.to_string());
        let mut hosts = (self.hosts.entry_hosts)(&region);
        hosts.sort_by_key(|host| (host.leaving, host.zone != zone));
        let view = self.router.view();
        if view.fleet().regions.key(&region).is_none() {
            let message = format!(
                "no region is named {region:?}; leave out `region` for the region of this host"
            );
            let problem = Problem::new(ErrorKind::BadRequest, message);
            return self.reject(&problem, &incoming.headers);
        }
        json_reply(&EntryHosts {
            region: &region,
            hosts,
            revision: view.fleet().revision,
        })
    }
}

/// Builds a response with a JSON body.
pub(crate) fn json_reply(body: &impl Serialize) -> Reply {
    let json = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = Reply::whole(StatusCode::OK, json);
    let value = HeaderValue::from_static("application/json");
    reply.headers.insert(CONTENT_TYPE, value);
    reply
}

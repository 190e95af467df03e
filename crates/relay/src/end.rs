//! Ends of requests that have no answer of a target.

use http::{HeaderValue, StatusCode};
use lw_base::prelude::*;

use crate::headers::{OWN_END, value};
use crate::names::HeaderNames;
use crate::reply::{Reply, json_reply};

/// The end of a request that a target received and did not run.
pub(crate) const NOT_RUN: &str = "not_run";
/// The end of a request that no target received.
pub(crate) const NOT_SENT: &str = "not_sent";

/// How the host ends a request by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OwnEnd {
    pub(crate) status: StatusCode,
    pub(crate) outcome: Outcome,
    /// Why, for the log and the caller.
    pub(crate) reason: &'static str,
    /// When a caller should come back, in milliseconds.
    pub(crate) retry_after_ms: Option<u64>,
}

impl OwnEnd {
    /// The request has not run and never will.
    pub(crate) fn not_run(reason: &'static str, retry_after_ms: u64) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            outcome: Outcome::NotRun,
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// The request may have run.
    pub(crate) fn unknown(reason: &'static str) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            outcome: Outcome::Unknown,
            reason,
            retry_after_ms: None,
        }
    }

    /// The time is over, and the request may have run.
    pub(crate) fn too_late(reason: &'static str) -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            ..Self::unknown(reason)
        }
    }

    /// The request is not acceptable.
    pub(crate) fn refused(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            reason,
            retry_after_ms: None,
        }
    }

    /// Builds the response. `arrived` tells whether a target may have received the request.
    pub(crate) fn reply(self, names: &HeaderNames, arrived: bool) -> Reply {
        let outcome = match self.outcome {
            Outcome::NotRun if arrived => NOT_RUN,
            Outcome::NotRun => NOT_SENT,
            Outcome::Unknown | Outcome::Complete => "unknown",
        };
        let body = format!(r#"{{"error":"{}","outcome":"{outcome}"}}"#, self.reason);
        let mut reply = json_reply(self.status, body);
        let headers = reply.headers_mut();
        headers.insert(OWN_END, HeaderValue::from_static(outcome));
        if let Some(after_ms) = self.retry_after_ms {
            let seconds = format!("{:.2}", after_ms as f64 / 1_000.0);
            headers.insert(names.retry_after.clone(), value(seconds));
        }
        reply
    }
}

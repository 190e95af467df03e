//! Replies that the gateway generates itself, without an answer of a target.

use http::header::CONNECTION;
use http::{HeaderValue, StatusCode};
use lw_base::prelude::*;
use lw_quarantine::{PartKey, Refusal};

use crate::headers::{CLOSED_MS, LOCAL_OUTCOME, QUARANTINED_PART, header_value};
use crate::names::HeaderNames;
use crate::reply::{Reply, json_reply};

/// The outcome of a request that a target may have received but did not run.
pub(crate) const NOT_RUN: &str = "not_run";
/// The outcome of a request that no target received.
pub(crate) const NOT_SENT: &str = "not_sent";

/// Marks a reply to a request whose body is still being discarded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnreadBody;

/// A reply that the host generates itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LocalReply {
    pub(crate) status: StatusCode,
    pub(crate) outcome: Outcome,
    /// The reason, for the log and the caller.
    pub(crate) reason: &'static str,
    /// When the caller should retry, in milliseconds.
    pub(crate) retry_after_ms: Option<u64>,
    /// The part of the prompt, or the request as a whole, that is in quarantine, and for how long, in milliseconds.
    pub(crate) quarantined_part: Option<(PartKey, u64)>,
    /// How long all targets of the service are closed to this host, in milliseconds.
    pub(crate) closed_ms: Option<u64>,
    /// The body of the request was not read to its end.
    pub(crate) is_body_unread: bool,
}

impl LocalReply {
    /// Returns a 503: the request has not run and will not run.
    pub(crate) fn not_run(reason: &'static str, retry_after_ms: u64) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            outcome: Outcome::NotRun,
            reason,
            retry_after_ms: Some(retry_after_ms),
            quarantined_part: None,
            closed_ms: None,
            is_body_unread: false,
        }
    }

    /// Returns a 503: all targets are closed to this host until `closed_ms` have passed. Callers should retry
    /// `retry_delay_ms` later.
    pub(crate) fn closed(reason: &'static str, closed_ms: u64, retry_delay_ms: u64) -> Self {
        Self {
            closed_ms: Some(closed_ms),
            ..Self::not_run(reason, closed_ms.saturating_add(retry_delay_ms))
        }
    }

    /// Returns a 503 for a request that crashes targets, or whose prompt has a part that does.
    pub(crate) fn quarantined(now: MonoMs, refusal: Refusal, is_request: bool) -> Self {
        let reason = match is_request {
            true => "the request crashes targets; copies of it are refused",
            false => "a part of the prompt crashes targets; requests with it are refused",
        };
        Self {
            quarantined_part: Some((refusal.part, refusal.until.since_ms(now))),
            ..Self::not_run(reason, refusal.released_at.since_ms(now))
        }
    }

    /// Returns a 502: the request may have run.
    pub(crate) fn may_have_run(reason: &'static str) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            outcome: Outcome::Unknown,
            reason,
            retry_after_ms: None,
            quarantined_part: None,
            closed_ms: None,
            is_body_unread: false,
        }
    }

    /// Returns a 504: the deadline has passed, and the request may have run.
    pub(crate) fn timed_out(reason: &'static str) -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            ..Self::may_have_run(reason)
        }
    }

    /// Returns a rejection of an invalid request.
    pub(crate) fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            reason,
            retry_after_ms: None,
            quarantined_part: None,
            closed_ms: None,
            is_body_unread: false,
        }
    }

    /// Builds the response. `may_have_arrived` is true when a target may have received the request.
    pub(crate) fn into_reply(self, names: &HeaderNames, may_have_arrived: bool) -> Reply {
        let outcome = match self.outcome {
            Outcome::NotRun if may_have_arrived => NOT_RUN,
            Outcome::NotRun => NOT_SENT,
            Outcome::Unknown | Outcome::Complete => "unknown",
        };
        let body = format!(r#"{{"error":"{}","outcome":"{outcome}"}}"#, self.reason);
        let mut reply = json_reply(self.status, body);
        if self.is_body_unread {
            reply.extensions_mut().insert(UnreadBody);
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
        }
        let headers = reply.headers_mut();
        headers.insert(LOCAL_OUTCOME, HeaderValue::from_static(outcome));
        if let Some((part, left_ms)) = self.quarantined_part {
            headers.insert(QUARANTINED_PART, header_value(format!("{part} {left_ms}")));
        }
        if let Some(closed_ms) = self.closed_ms {
            headers.insert(CLOSED_MS, header_value(closed_ms));
        }
        if let Some(after_ms) = self.retry_after_ms {
            let seconds = format!("{:.2}", after_ms as f64 / 1_000.0);
            headers.insert(names.retry_after.clone(), header_value(seconds));
        }
        reply
    }
}

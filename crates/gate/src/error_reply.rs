//! Error responses.

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use lw_base::prelude::*;
use lw_base::{RetryAdvice, error_response};
use lw_flow::FinalOutcome;
use serde::Serialize;

use crate::header_names::{ERROR, OUTCOME};
use crate::reply::Reply;

/// The error object of a response body.
#[derive(Serialize)]
struct ErrorObject<'a> {
    kind: &'a str,
    outcome: &'a str,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    entry_hosts: &'a [String],
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorObject<'a>,
}

/// Details of an error response that replace or supplement the defaults of [`error_response`].
#[derive(Clone, Debug, Default)]
pub struct ErrorDetail {
    /// The message; `None` for the default.
    pub message: Option<String>,
    /// The time after which the caller may retry, in milliseconds; `None` for the default.
    pub retry_after_ms: Option<u64>,
    /// Addresses of entry hosts that the caller should use instead.
    pub entry_hosts: Vec<String>,
}

/// Builds the response for an error kind.
#[must_use]
pub fn error_reply(kind: ErrorKind) -> Reply {
    final_outcome_reply(FinalOutcome::rejected(kind), &ErrorDetail::default())
}

/// Builds the response for a request that ended without a complete response of a target.
#[must_use]
pub fn final_outcome_reply(final_outcome: FinalOutcome, detail: &ErrorDetail) -> Reply {
    let kind = final_outcome.kind.unwrap_or(ErrorKind::Internal);
    let response = error_response(kind);
    let retry_after_ms = retry_after_ms(response.retry, detail);
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = Reply::whole(status, error_json(kind, final_outcome.outcome, detail));
    let headers = &mut reply.headers;
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(ERROR, HeaderValue::from_static(kind.as_str()));
    headers.insert(
        OUTCOME,
        HeaderValue::from_static(final_outcome.outcome.as_str()),
    );
    if let Some(wait_ms) = retry_after_ms {
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(wait_ms.div_ceil(1_000).max(1)),
        );
    }
    reply
}

/// Returns the JSON of an error, for response bodies and error events.
pub(crate) fn error_json(kind: ErrorKind, outcome: Outcome, detail: &ErrorDetail) -> Vec<u8> {
    let response = error_response(kind);
    let body = ErrorBody {
        error: ErrorObject {
            kind: kind.as_str(),
            outcome: outcome.as_str(),
            message: detail.message.as_deref().unwrap_or(response.message),
            retry_after_ms: retry_after_ms(response.retry, detail),
            entry_hosts: &detail.entry_hosts,
        },
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

fn retry_after_ms(advice: RetryAdvice, detail: &ErrorDetail) -> Option<u64> {
    match advice {
        RetryAdvice::AfterMs(wait_ms) => Some(detail.retry_after_ms.unwrap_or(wait_ms)),
        RetryAdvice::Never | RetryAdvice::OtherHost => None,
    }
}

//! Checks of the table of error responses.

use lw_base::{ErrorKind, Outcome, RetryAdvice, error_response};

/// Guards against an error kind that a peer cannot parse from its name.
#[test]
fn names_parse_to_their_kinds() {
    for kind in ErrorKind::ALL {
        assert_eq!(ErrorKind::from_name(kind.as_str()), Some(kind));
    }
}

/// Guards against the outcome "not run" for an error that can occur after the request was sent.
#[test]
fn errors_after_send_never_report_not_run() {
    let after_send = [
        ErrorKind::DeadlineAfterSend,
        ErrorKind::AnswerLost,
        ErrorKind::AnswerIncomplete,
        ErrorKind::OutcomeUnknown,
        ErrorKind::CallerGone,
        ErrorKind::Internal,
    ];
    for kind in after_send {
        assert_eq!(
            error_response(kind).outcome,
            Outcome::Unknown,
            "{}",
            kind.as_str()
        );
    }
}

/// Guards against an error response with a success status or the outcome "complete".
#[test]
fn no_error_looks_like_a_success() {
    for kind in ErrorKind::ALL {
        let response = error_response(kind);
        assert!(response.status >= 400, "{}", kind.as_str());
        assert_ne!(response.outcome, Outcome::Complete, "{}", kind.as_str());
        assert!(!response.message.is_empty());
        if let RetryAdvice::AfterMs(wait_ms) = response.retry {
            assert!(wait_ms > 0);
        }
    }
}

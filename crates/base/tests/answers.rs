//! The table from error kind to answer is complete and honest.

use lw_base::{ErrorKind, Outcome, RetryAdvice, error_response};

/// Guards against a kind whose name does not lead back to it, so a peer would misread a refusal.
#[test]
fn names_lead_back_to_kinds() {
    for kind in ErrorKind::ALL {
        assert_eq!(ErrorKind::from_name(kind.as_str()), Some(kind));
    }
}

/// Guards against "not run" for a kind that is only known after the request was sent.
#[test]
fn kinds_after_send_are_never_not_run() {
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

/// Guards against a refusal that reads as a success or promises completeness.
#[test]
fn no_refusal_looks_like_a_success() {
    for kind in ErrorKind::ALL {
        let answer = error_response(kind);
        assert!(answer.status >= 400, "{}", kind.as_str());
        assert_ne!(answer.outcome, Outcome::Complete, "{}", kind.as_str());
        assert!(!answer.message.is_empty());
        if let RetryAdvice::AfterMs(wait_ms) = answer.retry {
            assert!(wait_ms > 0);
        }
    }
}

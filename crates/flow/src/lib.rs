//! The lifecycle of a request and its attempts, without I/O.
//!
//! The caller of this crate does the I/O, reports its events to [`RequestFlow`] and passes the current time. Each flow
//! ends with exactly one [`FinalOutcome`]; a caller that breaks this rule is counted as an invariant violation.

mod attempt_failure;
mod body_length;
mod event_cursor;
mod final_outcome;
mod request_flow;
mod resume;
mod retry;
mod stage;
mod stream_error;
mod stream_tracker;

pub use attempt_failure::AttemptFailure;
pub use body_length::BodyLength;
pub use event_cursor::{EventCursor, EventCursorError};
pub use final_outcome::FinalOutcome;
pub use request_flow::RequestFlow;
pub use resume::{CutStream, ResumeDecision, ResumeFacts, decide_resume};
pub use retry::{MAX_ATTEMPTS, RetryDecision, RetryFacts, decide_retry};
pub use stage::Stage;
pub use stream_error::StreamError;
pub use stream_tracker::{MAX_EVENT_BYTES, StreamTracker};

//! The lifecycle of a request and its attempts, as decisions without I/O.
//!
//! A shell drives [`RequestFlow`] with the events that it sees and passes the current time. The flow ends in exactly
//! one [`Ending`]; it counts a violated invariant when a shell breaks that rule.

mod attempt_failure;
mod body_length;
mod ending;
mod event_cursor;
mod request_flow;
mod resume;
mod retry;
mod stage;
mod stream_fault;
mod stream_tracker;

pub use attempt_failure::AttemptFailure;
pub use body_length::BodyLength;
pub use ending::Ending;
pub use event_cursor::{EventCursor, EventCursorError};
pub use request_flow::RequestFlow;
pub use resume::{CutStream, ResumeDecision, ResumeFacts, decide_resume};
pub use retry::{MAX_ATTEMPTS, RetryDecision, RetryFacts, decide_retry};
pub use stage::Stage;
pub use stream_fault::StreamError;
pub use stream_tracker::{MAX_EVENT_BYTES, StreamTracker};

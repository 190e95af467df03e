//! Passing on a large body while it arrives.

use bytes::Bytes;
use lw_base::ErrorKind;
use lw_flow::{AttemptFailure, BodyLength};
use lw_route::AttemptEnd;
use tokio::sync::mpsc;

use crate::answer::Answer;
use crate::body_step::{BodyStep, next_step};
use crate::exchange::Exchange;
use crate::reply::BodyPart;

/// A body of which a part is held.
pub(crate) struct BodyRelay {
    pub(crate) answer: Answer,
    pub(crate) held: Bytes,
    pub(crate) declared: Option<u64>,
    pub(crate) length: BodyLength,
}

impl BodyRelay {
    /// Passes the body on and returns whether it is whole; a failure drops the sender, which aborts the body towards
    /// the caller.
    pub(crate) async fn run(
        mut self,
        mut exchange: Exchange,
        parts: mpsc::Sender<BodyPart>,
    ) -> bool {
        let mut step = BodyStep::Data(std::mem::take(&mut self.held));
        let deadline = exchange.deadline();
        while let BodyStep::Data(data) = step {
            step = match pass_on(&parts, BodyPart::Data(data), deadline).await {
                Ok(()) => next_step(&mut self.answer.body, &exchange.ask.gone, deadline).await,
                Err(failed) => failed,
            };
            if let BodyStep::Data(data) = &step {
                self.length.add(data.len());
            }
        }
        let answer = self.answer;
        if step == BodyStep::End && self.length.is_whole() {
            match pass_on(&parts, BodyPart::End, deadline).await {
                Ok(()) => {
                    exchange.finish_source(answer.source, answer.head.status);
                    exchange.complete(answer.attempt, None);
                    return true;
                }
                Err(failed) => step = failed,
            }
        }
        let (kind, end) = match step {
            BodyStep::Gone => (ErrorKind::CallerGone, AttemptEnd::Neutral),
            BodyStep::Deadline => (ErrorKind::DeadlineAfterSend, AttemptEnd::Neutral),
            _ => (AttemptFailure::AnswerIncomplete.kind(), AttemptEnd::Failure),
        };
        exchange.abandon(answer.attempt, answer.source, end);
        exchange.end(kind);
        false
    }
}

/// Hands a part to the caller's connection; waits while the caller reads slowly.
pub(crate) async fn pass_on(
    parts: &mpsc::Sender<BodyPart>,
    part: BodyPart,
    deadline: tokio::time::Instant,
) -> Result<(), BodyStep> {
    match tokio::time::timeout_at(deadline, parts.send(part)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(BodyStep::Gone),
        Err(_) => Err(BodyStep::Deadline),
    }
}

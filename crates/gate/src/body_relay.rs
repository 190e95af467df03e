//! Forwarding a large response body while it arrives.

use bytes::Bytes;
use lw_base::ErrorKind;
use lw_flow::{AttemptFailure, BodyLength};
use lw_route::AttemptEnd;
use tokio::sync::mpsc;

use crate::accepted_response::AcceptedResponse;
use crate::body_read::{BodyRead, read_next};
use crate::exchange::Exchange;
use crate::reply::BodyPart;

/// A body whose first part is buffered.
pub(crate) struct BodyRelay {
    pub(crate) response: AcceptedResponse,
    pub(crate) buffered: Bytes,
    pub(crate) declared_bytes: Option<u64>,
    pub(crate) length: BodyLength,
}

impl BodyRelay {
    /// Forwards the body to the caller and returns whether it was complete.
    ///
    /// On failure the sender is dropped, which aborts the caller's response.
    pub(crate) async fn run(
        mut self,
        mut exchange: Exchange,
        parts: mpsc::Sender<BodyPart>,
    ) -> bool {
        let mut step = BodyRead::Data(std::mem::take(&mut self.buffered));
        let deadline = exchange.deadline();
        while let BodyRead::Data(data) = step {
            step = match send_part(&parts, BodyPart::Data(data), deadline).await {
                Ok(()) => {
                    read_next(
                        &mut self.response.body,
                        &exchange.request.caller_gone,
                        deadline,
                    )
                    .await
                }
                Err(failed) => failed,
            };
            if let BodyRead::Data(data) = &step {
                self.length.add(data.len());
            }
        }
        let response = self.response;
        if step == BodyRead::End && self.length.is_whole() {
            match send_part(&parts, BodyPart::End, deadline).await {
                Ok(()) => {
                    exchange.finish_source(response.source, response.head.status);
                    exchange.complete(response.attempt, None);
                    return true;
                }
                Err(failed) => step = failed,
            }
        }
        let (kind, end) = match step {
            BodyRead::CallerGone => (ErrorKind::CallerGone, AttemptEnd::Neutral),
            BodyRead::Deadline => (ErrorKind::DeadlineAfterSend, AttemptEnd::Neutral),
            _ => (AttemptFailure::AnswerIncomplete.kind(), AttemptEnd::Failure),
        };
        exchange.abandon(response.attempt, response.source, end);
        exchange.end(kind);
        false
    }
}

/// Sends a part to the caller's connection, waiting while the caller reads slowly.
pub(crate) async fn send_part(
    parts: &mpsc::Sender<BodyPart>,
    part: BodyPart,
    deadline: tokio::time::Instant,
) -> Result<(), BodyRead> {
    match tokio::time::timeout_at(deadline, parts.send(part)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(BodyRead::CallerGone),
        Err(_) => Err(BodyRead::Deadline),
    }
}

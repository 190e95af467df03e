//! Answers of targets and other hosts after their head has arrived.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming as HyperBody;
use lw_flow::AttemptFailure;
use tokio::time::Instant;

use crate::connection::Connection;
use crate::host::Host;
use crate::in_flight::InFlight;
use crate::pool::PoolKey;

/// The largest answer that is buffered. Only a buffered answer can be checked for truncation before the caller gets it.
const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;

/// An answer whose head was checked and whose body is not yet read.
pub(crate) struct OpenAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: HyperBody,
    pub(crate) key: PoolKey,
    pub(crate) connection: Connection,
    /// Counts the request at its target; `None` when another host answers.
    pub(crate) in_flight: Option<InFlight>,
}

/// An answer that is buffered completely.
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl OpenAnswer {
    /// Reads the body to its end and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns `DeadlineAfterSend` when the deadline passes, and `AnswerIncomplete` when the body is truncated or
    /// larger than 16 MiB.
    pub(crate) async fn read_whole(
        mut self,
        host: &Host,
        deadline: Instant,
    ) -> Result<WholeAnswer, AttemptFailure> {
        let collected = http_body_util::Limited::new(&mut self.body, MAX_BUFFERED_BYTES).collect();
        let body = match tokio::time::timeout_at(deadline, collected).await {
            Err(_) => return Err(AttemptFailure::DeadlineAfterSend),
            Ok(Err(_)) => return Err(AttemptFailure::AnswerIncomplete),
            Ok(Ok(body)) => body.to_bytes(),
        };
        host.pool.put(host.clock.now(), self.key, self.connection);
        Ok(WholeAnswer {
            status: self.status,
            headers: self.headers,
            body,
        })
    }
}

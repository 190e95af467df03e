//! Answers of targets and hosts whose head has arrived.

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

/// The largest answer that is held until it is whole; a larger one cannot be told from a cut one in time.
const MOST_HELD_BYTES: usize = 16 * 1024 * 1024;

/// An answer whose head has been judged.
pub(crate) struct OpenAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: HyperBody,
    pub(crate) key: PoolKey,
    pub(crate) connection: Connection,
    /// The place at the target; `None` when another host answers.
    pub(crate) in_flight: Option<InFlight>,
}

/// An answer that is held as a whole.
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl OpenAnswer {
    /// Reads the body to its end.
    pub(crate) async fn whole(
        mut self,
        host: &Host,
        deadline: Instant,
    ) -> Result<WholeAnswer, AttemptFailure> {
        let collected = http_body_util::Limited::new(&mut self.body, MOST_HELD_BYTES).collect();
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

//! Reads the bodies of requests within the memory budget.

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming as HyperBody;
use lw_admit::{RoomRank, RoomRequest};
use tokio::time::{Duration, Instant};

use crate::held_memory::{HeldMemory, HeldRoom};
use crate::local_reply::LocalReply;
use crate::paced_stream::ReadProgress;

/// The timeout for a request body; callers on slow links need it to send some megabytes.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest time that a body waits for room, in milliseconds. Callers abandon a host that does not read for a
/// second.
const MAX_ROOM_WAIT_MS: u64 = 600;
/// The fraction of the remaining time of a request, as a divisor, that it may wait for room.
const ROOM_WAIT_DIVISOR: u64 = 4;
/// How often the pace of a sender is checked.
const PACE_INTERVAL: Duration = Duration::from_millis(500);
/// A sender of less than this many bytes in a pace interval is slow.
const MIN_PACE_BYTES: usize = 128 * 1024;
/// How long the rest of a refused body is read and discarded: closing a connection with unread bytes would reset it,
/// and the caller might lose the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// What is known of a request before its body is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyQuery {
    /// The largest body, in bytes.
    pub(crate) limit_bytes: usize,
    /// The urgency of the request; zero is the most urgent.
    pub(crate) urgency: u8,
    /// The time until the deadline of the request, in milliseconds.
    pub(crate) remaining_ms: u64,
}

impl BodyQuery {
    fn patience_ms(&self) -> u64 {
        (self.remaining_ms / ROOM_WAIT_DIVISOR).min(MAX_ROOM_WAIT_MS)
    }
}

/// A body that was read.
pub(crate) struct ReadBody {
    pub(crate) bytes: Bytes,
    /// The room for the request besides its body.
    pub(crate) room: HeldRoom,
}

/// Reads a body once there is room for it.
pub(crate) async fn read_body(
    memory: &HeldMemory,
    body: HyperBody,
    query: BodyQuery,
    progress: ReadProgress,
) -> Result<ReadBody, LocalReply> {
    let declared = body.size_hint().exact().unwrap_or(0);
    let declared_bytes = usize::try_from(declared).unwrap_or(usize::MAX);
    let mut body = body.map_frame(move |frame| {
        progress.record();
        frame
    });
    let request = RoomRequest {
        declared_bytes,
        rank: RoomRank::Body {
            urgency: query.urgency,
        },
        patience_ms: query.patience_ms(),
    };
    let mut room = match memory.room_for_body(&request).await {
        Ok(room) => room,
        Err(retry_after_ms) => return Err(refuse(body, query, no_room(retry_after_ms))),
    };
    let mut bytes = BytesMut::with_capacity(declared_bytes);
    let timeout = Instant::now() + BODY_TIMEOUT;
    let deadline = Instant::now() + Duration::from_millis(query.remaining_ms);
    let mut pace_check = Instant::now() + PACE_INTERVAL;
    let mut paced_bytes = 0;
    loop {
        // The timeout below looks at the clock only while there is no frame.
        let now = Instant::now();
        if now >= deadline {
            let reason = "the deadline passed before the body arrived";
            return Err(refuse(body, query, LocalReply::not_run(reason, 0)));
        }
        if now >= timeout {
            let reason = "the body did not arrive in time";
            return Err(LocalReply::rejected(StatusCode::REQUEST_TIMEOUT, reason));
        }
        let until = pace_check.min(timeout).min(deadline);
        let frame = match tokio::time::timeout_at(until, body.frame()).await {
            Ok(frame) => frame,
            Err(_) if until < pace_check => continue,
            Err(_) => {
                if bytes.len() - paced_bytes < MIN_PACE_BYTES {
                    room.withdraw_promise();
                }
                paced_bytes = bytes.len();
                pace_check = Instant::now() + PACE_INTERVAL;
                continue;
            }
        };
        let frame = match frame {
            None => break,
            Some(Ok(frame)) => frame,
            Some(Err(_)) => {
                let reason = "the body is malformed or truncated";
                return Err(LocalReply::rejected(StatusCode::BAD_REQUEST, reason));
            }
        };
        // Trailers are not forwarded.
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if bytes.len() + part.len() > query.limit_bytes {
            let reason = "the body is too large";
            return Err(LocalReply::rejected(StatusCode::PAYLOAD_TOO_LARGE, reason));
        }
        let until = Instant::now() + Duration::from_millis(query.patience_ms());
        if !room.grow(part.len(), until.min(timeout)).await {
            let retry_after_ms = room.refuse();
            return Err(refuse(body, query, no_room(retry_after_ms)));
        }
        // Small parts are copied, because each of them would keep the whole read buffer in memory.
        bytes.extend_from_slice(&part);
    }
    let request_room = room.split_request();
    Ok(ReadBody {
        bytes: room.hold(bytes),
        room: request_room,
    })
}

fn no_room(retry_after_ms: u64) -> LocalReply {
    LocalReply::not_run("the host has no room for the body", retry_after_ms)
}

/// Returns the refusal of a request whose body is not read to its end, and discards the rest of the body.
fn refuse(
    mut body: impl Body<Data = Bytes> + Unpin + 'static,
    query: BodyQuery,
    refusal: LocalReply,
) -> LocalReply {
    let is_unread = !body.is_end_stream();
    if is_unread {
        let mut left_bytes = query.limit_bytes;
        tokio::task::spawn_local(async move {
            let discard = async {
                while let Some(Ok(frame)) = body.frame().await {
                    let discarded_bytes = frame.data_ref().map_or(0, Bytes::len);
                    let Some(left) = left_bytes.checked_sub(discarded_bytes) else {
                        return;
                    };
                    left_bytes = left;
                }
            };
            if tokio::time::timeout(DISCARD_TIMEOUT, discard)
                .await
                .is_err()
            {
                log::debug!("the rest of a refused body did not arrive in time");
            }
        });
    }
    LocalReply {
        is_body_unread: is_unread,
        ..refusal
    }
}

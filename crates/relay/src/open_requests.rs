//! The requests that are open, for the log of those that the end of the process drops.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;

use lw_base::prelude::*;

use crate::host::Host;
use crate::incoming::Hop;
use crate::local_reply::LocalReply;
use crate::reply::Reply;
use crate::stop::StopStep;

/// The maximum number of dropped requests that are logged one by one, so that the log is written in time.
const MAX_LOGGED: usize = 1_000;

/// How far an open request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// Its body is being read.
    ReadingBody,
    /// It waits for a target or host.
    Waiting,
    /// An attempt is under way, and the head of its answer has not arrived.
    Sent,
    /// The head of an answer has arrived, and the caller has got nothing of it.
    ReadingAnswer,
    /// The caller has got the beginning of a stream.
    Streaming {
        /// The events so far.
        events: u64,
    },
    /// The whole answer was handed to the server library, which has not written all of it.
    Writing,
}

/// The target or host of the last attempt.
#[derive(Clone, Debug, Default)]
pub(crate) enum LastPeer {
    /// No attempt was made.
    #[default]
    None,
    /// A target, by its id.
    Target(Arc<str>),
    /// Another host.
    Host(SocketAddr),
}

impl LastPeer {
    /// Returns the kind of the peer, for the log.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Target(_) => "target",
            Self::Host(_) => "host",
        }
    }
}

impl Display for LastPeer {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => Ok(()),
            Self::Target(id) => formatter.write_str(id),
            Self::Host(address) => address.fmt(formatter),
        }
    }
}

/// What the log tells of a request that is open.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub(crate) phase: RequestPhase,
    /// The id of the caller's attempt; `None` until its head was read.
    pub(crate) id: Option<Arc<str>>,
    /// The name of the route, once it was found.
    pub(crate) route: Option<Arc<str>>,
    pub(crate) hop: Hop,
    pub(crate) received_at: MonoMs,
    /// The deadline, once it is known.
    pub(crate) deadline: Option<MonoMs>,
    pub(crate) last_peer: LastPeer,
    pub(crate) sends: u32,
    pub(crate) runs: u32,
    /// A target may have received the request.
    pub(crate) may_have_arrived: bool,
}

impl OpenRequest {
    /// Records how far an attempt has come. A stream that resumes has begun for its caller, whatever its next attempt does.
    pub(crate) fn record_phase(&mut self, phase: RequestPhase) {
        let is_streaming = |phase| matches!(phase, RequestPhase::Streaming { .. });
        if !is_streaming(self.phase) || is_streaming(phase) {
            self.phase = phase;
        }
    }
}

/// The key of an open request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenRequestKey(usize);

/// The open requests of a host. There is at most one for each connection.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    slots: Vec<Option<OpenRequest>>,
    free: Vec<usize>,
}

impl OpenRequests {
    /// Adds a request whose head was read at `now`.
    pub(crate) fn insert(&mut self, now: MonoMs) -> OpenRequestKey {
        let request = OpenRequest {
            phase: RequestPhase::ReadingBody,
            id: None,
            route: None,
            hop: Hop::Caller,
            received_at: now,
            deadline: None,
            last_peer: LastPeer::None,
            sends: 0,
            runs: 0,
            may_have_arrived: false,
        };
        match self.free.pop() {
            Some(index) => {
                self.slots[index] = Some(request);
                OpenRequestKey(index)
            }
            None => {
                self.slots.push(Some(request));
                OpenRequestKey(self.slots.len() - 1)
            }
        }
    }

    pub(crate) fn remove(&mut self, key: OpenRequestKey) {
        if self.slots[key.0].take().is_some() {
            self.free.push(key.0);
        }
    }

    pub(crate) fn get_mut(&mut self, key: OpenRequestKey) -> Option<&mut OpenRequest> {
        self.slots[key.0].as_mut()
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    fn iter(&self) -> impl Iterator<Item = &OpenRequest> {
        self.slots.iter().flatten()
    }
}

impl Host {
    /// Changes the record of an open request.
    pub(crate) fn update_open_request(
        &self,
        key: OpenRequestKey,
        update: impl FnOnce(&mut OpenRequest),
    ) {
        if let Some(request) = self.open_requests.borrow_mut().get_mut(key) {
            update(request);
        }
    }

    /// Waits until the planned stop ends the requests whose answer has not begun.
    pub(crate) async fn must_end_requests(&self) {
        let mut stop = self.stop.subscribe();
        let ended = stop.wait_for(|step| *step >= StopStep::EndRequests).await;
        if ended.is_err() {
            // The host outlives its requests, so the channel closes only when the process ends.
            drop(ended);
            std::future::pending::<()>().await;
        }
    }

    /// Ends a request whose answer has not begun, because the process ends.
    pub(crate) fn end_request(&self, key: OpenRequestKey) -> Reply {
        let now = self.clock.now();
        let mut open_requests = self.open_requests.borrow_mut();
        let open = open_requests.get_mut(key);
        let is_under_way = open.as_ref().is_some_and(|open| {
            matches!(open.phase, RequestPhase::Sent | RequestPhase::ReadingAnswer)
        });
        let may_have_arrived = open
            .as_ref()
            .is_some_and(|open| open.may_have_arrived || is_under_way);
        let reply = match open.as_ref().is_some_and(|open| open.runs > 0) || is_under_way {
            true => LocalReply::may_have_run("the host ends; the request may have run"),
            false => LocalReply::not_run("the host ends before the request was run", 0),
        };
        let mut took_ms = 0;
        if let Some(open) = open {
            took_ms = now.since_ms(open.received_at);
            let remaining_ms = open.deadline.map(|deadline| deadline.since_ms(now));
            log::info!(id = open.id.as_deref().unwrap_or("-"), route = open.route.as_deref().unwrap_or_default(), hop = format!("{:?}", open.hop).as_str(), to = open.last_peer.to_string().as_str(), peer = open.last_peer.kind(), sends = open.sends, runs = open.runs, status = reply.status.as_u16(), took_ms = took_ms, remaining_ms = remaining_ms, stopped_ms = self.stopped_ms(now); "{}", reply.reason);
        }
        self.metrics.record_end(reply.status, took_ms);
        reply.into_reply(&self.names, may_have_arrived)
    }

    /// Logs and counts the requests that are open, which the end of the process drops.
    pub fn log_dropped_requests(&self, now: MonoMs) {
        let open_requests = self.open_requests.borrow();
        let dropped = open_requests.len();
        self.metrics.dropped_requests.inc_by(dropped as u64);
        let stopped_ms = self.stopped_ms(now);
        for request in open_requests.iter().take(MAX_LOGGED) {
            let events = match request.phase {
                RequestPhase::Streaming { events } => events,
                _ => 0,
            };
            let phase = match request.phase {
                RequestPhase::ReadingBody => "reading the body",
                RequestPhase::Waiting => "waiting for a target",
                RequestPhase::Sent => "sent",
                RequestPhase::ReadingAnswer => "reading the answer",
                RequestPhase::Streaming { .. } => "streaming",
                RequestPhase::Writing => "writing the answer",
            };
            let remaining_ms = request.deadline.map(|deadline| deadline.since_ms(now));
            log::warn!(id = request.id.as_deref().unwrap_or("-"), route = request.route.as_deref().unwrap_or_default(), hop = format!("{:?}", request.hop).as_str(), phase = phase, events = events, to = request.last_peer.to_string().as_str(), peer = request.last_peer.kind(), sends = request.sends, runs = request.runs, age_ms = now.since_ms(request.received_at), remaining_ms = remaining_ms, stopped_ms = stopped_ms; "the end of the process drops a request");
        }
        if dropped > MAX_LOGGED {
            log::warn!(dropped = dropped, logged = MAX_LOGGED, stopped_ms = stopped_ms; "the end of the process drops more requests than are logged");
        }
    }
}

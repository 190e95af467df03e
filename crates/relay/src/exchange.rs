//! One request from its arrival to its answer.

use std::rc::Rc;

use http::{HeaderMap, HeaderValue, Response, StatusCode};
use lw_base::prelude::*;
use lw_flow::{AttemptFailure, EventCursor};

use crate::answer::WholeAnswer;
use crate::attempt::{AttemptPlan, AttemptResult};
use crate::choose::ChosenTarget;
use crate::decide::{AttemptHistory, Destination, retry_delay_ms};
use crate::end::OwnEnd;
use crate::event_relay::{EventRelay, FirstEvents};
use crate::forward::Served;
use crate::headers::text;
use crate::host::Host;
use crate::incoming::{Hop, Incoming};
use crate::reply::{Reply, ReplyBody};
use crate::route::{AnswerForm, RunPolicy};

/// The most sends of one request, rejected ones included.
const MOST_SENDS: u32 = 4;
/// With less time than this left, another attempt would only end at the deadline.
const LEAST_LEFT_MS: u64 = 30;

/// The way of a request through its attempts.
pub(crate) struct Exchange {
    pub(crate) host: Rc<Host>,
    pub(crate) incoming: Incoming,
    pub(crate) tried: AttemptHistory,
    /// Sends, rejected ones included.
    pub(crate) sends: u32,
    /// Attempts that have run or may have run.
    pub(crate) runs: u32,
    /// Where the last attempt went, for the log.
    pub(crate) last_peer: String,
    /// A target may have received the request.
    arrived: bool,
    /// The request was counted for the retry budget.
    is_counted: bool,
    /// The last target is the home of the request's beginning, for the log.
    at_home: bool,
    /// The tokens that the last target has to read, for the log.
    new_tokens: u64,
    _served: Served,
}

/// An answer that is passed on event by event, with its first events.
pub(crate) struct Started {
    pub(crate) first: FirstEvents,
}

/// What an attempt leads to.
pub(crate) enum Step {
    /// A whole answer.
    Whole(WholeAnswer),
    /// The first events of an answer.
    Events(Box<Started>),
    /// The target's own failure, which another target may spare the caller.
    TargetFailed(WholeAnswer),
    /// No answer.
    Failure(AttemptFailure),
}

impl Exchange {
    pub(crate) fn new(host: Rc<Host>, incoming: Incoming, served: Served) -> Self {
        let tried = AttemptHistory {
            targets: incoming.tried_before.clone(),
            ..AttemptHistory::default()
        };
        Self {
            host,
            incoming,
            tried,
            sends: 0,
            runs: 0,
            last_peer: String::new(),
            arrived: false,
            is_counted: false,
            at_home: false,
            new_tokens: 0,
            _served: served,
        }
    }

    /// Runs the request and returns the response.
    pub(crate) async fn run(mut self) -> Reply {
        let mut last: Option<AttemptFailure> = None;
        let mut failed: Option<WholeAnswer> = None;
        loop {
            let destination = match self.next(last, failed.is_some()).await {
                Ok(destination) => destination,
                Err(end) => return self.finish_own(end, failed),
            };
            let after = self.client_event_id();
            match self.attempt(&destination, after).await {
                Step::Whole(answer) => return self.finish_whole(answer),
                Step::Events(started) => return self.finish_events(*started),
                Step::TargetFailed(answer) => {
                    self.runs += 1;
                    last = None;
                    failed = Some(answer);
                }
                Step::Failure(failure) => {
                    if failure.outcome() == Outcome::Unknown {
                        self.runs += 1;
                    }
                    last = Some(failure);
                }
            }
        }
    }

    /// Decides on the next attempt, or how the request ends.
    pub(crate) async fn next(
        &mut self,
        last: Option<AttemptFailure>,
        has_answer: bool,
    ) -> Result<Destination, OwnEnd> {
        let now = self.host.clock.now();
        let left_ms = self.incoming.deadline.since_ms(now);
        let ended = match last {
            None if has_answer => Some(OwnEnd::unknown("the target failed")),
            None => None,
            Some(AttemptFailure::DeadlineAfterSend) => {
                return Err(OwnEnd::too_late(
                    "the time is over; the request may have run",
                ));
            }
            // A later refusal does not undo an earlier attempt that may have run.
            Some(failure) if self.runs > 0 && failure.outcome() == Outcome::NotRun => {
                Some(OwnEnd::unknown("an earlier attempt may have run"))
            }
            Some(failure) => Some(end_of(failure, self.incoming.route.latency_goal_ms)),
        };
        if let Some(ended) = ended {
            let is_not_run = last.is_some_and(|last| last.outcome() == Outcome::NotRun);
            let may_run = is_not_run || self.may_repeat();
            let is_last = self.runs >= self.incoming.max_runs || self.sends >= MOST_SENDS;
            if !may_run || is_last || left_ms < LEAST_LEFT_MS {
                return Err(ended);
            }
        }
        if left_ms == 0 {
            return Err(OwnEnd::not_run(
                "the time was over before the request was sent",
                0,
            ));
        }
        let host = self.host.clone();
        // The host that has the request from its caller counts it, because it decides on repeats, too. A host that covers
        // no target of a service had no budget as long as the covering hosts counted its requests.
        if self.incoming.hop == Hop::Caller && !std::mem::replace(&mut self.is_counted, true) {
            host.record_request(&self.incoming.service);
        }
        let found = host.decide(&self.incoming, &self.tried).await;
        let destination = match (found, ended) {
            (Ok(destination), _) => destination,
            (Err(end), None) => return Err(end),
            (Err(_), Some(ended)) => return Err(ended),
        };
        let service = &self.incoming.service;
        // Every send after a possible arrival is a repeat, also one through another host, which counts none.
        if let Some(ended) = ended
            && self.arrived
            && !host.try_take_retry(service)
        {
            return Err(ended);
        }
        Ok(destination)
    }

    /// Makes one attempt and reads what has to be read before the caller gets an answer.
    pub(crate) async fn attempt(&mut self, destination: &Destination, after: Option<u64>) -> Step {
        self.sends += 1;
        let left_runs = self.incoming.max_runs.saturating_sub(self.runs);
        let plan = AttemptPlan {
            last_event_id: after,
            may_leave: self.may_repeat() && left_runs > 1,
            tried: self.tried.targets.clone(),
        };
        let host = self.host.clone();
        let started = host.clock.now();
        let (result, chosen) = match destination {
            Destination::Target(chosen) => {
                self.tried.targets.push(chosen.target.hash);
                self.at_home = chosen.is_prefix_owner;
                self.new_tokens = chosen.new_tokens;
                self.last_peer.clear();
                self.last_peer.push_str(&chosen.target.id);
                let result = host.try_target(&self.incoming, chosen, &plan).await;
                (result, Some(chosen.clone()))
            }
            Destination::Host { address, region } => {
                let is_near = *region == host.settings.region;
                match is_near {
                    true => self.tried.hosts.push(*address),
                    false => self.tried.regions.push(region.clone()),
                }
                self.last_peer = address.to_string();
                let sent = host.try_host(&self.incoming, *address, is_near, &plan);
                (sent.await, None)
            }
        };
        let deadline = host.clock.instant(self.incoming.deadline);
        let (answer, is_failure) = match result {
            AttemptResult::NotSent => {
                self.note_refusal(destination);
                return self.note_failure(AttemptFailure::TargetRefused);
            }
            AttemptResult::Failure(AttemptFailure::ConnectFailed) => {
                return self.note_failure(AttemptFailure::ConnectFailed);
            }
            AttemptResult::Failure(failure) => {
                self.arrived = true;
                if chosen.is_none() && failure == AttemptFailure::TargetRefused {
                    self.note_refusal(destination);
                }
                return self.note_failure(failure);
            }
            AttemptResult::Answer(answer) => (answer, false),
            AttemptResult::Failed(answer) => (answer, true),
        };
        self.arrived = true;
        let is_events = matches!(self.incoming.route.form, AnswerForm::Events { .. });
        if is_events && answer.status.is_success() {
            let cursor = EventCursor::after(after);
            return match FirstEvents::read(answer, cursor, deadline).await {
                Ok(first) => {
                    self.note_pace(started, chosen.as_ref());
                    Step::Events(Box::new(Started { first }))
                }
                Err(failure) => self.note_failure(failure),
            };
        }
        match answer.whole(&host, deadline).await {
            Ok(answer) if is_failure && self.may_repeat() => Step::TargetFailed(answer),
            Ok(answer) => {
                self.note_pace(started, chosen.as_ref());
                Step::Whole(answer)
            }
            Err(failure) => self.note_failure(failure),
        }
    }

    /// Returns whether the request may run again after it has run.
    pub(crate) fn may_repeat(&self) -> bool {
        let resumable = AnswerForm::Events { resumable: true };
        self.incoming.route.run_policy == RunPolicy::Repeatable
            || self.incoming.route.form == resumable
    }

    fn client_event_id(&self) -> Option<u64> {
        text(&self.incoming.headers, &self.host.names.last_event_id)?
            .parse()
            .ok()
    }

    /// Counts a host that had no room.
    fn note_refusal(&mut self, destination: &Destination) {
        if let Destination::Host { region, .. } = destination {
            self.tried.refusals += 1;
            self.tried.is_own_region_full |= *region == self.host.settings.region;
        }
    }

    fn note_failure(&self, failure: AttemptFailure) -> Step {
        log::info!(id = &*self.incoming.id, route = &*self.incoming.route.name, to = self.last_peer.as_str(), sends = self.sends, failure = format!("{failure:?}").as_str(); "an attempt failed");
        self.host.metrics.attempt_failed(failure);
        Step::Failure(failure)
    }

    /// Takes the time of an attempt into the pace of the service.
    fn note_pace(&self, started: MonoMs, chosen: Option<&ChosenTarget>) {
        let Some(chosen) = chosen else {
            return;
        };
        let took_ms = self.host.clock.now().since_ms(started) as f64;
        let mut paces = self.host.paces.borrow_mut();
        let pace = paces.entry(self.incoming.service.clone()).or_default();
        pace.record_answer(took_ms);
        if chosen.idle {
            pace.record_prefill(took_ms, chosen.new_tokens);
        }
    }

    fn finish_own(self, end: OwnEnd, failed: Option<WholeAnswer>) -> Reply {
        if let Some(answer) = failed {
            return self.finish_whole(answer);
        }
        self.log_end(end.status, end.reason);
        end.reply(&self.host.names, self.arrived)
    }

    fn finish_whole(self, answer: WholeAnswer) -> Reply {
        self.log_end(answer.status, "answered");
        let body = ReplyBody::whole(answer.body);
        self.response(answer.status, answer.headers, body)
    }

    fn finish_events(self, started: Started) -> Reply {
        let status = started.first.answer.status;
        let headers = started.first.answer.headers.clone();
        let host = self.host.clone();
        let relay = EventRelay::new(self, started);
        let body = ReplyBody::Parts(relay.into_parts());
        respond(&host, status, headers, body)
    }

    fn response(&self, status: StatusCode, headers: HeaderMap, body: ReplyBody) -> Reply {
        respond(&self.host, status, headers, body)
    }

    /// Writes the line on the end of a request.
    pub(crate) fn log_end(&self, status: StatusCode, reason: &str) {
        let took_ms = self.host.clock.now().since_ms(self.incoming.received_at);
        self.host.metrics.ended(status, took_ms);
        log::info!(id = &*self.incoming.id, route = &*self.incoming.route.name, version = self.incoming.version, hop = format!("{:?}", self.incoming.hop).as_str(), to = self.last_peer.as_str(), at_home = self.at_home, new_tokens = self.new_tokens, sends = self.sends, runs = self.runs, status = status.as_u16(), took_ms = took_ms; "{reason}");
    }
}

/// Builds a response; a host that leaves asks the caller to close the connection.
fn respond(host: &Host, status: StatusCode, headers: HeaderMap, body: ReplyBody) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    if host.stage.get() == lw_mesh::Stage::Leaving {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(http::header::CONNECTION, close);
    }
    reply
}

/// Returns how a request ends whose last attempt failed.
fn end_of(failure: AttemptFailure, latency_goal_ms: u64) -> OwnEnd {
    match failure.outcome() {
        Outcome::NotRun => OwnEnd::not_run(
            "the target did not take the request",
            retry_delay_ms(latency_goal_ms),
        ),
        Outcome::Unknown | Outcome::Complete => {
            OwnEnd::unknown("the answer was lost; the request may have run")
        }
    }
}

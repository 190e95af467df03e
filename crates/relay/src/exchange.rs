//! One request from its arrival to its answer, with its retries.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use lw_base::prelude::*;
use lw_flow::{AttemptFailure, EventCursor};
use lw_quarantine::CrashStage;

use crate::answer::WholeAnswer;
use crate::attempt::{AttemptPlan, AttemptResult};
use crate::choose::ChosenTarget;
use crate::closed_peers::ClosedPeer;
use crate::decide::{AttemptHistory, Destination, retry_delay_ms};
use crate::event_relay::{EventRelay, FirstEvents};
use crate::head_verdict::promises_not_run;
use crate::headers::header_text;
use crate::host::Host;
use crate::incoming::{Hop, Incoming};
use crate::local_reply::LocalReply;
use crate::open_requests::{LastPeer, OpenRequestKey, RequestPhase};
use crate::reply::{Reply, ReplyBody};
use crate::route::{AnswerForm, RunPolicy};

/// The maximum number of attempts of one request, including those that were rejected without running. Refusals of leaving
/// hosts do not count: each of these hosts refuses a request once.
const MAX_SENDS: u32 = 4;
/// The minimum remaining time for another attempt, in milliseconds; with less, the attempt would miss the deadline.
const MIN_REMAINING_MS: u64 = 30;

/// The largest number of bytes of a request's prompt parts in a log line.
const MAX_LOGGED_PARTS_BYTES: usize = 200;

/// The state of a request across its attempts.
pub(crate) struct Exchange {
    pub(crate) host: Rc<Host>,
    pub(crate) incoming: Incoming,
    /// The request's record among the open ones.
    key: OpenRequestKey,
    pub(crate) tried: AttemptHistory,
    /// The number of attempts, including those that were rejected without running.
    pub(crate) sends: u32,
    /// The number of attempts that a leaving host refused.
    leaving_refusals: u32,
    /// The number of attempts that have run or may have run.
    pub(crate) runs: u32,
    /// The target or host of the last attempt, for the log.
    pub(crate) last_peer: LastPeer,
    /// A target may have received the request.
    may_have_arrived: bool,
    /// The request was counted by the retry budget.
    is_budget_counted: bool,
    /// The target of the last attempt; `None` if it went to another host.
    pub(crate) chosen: Option<ChosenTarget>,
}

/// A streamed answer with its first events.
pub(crate) struct StartedStream {
    pub(crate) first: FirstEvents,
}

/// How the exchange continues after an attempt.
pub(crate) enum AttemptStep {
    /// A complete answer for the caller.
    Whole(WholeAnswer),
    /// The first events of an answer.
    Events(Box<StartedStream>),
    /// An error answer of the target; the request may run again at another target.
    TargetError(WholeAnswer),
    /// No usable answer.
    NoAnswer(AttemptFailure),
}

impl Exchange {
    pub(crate) fn new(host: Rc<Host>, incoming: Incoming, key: OpenRequestKey) -> Self {
        let tried = AttemptHistory {
            targets: incoming.tried_before.clone(),
            ..AttemptHistory::default()
        };
        Self {
            host,
            incoming,
            key,
            tried,
            sends: 0,
            leaving_refusals: 0,
            runs: 0,
            last_peer: LastPeer::None,
            may_have_arrived: false,
            is_budget_counted: false,
            chosen: None,
        }
    }

    /// Runs the request, with retries, and returns the response.
    pub(crate) async fn run(mut self) -> Reply {
        self.host.record_asked(&self.incoming);
        let mut last: Option<AttemptFailure> = None;
        let mut target_error: Option<WholeAnswer> = None;
        loop {
            let destination = match self.next_destination(last, target_error.is_some()).await {
                Ok(destination) => destination,
                Err(reply) => return self.finish_locally(reply, target_error),
            };
            let after = self.client_event_id();
            match self.attempt(&destination, after).await {
                AttemptStep::Whole(answer) => return self.finish_whole(answer),
                AttemptStep::Events(started) => return self.finish_events(*started),
                AttemptStep::TargetError(answer) => {
                    self.runs += 1;
                    self.record_waiting();
                    last = None;
                    target_error = Some(answer);
                }
                AttemptStep::NoAnswer(failure) => {
                    if failure.outcome() == Outcome::Unknown {
                        self.runs += 1;
                    }
                    self.record_waiting();
                    last = Some(failure);
                }
            }
        }
    }

    /// Returns the destination of the next attempt, or the reply that ends the request.
    pub(crate) async fn next_destination(
        &mut self,
        last: Option<AttemptFailure>,
        has_target_error: bool,
    ) -> Result<Destination, LocalReply> {
        let now = self.host.clock.now();
        let remaining_ms = self.incoming.deadline.since_ms(now);
        let fallback = match last {
            None if has_target_error => Some(LocalReply::may_have_run("the target failed")),
            None => None,
            Some(AttemptFailure::DeadlineAfterSend) => {
                return Err(LocalReply::timed_out(
                    "the deadline has passed; the request may have run",
                ));
            }
            // A later rejection does not undo an earlier attempt that may have run.
            Some(failure) if self.runs > 0 && failure.outcome() == Outcome::NotRun => {
                Some(LocalReply::may_have_run("an earlier attempt may have run"))
            }
            Some(failure) => Some(reply_for_failure(
                failure,
                self.incoming.route.latency_goal_ms,
            )),
        };
        if let Some(fallback) = fallback {
            let is_not_run = last.is_some_and(|last| last.outcome() == Outcome::NotRun);
            let may_run = is_not_run || self.may_run_again();
            let is_last = self.runs >= self.incoming.max_runs || self.has_used_sends();
            let may_repeat = is_not_run || self.host.may_repeat(self.incoming.suspects());
            if !may_run || is_last || !may_repeat || remaining_ms < MIN_REMAINING_MS {
                return Err(fallback);
            }
        }
        if remaining_ms == 0 {
            return Err(LocalReply::not_run(
                "the deadline passed before the request was sent",
                0,
            ));
        }
        let host = self.host.clone();
        // The host that received the request from the caller counts it, because that host also decides on its retries.
        // If the hosts that cover the targets counted it, a host that covers no target of the service would have no
        // budget.
        if self.incoming.hop == Hop::Caller && !std::mem::replace(&mut self.is_budget_counted, true)
        {
            host.record_request(&self.incoming.service);
        }
        let decision = host.decide(&self.incoming, &self.tried).await;
        let destination = match (decision, fallback) {
            (Ok(destination), _) => destination,
            (Err(reply), None) => return Err(reply),
            (Err(reply), Some(fallback))
                if fallback.outcome == Outcome::NotRun && reply.quarantined_part.is_some() =>
            {
                return Err(reply);
            }
            // Both refusals hold, so the caller should come back when the later one ends.
            (Err(reply), Some(fallback)) if fallback.outcome == Outcome::NotRun => {
                return Err(LocalReply {
                    retry_after_ms: fallback.retry_after_ms.max(reply.retry_after_ms),
                    ..fallback
                });
            }
            (Err(_), Some(fallback)) => return Err(fallback),
        };
        let service = &self.incoming.service;
        // Every send after a possible arrival uses the retry budget, even through another host, because that host
        // counts no retries.
        if let Some(fallback) = fallback
            && self.may_have_arrived
            && !host.try_take_retry(service)
        {
            return Err(fallback);
        }
        Ok(destination)
    }

    /// Makes one attempt, and reads as much of its answer as must be checked before the caller gets any of it.
    pub(crate) async fn attempt(
        &mut self,
        destination: &Destination,
        after: Option<u64>,
    ) -> AttemptStep {
        self.sends += 1;
        let remaining_runs = self.incoming.max_runs.saturating_sub(self.runs);
        let plan = AttemptPlan {
            last_event_id: after,
            may_abandon: self.may_run_again() && remaining_runs > 1,
            tried: self.tried.targets.clone(),
        };
        let host = self.host.clone();
        let started = host.clock.now();
        let result = match destination {
            Destination::Target(chosen) => {
                self.tried.targets.push(chosen.target.hash);
                self.chosen = Some(chosen.clone());
                self.last_peer = LastPeer::Target(chosen.target.id.clone());
                self.record_sent();
                host.try_target(&self.incoming, chosen, &plan).await
            }
            Destination::Host { address, region } => {
                let is_same_region = *region == host.settings.region;
                match is_same_region {
                    true => self.tried.hosts.push(*address),
                    false => self.tried.regions.push(region.clone()),
                }
                self.last_peer = LastPeer::Host(*address);
                self.chosen = None;
                self.record_sent();
                let sent = host.try_host(&self.incoming, *address, is_same_region, &plan);
                sent.await
            }
        };
        let deadline = host.clock.instant(self.incoming.deadline);
        let (answer, is_target_error) = match result {
            AttemptResult::NotSent {
                closed_ms,
                is_leaving,
            } => {
                match is_leaving {
                    true => self.record_leaving_host(destination),
                    false => self.record_full_host(destination),
                }
                if let Some(closed_ms) = closed_ms {
                    self.record_closed_peer(destination, closed_ms);
                }
                return self.record_failure(AttemptFailure::TargetRefused);
            }
            AttemptResult::NoAnswer(AttemptFailure::ConnectFailed) => {
                return self.record_failure(AttemptFailure::ConnectFailed);
            }
            AttemptResult::NoAnswer(failure) => {
                self.may_have_arrived = true;
                if self.chosen.is_none() && failure == AttemptFailure::TargetRefused {
                    self.record_full_host(destination);
                }
                return self.record_failure(failure);
            }
            AttemptResult::Answer(answer) => (answer, false),
            AttemptResult::TargetError(answer) => (answer, true),
        };
        self.may_have_arrived = true;
        self.record_phase(RequestPhase::ReadingAnswer);
        self.free_body();
        let is_events = matches!(self.incoming.route.form, AnswerForm::Events { .. });
        if is_events && answer.status.is_success() {
            let cursor = EventCursor::after(after);
            return match FirstEvents::read(answer, cursor, deadline).await {
                Ok(first) => {
                    self.record_timings(started);
                    AttemptStep::Events(Box::new(StartedStream { first }))
                }
                Err(failure) => self.record_failure(failure),
            };
        }
        match answer.read_whole(&host, deadline).await {
            Ok(answer) if is_target_error && self.may_run_again() => {
                AttemptStep::TargetError(answer)
            }
            Ok(answer) => {
                self.record_timings(started);
                AttemptStep::Whole(answer)
            }
            Err(failure) => self.record_failure(failure),
        }
    }

    /// Returns whether the request may run a second time.
    pub(crate) fn may_run_again(&self) -> bool {
        let resumable = AnswerForm::Events { resumable: true };
        self.incoming.route.run_policy == RunPolicy::Repeatable
            || self.incoming.route.form == resumable
    }

    /// Returns whether the request may not be sent again because of the number of its attempts.
    fn has_used_sends(&self) -> bool {
        self.sends - self.leaving_refusals >= MAX_SENDS
    }

    /// Records that an attempt begins.
    fn record_sent(&self) {
        self.record_attempt(RequestPhase::Sent);
    }

    /// Records that an attempt has ended without an answer for the caller.
    fn record_waiting(&self) {
        self.record_attempt(RequestPhase::Waiting);
    }

    fn record_attempt(&self, phase: RequestPhase) {
        self.host.update_open_request(self.key, |open| {
            open.record_phase(phase);
            open.last_peer = self.last_peer.clone();
            open.sends = self.sends;
            open.runs = self.runs;
            open.may_have_arrived = self.may_have_arrived;
        });
    }

    /// Records how far the request has come.
    pub(crate) fn record_phase(&self, phase: RequestPhase) {
        self.host
            .update_open_request(self.key, |open| open.record_phase(phase));
    }

    /// Frees the body if the request cannot be sent again, whatever becomes of the answer whose head has arrived.
    fn free_body(&mut self) {
        let is_last = self.runs + 1 >= self.incoming.max_runs || self.has_used_sends();
        if is_last || !self.may_run_again() {
            self.incoming.body = Bytes::new();
        }
    }

    fn client_event_id(&self) -> Option<u64> {
        header_text(&self.incoming.headers, &self.host.names.last_event_id)?
            .parse()
            .ok()
    }

    /// Records that a host had no capacity for the request.
    fn record_full_host(&mut self, destination: &Destination) {
        if let Destination::Host { region, .. } = destination {
            self.tried.refusals += 1;
            self.tried.is_own_region_full |= *region == self.host.settings.region;
        }
    }

    /// Records that a host has refused the request because it is leaving: other hosts of its region may take it.
    fn record_leaving_host(&mut self, destination: &Destination) {
        if let Destination::Host { address, region } = destination {
            self.leaving_refusals += 1;
            self.tried.regions.retain(|tried| tried != region);
            self.tried.hosts.push(*address);
        }
    }

    /// Records that the targets of the service are closed to a host for a time. For a host of another region, they are closed
    /// to all hosts there.
    fn record_closed_peer(&self, destination: &Destination, closed_ms: u64) {
        let Destination::Host { address, region } = destination else {
            return;
        };
        let peer = match *region == self.host.settings.region {
            true => ClosedPeer::Host(*address),
            false => ClosedPeer::Region(region.clone()),
        };
        let now = self.host.clock.now();
        let service = &self.incoming.service;
        let mut closed_peers = self.host.closed_peers.borrow_mut();
        closed_peers.close(now, peer, service, now.plus_ms(closed_ms));
    }

    fn record_failure(&self, failure: AttemptFailure) -> AttemptStep {
        let now = self.host.clock.now();
        let chosen = self.chosen.as_ref();
        let running = chosen.map_or(0, |chosen| {
            chosen.target.load.borrow().total_usage(now).running
        });
        let slots = chosen.map_or(0, |chosen| chosen.target.slots);
        self.record_broken(failure, CrashStage::Starting);
        log::info!(id = &*self.incoming.id, route = &*self.incoming.route.name, to = self.last_peer.to_string().as_str(), peer = self.last_peer.kind(), cold = chosen.is_some_and(|chosen| chosen.cold), running = running, slots = slots, parts = self.prompt_parts(), request = self.incoming.request_key.to_string().as_str(), sends = self.sends, failure = format!("{failure:?}").as_str(); "an attempt failed");
        self.host.metrics.record_attempt_failure(failure);
        AttemptStep::NoAnswer(failure)
    }

    /// Records that the last attempt ended at this stage of its answer, if its connection broke or its target has fallen silent.
    pub(crate) fn record_broken(&self, failure: AttemptFailure, stage: CrashStage) {
        let Some(chosen) = &self.chosen else {
            return;
        };
        let is_quiet = || {
            let load = chosen.target.load.borrow();
            load.health.is_quiet(self.host.clock.now())
        };
        let is_broken = match failure {
            AttemptFailure::AnswerLost | AttemptFailure::AnswerIncomplete => true,
            AttemptFailure::DeadlineAfterSend => is_quiet(),
            AttemptFailure::ConnectFailed
            | AttemptFailure::TargetRefused
            | AttemptFailure::CrossedAnswer
            | AttemptFailure::Reported { .. } => false,
        };
        if is_broken {
            self.host
                .record_broken_attempt(chosen, stage, self.incoming.suspects());
        }
    }

    /// Returns the prompt parts as the caller stated them, for the log.
    pub(crate) fn prompt_parts(&self) -> &str {
        let parts = header_text(&self.incoming.headers, &self.host.names.prompt_parts);
        let parts = parts.unwrap_or_default();
        parts.get(..MAX_LOGGED_PARTS_BYTES).unwrap_or(parts)
    }

    /// Adds the time of an attempt to the measured timings of the service.
    fn record_timings(&self, started: MonoMs) {
        let Some(chosen) = &self.chosen else {
            return;
        };
        let took_ms = self.host.clock.now().since_ms(started) as f64;
        let mut all_timings = self.host.service_timings.borrow_mut();
        let timings = all_timings
            .entry(self.incoming.service.clone())
            .or_default();
        timings.record_answer(took_ms);
        if chosen.idle {
            timings.record_prefill(took_ms, chosen.new_tokens);
        }
    }

    fn finish_locally(self, reply: LocalReply, target_error: Option<WholeAnswer>) -> Reply {
        if let Some(answer) = target_error {
            return self.finish_whole(answer);
        }
        self.log_end(reply.status, reply.reason);
        reply.into_reply(&self.host.names, self.may_have_arrived)
    }

    fn finish_whole(self, answer: WholeAnswer) -> Reply {
        if promises_not_run(answer.status) {
            let reason = "the target did not state that the request has not run";
            return self.finish_locally(LocalReply::may_have_run(reason), None);
        }
        self.host.record_served(&self.incoming);
        if answer.status.is_success() {
            self.host.record_completion(self.incoming.suspects());
        }
        self.log_end(answer.status, "answered");
        let body = ReplyBody::whole(answer.body);
        self.response(answer.status, answer.headers, body)
    }

    fn finish_events(self, started: StartedStream) -> Reply {
        self.host.record_served(&self.incoming);
        let status = started.first.answer.status;
        let headers = started.first.answer.headers.clone();
        let host = self.host.clone();
        let relay = EventRelay::new(self, started);
        let body = ReplyBody::Stream(relay.into_body_stream());
        respond(&host, status, headers, body)
    }

    fn response(&self, status: StatusCode, headers: HeaderMap, body: ReplyBody) -> Reply {
        respond(&self.host, status, headers, body)
    }

    /// Logs the end of the request and records it in the metrics.
    pub(crate) fn log_end(&self, status: StatusCode, reason: &str) {
        let took_ms = self.host.clock.now().since_ms(self.incoming.received_at);
        self.host.metrics.record_end(status, took_ms);
        let chosen = self.chosen.as_ref();
        let limit_per_s =
            chosen.and_then(|chosen| chosen.target.load.borrow().limit_share.named.per_s());
        log::info!(id = &*self.incoming.id, route = &*self.incoming.route.name, version = self.incoming.version, hop = format!("{:?}", self.incoming.hop).as_str(), to = self.last_peer.to_string().as_str(), at_home = chosen.is_some_and(|chosen| chosen.is_prefix_owner), new_tokens = chosen.map_or(0, |chosen| chosen.new_tokens), cold = chosen.is_some_and(|chosen| chosen.cold), limit_per_s = limit_per_s, sends = self.sends, runs = self.runs, status = status.as_u16(), took_ms = took_ms, state_age_ms = self.host.state_age_ms(); "{reason}");
    }
}

/// Builds a response; a draining host asks the caller to close the connection.
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

/// Returns the reply for a request whose last attempt failed.
fn reply_for_failure(failure: AttemptFailure, latency_goal_ms: u64) -> LocalReply {
    match failure.outcome() {
        Outcome::NotRun => LocalReply::not_run(
            "the target or host did not accept the request; it has not run",
            retry_delay_ms(latency_goal_ms),
        ),
        Outcome::Unknown | Outcome::Complete => {
            LocalReply::may_have_run("the answer was lost; the request may have run")
        }
    }
}

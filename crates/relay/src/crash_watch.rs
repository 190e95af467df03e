//! Notices targets that crash, and keeps requests that crash targets away from them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use lw_base::prelude::*;
use lw_quarantine::{
    CrashStage, PartKey, PartReport, QuarantinedPart, StreamReport, Suspects, WHOLE_REQUEST,
};
use tokio::net::TcpStream;

use crate::choose::ChosenTarget;
use crate::health_check::CheckResult;
use crate::host::Host;
use crate::local_reply::LocalReply;
use crate::prompt::Prompt;
use crate::target::Target;

/// The timeout of the connection by which a host checks whether a target still runs. A machine without the process refuses
/// it within a round trip; without an answer, the path may be broken and nothing is known.
const CHECK_TIMEOUT: Duration = Duration::from_millis(350);

/// A target that answers none of this many health checks in a row hangs. A host that is starved of processor time may
/// miss a single answer.
const HANG_CHECKS: usize = 2;

impl Host {
    /// Records that an attempt ended with its connection, or with the silence of its target, at this stage of the answer, and
    /// checks whether the target has crashed or hangs.
    pub(crate) fn record_broken_attempt(
        self: &Rc<Self>,
        chosen: &ChosenTarget,
        stage: CrashStage,
        suspects: Suspects<'_>,
    ) {
        let target = &chosen.target;
        let plan = self.plan();
        // A target that leaves ends its connections on purpose, at the latest with its process.
        let is_expected = plan
            .target_with_hash(target.hash)
            .is_none_or(|target| !plan.accepts_requests(target));
        if is_expected {
            return;
        }
        let now = self.clock.now();
        let mut broken = self.broken_attempts.borrow_mut();
        if broken.record(now, target.hash, stage, suspects) {
            let health_path = chosen.service.health_path.clone();
            tokio::task::spawn_local(check_target(self.clone(), target.clone(), health_path));
        }
    }

    /// Records that the process of a target has ended without notice.
    pub(crate) fn record_target_crash(&self, target: &Target) {
        let now = self.clock.now();
        let requests = self.broken_attempts.borrow_mut().take(now, target.hash);
        if requests.is_empty() {
            return;
        }
        self.metrics.target_crashes.inc();
        log::info!(target_id = &*target.id, requests = requests.len(); "a target has crashed");
        for request in &requests {
            let mut quarantine = self.quarantine.borrow_mut();
            let entered = quarantine.record_crash(
                now,
                target.hash,
                request.broken_at,
                request.stage,
                request.suspects(),
            );
            drop(quarantine);
            self.record_entered(now, &entered, "crashes");
        }
        self.heartbeat_due.notify_one();
    }

    /// Records that a target has begun to answer a request and still runs.
    pub(crate) fn record_survival(&self, prompt: &Prompt) {
        let now = self.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let released = quarantine.record_survival(now, &prompt.shared_parts);
        drop(quarantine);
        self.record_released(released);
    }

    /// Records that a target has completed its answer to a request.
    pub(crate) fn record_completion(&self, suspects: Suspects<'_>) {
        let now = self.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let released = quarantine.record_completion(now, suspects);
        drop(quarantine);
        self.record_released(released);
    }

    fn record_released(&self, released: Vec<PartKey>) {
        for part in released {
            log::warn!(part = part.to_string().as_str(); "a prompt part or request leaves the quarantine: a target has answered it");
            self.announce_released();
        }
    }

    /// Ends the quarantine of a prompt part or request because an operator has lifted it.
    pub fn lift_quarantine(&self, part: PartKey) {
        let now = self.clock.now();
        let was_in_quarantine = self.quarantine.borrow_mut().lift(now, part);
        log::warn!(part = part.to_string().as_str(), was_in_quarantine = was_in_quarantine; "an operator has lifted the quarantine of a prompt part or request");
        self.announce_released();
    }

    fn announce_released(&self) {
        self.quarantine_changed.notify_one();
        self.heartbeat_due.notify_one();
    }

    /// Adds the reports of another host on prompt parts and requests.
    pub(crate) fn merge_part_reports(
        &self,
        now: MonoMs,
        reports: &[PartReport],
        stream_reports: &[StreamReport],
    ) {
        if reports.is_empty() && stream_reports.is_empty() {
            return;
        }
        let mut quarantine = self.quarantine.borrow_mut();
        let mut entered = quarantine.merge(now, reports);
        entered.extend(quarantine.merge_streams(now, stream_reports));
        let released = quarantine.take_released();
        drop(quarantine);
        self.record_released(released);
        self.record_entered(now, &entered, "another host");
    }

    /// Decides again with the time that has passed since the last crash.
    pub(crate) fn review_quarantine(&self, now: MonoMs) {
        let entered = self.quarantine.borrow_mut().merge(now, &[]);
        self.record_entered(now, &entered, "crashes");
    }

    /// Puts a prompt part or request into quarantine because another host has done so; `from` says how this host learned of it.
    pub fn adopt_quarantine(&self, part: PartKey, position: u8, until: MonoMs, from: &str) {
        let now = self.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let entered = quarantine.adopt(now, part, position, until);
        drop(quarantine);
        self.record_entered(now, entered.as_slice(), from);
    }

    /// Returns the reply to a request that is refused because it, or a part of its prompt, crashes targets.
    pub(crate) fn refuse_suspects(&self, suspects: Suspects<'_>) -> Option<LocalReply> {
        let now = self.clock.now();
        let quarantine = self.quarantine.borrow();
        let refusal = quarantine.refusal(now, suspects)?;
        self.metrics.quarantine_refusals.inc();
        let is_request = suspects.request == Some(refusal.part);
        Some(LocalReply::quarantined(now, refusal, is_request))
    }

    /// Returns whether a failed request may be sent to another target, as far as it is not suspected of crashing them.
    pub(crate) fn may_repeat(&self, suspects: Suspects<'_>) -> bool {
        let now = self.clock.now();
        self.quarantine.borrow().may_repeat(now, suspects)
    }

    fn record_entered(&self, now: MonoMs, entered: &[QuarantinedPart], from: &str) {
        for confirmed in entered {
            match confirmed.position {
                WHOLE_REQUEST => {
                    log::warn!(request = confirmed.part.to_string().as_str(), crashes = confirmed.crashes, left_ms = confirmed.until.since_ms(now), from = from; "a request enters the quarantine: it crashes targets");
                }
                position => {
                    log::warn!(part = confirmed.part.to_string().as_str(), position = position, crashes = confirmed.crashes, left_ms = confirmed.until.since_ms(now), from = from; "a prompt part enters the quarantine: it crashes targets");
                }
            }
            self.metrics.quarantined_parts.inc();
            self.quarantine_changed.notify_one();
            self.heartbeat_due.notify_one();
            // Waiting requests with the part, or copies of the request, are refused.
            self.capacity_changed.notify_waiters();
        }
    }
}

/// Opens a connection to a target and asks for its health, to tell a crash or a target that hangs from a lost answer.
async fn check_target(host: Rc<Host>, target: Target, health_path: Option<Arc<str>>) {
    let connected = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(target.address)).await;
    let is_connected = match connected {
        Ok(Err(error)) => {
            log::debug!(target_id = &*target.id, reason = error.to_string().as_str(); "a target refuses connections");
            host.record_target_crash(&target);
            return;
        }
        Ok(Ok(_)) => true,
        Err(_) => false,
    };
    let hangs = match health_path {
        Some(path) if is_connected => answers_no_check(&host, &target, &path).await,
        _ => false,
    };
    if hangs {
        log::info!(target_id = &*target.id; "a target hangs");
        host.record_target_crash(&target);
        return;
    }
    host.broken_attempts.borrow_mut().record_alive(target.hash);
    log::debug!(target_id = &*target.id, connected = is_connected; "an answer was lost, but the target may still run");
}

/// Returns whether a target whose machine accepts connections answers none of several health checks.
async fn answers_no_check(host: &Host, target: &Target, path: &str) -> bool {
    for _ in 0..HANG_CHECKS {
        if host.ask_health(target, path).await != CheckResult::Unanswered {
            return false;
        }
    }
    true
}

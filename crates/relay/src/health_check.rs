//! Health checks that show whether a target is cold.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Request, StatusCode};
use http_body::Body;
use http_body_util::Full;
use lw_base::prelude::*;
use lw_mesh::StateDoubt;
use tokio::sync::Notify;

use crate::choose::ChosenTarget;
use crate::connection::{Connection, connect};
use crate::headers::{header_text, header_value};
use crate::host::Host;
use crate::pool::PoolKey;
use crate::target::Target;
use crate::target_load::TargetLoad;
use crate::target_notices::NoticingHead;

/// The time limit for a health check, and for its connection. Requests wait for it. Targets answer within milliseconds,
/// but a host that wakes to a backlog may take hundreds to read the answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// The time limit for a check while the state of the host is current. It is shorter, since such a check is only needed if
/// the target has just turned cold.
const CURRENT_CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// A request counts as unverified for this long, in milliseconds: limits of cold targets hold for each second.
const UNVERIFIED_MS: u64 = 1_150;
/// The maximum number of unverified requests that are kept; with more, a check is needed in any case.
const MAX_UNVERIFIED: usize = 256;
/// How long the result of a check holds, in milliseconds. Each host learns on its own that a target has turned cold, and
/// sends at its full rate until then.
const CHECK_VALIDITY_MS: u64 = 50;
/// A target whose check was not answered is used without further checks for this long, in milliseconds: a target that
/// answers requests but no checks must not be given up.
const UNANSWERED_VALIDITY_MS: u64 = 2_000;

/// What is known of the warmth of a target from its own answers.
#[derive(Clone, Debug, Default)]
pub struct Warmth {
    /// When the last check that was answered began.
    checked_at: MonoMs,
    /// When the last check ended without an answer.
    unanswered_at: MonoMs,
    /// When a connection to the target broke or could not be opened: it may have restarted under its id.
    broken_at: MonoMs,
    /// When this host decided to send requests that no check has followed, in ascending order.
    unverified_at: VecDeque<MonoMs>,
    is_pending: bool,
    /// Notified at the end of a check.
    ended: Rc<Notify>,
}

impl Warmth {
    /// Records that a connection to the target broke or could not be opened.
    pub fn record_broken(&mut self, now: MonoMs) {
        self.broken_at = now;
    }

    /// Returns what is notified at the end of the check that is under way, if there is one.
    fn pending_check_ended(&self) -> Option<Rc<Notify>> {
        self.is_pending.then(|| self.ended.clone())
    }

    /// Records the end of a check that began at `began_at`. A target that could not be reached has to be asked again.
    pub fn record_check(&mut self, began_at: MonoMs, now: MonoMs, result: CheckResult) {
        match result {
            CheckResult::Warm | CheckResult::Cold { .. } | CheckResult::Replaced => {
                self.checked_at = began_at;
                let verified = self.unverified_at.partition_point(|at| *at <= began_at);
                self.unverified_at.drain(..verified);
            }
            CheckResult::Unanswered => self.unanswered_at = now,
            CheckResult::Unreachable => {}
        }
    }

    /// Records that this host is about to send a request to the target.
    pub fn record_send(&mut self, now: MonoMs) {
        let old = self.unverified_at.len() - self.unverified_sends(now);
        self.unverified_at.drain(..old);
        if self.unverified_at.len() >= MAX_UNVERIFIED {
            self.unverified_at.pop_front();
        }
        self.unverified_at.push_back(now);
    }

    /// Returns why the target has to be asked whether it is cold before it gets a request, or `None` if it need not be.
    /// `max_unverified` is the number of requests that it may get from this host in a second without a check, if that is
    /// limited.
    ///
    /// Load: a target turns cold under its id while hosts that would learn of it are cut off, or stand still, while the
    /// platform is silent, or without writing its entry in time; or it restarts under its id before its entry says so.
    #[must_use]
    pub fn needed_check(
        &self,
        now: MonoMs,
        doubt: Option<StateDoubt>,
        max_unverified: Option<usize>,
    ) -> Option<CheckReason> {
        if now.since_ms(self.unanswered_at) < UNANSWERED_VALIDITY_MS {
            return None;
        }
        if self.broken_at > self.checked_at {
            return Some(CheckReason::BrokenConnection);
        }
        if doubt.is_some() && now.since_ms(self.checked_at) > CHECK_VALIDITY_MS {
            return Some(CheckReason::StateInDoubt);
        }
        let max_unverified = max_unverified?.min(MAX_UNVERIFIED);
        (self.unverified_sends(now) >= max_unverified).then_some(CheckReason::UnverifiedSends)
    }

    /// Returns the number of requests in the last second that no check has followed.
    fn unverified_sends(&self, now: MonoMs) -> usize {
        let is_old = |at: &MonoMs| now.since_ms(*at) >= UNVERIFIED_MS;
        self.unverified_at.len() - self.unverified_at.partition_point(is_old)
    }
}

/// Why a target has to be asked whether it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckReason {
    /// A connection to the target broke or could not be opened: it may have restarted under its id.
    BrokenConnection,
    /// The state of this host may be out of date.
    StateInDoubt,
    /// With a further request, the hosts together could exceed the limit of a cold target.
    UnverifiedSends,
}

impl CheckReason {
    /// Returns how long a request waits for the check.
    fn time_limit(self) -> Duration {
        match self {
            Self::BrokenConnection | Self::StateInDoubt => CHECK_TIMEOUT,
            Self::UnverifiedSends => CURRENT_CHECK_TIMEOUT,
        }
    }
}

/// Returns the number of requests that a host may send to a target in a second without a check, if hosts may send
/// `limit_per_s` to a cold target together, and at most `covering_hosts` of them send to it.
#[must_use]
pub fn max_unverified_sends(limit_per_s: f64, covering_hosts: usize) -> usize {
    let part = limit_per_s / covering_hosts.max(1) as f64;
    (part as usize).max(1)
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// The target is not cold, as far as it says.
    Warm,
    /// The target stays cold for this long.
    Cold {
        /// The remaining time, in milliseconds.
        left_ms: u64,
    },
    /// Another process answers at the address.
    Replaced,
    /// The target accepted the connection and gave no usable answer within the time limit.
    Unanswered,
    /// No connection could be opened, or it broke.
    Unreachable,
}

impl CheckResult {
    fn label(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Cold { .. } => "cold",
            Self::Replaced => "replaced",
            Self::Unanswered => "unanswered",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Marks a check of a target as pending until it is dropped.
struct PendingCheck(Rc<RefCell<TargetLoad>>);

impl Drop for PendingCheck {
    fn drop(&mut self) {
        let mut load = self.0.borrow_mut();
        load.warmth.is_pending = false;
        load.warmth.ended.notify_waiters();
    }
}

impl Host {
    /// Asks a target whether it is cold, if that is needed before a request. Requests to the same target share a check.
    ///
    /// Returns `None` if no check is needed.
    pub(crate) async fn check_warmth(&self, chosen: &ChosenTarget) -> Option<CheckResult> {
        let service = &chosen.service;
        let path = service.health_path.as_deref()?;
        if service.cold_per_s <= 0.0 {
            return None;
        }
        let load = &chosen.target.load;
        let began_at = self.clock.now();
        let key = (chosen.target.address, chosen.target.hash);
        if self.pool.drop_closed(began_at, key) {
            load.borrow_mut().warmth.record_broken(began_at);
        }
        let max_unverified = self.max_unverified_sends(chosen);
        let needed_check = || {
            let now = self.clock.now();
            let doubt = self.state_doubt(now);
            load.borrow()
                .warmth
                .needed_check(now, doubt, max_unverified)
        };
        let mut result = None;
        while let Some(reason) = needed_check() {
            let limit = reason.time_limit();
            let waited = Duration::from_millis(self.clock.now().since_ms(began_at));
            let Some(left) = limit.checked_sub(waited) else {
                // Other requests wait for checks too; the target has answered those that were made.
                result = Some(CheckResult::Unanswered);
                break;
            };
            let pending_check_ended = load.borrow().warmth.pending_check_ended();
            let Some(pending_check_ended) = pending_check_ended else {
                result = Some(self.run_check(chosen, path, reason).await);
                break;
            };
            let ended = tokio::time::timeout(left, pending_check_ended.notified()).await;
            // A check may allow fewer requests than have waited for it.
            let waits_again = reason == CheckReason::UnverifiedSends;
            if ended.is_err() || (!waits_again && needed_check().is_some()) {
                result = Some(CheckResult::Unanswered);
                break;
            }
            if load.borrow().cold_until > self.clock.now() {
                break;
            }
        }
        load.borrow_mut().warmth.record_send(self.clock.now());
        result
    }

    /// Returns the number of requests that a target may get from this host in a second without a check; `None` if that is
    /// not limited. A full target is not asked, since a check waits for a slot as requests do.
    fn max_unverified_sends(&self, chosen: &ChosenTarget) -> Option<usize> {
        let limit_per_s = self.cold_limit(&chosen.service).per_s;
        let load = chosen.target.load.borrow();
        let named_per_s = load.limit_share.named.per_s();
        let is_full = load.total_usage(self.clock.now()).running >= chosen.target.slots;
        if is_full || named_per_s.is_some_and(|per_s| per_s <= limit_per_s) {
            return None;
        }
        let covering_hosts = self.hosts.borrow().max_covering_hosts();
        Some(max_unverified_sends(limit_per_s, covering_hosts))
    }

    async fn run_check(
        &self,
        chosen: &ChosenTarget,
        path: &str,
        reason: CheckReason,
    ) -> CheckResult {
        let load = &chosen.target.load;
        load.borrow_mut().warmth.is_pending = true;
        let pending = PendingCheck(load.clone());
        let began_at = self.clock.now();
        let answer = self.ask_health(&chosen.target, path);
        let answer = tokio::time::timeout(reason.time_limit(), answer).await;
        let result = answer.unwrap_or(CheckResult::Unanswered);
        let now = self.clock.now();
        let mut state = load.borrow_mut();
        state.warmth.record_check(began_at, now, result);
        if let CheckResult::Cold { left_ms } = result {
            let is_first = state.cold_until <= now;
            let until = now.plus_ms(left_ms).max(state.cold_until);
            state.turn_cold(now, until);
            if is_first {
                log::info!(target_id = &*chosen.target.id, cold_left_ms = left_ms, state_age_ms = self.state_age_ms(), reason = format!("{reason:?}").as_str(); "a target has answered that it is cold");
            }
        }
        drop(state);
        drop(pending);
        let checks = &self.metrics.health_checks;
        checks.with_label_values(&[result.label()]).inc();
        result
    }

    /// Asks a target whether it is cold, over a connection that is used for nothing else, so that no late copy of another
    /// answer is taken for its answer.
    pub(crate) async fn ask_health(&self, target: &Target, path: &str) -> CheckResult {
        let key: PoolKey = (target.address, !target.hash);
        loop {
            let now = self.clock.now();
            let connection = match self.pool.take(now, key, u64::MAX, |_| true) {
                Some(connection) => connection,
                None => match connect(target.address, CHECK_TIMEOUT, now).await {
                    Ok(connection) => connection,
                    Err(error) => {
                        log::debug!(target_id = &*target.id, reason = error.to_string().as_str(); "could not connect for a health check");
                        return CheckResult::Unreachable;
                    }
                },
            };
            let reused = connection.reused;
            let answer = self.send_check(target, path, key, connection);
            match tokio::time::timeout(CHECK_TIMEOUT, answer).await {
                Ok(Some(result)) => return result,
                // The target may have closed the idle connection.
                Ok(None) if reused => {}
                Ok(None) => return CheckResult::Unreachable,
                Err(_) => return CheckResult::Unanswered,
            }
        }
    }

    /// Sends one health check. Returns `None` if the connection ends without an answer.
    async fn send_check(
        &self,
        target: &Target,
        path: &str,
        key: PoolKey,
        mut connection: Connection,
    ) -> Option<CheckResult> {
        let mut request = Request::new(Full::new(Bytes::new()));
        let Ok(uri) = path.parse() else {
            log::warn!(target_id = &*target.id, path = path; "the path of the health check is not a valid URI");
            return Some(CheckResult::Unanswered);
        };
        *request.uri_mut() = uri;
        let headers = request.headers_mut();
        headers.insert(HOST, header_value(target.address));
        headers.insert(self.names.pinned_target.clone(), header_value(&target.id));
        let sent_at = self.clock.now();
        target.load.borrow_mut().limit_share.record_forced(sent_at);
        connection.progress.record();
        let response = match connection.sender.send_request(request).await {
            Ok(response) => response,
            Err(error) => {
                log::debug!(target_id = &*target.id, reason = error.to_string().as_str(); "the connection of a health check broke");
                return None;
            }
        };
        let result = self.read_health(&target.id, response.status(), response.headers());
        let head = NoticingHead {
            status: response.status(),
            headers: response.headers(),
            sent_at,
            is_own: result != CheckResult::Replaced,
            names_limits: false,
        };
        self.record_target_notices(target, &head);
        if response.body().is_end_stream() {
            self.pool.put(self.clock.now(), key, connection);
        }
        Some(result)
    }

    fn read_health(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> CheckResult {
        let instance = header_text(headers, &self.names.instance);
        if status == StatusCode::MISDIRECTED_REQUEST || instance.is_some_and(|other| other != id) {
            return CheckResult::Replaced;
        }
        let Some(text) = header_text(headers, &self.names.cold_remaining_ms) else {
            // A rejection is not the answer of the health check.
            return match headers.contains_key(&self.names.not_run) {
                true => CheckResult::Unanswered,
                false => CheckResult::Warm,
            };
        };
        match text.trim().parse::<f64>() {
            Ok(left_ms) if left_ms > 0.0 => CheckResult::Cold {
                left_ms: left_ms.ceil() as u64,
            },
            Ok(_) => CheckResult::Warm,
            Err(error) => {
                log::warn!(target_id = id, value = text, reason = error.to_string().as_str(); "ignored a health answer with an invalid cold time");
                CheckResult::Unanswered
            }
        }
    }
}

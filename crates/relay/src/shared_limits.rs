//! The limits of targets that hosts share: the rate of a target that has just started, and the rate that a target names.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;

use lw_admit::{LimitPart, LimitSpan, Permit, SharedLimit};
use lw_base::prelude::*;
use lw_mesh::{HELD_WITHOUT_CONTACT_MS, Heartbeat, HostTable, LimitLoan, LimitReport};
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::budgets::STARTUP_MS;
use crate::choose::ChosenTarget;
use crate::host::{Host, short_hash};
use crate::incoming::Incoming;
use crate::named_limit::LimitNews;
use crate::plan::Service;
use crate::target::Target;
use crate::target_load::TargetLoad;

/// The fraction of a cold target's rate limit that hosts use: requests can arrive closer together than they were sent.
const COLD_LIMIT_FRACTION: f64 = 0.8;
/// The minimum number of hosts in its region that a process assumes until it has run for [`STARTUP_MS`].
const STARTUP_REGION_HOSTS: usize = 4;
/// A process that started less than this ago may have sent requests before its restart and has no record of them. The
/// limit of a cold target applies to every second, so the process sends none.
const HOLDOFF_MS: u64 = 1_500;
/// The maximum number of limits and of loans in one heartbeat, which bounds its datagram. With more limits, each heartbeat
/// contains a random selection.
const MAX_LIMITS_PER_HEARTBEAT: usize = 24;
const MAX_LOANS_PER_HEARTBEAT: usize = 24;
/// The end of a limit is told to other hosts for this long, in milliseconds.
const END_REPORT_MS: u64 = 120_000;
/// A host with a lower rate of requests than this asks nothing, in requests per second.
const MIN_ASKED_PER_S: f64 = 0.05;

/// Returns the number of hosts that share the limits of a target, or `None` while this host must not use any part.
///
/// Without the minimum, a restarted host that does not know the other host of its region yet uses the whole limit: a
/// target received 13 requests in a second, with a limit of 12.9.
#[must_use]
pub fn limit_sharing_hosts(up_ms: u64, known_region_hosts: usize) -> Option<usize> {
    match up_ms {
        ..HOLDOFF_MS => None,
        HOLDOFF_MS..STARTUP_MS => Some(known_region_hosts.max(STARTUP_REGION_HOSTS)),
        _ => Some(known_region_hosts),
    }
}

/// Returns the part of a limit of the target `incarnation` that this host holds, or `None` if it holds none.
///
/// Load: hosts that lose sight of one another, or return, while a limit is in force. The parts belong to hosts by name, and
/// the part of a silent host stays unused, so the parts in use never exceed the limit.
#[must_use]
pub fn limit_part(
    now: MonoMs,
    up_ms: u64,
    hosts: &HostTable,
    incarnation: &str,
    limit: SharedLimit,
) -> Option<LimitPart> {
    if up_ms < STARTUP_MS && !hosts.knows_region() {
        return None;
    }
    let silence_ms = hosts.region_silence_ms(now).unwrap_or_default();
    if silence_ms.min(up_ms) >= HELD_WITHOUT_CONTACT_MS {
        return None;
    }
    let sharing_hosts = limit_sharing_hosts(up_ms, hosts.sharing_hosts())?;
    let part = limit.part(sharing_hosts, hosts.share_rank(incarnation))?;
    // The former process of this host may have used the part in its last moments.
    (up_ms >= part.window_ms).then_some(part)
}

/// Returns the rate limit of a cold target.
#[must_use]
pub fn cold_limit(limit_per_s: f64) -> SharedLimit {
    SharedLimit {
        per_s: limit_per_s * COLD_LIMIT_FRACTION,
        span: LimitSpan::EachSecond,
    }
}

/// A reserved request to a target with limits. A reservation that is dropped unsent is given back.
pub(crate) struct SendReservation {
    /// The permit under the limit of a cold target.
    cold: Option<Permit>,
    /// The permit under the limit that the target names.
    named: Option<Permit>,
    /// The target may turn cold.
    has_slow_start: bool,
    load: Rc<RefCell<TargetLoad>>,
    is_sent: Cell<bool>,
}

impl SendReservation {
    /// Records that the request is sent. Returns false if it was sent before, on a connection that turned out to be closed.
    pub(crate) fn record_sent(&self, now: MonoMs) -> bool {
        if self.is_sent.replace(true) {
            return false;
        }
        let mut load = self.load.borrow_mut();
        match self.cold {
            Some(permit) => load.cold_start_limiter.record_sent(now, permit),
            None if self.has_slow_start => load.cold_start_limiter.record_unlimited(now),
            None => {}
        }
        if let Some(permit) = self.named {
            load.limit_share.record_sent(now, permit);
        }
        true
    }

    /// Returns whether the request counts towards the limit of a cold target.
    pub(crate) fn is_cold(&self) -> bool {
        self.cold.is_some()
    }
}

impl Drop for SendReservation {
    fn drop(&mut self) {
        if self.is_sent.get() {
            return;
        }
        let mut load = self.load.borrow_mut();
        if let Some(permit) = self.cold {
            load.cold_start_limiter.cancel(permit);
        }
        if let Some(permit) = self.named {
            load.limit_share.cancel(permit);
        }
    }
}

impl Host {
    /// Returns the rate limit of the cold targets of a service.
    pub(crate) fn cold_limit(&self, service: &Service) -> SharedLimit {
        let bounds = self.bounds.get();
        cold_limit(service.cold_per_s * bounds.cold_factor + bounds.cold_slack)
    }

    /// Returns this host's part of the rate limit of a cold target, or `None` when this host must not send to it.
    pub(crate) fn cold_part(&self, service: &Service, target: &Target) -> Option<LimitPart> {
        self.limit_part(target, self.cold_limit(service))
    }

    fn limit_part(&self, target: &Target, limit: SharedLimit) -> Option<LimitPart> {
        let now = self.clock.now();
        let up_ms = self.clock.uptime_ms();
        let hosts = self.hosts.borrow();
        limit_part(now, up_ms, &hosts, &target.incarnation, limit)
    }

    /// Reserves a request to a target under its limits, or returns `None` when this host's share of one of them is used up.
    pub(crate) fn reserve_send(
        &self,
        now: MonoMs,
        chosen: &ChosenTarget,
        is_cold: bool,
    ) -> Option<SendReservation> {
        let cold_part = match is_cold {
            true => Some(self.cold_part(&chosen.service, &chosen.target)?),
            false => None,
        };
        let load = &chosen.target.load;
        let mut state = load.borrow_mut();
        let named = match state.limit_share.limit() {
            Some(_) => Some(state.limit_share.try_reserve(now)?),
            None => None,
        };
        let mut reservation = SendReservation {
            cold: None,
            named,
            has_slow_start: chosen.service.cold_per_s > 0.0,
            load: load.clone(),
            is_sent: Cell::new(false),
        };
        if is_cold {
            let permit = state.cold_start_limiter.try_reserve(now, cold_part);
            drop(state);
            reservation.cold = Some(permit?);
        }
        Some(reservation)
    }

    /// Logs and counts a request that this host writes to a cold target, `waited_ms` after the limit allowed it.
    pub(crate) fn record_cold_send(
        &self,
        incoming: &Incoming,
        chosen: &ChosenTarget,
        waited_ms: u64,
    ) {
        let now = self.clock.now();
        let hosts = self.hosts.borrow();
        let cold_until = chosen.target.load.borrow().cold_until;
        let limit = self.cold_limit(&chosen.service);
        let sharing_hosts = hosts.sharing_hosts();
        self.metrics.cold_sends.inc();
        log::info!(id = &*incoming.id, target_id = &*chosen.target.id, waited_ms = waited_ms, cold_left_ms = cold_until.since_ms(now), limit_per_s = limit.per_s, sending_hosts = limit.holders(sharing_hosts), live_hosts = hosts.live_hosts_in_region(now), sharing_hosts = sharing_hosts, as_of = self.mirror.borrow().as_of().to_string().as_str(); "a request goes to a cold target");
    }

    /// Logs and counts a request that a limit of its target did not allow after the target was chosen.
    pub(crate) fn record_limit_refusal(
        &self,
        incoming: &Incoming,
        chosen: &ChosenTarget,
        is_cold: bool,
    ) {
        if is_cold {
            self.metrics.cold_refusals.inc();
        }
        let limit_per_s = chosen.target.load.borrow().limit_share.named.per_s();
        log::info!(id = &*incoming.id, target_id = &*chosen.target.id, cold = is_cold, limit_per_s = limit_per_s; "the limit of a target is used up");
    }

    /// Recomputes this host's parts of the limits that targets of the region name.
    pub(crate) fn update_limit_parts(&self) {
        let plan = self.plan();
        for target in plan.targets.iter().flatten() {
            self.update_limit_part(target);
        }
    }

    /// Recomputes this host's part of the limit that a target names.
    pub(crate) fn update_limit_part(&self, target: &Target) {
        let limit = target.load.borrow().limit_share.limit();
        let Some(limit) = limit else {
            return;
        };
        if target.region != self.settings.region {
            return;
        }
        let part = self.limit_part(target, limit);
        let order = self.hosts.borrow().sharing_order(&target.incarnation);
        target.load.borrow_mut().limit_share.set_part(part, order);
    }

    /// Returns the rate of the requests that this host would send to a target, in requests per second.
    fn asked_per_s(&self, now: MonoMs, service: &Service, target: &Target) -> f64 {
        if !self.coverage.borrow().covered_by_self(target.hash) {
            return 0.0;
        }
        let rates = self.asked_rates.borrow();
        let per_s = rates
            .get(&service.name)
            .map_or(0.0, |rates| rates.all.per_s(now));
        if per_s < MIN_ASKED_PER_S { 0.0 } else { per_s }
    }

    /// Returns the number of requests for a service that callers send to this host in `span_ms` milliseconds.
    pub(crate) fn asked_by_callers(&self, now: MonoMs, service: &Service, span_ms: u64) -> f64 {
        let rates = self.asked_rates.borrow();
        let per_s = rates
            .get(&service.name)
            .map_or(0.0, |rates| rates.from_callers.per_s(now));
        per_s * span_ms as f64 / 1_000.0
    }

    /// Lets the next heartbeat, which is sent at once, reach a host that has just started, if targets name limits: it knows
    /// none of them.
    pub(crate) fn tell_newcomer(&self, ip: Ipv4Addr) {
        let plan = self.plan();
        let mut targets = plan.targets.iter().flatten();
        if targets.any(|target| target.load.borrow().limit_share.limit().is_some()) {
            self.newcomers.borrow_mut().push(ip);
            self.heartbeat_due.notify_one();
        }
    }

    /// Adds the limits that targets name and the loans of this host to a heartbeat. Returns the addresses of the hosts that
    /// need it besides its usual recipients: those that have just started, those that hold parts of what this host asks, and
    /// its borrowers.
    pub(crate) fn add_limits(&self, now: MonoMs, heartbeat: &mut Heartbeat) -> Vec<Ipv4Addr> {
        let plan = self.plan();
        let mut recipients = self.newcomers.take();
        let mut reports: Vec<LimitReport> = Vec::new();
        for (key, service) in plan.services.iter().map(|(key, _, service)| (key, service)) {
            for target in plan.targets_of(key) {
                if target.region != self.settings.region {
                    continue;
                }
                let asked_per_s = self.asked_per_s(now, service, target);
                let mut load = target.load.borrow_mut();
                let share = &mut load.limit_share;
                let covers = self.coverage.borrow().covered_by_self(target.hash);
                if covers && let Some(news) = share.named.report(now, END_REPORT_MS) {
                    reports.push(LimitReport {
                        target: target.hash,
                        per_s: news.per_s,
                        age_ms: u32::try_from(news.age_ms).unwrap_or(u32::MAX),
                        statement: news.statement,
                        asked_per_s: asked_per_s as f32,
                    });
                }
                if share.limit().is_none() {
                    continue;
                }
                if asked_per_s > 0.0 {
                    recipients.extend(share.holders().iter().filter_map(|holder| holder.ip));
                }
                if heartbeat.loans.len() >= MAX_LOANS_PER_HEARTBEAT {
                    continue;
                }
                let loans = share.lend(now, asked_per_s, || rand::rng().random_range(0.0..1.0));
                for loan in loans {
                    let borrower = share.ip_of(loan.host);
                    recipients.extend(borrower);
                    self.metrics.limit_loans.inc_by(loan.requests as u64);
                    heartbeat.loans.push(LimitLoan {
                        target: target.hash,
                        host: loan.host,
                        requests: u16::try_from(loan.requests).unwrap_or(u16::MAX),
                    });
                }
            }
        }
        let reports = reports.into_iter();
        heartbeat.limits = reports.choose_multiple(&mut rand::rng(), MAX_LIMITS_PER_HEARTBEAT);
        if !heartbeat.loans.is_empty() {
            self.loan_sequence.set(self.loan_sequence.get() + 1);
            heartbeat.loan_sequence = self.loan_sequence.get();
        }
        recipients
    }

    /// Records the limits and loans of another host's heartbeat.
    pub(crate) fn record_limits(&self, now: MonoMs, heartbeat: &Heartbeat) {
        if heartbeat.limits.is_empty() && heartbeat.loans.is_empty() {
            return;
        }
        let plan = self.plan();
        let sender = short_hash(&heartbeat.address.host);
        for report in &heartbeat.limits {
            let Some(target) = plan.target_with_hash(report.target) else {
                continue;
            };
            let mut load = target.load.borrow_mut();
            let share = &mut load.limit_share;
            share.record_asked(now, sender, f64::from(report.asked_per_s));
            let news = LimitNews {
                per_s: report.per_s,
                age_ms: u64::from(report.age_ms),
                statement: report.statement,
            };
            let is_changed = share.named.record_report(now, news);
            drop(load);
            if is_changed {
                self.record_limit_change(target, "another host");
            }
        }
        let accepts_loans = self.hosts.borrow_mut().accepts_loans(heartbeat);
        let own_name = short_hash(&self.settings.host);
        for loan in &heartbeat.loans {
            if loan.host != own_name || !accepts_loans {
                continue;
            }
            if let Some(target) = plan.target_with_hash(loan.target) {
                let requests = usize::from(loan.requests);
                target.load.borrow_mut().limit_share.borrow(now, requests);
                self.capacity_changed.notify_waiters();
            }
        }
    }

    /// Puts a changed limit of a target into force and logs it; `from` says how this host learned of it.
    pub(crate) fn record_limit_change(&self, target: &Target, from: &str) {
        self.update_limit_part(target);
        let limit_per_s = target.load.borrow().limit_share.named.per_s();
        match limit_per_s {
            Some(limit_per_s) => {
                log::info!(target_id = &*target.id, limit_per_s = limit_per_s, from = from; "a target names a limit");
            }
            None => {
                log::info!(target_id = &*target.id, from = from; "a target names no limit any more");
                self.capacity_changed.notify_waiters();
            }
        }
    }
}

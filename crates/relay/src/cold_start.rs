//! This host's share of the rate limit of a target that has just started.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use lw_admit::{ColdStartLimiter, ColdStartQuota};
use lw_base::prelude::*;
use lw_mesh::HostTable;

use crate::budgets::STARTUP_MS;
use crate::choose::ChosenTarget;
use crate::host::Host;
use crate::incoming::Incoming;
use crate::plan::Service;
use crate::target::Target;
use crate::target_load::TargetLoad;

/// The fraction of a cold target's rate limit that hosts use: requests can arrive closer together than they were sent.
const COLD_LIMIT_FRACTION: f64 = 0.8;
/// The minimum number of hosts in its region that a process assumes until it has run for [`STARTUP_MS`].
const STARTUP_REGION_HOSTS: usize = 4;
/// A process that started less than this ago may have sent requests to cold targets before its restart and has no
/// record of them. The limit applies to every second, so the process sends none.
const COLD_TARGET_HOLDOFF_MS: u64 = 1_500;

/// Returns the number of hosts that share the limit of a cold target, or `None` while this host must not use cold
/// targets.
///
/// Without the minimum, a restarted host that does not know the other host of its region yet uses the whole limit: a
/// target received 13 requests in a second, with a limit of 12.9.
#[must_use]
pub fn cold_limit_hosts(up_ms: u64, known_region_hosts: usize) -> Option<usize> {
    match up_ms {
        ..COLD_TARGET_HOLDOFF_MS => None,
        COLD_TARGET_HOLDOFF_MS..STARTUP_MS => Some(known_region_hosts.max(STARTUP_REGION_HOSTS)),
        _ => Some(known_region_hosts),
    }
}

/// Returns this host's share of the rate limit of the cold target `incarnation`, or `None` when this host must not send to
/// it. All hosts together may send `limit_per_s` requests per second.
///
/// Load: hosts that lose sight of one another or return while targets are cold. The parts belong to hosts by name, and
/// the part of a silent host stays unused, so the parts in use never exceed the limit.
#[must_use]
pub fn cold_start_quota(
    up_ms: u64,
    hosts: &HostTable,
    incarnation: &str,
    limit_per_s: f64,
) -> Option<ColdStartQuota> {
    if up_ms < STARTUP_MS && !hosts.knows_region() {
        return None;
    }
    let per_s = limit_per_s * COLD_LIMIT_FRACTION;
    let sharing_hosts = cold_limit_hosts(up_ms, hosts.peak_hosts_in_region())?;
    let sending_hosts = ColdStartLimiter::sending_hosts(per_s, sharing_hosts);
    let rank = hosts.share_rank(incarnation);
    (rank < sending_hosts).then(|| ColdStartQuota {
        per_s,
        hosts: sending_hosts,
        has_remaining_part: rank < ColdStartLimiter::remaining_parts(per_s, sending_hosts),
    })
}

/// A reserved request to a cold target. A reservation that is dropped unsent is given back.
pub(crate) struct ColdSendReservation {
    pub(crate) quota: ColdStartQuota,
    load: Rc<RefCell<TargetLoad>>,
    is_sent: Cell<bool>,
}

impl ColdSendReservation {
    /// Records that the request is sent. Returns false if it was sent before, on a connection that turned out to be closed.
    pub(crate) fn record_sent(&self, now: MonoMs) -> bool {
        if self.is_sent.replace(true) {
            return false;
        }
        self.load.borrow_mut().cold_start_limiter.record_sent(now);
        true
    }
}

impl Drop for ColdSendReservation {
    fn drop(&mut self) {
        if !self.is_sent.get() {
            self.load.borrow_mut().cold_start_limiter.cancel();
        }
    }
}

impl Host {
    /// Returns this host's share of the rate limit of a cold target, or `None` when this host must not send to it.
    pub(crate) fn cold_limit(&self, service: &Service, target: &Target) -> Option<ColdStartQuota> {
        let bounds = self.bounds.get();
        cold_start_quota(
            self.clock.uptime_ms(),
            &self.hosts.borrow(),
            &target.incarnation,
            service.cold_per_s * bounds.cold_factor + bounds.cold_slack,
        )
    }

    /// Reserves a request to a cold target, or returns `None` when this host's share of the limit is used up.
    pub(crate) fn reserve_cold_send(
        &self,
        now: MonoMs,
        chosen: &ChosenTarget,
    ) -> Option<ColdSendReservation> {
        let quota = self.cold_limit(&chosen.service, &chosen.target)?;
        let load = &chosen.target.load;
        let mut state = load.borrow_mut();
        let is_reserved = state.cold_start_limiter.try_reserve(now, quota);
        is_reserved.then(|| ColdSendReservation {
            quota,
            load: load.clone(),
            is_sent: Cell::new(false),
        })
    }

    /// Logs and counts a request that this host writes to a cold target, `waited_ms` after the limit allowed it.
    pub(crate) fn record_cold_send(
        &self,
        incoming: &Incoming,
        chosen: &ChosenTarget,
        quota: ColdStartQuota,
        waited_ms: u64,
    ) {
        let now = self.clock.now();
        let hosts = self.hosts.borrow();
        let cold_until = chosen.target.load.borrow().cold_until;
        self.metrics.cold_sends.inc();
        log::info!(id = &*incoming.id, target_id = &*chosen.target.id, waited_ms = waited_ms, cold_left_ms = cold_until.since_ms(now), limit_per_s = quota.per_s, sending_hosts = quota.hosts, live_hosts = hosts.live_hosts_in_region(now), peak_hosts = hosts.peak_hosts_in_region(), as_of = self.mirror.borrow().as_of().to_string().as_str(); "a request goes to a cold target");
    }

    /// Logs and counts a request that the limit of a cold target did not allow after the target was chosen.
    pub(crate) fn record_cold_refusal(&self, incoming: &Incoming, chosen: &ChosenTarget) {
        self.metrics.cold_refusals.inc();
        log::info!(id = &*incoming.id, target_id = &*chosen.target.id; "the limit of a cold target is used up");
    }
}

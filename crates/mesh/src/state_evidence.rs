//! Tracks what a host has heard that shows its copy of the platform's state to be current.

use lw_base::prelude::*;

use crate::host_status::HostStatus;
use crate::state_version::StateVersion;

/// Hosts hear from one another every 400 ms; a host that knows others and hears from none of them for three intervals is
/// isolated, or has just been suspended.
const CONTACT_TIMEOUT_MS: u64 = 1_200;
/// The same for a host that hears from [`MANY_HOSTS`] others or more: it is hardly possible that all of them are late.
const CONTACT_TIMEOUT_AMONG_MANY_MS: u64 = 600;
const MANY_HOSTS: usize = 4;
/// The maximum age of the platform's last answer to any host that this one hears from, directly or through others. The
/// hosts together call the platform at least every [`MAX_CALL_GAP_MS`] on average; the rest is for gaps longer than the
/// mean and for the way through two heartbeats.
const PLATFORM_TIMEOUT_MS: u64 = 2_000;
/// After a silence of the platform, targets have written to it what they could not tell meanwhile within this time, in
/// milliseconds.
const CATCH_UP_MS: u64 = 2_000;
/// The mean time between calls to the platform of all hosts together, in milliseconds.
pub const MAX_CALL_GAP_MS: u64 = 400;

/// The other hosts, as far as they matter for the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherHosts {
    /// The host has known another one since its start.
    pub are_known: bool,
    /// The number of those that were heard from lately.
    pub live: usize,
}

/// Returns for how long a host that hears no other one takes its state for current, in milliseconds.
#[must_use]
pub fn contact_timeout_ms(others: OtherHosts) -> u64 {
    match others.live {
        MANY_HOSTS.. => CONTACT_TIMEOUT_AMONG_MANY_MS,
        _ => CONTACT_TIMEOUT_MS,
    }
}

/// Why the copy of the platform's state may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateDoubt {
    /// No other host is heard from, so nobody would tell this host of a change.
    Isolated,
    /// Neither this host nor one that it hears from has had an answer from the platform.
    PlatformSilent,
    /// The platform answers again after a silence, and targets have yet to write what they could not tell meanwhile.
    PlatformReturned,
}

/// The evidence that a host's copy of the platform's state is current.
#[derive(Clone, Copy, Debug, Default)]
pub struct StateEvidence {
    /// When a host was last heard from that has no newer state and is not isolated, or the platform last answered this host's watch.
    agreed_at: MonoMs,
    /// When the platform last answered this host or one that it hears from, directly or through others.
    platform_answered_at: MonoMs,
    /// When the process started.
    started_at: MonoMs,
    /// When the platform answered again after a silence, as long as its state may lack what happened meanwhile.
    returned_at: Option<MonoMs>,
}

impl StateEvidence {
    /// Creates the evidence of a process that starts.
    #[must_use]
    pub fn new(started_at: MonoMs) -> Self {
        Self {
            started_at,
            ..Self::default()
        }
    }

    /// Records that the platform has answered this host's watch or listing.
    pub fn record_watch_answer(&mut self, now: MonoMs) {
        self.agreed_at = now;
        self.record_platform_answer(now);
    }

    /// Records that the platform has answered another call of this host.
    pub fn record_platform_answer(&mut self, now: MonoMs) {
        self.record_contact(now);
    }

    /// Records that the platform has answered this host or another one at `at`.
    fn record_contact(&mut self, at: MonoMs) {
        // A host that starts during a silence may hear of it from others.
        let last = match self.platform_answered_at > MonoMs::default() {
            true => self.platform_answered_at,
            false => self.started_at,
        };
        if at.since_ms(last) > PLATFORM_TIMEOUT_MS {
            self.returned_at = Some(at);
        }
        self.platform_answered_at = self.platform_answered_at.max(at);
    }

    /// Records that another host has no newer state.
    pub fn record_agreement(&mut self, now: MonoMs) {
        self.agreed_at = now;
    }

    /// Records a heartbeat; `own` is the version of this host's copy. Isolated hosts state no contact with the platform, and
    /// confirm nothing: hosts that wake together would confirm one another's old states.
    pub fn record_heartbeat(&mut self, now: MonoMs, own: StateVersion, status: &HostStatus) {
        let has_no_state = status.as_of == StateVersion::default();
        let is_isolated = status.platform_contact_age_ms == u16::MAX;
        if has_no_state || is_isolated || status.as_of > own {
            return;
        }
        self.agreed_at = now;
        let age_ms = u64::from(status.platform_contact_age_ms);
        let answered_at = MonoMs(now.0.saturating_sub(age_ms));
        self.record_contact(answered_at);
        let has_waited = !status.has_platform_returned;
        if has_waited && self.returned_at.is_some_and(|at| answered_at >= at) {
            // The other host has waited already, or the platform was not silent for it.
            self.returned_at = None;
        }
    }

    /// Returns why the state may be out of date, or `None` if it is current.
    #[must_use]
    pub fn doubt(&self, now: MonoMs, others: OtherHosts) -> Option<StateDoubt> {
        if others.are_known && now.since_ms(self.agreed_at) > contact_timeout_ms(others) {
            return Some(StateDoubt::Isolated);
        }
        if now.since_ms(self.platform_answered_at) > PLATFORM_TIMEOUT_MS {
            return Some(StateDoubt::PlatformSilent);
        }
        self.has_platform_returned(now)
            .then_some(StateDoubt::PlatformReturned)
    }

    /// Returns whether the platform has answered again after a silence, and targets have yet to write to it.
    #[must_use]
    pub fn has_platform_returned(&self, now: MonoMs) -> bool {
        self.returned_at
            .is_some_and(|at| now.since_ms(at) < CATCH_UP_MS)
    }

    /// Returns the time since the platform last answered this host or one that it hears from, in milliseconds.
    #[must_use]
    pub fn platform_contact_age_ms(&self, now: MonoMs) -> u64 {
        now.since_ms(self.platform_answered_at)
    }

    /// Returns the time since the last evidence of both kinds, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: MonoMs) -> u64 {
        now.since_ms(self.agreed_at.min(self.platform_answered_at))
    }
}

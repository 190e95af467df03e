//! The decisions of a host that holds a lease or wants to.

use lw_base::{Invariant, MonoMs, violate};
use lw_plat::{KvCall, KvError, KvReply, Reconnect};
use rand::Rng;

use crate::authority::Authority;
use crate::lease_keys::LeaseKeys;
use crate::lease_times::LeaseTimes;
use crate::phase::{Claim, Phase};
use crate::record::{ClaimValue, EpochValue, stored};

/// A host that holds the lease of a scope or wants to.
///
/// One call is in flight at a time: [`Self::tick`] returns it and [`Self::reply`] takes its result. The claim key is
/// bound to the service's lease. The epoch key stays, and the fencing number is the higher one of the lease's epoch and
/// the recorded epoch plus one, because leases may be claimed in another order than they were opened. Each renewal
/// also reads the epoch key, so a holder whose claim was lost by the service notices its successor.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    keys: LeaseKeys,
    times: LeaseTimes,
    wanted: bool,
    phase: Phase,
    in_flight: bool,
    sent_at: MonoMs,
    resume_at: MonoMs,
    renewed_at: MonoMs,
    reconnect: Reconnect,
    floor: u64,
    first: bool,
    /// True when the lease was free and this host has left it to the first in rank.
    waited: bool,
    authority: Option<Authority>,
}

impl LeaseClient {
    /// Builds a holder that does not want the lease yet; `id` is unique for each start of a process.
    pub fn new(scope: &str, id: impl Into<String>, times: LeaseTimes) -> Self {
        Self {
            keys: LeaseKeys::new(scope, id.into()),
            times,
            wanted: false,
            phase: Phase::Idle,
            in_flight: false,
            sent_at: MonoMs(0),
            resume_at: MonoMs(0),
            renewed_at: MonoMs(0),
            reconnect: Reconnect::default(),
            floor: 0,
            first: true,
            waited: false,
            authority: None,
        }
    }

    /// Returns the id that the holder writes into the service.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.keys.id
    }

    /// Returns the present authority; whether it may still be used depends on the time.
    #[must_use]
    pub fn authority(&self) -> Option<Authority> {
        self.authority
    }

    /// Returns the fencing number when the holder may act at `now`.
    #[must_use]
    pub fn may_act(&self, now: MonoMs) -> Option<u64> {
        let authority = self.authority.filter(|authority| authority.may_act(now));
        authority.map(|authority| authority.epoch)
    }

    /// Returns true when the holder neither holds nor wants the lease and no call is left to make.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle && !self.in_flight && !self.wanted
    }

    /// Sets whether the lease is wanted; a lease that is no longer wanted gives no authority from now on.
    pub fn set_wanted(&mut self, now: MonoMs, wanted: bool) {
        if self.wanted == wanted {
            return;
        }
        self.wanted = wanted;
        self.resume_at = now;
        if !wanted {
            self.authority = None;
        }
    }

    /// Sets whether this host is the first in rank among the contenders, which takes a free lease at once.
    ///
    /// The others look again after a random time and take the lease only if it is still free. Without turns the 380
    /// hosts of 45 regions write 1,140 times in one second of a common start. Hosts may disagree about the rank: it
    /// spreads the writes and decides nothing.
    pub fn set_preferred(&mut self, first: bool) {
        self.first = first;
    }

    /// Gives up a lease whose fencing number is not above `epoch`, and takes it again with a higher one.
    ///
    /// A target has seen `epoch`. That happens when the service lost its last writes and counts from a lower number.
    pub fn require_epoch_above(&mut self, now: MonoMs, epoch: u64) {
        self.floor = self.floor.max(epoch);
        if self.authority.is_some_and(|held| held.epoch <= self.floor) {
            self.step_down();
            self.resume_at = now;
        }
    }

    /// Returns the next call when it is time for it.
    pub fn tick(&mut self, now: MonoMs) -> Option<KvCall> {
        self.drop_lapsed(now);
        if self.in_flight {
            return None;
        }
        self.follow_wish();
        if now < self.resume_at {
            return None;
        }
        let call = self.keys.call(&self.phase, &self.times)?;
        self.in_flight = true;
        self.sent_at = now;
        Some(call)
    }

    /// Returns when [`Self::tick`] has something to do next, unless a call is in flight.
    #[must_use]
    pub fn wake_at(&self) -> MonoMs {
        self.resume_at
    }

    /// Takes the result of the call that the last [`Self::tick`] returned.
    pub fn reply(&mut self, now: MonoMs, rng: &mut impl Rng, result: Result<KvReply, KvError>) {
        self.in_flight = false;
        self.resume_at = now;
        match result {
            Ok(reply) => {
                self.reconnect.succeeded();
                self.take_reply(now, rng, &reply);
            }
            Err(error) => self.take_error(now, rng, error),
        }
        self.drop_lapsed(now);
    }

    /// Gives up an authority or a claim whose lease may have ended.
    fn drop_lapsed(&mut self, now: MonoMs) {
        let claim_end = self.phase.claim().map(|claim| claim.valid_until);
        let end = self.authority.map(|held| held.valid_until).or(claim_end);
        if end.is_some_and(|end| end <= now) {
            self.step_down();
        }
    }

    fn step_down(&mut self) {
        self.authority = None;
        self.phase = match self.phase.claim() {
            Some(claim) => Phase::Closing {
                lease_id: claim.lease_id,
            },
            None => self.phase,
        };
    }

    fn follow_wish(&mut self) {
        if !self.wanted {
            self.step_down();
        }
        self.phase = match (self.wanted, self.phase) {
            (true, Phase::Idle) => Phase::Looking,
            (false, Phase::Looking | Phase::Waiting { .. } | Phase::Opening) => Phase::Idle,
            (_, phase) => phase,
        };
    }

    fn take_reply(&mut self, now: MonoMs, rng: &mut impl Rng, reply: &KvReply) {
        let sent_at = self.sent_at;
        match (self.phase, reply) {
            (Phase::Looking | Phase::Waiting { .. }, KvReply::Absent) => {
                self.take_turn(now, rng);
            }
            (Phase::Looking | Phase::Waiting { .. }, KvReply::Value { version, .. }) => {
                self.waited = false;
                self.phase = Phase::Waiting { version: *version };
            }
            // Reads again: after a loss of writes the key may have a lower version than the one waited for.
            (Phase::Waiting { .. }, KvReply::Unchanged) => {
                self.phase = Phase::Looking;
                self.resume_at = now.plus_ms(self.times.retry_ms);
            }
            (Phase::Opening, KvReply::Lease { lease_id, epoch }) => {
                self.renewed_at = sent_at;
                self.phase = Phase::Claiming(Claim {
                    lease_id: *lease_id,
                    lease_epoch: *epoch,
                    valid_until: sent_at.plus_ms(self.times.ttl_ms),
                    held_epoch: None,
                });
            }
            (Phase::Claiming(claim), KvReply::Written { .. }) => {
                self.phase = Phase::Reading(claim);
            }
            (Phase::Confirming(claim), reply) => self.confirm(now, claim, reply),
            (Phase::Reading(claim), reply) => self.judge(now, claim, reply),
            (Phase::Recording { claim, epoch, .. }, KvReply::Written { .. }) => {
                self.hold(now, claim, epoch);
            }
            (Phase::Renewing(claim), KvReply::Done) => {
                self.renewed_at = sent_at;
                let valid_until = sent_at.plus_ms(self.times.ttl_ms);
                self.phase = Phase::Reading(Claim {
                    valid_until,
                    ..claim
                });
            }
            (Phase::Closing { .. }, _) => self.phase = Phase::Idle,
            // A reply of another form: the same call is made again.
            _ => self.resume_at = now.plus_ms(self.times.retry_ms),
        }
    }

    /// Opens a lease, or looks again later when another host is the first in rank.
    fn take_turn(&mut self, now: MonoMs, rng: &mut impl Rng) {
        let at_once = self.first || self.waited;
        self.waited = !at_once;
        if at_once {
            self.phase = Phase::Opening;
            return;
        }
        self.phase = Phase::Looking;
        let spread_ms = rng.random_range(0..=self.times.claim_jitter_ms);
        self.resume_at = now.plus_ms(self.times.claim_delay_ms + spread_ms);
    }

    /// Continues after the reply to the write of the claim key was lost.
    fn confirm(&mut self, now: MonoMs, claim: Claim, reply: &KvReply) {
        let Some(found) = stored::<ClaimValue>(reply) else {
            self.resume_at = now.plus_ms(self.times.retry_ms);
            return;
        };
        if found.version == 0 {
            self.phase = Phase::Claiming(claim);
            return;
        }
        let is_own = found
            .value
            .is_some_and(|value| value.holder == self.keys.id && value.lease_id == claim.lease_id);
        match is_own {
            true => self.phase = Phase::Reading(claim),
            false => self.step_down(),
        }
    }

    /// Compares the recorded epoch with the own one.
    fn judge(&mut self, now: MonoMs, claim: Claim, reply: &KvReply) {
        let Some(found) = stored::<EpochValue>(reply) else {
            self.resume_at = now.plus_ms(self.times.retry_ms);
            return;
        };
        let version = found.version;
        let own = found
            .value
            .as_ref()
            .filter(|value| value.holder == self.keys.id && value.lease_id == claim.lease_id);
        if let Some(own) = own.filter(|own| own.epoch > self.floor) {
            self.hold(now, claim, own.epoch);
            return;
        }
        let recorded = found.value.map_or(0, |value| value.epoch);
        let epoch = match claim.held_epoch {
            None => claim.lease_epoch.max(recorded + 1).max(self.floor + 1),
            Some(held) if recorded < held => held,
            Some(held) => {
                self.check_successor(held, recorded);
                self.step_down();
                return;
            }
        };
        self.phase = Phase::Recording {
            claim,
            epoch,
            version,
        };
    }

    /// Two holders with one fencing number could both act on a target that checks the number.
    fn check_successor(&self, own_epoch: u64, recorded_epoch: u64) {
        if own_epoch == recorded_epoch {
            let detail = format!(
                "epoch {own_epoch} of {} has two holders",
                self.keys.claim_key
            );
            violate(Invariant::OneHolder, detail);
        }
    }

    fn hold(&mut self, now: MonoMs, claim: Claim, epoch: u64) {
        if !self.wanted {
            self.step_down();
            return;
        }
        let acquired_at = match self.authority {
            Some(held) if held.epoch == epoch => held.acquired_at,
            _ => now,
        };
        self.authority = Some(Authority {
            epoch,
            acquired_at,
            valid_until: claim.valid_until,
            margin_ms: self.times.margin_ms,
        });
        let held_epoch = Some(epoch);
        self.phase = Phase::Renewing(Claim {
            held_epoch,
            ..claim
        });
        self.resume_at = self.renewed_at.plus_ms(self.times.renew_ms);
    }

    fn take_error(&mut self, now: MonoMs, rng: &mut impl Rng, error: KvError) {
        match (self.phase, error) {
            (Phase::Closing { .. }, _) => self.phase = Phase::Idle,
            (_, KvError::LeaseLapsed) => {
                self.authority = None;
                self.phase = Phase::Idle;
            }
            (Phase::Claiming(_), KvError::Conflict { .. }) => self.step_down(),
            (Phase::Claiming(claim), KvError::ReplyLost) => self.phase = Phase::Confirming(claim),
            (Phase::Recording { claim, .. }, KvError::Conflict { .. } | KvError::ReplyLost) => {
                self.phase = Phase::Reading(claim);
            }
            (phase, _) => {
                let delay_ms = match phase.claim() {
                    Some(_) => self.times.retry_ms,
                    None => self.reconnect.failed(rng),
                };
                self.resume_at = now.plus_ms(delay_ms);
            }
        }
    }
}

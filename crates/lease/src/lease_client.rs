//! The state machine that acquires, renews and releases a lease.

use lw_base::{Invariant, MonoMs, report_violation};
use lw_plat::{KvCall, KvError, KvReply, ReconnectBackoff};
use rand::Rng;

use crate::lease_grant::LeaseGrant;
use crate::lease_keys::LeaseKeys;
use crate::lease_times::LeaseTimes;
use crate::phase::{Claim, Phase};
use crate::stored_value::{ClaimValue, EpochValue, parse_stored_value};

/// A client that holds or requests the lease of a scope.
///
/// At most one call is in flight: [`Self::tick`] returns it and [`Self::reply`] handles its result. The key-value
/// service deletes the claim key when the lease ends and keeps the epoch key. The fencing number is the maximum of the
/// lease's epoch and the recorded epoch plus one, because leases may be claimed in another order than they were opened.
/// The epoch key is read again after each renewal, so that a holder whose claim the service lost detects its successor.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    keys: LeaseKeys,
    times: LeaseTimes,
    /// True while the lease is requested or should be kept.
    wanted: bool,
    phase: Phase,
    in_flight: bool,
    /// When the call in flight, or the last call, was sent.
    sent_at: MonoMs,
    next_call_at: MonoMs,
    /// When the call that opened or last renewed the lease was sent.
    renewed_at: MonoMs,
    reconnect: ReconnectBackoff,
    /// Each further fencing number exceeds this epoch.
    epoch_lower_bound: u64,
    preferred: bool,
    /// True after this host found the lease free and delayed its claim.
    has_delayed: bool,
    grant: Option<LeaseGrant>,
}

impl LeaseClient {
    /// Creates a client that does not request the lease yet; `id` is unique for each start of a process.
    pub fn new(scope: &str, id: impl Into<String>, times: LeaseTimes) -> Self {
        Self {
            keys: LeaseKeys::new(scope, id.into()),
            times,
            wanted: false,
            phase: Phase::Idle,
            in_flight: false,
            sent_at: MonoMs(0),
            next_call_at: MonoMs(0),
            renewed_at: MonoMs(0),
            reconnect: ReconnectBackoff::default(),
            epoch_lower_bound: 0,
            preferred: true,
            has_delayed: false,
            grant: None,
        }
    }

    /// Returns the id that the client writes to the key-value service.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.keys.id
    }

    /// Returns the current grant, which may have expired; see [`LeaseGrant::may_act`].
    #[must_use]
    pub fn current_grant(&self) -> Option<LeaseGrant> {
        self.grant
    }

    /// Returns the fencing number if the client may act at `now`.
    #[must_use]
    pub fn may_act(&self, now: MonoMs) -> Option<u64> {
        let grant = self.grant.filter(|grant| grant.may_act(now));
        grant.map(|grant| grant.epoch)
    }

    /// Returns true if the client neither holds nor requests the lease and has no call left to make.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle && !self.in_flight && !self.wanted
    }

    /// Requests or releases the lease; a release ends the current grant at once.
    pub fn set_wanted(&mut self, now: MonoMs, wanted: bool) {
        if self.wanted == wanted {
            return;
        }
        self.wanted = wanted;
        self.next_call_at = now;
        if !wanted {
            self.grant = None;
        }
    }

    /// Sets whether this host is preferred among the contenders and claims a free lease without a delay.
    ///
    /// The other hosts read the claim key again after a random delay and claim the lease only if it is still free.
    /// Without the delay, the 380 hosts of 45 regions write 1,140 times in one second when they all start at once.
    /// Hosts may disagree about which one is preferred: this only spreads the writes.
    pub fn set_preferred(&mut self, preferred: bool) {
        self.preferred = preferred;
    }

    /// Releases a lease whose fencing number is not above `epoch`, and acquires it again with a higher one.
    ///
    /// `epoch` is a fencing number that a target has seen. It exceeds the one of this client when the key-value service
    /// has lost its last writes.
    pub fn require_epoch_above(&mut self, now: MonoMs, epoch: u64) {
        self.epoch_lower_bound = self.epoch_lower_bound.max(epoch);
        if self
            .grant
            .is_some_and(|grant| grant.epoch <= self.epoch_lower_bound)
        {
            self.release();
            self.next_call_at = now;
        }
    }

    /// Returns the next call if one is due.
    pub fn tick(&mut self, now: MonoMs) -> Option<KvCall> {
        self.release_expired(now);
        if self.in_flight {
            return None;
        }
        self.apply_wanted();
        if now < self.next_call_at {
            return None;
        }
        let call = self.keys.call(&self.phase, &self.times)?;
        self.in_flight = true;
        self.sent_at = now;
        Some(call)
    }

    /// Returns the time at which the next [`Self::tick`] is due if no call is in flight.
    #[must_use]
    pub fn wake_at(&self) -> MonoMs {
        self.next_call_at
    }

    /// Handles the result of the call that the last [`Self::tick`] returned.
    pub fn reply(&mut self, now: MonoMs, rng: &mut impl Rng, result: Result<KvReply, KvError>) {
        self.in_flight = false;
        self.next_call_at = now;
        match result {
            Ok(reply) => {
                self.reconnect.reset();
                self.handle_reply(now, rng, &reply);
            }
            Err(error) => self.handle_error(now, rng, error),
        }
        self.release_expired(now);
    }

    /// Releases a grant or a claim whose lease may have expired.
    fn release_expired(&mut self, now: MonoMs) {
        let claim_end = self.phase.claim().map(|claim| claim.valid_until);
        let end = self.grant.map(|grant| grant.valid_until).or(claim_end);
        if end.is_some_and(|end| end <= now) {
            self.release();
        }
    }

    fn release(&mut self) {
        self.grant = None;
        self.phase = match self.phase.claim() {
            Some(claim) => Phase::ClosingLease {
                lease_id: claim.lease_id,
            },
            None => self.phase,
        };
    }

    fn apply_wanted(&mut self) {
        if !self.wanted {
            self.release();
        }
        self.phase = match (self.wanted, self.phase) {
            (true, Phase::Idle) => Phase::ReadingClaim,
            (false, Phase::ReadingClaim | Phase::WatchingClaim { .. } | Phase::OpeningLease) => {
                Phase::Idle
            }
            (_, phase) => phase,
        };
    }

    fn handle_reply(&mut self, now: MonoMs, rng: &mut impl Rng, reply: &KvReply) {
        let sent_at = self.sent_at;
        match (self.phase, reply) {
            (Phase::ReadingClaim | Phase::WatchingClaim { .. }, KvReply::Absent) => {
                self.open_or_delay(now, rng);
            }
            (Phase::ReadingClaim | Phase::WatchingClaim { .. }, KvReply::Value { version, .. }) => {
                self.has_delayed = false;
                self.phase = Phase::WatchingClaim { version: *version };
            }
            // Reads the key instead of watching it again: after the service lost writes, the version of the key may be
            // lower than the watched one.
            (Phase::WatchingClaim { .. }, KvReply::Unchanged) => {
                self.phase = Phase::ReadingClaim;
                self.next_call_at = now.plus_ms(self.times.retry_ms);
            }
            (Phase::OpeningLease, KvReply::Lease { lease_id, epoch }) => {
                self.renewed_at = sent_at;
                self.phase = Phase::WritingClaim(Claim {
                    lease_id: *lease_id,
                    lease_epoch: *epoch,
                    valid_until: sent_at.plus_ms(self.times.ttl_ms),
                    acquired_epoch: None,
                });
            }
            (Phase::WritingClaim(claim), KvReply::Written { .. }) => {
                self.phase = Phase::ReadingEpoch(claim);
            }
            (Phase::ConfirmingClaim(claim), reply) => self.confirm_claim(now, claim, reply),
            (Phase::ReadingEpoch(claim), reply) => self.compare_epoch(now, claim, reply),
            (Phase::WritingEpoch { claim, epoch, .. }, KvReply::Written { .. }) => {
                self.acquire(now, claim, epoch);
            }
            (Phase::RenewingLease(claim), KvReply::Done) => {
                self.renewed_at = sent_at;
                let valid_until = sent_at.plus_ms(self.times.ttl_ms);
                self.phase = Phase::ReadingEpoch(Claim {
                    valid_until,
                    ..claim
                });
            }
            (Phase::ClosingLease { .. }, _) => self.phase = Phase::Idle,
            // Retries the call after a reply of an unexpected kind.
            _ => self.next_call_at = now.plus_ms(self.times.retry_ms),
        }
    }

    /// Opens a lease, or delays that if another host is preferred.
    fn open_or_delay(&mut self, now: MonoMs, rng: &mut impl Rng) {
        let opens_now = self.preferred || self.has_delayed;
        self.has_delayed = !opens_now;
        if opens_now {
            self.phase = Phase::OpeningLease;
            return;
        }
        self.phase = Phase::ReadingClaim;
        let jitter_ms = rng.random_range(0..=self.times.claim_jitter_ms);
        self.next_call_at = now.plus_ms(self.times.claim_delay_ms + jitter_ms);
    }

    /// Checks whether the claim key holds the claim of this client after the reply to its write was lost.
    fn confirm_claim(&mut self, now: MonoMs, claim: Claim, reply: &KvReply) {
        let Some(found) = parse_stored_value::<ClaimValue>(reply) else {
            self.next_call_at = now.plus_ms(self.times.retry_ms);
            return;
        };
        if found.version == 0 {
            self.phase = Phase::WritingClaim(claim);
            return;
        }
        let is_own = found
            .value
            .is_some_and(|value| value.holder == self.keys.id && value.lease_id == claim.lease_id);
        match is_own {
            true => self.phase = Phase::ReadingEpoch(claim),
            false => self.release(),
        }
    }

    /// Compares the recorded epoch with that of this client, and chooses the epoch to write.
    fn compare_epoch(&mut self, now: MonoMs, claim: Claim, reply: &KvReply) {
        let Some(found) = parse_stored_value::<EpochValue>(reply) else {
            self.next_call_at = now.plus_ms(self.times.retry_ms);
            return;
        };
        let version = found.version;
        let own = found
            .value
            .as_ref()
            .filter(|value| value.holder == self.keys.id && value.lease_id == claim.lease_id);
        if let Some(own) = own.filter(|own| own.epoch > self.epoch_lower_bound) {
            self.acquire(now, claim, own.epoch);
            return;
        }
        let recorded = found.value.map_or(0, |value| value.epoch);
        let epoch = match claim.acquired_epoch {
            None => claim
                .lease_epoch
                .max(recorded + 1)
                .max(self.epoch_lower_bound + 1),
            Some(acquired) if recorded < acquired => acquired,
            Some(acquired) => {
                self.check_successor(acquired, recorded);
                self.release();
                return;
            }
        };
        self.phase = Phase::WritingEpoch {
            claim,
            epoch,
            version,
        };
    }

    /// Counts an invariant violation if another client recorded the epoch of this client.
    ///
    /// A target that checks fencing numbers would accept commands of both holders.
    fn check_successor(&self, own_epoch: u64, recorded_epoch: u64) {
        if own_epoch == recorded_epoch {
            let detail = format!(
                "epoch {own_epoch} of {} has two holders",
                self.keys.claim_key
            );
            report_violation(Invariant::OneHolder, detail);
        }
    }

    fn acquire(&mut self, now: MonoMs, claim: Claim, epoch: u64) {
        if !self.wanted {
            self.release();
            return;
        }
        let acquired_at = match self.grant {
            Some(grant) if grant.epoch == epoch => grant.acquired_at,
            _ => now,
        };
        self.grant = Some(LeaseGrant {
            epoch,
            acquired_at,
            valid_until: claim.valid_until,
            margin_ms: self.times.margin_ms,
        });
        let acquired_epoch = Some(epoch);
        self.phase = Phase::RenewingLease(Claim {
            acquired_epoch,
            ..claim
        });
        self.next_call_at = self.renewed_at.plus_ms(self.times.renew_ms);
    }

    fn handle_error(&mut self, now: MonoMs, rng: &mut impl Rng, error: KvError) {
        match (self.phase, error) {
            (Phase::ClosingLease { .. }, _) => self.phase = Phase::Idle,
            (_, KvError::LeaseExpired) => {
                self.grant = None;
                self.phase = Phase::Idle;
            }
            (Phase::WritingClaim(_), KvError::Conflict { .. }) => self.release(),
            (Phase::WritingClaim(claim), KvError::ReplyLost) => {
                self.phase = Phase::ConfirmingClaim(claim);
            }
            (Phase::WritingEpoch { claim, .. }, KvError::Conflict { .. } | KvError::ReplyLost) => {
                self.phase = Phase::ReadingEpoch(claim);
            }
            (phase, _) => {
                let delay_ms = match phase.claim() {
                    Some(_) => self.times.retry_ms,
                    None => self.reconnect.next_delay_ms(rng),
                };
                self.next_call_at = now.plus_ms(delay_ms);
            }
        }
    }
}

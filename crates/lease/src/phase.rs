//! The phases of a lease client.

use lw_base::MonoMs;

/// An open lease with which the claim key is written or being written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    pub(crate) lease_id: u64,
    /// The epoch that the key-value service assigned to the lease.
    pub(crate) lease_epoch: u64,
    /// The earliest time at which the service may expire the lease.
    pub(crate) valid_until: MonoMs,
    /// The fencing number acquired under this lease; `None` until the epoch key is written.
    pub(crate) acquired_epoch: Option<u64>,
}

/// The phase of a lease client; each phase except `Idle` makes one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Makes no call, because the lease is not wanted.
    Idle,
    /// Reads the claim key.
    ReadingClaim,
    /// Watches the claim key for a change after `version`.
    WatchingClaim { version: u64 },
    /// Opens a lease.
    OpeningLease,
    /// Writes the claim key.
    WritingClaim(Claim),
    /// Reads the claim key after the reply to its write was lost.
    ConfirmingClaim(Claim),
    /// Reads the epoch key to choose the next epoch, or to check that no newer epoch was recorded.
    ReadingEpoch(Claim),
    /// Writes the epoch key.
    WritingEpoch {
        claim: Claim,
        epoch: u64,
        version: u64,
    },
    /// Renews the lease when the renewal is due.
    RenewingLease(Claim),
    /// Closes the lease.
    ClosingLease { lease_id: u64 },
}

impl Phase {
    /// Returns the claim of the phases that depend on an open lease.
    pub(crate) fn claim(&self) -> Option<&Claim> {
        match self {
            Self::WritingClaim(claim)
            | Self::ConfirmingClaim(claim)
            | Self::ReadingEpoch(claim)
            | Self::WritingEpoch { claim, .. }
            | Self::RenewingLease(claim) => Some(claim),
            Self::Idle
            | Self::ReadingClaim
            | Self::WatchingClaim { .. }
            | Self::OpeningLease
            | Self::ClosingLease { .. } => None,
        }
    }
}

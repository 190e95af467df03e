//! The phases of a holder.

use lw_base::MonoMs;

/// An open lease that is claimed or being claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    pub(crate) lease_id: u64,
    /// The epoch that the service gave the lease.
    pub(crate) lease_epoch: u64,
    /// The earliest moment at which the service may end the lease.
    pub(crate) valid_until: MonoMs,
    /// The fencing number that the holder had under this lease.
    pub(crate) held_epoch: Option<u64>,
}

/// What a holder does; each phase but `Idle` has one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Does nothing: the lease is not wanted.
    Idle,
    /// Reads the claim key.
    Looking,
    /// Waits until the claim key changes.
    Waiting { version: u64 },
    /// Opens a lease.
    Opening,
    /// Writes the claim key.
    Claiming(Claim),
    /// Reads the claim key after the reply to its write was lost.
    Confirming(Claim),
    /// Reads the epoch key: to find the next epoch, or to check that the own epoch is the newest.
    Reading(Claim),
    /// Writes the epoch key.
    Recording {
        claim: Claim,
        epoch: u64,
        version: u64,
    },
    /// Renews the lease, when the time has come.
    Renewing(Claim),
    /// Ends the lease.
    Closing { lease_id: u64 },
}

impl Phase {
    /// Returns the lease that the phase relies on.
    pub(crate) fn claim(&self) -> Option<&Claim> {
        match self {
            Self::Claiming(claim)
            | Self::Confirming(claim)
            | Self::Reading(claim)
            | Self::Recording { claim, .. }
            | Self::Renewing(claim) => Some(claim),
            Self::Idle
            | Self::Looking
            | Self::Waiting { .. }
            | Self::Opening
            | Self::Closing { .. } => None,
        }
    }
}

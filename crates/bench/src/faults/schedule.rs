//! The seeded schedule of faults.

use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// A kind of fault; `Service` means the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    ServiceOutage,
    ServiceSlow,
    ServiceLosesReplies,
    ServiceLosesWrites,
    HostCut,
    HostRepliesLost,
    RegionCut,
    HostKilled,
    HostReplaced,
    TargetSlow,
    TargetRefuses,
    TargetBreaks,
    TargetMislabels,
    OperatorsRace,
    StopTarget,
    StopZone,
    StricterResidency,
}

impl Fault {
    const ALL: [Self; 17] = [
        Self::ServiceOutage,
        Self::ServiceSlow,
        Self::ServiceLosesReplies,
        Self::ServiceLosesWrites,
        Self::HostCut,
        Self::HostRepliesLost,
        Self::RegionCut,
        Self::HostKilled,
        Self::HostReplaced,
        Self::TargetSlow,
        Self::TargetRefuses,
        Self::TargetBreaks,
        Self::TargetMislabels,
        Self::OperatorsRace,
        Self::StopTarget,
        Self::StopZone,
        Self::StricterResidency,
    ];
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) at_ms: u64,
    pub(crate) fault: Fault,
    pub(crate) duration_ms: u64,
    /// A random number that selects the host, target, zone or region.
    pub(crate) random_index: usize,
}

/// Generates a schedule of `seconds` seconds from a seed.
///
/// Every kind occurs once, in random order, before any kind is drawn again. Faults may overlap, and some kinds are
/// scheduled twice in a row.
pub(crate) fn schedule(seed: u64, seconds: u64) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut plan, mut remaining, mut at_ms) = (Vec::new(), Vec::new(), 0);
    while at_ms < seconds * 1_000 {
        if remaining.is_empty() {
            remaining.extend(Fault::ALL);
            remaining.shuffle(&mut rng);
        }
        let Some(fault) = remaining.pop() else {
            break;
        };
        let times = if rng.random_bool(0.2) { 2 } else { 1 };
        for _ in 0..times {
            plan.push(PlannedFault {
                at_ms,
                fault,
                duration_ms: rng.random_range(1_000..6_000),
                random_index: rng.random_range(0..1_000),
            });
            at_ms += rng.random_range(100..1_800);
        }
    }
    plan
}

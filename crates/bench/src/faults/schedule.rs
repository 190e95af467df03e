//! The seeded schedule of faults.

use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// A kind of fault.
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

/// A fault at its time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Planned {
    pub(crate) at_ms: u64,
    pub(crate) fault: Fault,
    pub(crate) lasts_ms: u64,
    /// Picks the host, target or zone.
    pub(crate) pick: usize,
}

/// Draws a schedule: each kind once in random order before any comes again, with overlaps, and some kinds twice in a
/// row.
pub(crate) fn schedule(seed: u64, seconds: u64) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut plan, mut deck, mut at_ms) = (Vec::new(), Vec::new(), 0);
    while at_ms < seconds * 1_000 {
        if deck.is_empty() {
            deck.extend(Fault::ALL);
            deck.shuffle(&mut rng);
        }
        let Some(fault) = deck.pop() else {
            break;
        };
        let times = if rng.random_bool(0.2) { 2 } else { 1 };
        for _ in 0..times {
            plan.push(Planned {
                at_ms,
                fault,
                lasts_ms: rng.random_range(1_000..6_000),
                pick: rng.random_range(0..1_000),
            });
            at_ms += rng.random_range(100..1_800);
        }
    }
    plan
}

//! How the contact with the platform spreads through the heartbeats of a region, from a few hosts to hundreds.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lw_base::prelude::*;
use lw_base::stable_hash;
use lw_bench::region::{Behaviour, Faults, HostMoment, NO_FAULTS, Region, STEP_MS};
use lw_mesh::{OtherHosts, StateDoubt, StateEvidence, StateVersion};
use lw_platform::renew_interval;
use test_case::test_case;

/// The regions of the deployment. Each host knows the hosts of all of them, and the model has one.
const REGIONS: usize = 3;
/// A watch of the platform is answered after this time if nothing changes, in milliseconds.
const WATCH_MS: u64 = 3_500;
/// The version of the platform's state, which does not change.
const STATE: StateVersion = StateVersion {
    era: 0,
    revision: 7,
};
/// Hosts have found one another and the platform by this time, in milliseconds.
const SETTLED_MS: u64 = 3_000;
/// The greatest share of the time of hosts that is in doubt although the platform answers.
const MAX_DOUBT_SHARE: f64 = 0.001;
/// Hosts doubt their state this long after the platform's last answer at the latest, in milliseconds: by design 2 s, and
/// the time of a step.
const MAX_NOTICE_MS: u64 = 2_000 + STEP_MS;
/// Hosts take their state for current this long after the platform's return at the latest, in milliseconds: 2 s for the
/// targets, until the next call of any host, and the way through two heartbeats.
const MAX_RETURN_MS: u64 = 2_000 + 1_600;

struct Case {
    hosts: usize,
    faults: Faults,
    /// When the platform answers nothing, in milliseconds.
    silent_ms: std::ops::Range<u64>,
    end_ms: u64,
}

#[derive(Default)]
struct Figures {
    /// The steps of all hosts after the time in which they settle, and those of them in doubt.
    steps: usize,
    doubtful: usize,
    /// The last time at which a host had no doubt during the silence, and the last one of a doubt after it.
    last_trust_ms: u64,
    last_doubt_ms: u64,
}

struct ModelState {
    evidence: Option<StateEvidence>,
}

fn contact_age_ms(evidence: &StateEvidence, now: MonoMs, others: OtherHosts) -> u16 {
    if evidence.doubt(now, others) == Some(StateDoubt::Isolated) {
        return u16::MAX;
    }
    let age_ms = evidence.platform_contact_age_ms(now);
    u16::try_from(age_ms).unwrap_or(u16::MAX).min(u16::MAX - 1)
}

fn act(
    moment: &mut HostMoment<'_, ModelState>,
    interval_ms: u64,
    silent_ms: &std::ops::Range<u64>,
    figures: &mut Figures,
) {
    let (now, at_ms) = (moment.now, moment.at_ms);
    let evidence = moment
        .state
        .evidence
        .get_or_insert_with(|| StateEvidence::new(now));
    let is_silent = silent_ms.contains(&at_ms);
    let phase = |kind: &str| stable_hash(format!("{kind} {}", moment.host).as_bytes());
    let is_due = |kind: &str, interval_ms: u64| {
        now.0 % interval_ms / STEP_MS == phase(kind) % interval_ms / STEP_MS
    };
    if !is_silent && is_due("renewal", interval_ms) {
        evidence.record_platform_answer(now);
    }
    if !is_silent && is_due("watch", WATCH_MS) && moment.table.is_watcher(now) {
        evidence.record_watch_answer(now);
    }
    if !moment.is_warmed_up || at_ms < SETTLED_MS {
        return;
    }
    let others = moment.table.others(now);
    let is_doubtful = evidence.doubt(now, others).is_some();
    figures.steps += 1;
    figures.doubtful += usize::from(is_doubtful);
    if is_silent && !is_doubtful {
        figures.last_trust_ms = at_ms;
    }
    if at_ms >= silent_ms.end && is_doubtful {
        figures.last_doubt_ms = at_ms;
    }
}

fn run(case: &Case) -> Figures {
    let figures = Rc::<RefCell<Figures>>::default();
    let recorded = Rc::clone(&figures);
    let interval = renew_interval(case.hosts * REGIONS);
    let interval_ms = Duration::as_millis(&interval) as u64;
    let silent_ms = case.silent_ms.clone();
    let behaviour = Behaviour {
        new_state: Box::new(|| ModelState { evidence: None }),
        act: Box::new(move |mut moment| {
            act(
                &mut moment,
                interval_ms,
                &silent_ms,
                &mut recorded.borrow_mut(),
            );
        }),
        send: Box::new(|moment, heartbeat| {
            if let Some(evidence) = &moment.state.evidence {
                let status = &mut heartbeat.status;
                let others = moment.table.others(moment.now);
                status.platform_contact_age_ms = contact_age_ms(evidence, moment.now, others);
                status.has_platform_returned = evidence.has_platform_returned(moment.now);
            }
            Vec::new()
        }),
        receive: Box::new(|moment, heartbeat| {
            if let Some(evidence) = &mut moment.state.evidence {
                evidence.record_heartbeat(moment.now, STATE, &heartbeat.status);
            }
        }),
    };
    let mut region = Region::new(case.hosts, &case.faults, behaviour);
    region.run(case.end_ms);
    drop(region);
    figures.take()
}

const LOSSY: Faults = Faults {
    loss_one_in: 4,
    ..NO_FAULTS
};

// Guards against hosts that ask targets for their warmth without need, because the contact of other hosts with the platform
// reaches them too late.
#[test_case(&Case { hosts: 3, faults: NO_FAULTS, silent_ms: 0..0, end_ms: 30_000 }; "three hosts")]
#[test_case(&Case { hosts: 26, faults: NO_FAULTS, silent_ms: 0..0, end_ms: 30_000 }; "a region of 26")]
#[test_case(&Case { hosts: 100, faults: NO_FAULTS, silent_ms: 0..0, end_ms: 10_000 }; "a region of 100")]
#[test_case(&Case { hosts: 300, faults: NO_FAULTS, silent_ms: 0..0, end_ms: 5_000 }; "a region of 300")]
#[test_case(&Case { hosts: 100, faults: LOSSY, silent_ms: 0..0, end_ms: 10_000 }; "a region of 100, a quarter of the datagrams lost")]
fn hosts_trust_their_state_while_the_platform_answers(case: &Case) {
    let figures = run(case);
    let share = figures.doubtful as f64 / figures.steps as f64;
    println!("{} hosts: {share:.5} of the time in doubt", case.hosts);
    assert!(share <= MAX_DOUBT_SHARE, "{share}");
}

// Guards against hosts that keep the contact with a silent platform alive by telling it to one another, and against a region
// that doubts its state long after the platform's return.
#[test_case(&Case { hosts: 3, faults: NO_FAULTS, silent_ms: 5_000..12_000, end_ms: 20_000 }; "three hosts")]
#[test_case(&Case { hosts: 26, faults: NO_FAULTS, silent_ms: 5_000..12_000, end_ms: 20_000 }; "a region of 26")]
#[test_case(&Case { hosts: 100, faults: NO_FAULTS, silent_ms: 5_000..9_000, end_ms: 15_000 }; "a region of 100")]
#[test_case(&Case { hosts: 300, faults: NO_FAULTS, silent_ms: 3_500..6_500, end_ms: 11_000 }; "a region of 300")]
fn hosts_notice_the_silence_and_the_return_of_the_platform(case: &Case) {
    let figures = run(case);
    let notice_ms = figures.last_trust_ms.saturating_sub(case.silent_ms.start);
    let return_ms = figures.last_doubt_ms.saturating_sub(case.silent_ms.end);
    println!(
        "{} hosts: noticed after {notice_ms} ms, over after {return_ms} ms",
        case.hosts
    );
    assert!(notice_ms <= MAX_NOTICE_MS, "noticed after {notice_ms} ms");
    assert!(return_ms <= MAX_RETURN_MS, "over after {return_ms} ms");
}

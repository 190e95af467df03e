//! How changes reach the hosts of a region while the platform turns away those that watch it.

use std::cell::RefCell;
use std::rc::Rc;

use lw_base::prelude::*;
use lw_bench::region::{Behaviour, Faults, HostMoment, NO_FAULTS, Region};
use lw_mesh::{Heartbeat, StateVersion};
use test_case::test_case;

/// A change is in force within this time, in milliseconds.
const MAX_APPLY_MS: u64 = 3_000;
/// The platform turns away at most this share of the hosts.
const MAX_AWAY_SHARE: f64 = 0.355;
/// The platform turns hosts away from this time on, in milliseconds.
const TROUBLE_AT_MS: u64 = 8_000;
/// A run ends this long after the change, in milliseconds.
const REST_MS: u64 = MAX_APPLY_MS + 500;
/// Watches are counted from this time on, when hosts have found one another, to the beginning of the trouble.
const SETTLED_MS: u64 = 5_000;
/// The most watches in a region in one second without a change, on average.
const MAX_CALM_WATCHES_PER_S: f64 = 2.0;
/// The most watches of a host that is turned away and is replaced.
const MAX_REPLACED_WATCHES: u64 = 2;
/// How often a host checks whether it has to watch, the delay after a failed watch, the time after which a watch without
/// an answer fails, and the time in which the state of another host is fetched, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 150;
const RETRY_DELAY_MS: u64 = 220;
const ANSWER_TIMEOUT_MS: u64 = 900;
const FETCH_MS: u64 = 50;
/// The time of a call of the platform in another region, in milliseconds.
const CALL_MS: u64 = 110;

const BEFORE: StateVersion = StateVersion {
    era: 0,
    revision: 7,
};
const AFTER: StateVersion = StateVersion {
    era: 0,
    revision: 8,
};

#[derive(Clone, Copy, PartialEq, Eq)]
enum Answer {
    Refusal,
    Silence,
}

#[derive(Clone, Copy)]
struct Case {
    hosts: usize,
    answer: Answer,
    /// The time from the beginning of the trouble to the change, in milliseconds.
    lead_ms: u64,
    /// The hosts that begin to watch during the trouble are turned away too, as long as the share allows.
    follows: bool,
    loss_one_in: u64,
}

#[derive(Clone, Copy)]
struct Watch {
    began_at: MonoMs,
    ends_at: MonoMs,
    waits: bool,
}

#[derive(Default)]
struct ModelState {
    as_of: StateVersion,
    answered_at: Option<MonoMs>,
    watch: Option<Watch>,
    has_waited: bool,
    has_paused: bool,
    next_check_at: MonoMs,
    fetched_at: Option<MonoMs>,
}

#[derive(Default)]
struct Figures {
    away: FastSet<usize>,
    calm_watches: usize,
    troubled_watches: usize,
    /// When each host had the change, in milliseconds.
    applied_ms: FastMap<usize, u64>,
}

fn act(mut moment: HostMoment<'_, ModelState>, case: Case, figures: &mut Figures) {
    let now = moment.now;
    if moment.state.as_of == StateVersion::default() {
        moment.state.as_of = BEFORE;
        moment.table.record_listing(now);
    }
    if moment.state.fetched_at.is_some_and(|at| now >= at) {
        moment.state.fetched_at = None;
        apply_change(&mut moment, figures);
    }
    let is_troubled = moment.at_ms >= TROUBLE_AT_MS;
    let max_away = (case.hosts as f64 * MAX_AWAY_SHARE) as usize;
    let is_watching = moment.state.watch.is_some();
    let is_chosen = moment.at_ms == TROUBLE_AT_MS || (is_troubled && case.follows);
    if is_watching && is_chosen && figures.away.len() < max_away {
        figures.away.insert(moment.host);
    }
    match moment.state.watch {
        Some(watch) => continue_watch(&mut moment, watch, case, figures),
        None if now >= moment.state.next_check_at => {
            let is_watcher = moment.table.is_watcher(now);
            if !is_watcher {
                moment.state.has_paused = true;
                moment.state.next_check_at = now.plus_ms(CHECK_INTERVAL_MS);
                return;
            }
            let waits = !std::mem::take(&mut moment.state.has_paused);
            let wait_ms = match waits {
                true => moment.table.watch_wait_ms(now, moment.state.has_waited),
                false => 0,
            };
            moment.state.watch = Some(Watch {
                began_at: now,
                ends_at: now.plus_ms(wait_ms + CALL_MS),
                waits,
            });
            figures.calm_watches += usize::from(moment.at_ms >= SETTLED_MS && !is_troubled);
            figures.troubled_watches += usize::from(is_troubled);
        }
        None => {}
    }
}

fn apply_change(moment: &mut HostMoment<'_, ModelState>, figures: &mut Figures) {
    if moment.state.as_of < AFTER {
        moment.state.as_of = AFTER;
        *moment.is_heartbeat_due = true;
        figures.applied_ms.insert(moment.host, moment.at_ms);
    }
}

fn continue_watch(
    moment: &mut HostMoment<'_, ModelState>,
    watch: Watch,
    case: Case,
    figures: &mut Figures,
) {
    let now = moment.now;
    let is_away = moment.at_ms >= TROUBLE_AT_MS && figures.away.contains(&moment.host);
    let is_changed = moment.at_ms >= TROUBLE_AT_MS + case.lead_ms && moment.state.as_of < AFTER;
    let arrives_at = watch.began_at.plus_ms(CALL_MS);
    let is_answered = now >= watch.ends_at || (is_changed && now >= arrives_at);
    let has_timed_out = now >= watch.ends_at.plus_ms(ANSWER_TIMEOUT_MS);
    if is_away && has_timed_out || is_away && case.answer == Answer::Refusal && is_answered {
        moment.state.watch = None;
        moment.state.has_waited = false;
        moment.state.next_check_at = now.plus_ms(RETRY_DELAY_MS);
        *moment.is_heartbeat_due |= moment.table.record_watch_failure(now);
    } else if !is_away && is_answered {
        moment.state.watch = None;
        moment.state.has_waited = watch.waits && now >= watch.ends_at;
        moment.state.answered_at = Some(now);
        moment.table.record_watch_answer(now);
        if is_changed {
            apply_change(moment, figures);
        }
    }
}

fn age_ms(now: MonoMs, at: Option<MonoMs>) -> u16 {
    at.map_or(u16::MAX, |at| {
        u16::try_from(now.since_ms(at)).unwrap_or(u16::MAX)
    })
}

fn send(moment: &HostMoment<'_, ModelState>, heartbeat: &mut Heartbeat) {
    let now = moment.now;
    let region_age_ms = moment.table.region_watch_age_ms(now);
    heartbeat.status.as_of = moment.state.as_of;
    heartbeat.status.platform_age_ms = age_ms(now, moment.state.answered_at);
    heartbeat.status.region_watch_age_ms =
        region_age_ms.map_or(u16::MAX, |age_ms| u16::try_from(age_ms).unwrap_or(u16::MAX));
    heartbeat.status.is_watch_failing = moment.table.is_watch_failing(now);
}

fn run(case: Case) -> Figures {
    let figures = Rc::<RefCell<Figures>>::default();
    let recorded = Rc::clone(&figures);
    let behaviour = Behaviour {
        new_state: Box::new(ModelState::default),
        act: Box::new(move |moment| act(moment, case, &mut recorded.borrow_mut())),
        send: Box::new(|moment, heartbeat| {
            send(&moment, heartbeat);
            Vec::new()
        }),
        receive: Box::new(|moment, heartbeat| {
            let is_newer = heartbeat.status.as_of == AFTER && moment.state.as_of < AFTER;
            if is_newer && moment.state.fetched_at.is_none() {
                moment.state.fetched_at = Some(moment.now.plus_ms(FETCH_MS));
            }
        }),
    };
    let faults = Faults {
        loss_one_in: case.loss_one_in,
        ..NO_FAULTS
    };
    let mut region = Region::new(case.hosts, &faults, behaviour);
    region.run(TROUBLE_AT_MS + case.lead_ms + REST_MS);
    drop(region);
    figures.take()
}

const TWELVE: Case = Case {
    hosts: 12,
    answer: Answer::Refusal,
    lead_ms: 200,
    follows: false,
    loss_one_in: 20,
};
const SILENT: Case = Case {
    answer: Answer::Silence,
    ..TWELVE
};

// Guards against hosts that act on an old configuration while the platform serves them, because it turns away the few hosts
// that watch it.
#[test_case(TWELVE; "twelve hosts")]
#[test_case(Case { lead_ms: 0, ..TWELVE }; "at the moment of the change")]
#[test_case(Case { lead_ms: 2_000, ..TWELVE }; "long before the change")]
#[test_case(Case { follows: true, ..TWELVE }; "those that replace them too")]
#[test_case(SILENT; "silence")]
#[test_case(Case { lead_ms: 0, ..SILENT }; "silence at the moment of the change")]
#[test_case(Case { lead_ms: 1_000, ..SILENT }; "silence before the change")]
#[test_case(Case { lead_ms: 4_000, ..SILENT }; "silence long before the change")]
#[test_case(Case { follows: true, ..SILENT }; "silence for those that replace them too")]
#[test_case(Case { hosts: 4, ..SILENT }; "four hosts")]
#[test_case(Case { hosts: 26, follows: true, ..SILENT }; "a region of 26")]
#[test_case(Case { hosts: 26, follows: true, lead_ms: 0, ..TWELVE }; "a region of 26, refused")]
#[test_case(Case { hosts: 100, ..SILENT }; "a region of 100")]
#[test_case(Case { hosts: 100, lead_ms: 0, ..SILENT }; "a region of 100, at the moment of the change")]
#[test_case(Case { hosts: 100, follows: true, lead_ms: 1_000, ..SILENT }; "a region of 100, those that replace them too")]
#[test_case(Case { hosts: 100, lead_ms: 0, loss_one_in: 5, ..SILENT }; "a region of 100, a fifth of the datagrams lost")]
#[test_case(Case { hosts: 300, lead_ms: 0, ..SILENT }; "a region of 300")]
fn changes_reach_a_region_whose_watchers_are_turned_away(case: Case) {
    let figures = run(case);
    let in_touch = (0..case.hosts).filter(|host| !figures.away.contains(host));
    let applied_ms = in_touch.map(|host| {
        let at_ms = figures.applied_ms.get(&host).copied();
        at_ms.map_or(u64::MAX, |at_ms| at_ms - TROUBLE_AT_MS - case.lead_ms)
    });
    let last_ms = applied_ms.max().unwrap_or(u64::MAX);
    let calm_ms = TROUBLE_AT_MS - SETTLED_MS;
    let calm_per_s = figures.calm_watches as f64 * 1_000.0 / calm_ms as f64;
    println!(
        "{} hosts, {} turned away: applied after {last_ms} ms; {calm_per_s:.2} watches a second in calm, {} in the trouble",
        case.hosts,
        figures.away.len(),
        figures.troubled_watches
    );
    assert!(!figures.away.is_empty());
    assert!(last_ms <= MAX_APPLY_MS, "applied after {last_ms} ms");
    assert!(
        calm_per_s <= MAX_CALM_WATCHES_PER_S,
        "{calm_per_s} watches a second"
    );
    // As many as those of three hosts that try all the time.
    let trouble_ms = case.lead_ms + REST_MS;
    let max_troubled = 3 * trouble_ms / (RETRY_DELAY_MS + CALL_MS)
        + MAX_REPLACED_WATCHES * figures.away.len() as u64;
    assert!(figures.troubled_watches as u64 <= max_troubled);
}

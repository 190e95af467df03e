//! Runs hosts under one load with one way to share limits.

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;

use lw_admit::{ASKED_DECAY_MS, DecayingRate, SharedLimiter};
use lw_base::prelude::*;
use lw_mesh::{Coverage, Heartbeat, LimitLoan, LimitReport, StatementId};
use lw_relay::short_hash;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::limits::load::{ArrivalsByStep, Load, arrivals};
use crate::limits::way::{TargetState, Way, update_share};
use crate::region::{Behaviour, Faults, HostMoment, Region, STEP_MS, model_host_name};

/// Hosts recompute their parts at this interval, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 400;
/// A limit holds for each interval of this length, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// A run of the model.
#[derive(Clone, Copy)]
pub struct LimitRun<'a> {
    /// The number of hosts.
    pub hosts: usize,
    /// The number of targets that name a limit.
    pub targets: usize,
    /// The limit of each target, in requests per second.
    pub limit_per_s: f64,
    /// The requests of callers for each target, in requests per second.
    pub asked_per_s: f64,
    /// How callers choose hosts.
    pub load: Load,
    /// What befalls the hosts.
    pub faults: &'a Faults,
    /// How the hosts share the limits.
    pub way: Way,
    /// The length of the run, in milliseconds.
    pub end_ms: u64,
    /// The seed of the requests and of the choices of hosts.
    pub seed: u64,
}

/// What a run has shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitOutcome {
    /// The most requests that a target got in 4 s.
    pub most_in_window: usize,
    /// The same as a multiple of what the limit allows on average.
    pub peak_ratio: f64,
    /// The requests that were sent, as a part of those that the limits or the callers allow.
    pub used: f64,
}

struct HostState {
    targets: Vec<TargetState>,
    asked: Vec<DecayingRate<ASKED_DECAY_MS>>,
    coverage: Coverage,
    loan_sequence: u32,
    rng: ChaCha8Rng,
}

/// What all hosts of a run share.
struct World {
    run: RunParameters,
    hashes: Vec<u32>,
    incarnations: Vec<Arc<str>>,
    arrivals: ArrivalsByStep,
    /// Requests that were forwarded to a covering host, by host.
    forwarded: FastMap<usize, Vec<usize>>,
    counters: Vec<SharedLimiter>,
    sent_at: Vec<Vec<MonoMs>>,
    next_seed: u64,
}

#[derive(Clone, Copy)]
struct RunParameters {
    limit_per_s: f64,
    way: Way,
}

/// Runs the model.
#[must_use]
pub fn run_limits(run: &LimitRun<'_>) -> LimitOutcome {
    let mut rng = ChaCha8Rng::seed_from_u64(run.seed);
    let callers_know: Vec<usize> = (0..run.hosts)
        .filter(|host| (run.faults.added_ms)(*host) == 0)
        .collect();
    let all = arrivals(
        run.load,
        &callers_know,
        run.targets,
        run.asked_per_s,
        run.end_ms,
        &mut rng,
    );
    let asked = all.len();
    let mut by_step = ArrivalsByStep::default();
    for arrival in all.iter() {
        let step = arrival.at_ms / STEP_MS;
        by_step.entry(step).or_default().push(arrival.clone());
    }
    let incarnations: Vec<Arc<str>> = (0..run.targets)
        .map(|target| format!("t{target}#{}", run.seed).into())
        .collect();
    let world = Rc::new(RefCell::new(World {
        run: RunParameters {
            limit_per_s: run.limit_per_s,
            way: run.way,
        },
        hashes: incarnations.iter().map(|name| short_hash(name)).collect(),
        incarnations,
        arrivals: by_step,
        forwarded: FastMap::default(),
        counters: vec![SharedLimiter::default(); run.targets],
        sent_at: vec![Vec::new(); run.targets],
        next_seed: run.seed,
    }));
    let targets = run.targets;
    let [for_state, for_act, for_send, for_receive] = [(); 4].map(|()| Rc::clone(&world));
    let behaviour = Behaviour {
        new_state: Box::new(move || new_state(targets, &mut for_state.borrow_mut())),
        act: Box::new(move |moment| act(moment, &mut for_act.borrow_mut())),
        send: Box::new(move |moment, heartbeat| add_limits(moment, &for_send.borrow(), heartbeat)),
        receive: Box::new(move |moment, heartbeat| {
            read_limits(moment, &for_receive.borrow(), heartbeat);
        }),
    };
    let mut region = Region::new(run.hosts, run.faults, behaviour);
    region.run(run.end_ms);
    drop(region);
    outcome(run, &world.borrow().sent_at, asked)
}

fn outcome(run: &LimitRun<'_>, sent_at: &[Vec<MonoMs>], asked: usize) -> LimitOutcome {
    let windows = sent_at.iter().flat_map(|sent_at| {
        sent_at.iter().enumerate().map(|(first, start)| {
            let later = sent_at[first..].iter();
            later
                .take_while(|at| at.since_ms(*start) < WINDOW_MS)
                .count()
        })
    });
    let most_in_window = windows.max().unwrap_or(0);
    let sent: usize = sent_at.iter().map(Vec::len).sum();
    let seconds = run.end_ms as f64 / 1_000.0;
    let limits = run.targets as f64 * run.limit_per_s * seconds;
    LimitOutcome {
        most_in_window,
        peak_ratio: most_in_window as f64 * 1_000.0 / (run.limit_per_s * WINDOW_MS as f64),
        used: sent as f64 / limits.min(asked as f64),
    }
}

fn new_state(targets: usize, world: &mut World) -> HostState {
    world.next_seed += 1;
    HostState {
        targets: (0..targets).map(|_| TargetState::default()).collect(),
        asked: vec![DecayingRate::default(); targets],
        coverage: Coverage::default(),
        loan_sequence: 0,
        rng: ChaCha8Rng::seed_from_u64(world.next_seed),
    }
}

fn act(moment: HostMoment<'_, HostState>, world: &mut World) {
    let HostMoment {
        now,
        at_ms,
        host,
        up_ms,
        table,
        state,
        ..
    } = moment;
    if (now.0 / STEP_MS).is_multiple_of(UPDATE_INTERVAL_MS / STEP_MS) || up_ms < STEP_MS {
        let hashes = world.hashes.iter().copied();
        let service = hashes.zip(world.incarnations.iter().cloned()).collect();
        state.coverage = table.coverage(now, &[service]);
        for (target, of_target) in state.targets.iter_mut().enumerate() {
            let named = &mut of_target.share.named;
            named.record_answer(host as u32, now, now, Some(world.run.limit_per_s));
            let incarnation = &world.incarnations[target];
            update_share(now, up_ms, table, incarnation, &mut of_target.share);
        }
    }
    if !moment.is_warmed_up {
        return;
    }
    let forwarded = world.forwarded.remove(&host).unwrap_or_default();
    let step = at_ms / STEP_MS;
    let own = world.arrivals.get_mut(&step).map(|arrivals| {
        let own = arrivals.extract_if(.., |arrival| arrival.host == host);
        own.map(|arrival| arrival.target).collect::<Vec<_>>()
    });
    let mut requests = forwarded;
    for target in own.unwrap_or_default() {
        let hash = world.hashes[target];
        if state.coverage.covered_by_self(hash) {
            requests.push(target);
            continue;
        }
        // Requests with the same prompt part go to the same covering host.
        if let Some(ip) = state.coverage.other_hosts(hash).first() {
            let [_, _, high, low] = ip.octets();
            let covering = usize::from(u16::from_be_bytes([high, low]));
            world.forwarded.entry(covering).or_default().push(target);
        }
    }
    for target in requests {
        state.asked[target].record(now);
        let asked_per_s = state.asked[target].per_s(now);
        let of_target = &mut state.targets[target];
        let way = world.run.way;
        let is_sent = if way.uses_share() {
            let permit = of_target.share.try_reserve(now);
            if let Some(permit) = permit {
                of_target.share.record_sent(now, permit);
            }
            permit.is_some()
        } else {
            let part = way.part(now, table, of_target, asked_per_s, world.run.limit_per_s);
            let limiter = match way {
                Way::Counter => &mut world.counters[target],
                _ => &mut of_target.limiter,
            };
            let permit = limiter.try_reserve(now, Some(part));
            if let Some(permit) = permit {
                limiter.record_sent(now, permit);
            }
            permit.is_some()
        };
        if is_sent {
            world.sent_at[target].push(now);
        }
    }
}

fn add_limits(
    moment: HostMoment<'_, HostState>,
    world: &World,
    heartbeat: &mut Heartbeat,
) -> Vec<Ipv4Addr> {
    let (now, state) = (moment.now, moment.state);
    let mut recipients = Vec::new();
    for (target, of_target) in state.targets.iter_mut().enumerate() {
        let hash = world.hashes[target];
        let asked_per_s = match state.coverage.covered_by_self(hash) {
            true => state.asked[target].per_s(now),
            false => 0.0,
        };
        if asked_per_s > 0.05 {
            heartbeat.limits.push(LimitReport {
                target: hash,
                per_s: Some(world.run.limit_per_s),
                age_ms: 0,
                statement: StatementId::default(),
                asked_per_s: asked_per_s as f32,
            });
            let holders = of_target.share.holders().iter();
            recipients.extend(holders.filter_map(|holder| holder.ip));
        }
        if world.run.way != Way::Loans {
            continue;
        }
        let rng = &mut state.rng;
        let loans = of_target
            .share
            .lend(now, asked_per_s, || rng.random_range(0.0..1.0));
        for loan in loans {
            recipients.extend(of_target.share.ip_of(loan.host));
            heartbeat.loans.push(LimitLoan {
                target: hash,
                host: loan.host,
                requests: loan.requests as u16,
            });
        }
    }
    state.loan_sequence += 1;
    heartbeat.loan_sequence = state.loan_sequence;
    recipients
}

fn read_limits(moment: HostMoment<'_, HostState>, world: &World, heartbeat: &Heartbeat) {
    let (now, state) = (moment.now, moment.state);
    let sender = short_hash(&heartbeat.address.host);
    let position = |hash: u32| world.hashes.iter().position(|other| *other == hash);
    for report in &heartbeat.limits {
        let Some(target) = position(report.target) else {
            continue;
        };
        let asked_per_s = f64::from(report.asked_per_s);
        let of_target = &mut state.targets[target];
        of_target.share.record_asked(now, sender, asked_per_s);
        of_target.reported.insert(sender, (now, asked_per_s));
    }
    let own_name = short_hash(&model_host_name(moment.host));
    if !moment.table.accepts_loans(heartbeat) {
        return;
    }
    for loan in heartbeat.loans.iter().filter(|loan| loan.host == own_name) {
        if let Some(target) = position(loan.target) {
            let requests = usize::from(loan.requests);
            state.targets[target].share.borrow(now, requests);
        }
    }
}

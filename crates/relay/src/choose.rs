//! Chooses a target in the region of the host.

use lw_admit::LimitPart;
use lw_base::prelude::*;

use crate::plan::{Plan, Service};
use crate::prompt::Prompt;
use crate::service_timings::ServiceTimings;
use crate::target::Target;
use crate::target_load::HostTargetUsage;

/// Queued requests that a plain target may have beyond its slots, as a multiple of the slots. Further requests wait at
/// the host, which can still send them elsewhere.
const PLAIN_QUEUE_RATIO: f64 = 2.0;
/// Queued requests that an engine may have beyond its slots, as a multiple of the slots.
const ENGINE_QUEUE_RATIO: f64 = 1.0;
/// The same for requests with a long shared prefix: they gain most at the prefix owner, while short requests run
/// equally well anywhere.
const LONG_PREFIX_QUEUE_RATIO: f64 = 2.0;
/// Places in the queue of a plain target that only routes within their share may take, as a multiple of the slots.
const PLAIN_RESERVE_RATIO: f64 = 1.0;
/// The fraction of an engine's memory that running requests may fill; above it the engine preempts requests.
const MAX_MEMORY_SHARE: f64 = 0.9;
/// Weight of a request's prefill time in its cost: the prefill also delays every other request of the engine.
pub(crate) const PREFILL_WEIGHT: f64 = 2.0;
/// Added to the weight for each request that runs on the engine, because each of them pauses during the prefill.
const PREFILL_WEIGHT_PER_RUNNING: f64 = 0.25;
/// Upper bound on the output tokens for which the slowdown is computed: callers state a maximum, which most answers do
/// not reach.
const MAX_SLOWDOWN_TOKENS: u64 = 120;
/// The time of one output token in a batch of usual size, in milliseconds.
const OUTPUT_TOKEN_MS: f64 = 9.0;
/// Upper bound on the prefill share; above it the engine does almost nothing but prefill, and the slowdown would grow
/// without limit.
const MAX_PREFILL_SHARE: f64 = 0.92;
/// Weight of the slowdown for a request with a long shared prefix: its events may pause for a second, and its deadline
/// is far away. With the full weight, two prompts in a row on one engine make the next ones create further copies of
/// the prefix.
const LONG_PREFIX_SLOWDOWN_WEIGHT: f64 = 0.25;
/// Cost of a new copy of a long shared prefix on a target that neither owns nor caches it, as a multiple of the prefill
/// time: each further copy displaces other prefixes from memory.
pub(crate) const NEW_COPY_WEIGHT: f64 = 3.0;
/// A request is not queued at an engine when it would wait longer than this fraction of its latency goal for a slot.
const MAX_SLOT_WAIT_RATIO: f64 = 1.0;
/// A request is delayed by each other one that runs on its engine, and delays it in turn.
const SHARED_DELAY_WEIGHT: f64 = 2.0;
/// The delay of one output token by each other request that runs on the engine, in milliseconds, until it is measured.
const INITIAL_TOKEN_DELAY_MS: f64 = 0.14;
/// Cost of a fully used plain target, in milliseconds, scaled by the use of its slots.
const FULL_USE_COST_MS: f64 = 250.0;
/// Up to this use of its slots, a plain target answers in its usual time.
const UNDELAYED_USE_RATIO: f64 = 0.8;
/// Cost of a target that fails every request, in milliseconds.
const FAILURE_COST_MS: f64 = 3_000.0;
/// Cost of a request at a target that names a limit and is not the owner of its prefix, in milliseconds: the requests that the
/// target takes are kept for those that gain most there, and other targets serve the rest while they have room.
const LIMITED_COST_MS: f64 = 400.0;
/// A target that has not stated its limit for this long, in milliseconds, is used at its usual cost, because only an answer
/// shows that the limit has ended.
const MAX_STATEMENT_AGE_MS: u64 = 1_000;
/// A failure rate up to this adds no cost: services answer some requests with an error on every target, and a host
/// cannot tell such requests from a faulty target.
const TOLERATED_FAILURE_RATE: f64 = 0.25;

/// The input of [`choose`].
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// The region of the host.
    pub region: &'a str,
    /// The service.
    pub service: ServiceKey,
    /// The prompt; empty for a plain service.
    pub prompt: &'a Prompt,
    /// The hash of the prefix owner in the region of the host.
    pub prefix_owner: Option<u32>,
    /// The owner over all regions lies in another region, so a copy on `prefix_owner` is an additional one.
    pub is_owner_in_other_region: bool,
    /// The usual number of events in an answer of the route; zero if it is not known yet.
    pub answer_events: f64,
    /// The time in which the answer should begin, in milliseconds.
    pub latency_goal_ms: f64,
    /// The route of the request is within its share of the service, so it may take reserved places.
    pub is_within_share: bool,
    /// Hashes of the incarnations that were tried already.
    pub tried: &'a [u32],
    /// Measured times of the service.
    pub timings: ServiceTimings,
}

/// A chosen target.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    /// The target.
    pub target: Target,
    /// Its service.
    pub service: Service,
    /// The prefill time of the request on this target, in milliseconds.
    pub prefill_ms: f64,
    /// The prompt tokens that the target does not have in its cache.
    pub new_tokens: u64,
    /// The expected time until the first event or the answer, in milliseconds.
    pub expected_ms: f64,
    /// The cost of the request on this target, including the delay of other requests, in milliseconds.
    pub cost_ms: f64,
    /// The target is the owner of the request's shared prefix.
    pub is_prefix_owner: bool,
    /// The target had no pending prefill work.
    pub idle: bool,
    /// The target is cold, so the request counts towards its slow-start rate.
    pub cold: bool,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTarget {
    /// The service has no target in the region that accepts requests.
    Absent,
    /// The service has targets, but none can accept the request at the moment: each was tried already, or
    /// lacks a slot, memory or cold-start quota.
    Full,
    /// Each target is closed to this host.
    Closed {
        /// The time at which the first of them opens again.
        until: MonoMs,
        /// Why it is closed until then.
        reason: Closure,
    },
}

/// Why a target is closed to a host for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Closure {
    /// It has asked for a pause.
    Pause,
    /// The limit that it names is used up.
    Limit,
    /// The hosts that cover it report that it is closed to them.
    Reported,
}

/// The rules for the targets that this host may use.
pub struct TargetEligibility<'a> {
    /// Returns whether this host sends requests to the target with this hash.
    pub covers: &'a dyn Fn(u32) -> bool,
    /// Returns this host's part of the rate limit of a cold target, or `None` when this host must not use it.
    pub cold_part: &'a dyn Fn(&Service, &Target) -> Option<LimitPart>,
}

/// Chooses the target with the least expected cost.
///
/// A new copy of a long shared prefix is created only on a target with a free slot. Without this rule, two of three
/// long prompts at full load go to targets that have not cached their prefix, and each such prefill takes the time of a
/// dozen short queries.
///
/// # Errors
///
/// Returns why no target can take the request.
pub fn choose(
    plan: &Plan,
    query: &ChoiceQuery<'_>,
    now: MonoMs,
    rules: &TargetEligibility<'_>,
) -> Result<ChosenTarget, NoTarget> {
    let service = &plan.services[query.service];
    let mut best_healthy: Option<(f64, ChosenTarget)> = None;
    let mut best_suspect: Option<(f64, ChosenTarget)> = None;
    let mut has_target = false;
    let mut has_healthy = false;
    let mut has_open = false;
    let mut opens_at: Option<(MonoMs, Closure)> = None;
    for target in plan.targets_of(query.service) {
        if *target.region != *query.region || !plan.accepts_requests(target) {
            continue;
        }
        if !(rules.covers)(target.hash) {
            continue;
        }
        has_target = true;
        let load = target.load.borrow();
        let paused_until = load.health.closed_until(now).map(|at| (at, Closure::Pause));
        let limited_until = load.limit_share.closed_until(now);
        let limited_until = limited_until.map(|at| (at, Closure::Limit));
        if let Some(until) = paused_until.max(limited_until) {
            opens_at = Some(opens_at.map_or(until, |earliest| earliest.min(until)));
            continue;
        }
        has_open = true;
        if query.tried.contains(&target.hash) || !load.health.may_send(now) {
            continue;
        }
        let is_cold = now < load.cold_until && service.cold_per_s > 0.0;
        if is_cold {
            let part = (rules.cold_part)(service, target);
            if !load.cold_start_limiter.may_send(now, part) {
                continue;
            }
        }
        let usage = load.total_usage(now);
        let is_suspect = load.health.is_suspect(now, query.timings.answer_ms);
        has_healthy |= !is_suspect;
        if is_full(service, target, usage, query) {
            continue;
        }
        let cached = load.cache.cached_tokens(&query.prompt.parts);
        let is_owner = query.prefix_owner == Some(target.hash);
        let is_copy = query.prefix_owner.is_some()
            && cached == 0
            && (!is_owner || query.is_owner_in_other_region);
        if is_copy && usage.running >= target.slots {
            continue;
        }
        let new_tokens = query.prompt.input_tokens.saturating_sub(cached);
        let prefill_ms = new_tokens as f64 * query.timings.prefill_ms_per_token;
        let slots = f64::from(target.slots.max(1));
        let use_ratio = f64::from(usage.running) / slots;
        let share = usage.prefill_share.min(MAX_PREFILL_SHARE);
        // Engines interleave prefill with the decoding of other requests, so prefill work slows down every answer.
        let slowed_tokens = query.prompt.output_tokens.min(MAX_SLOWDOWN_TOKENS) as f64;
        let slowdown_ms = slowed_tokens * OUTPUT_TOKEN_MS * share / (1.0 - share);
        let prefill_weight = PREFILL_WEIGHT + PREFILL_WEIGHT_PER_RUNNING * f64::from(usage.running);
        let copy_ms = match query.prefix_owner {
            Some(_) if !is_owner && cached == 0 => NEW_COPY_WEIGHT * prefill_ms,
            _ => 0.0,
        };
        let slowdown_weight = match query.prefix_owner {
            Some(_) => LONG_PREFIX_SLOWDOWN_WEIGHT,
            None => 1.0,
        };
        let slot_wait_ms = query.timings.slot_wait_ms(usage.running, target.slots);
        let delay_ms = match query.timings.pace.slope() {
            Some(gap_ms) if query.answer_events > 0.0 => query.answer_events * gap_ms,
            _ => slowed_tokens * INITIAL_TOKEN_DELAY_MS,
        };
        let batch_ms = SHARED_DELAY_WEIGHT * delay_ms * f64::from(usage.running);
        let expected_ms = match service.engine {
            Some(_) => usage.backlog_ms + prefill_ms + slowdown_ms + slot_wait_ms,
            None => query.timings.answer_ms * (1.0 + (use_ratio - UNDELAYED_USE_RATIO).max(0.0)),
        };
        let cost_ms = match service.engine {
            Some(_) => {
                usage.backlog_ms
                    + prefill_weight * prefill_ms
                    + copy_ms
                    + slowdown_weight * slowdown_ms
                    + slot_wait_ms
                    + batch_ms
            }
            None => FULL_USE_COST_MS * use_ratio,
        } + FAILURE_COST_MS
            * (load.health.failure_rate(now) - TOLERATED_FAILURE_RATE).max(0.0)
            + match load.limit_share.named.statement_age_ms(now) {
                Some(..MAX_STATEMENT_AGE_MS) if !is_owner => LIMITED_COST_MS,
                _ => 0.0,
            };
        let best = match is_suspect {
            true => &mut best_suspect,
            false => &mut best_healthy,
        };
        if best
            .as_ref()
            .is_none_or(|(other_ms, _)| cost_ms < *other_ms)
        {
            let chosen = ChosenTarget {
                target: target.clone(),
                service: service.clone(),
                prefill_ms,
                new_tokens,
                expected_ms,
                cost_ms,
                is_prefix_owner: is_owner,
                idle: usage.backlog_ms < 1.0,
                cold: is_cold,
            };
            *best = Some((cost_ms, chosen));
        }
    }
    // A suspect target is used only when there is no healthy one: waiting for a full healthy target is better.
    let chosen = match has_healthy {
        true => best_healthy,
        false => best_healthy.or(best_suspect),
    };
    match (chosen, opens_at) {
        (Some((_, chosen)), _) => Ok(chosen),
        (None, Some((until, reason))) if !has_open => Err(NoTarget::Closed { until, reason }),
        (None, _) if has_target => Err(NoTarget::Full),
        (None, _) => Err(NoTarget::Absent),
    }
}

/// Returns the cost of a request on a plain target with this expected time, both in milliseconds.
///
/// Other hosts report the expected time only. Without this conversion, the many hosts that cover no target of a small
/// service count their region as free of cost and send nothing to other regions before it is full.
#[must_use]
pub fn plain_cost_ms(expected_ms: f64, answer_ms: f64) -> f64 {
    let use_ratio = expected_ms / answer_ms - 1.0 + UNDELAYED_USE_RATIO;
    FULL_USE_COST_MS * use_ratio.max(0.0)
}

fn is_full(
    service: &Service,
    target: &Target,
    usage: HostTargetUsage,
    query: &ChoiceQuery<'_>,
) -> bool {
    let (running, prompt) = (usage.running, query.prompt);
    let slots = f64::from(target.slots.max(1));
    let queue = match service.engine {
        Some(_) if prompt.shared_prefix().is_some() => LONG_PREFIX_QUEUE_RATIO,
        Some(_) => ENGINE_QUEUE_RATIO,
        None => PLAIN_QUEUE_RATIO,
    };
    let reserve = match service.engine {
        None if query.is_within_share => PLAIN_RESERVE_RATIO,
        _ => 0.0,
    };
    if f64::from(running) >= slots * (1.0 + queue + reserve) || running >= service.max_connections {
        return true;
    }
    let Some(engine) = service.engine else {
        return false;
    };
    let slot_wait_ms = query.timings.slot_wait_ms(running, target.slots);
    if slot_wait_ms > query.latency_goal_ms * MAX_SLOT_WAIT_RATIO {
        return true;
    }
    // An idle engine accepts a request of any size that fits its memory.
    running > 0
        && (usage.tokens + prompt.total_tokens()) as f64
            > engine.memory_tokens as f64 * MAX_MEMORY_SHARE
}

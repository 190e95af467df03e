//! The choice of a target in the host's region.

use lw_admit::ColdLimit;
use lw_base::prelude::*;

use crate::plan::{Plan, Service};
use crate::prompt::Prompt;
use crate::service_timings::ServiceTimings;
use crate::target::Target;

/// Requests that wait at a plain target beyond its slots, as a multiple of them; above it they wait at the host, where
/// they can still go elsewhere.
const PLAIN_QUEUE: f64 = 2.0;
/// Requests that wait at an engine beyond its slots, as a multiple of them.
const ENGINE_QUEUE: f64 = 1.0;
/// The same for requests with a long beginning: they are worth most at its home, and short ones can run anywhere.
const LONG_QUEUE: f64 = 2.0;
/// The part of an engine's memory that running requests may fill; above it the engine preempts.
const MEMORY_SHARE: f64 = 0.9;
/// How much the prefill of a request counts beyond its own wait: it delays every other request of the engine.
pub(crate) const PREFILL_WEIGHT: f64 = 2.0;
/// How much more it counts for each request that runs there: each of them waits while a prompt is read.
const PREFILL_WEIGHT_RUNNING: f64 = 0.25;
/// The output tokens that the stretch is computed for at most; callers state the most that may come, not what will.
const MOST_STRETCHED_TOKENS: u64 = 120;
/// The time of one output token in a batch of usual size, in milliseconds.
const OUTPUT_TOKEN_MS: f64 = 9.0;
/// The largest share of prefill work that is believed; above it nothing but prefill runs.
const MOST_PREFILL_SHARE: f64 = 0.92;
/// How much the stretch counts for a request with a long beginning: its events may pause for a second, and its deadline
/// is far. With the full weight, two prompts that an engine read in a row drove the next ones to further copies.
const LONG_STRETCH_WEIGHT: f64 = 0.25;
/// What a target that is not the home of a long beginning adds when it does not keep it, as a part of its prefill:
/// each further copy takes memory from other beginnings.
pub(crate) const NEW_COPY_WEIGHT: f64 = 3.0;
/// What each running request of a full engine adds to the score, in milliseconds: tokens come more slowly.
const FULL_BATCH_MS: f64 = 250.0;
/// Up to this use of its slots, a plain target answers in its usual time.
const CALM_USE: f64 = 0.8;
/// What a target that fails every request would add to the score, in milliseconds.
const FAILURE_MS: f64 = 3_000.0;
/// A share of failures up to this belongs to the requests, as far as a host can tell, and moves nothing: services
/// answer some of their requests with a failure on every target.
const USUAL_FAILURES: f64 = 0.25;

/// What a choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// The region of the host.
    pub region: &'a str,
    /// The service.
    pub service: ServiceKey,
    /// The prompt; empty for a plain service.
    pub prompt: &'a Prompt,
    /// The home of its beginning in the region of the host.
    pub prefix_owner: Option<u32>,
    /// The home over all regions lies in another region, so that a copy at the one above is a further one.
    pub is_owner_in_other_region: bool,
    /// Incarnations that were tried already.
    pub tried: &'a [u32],
    /// Times of the service.
    pub timings: ServiceTimings,
}

/// A chosen target.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    /// The target.
    pub target: Target,
    /// Its service.
    pub service: Service,
    /// The prefill work of the request there, in milliseconds.
    pub prefill_ms: f64,
    /// The tokens that it has to read.
    pub new_tokens: u64,
    /// The time that it has to expect until its first event or its answer, in milliseconds.
    pub expected_ms: f64,
    /// What the request costs there, with what it costs the other requests, in milliseconds.
    pub cost_ms: f64,
    /// The target is the home of the request's beginning.
    pub is_prefix_owner: bool,
    /// The target had no prefill work before.
    pub idle: bool,
    /// The target is cold, and the request counts towards its pace.
    pub cold: bool,
}

/// Why there is no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTarget {
    /// The service has no target in the region that takes work.
    Absent,
    /// All targets are full.
    Full,
}

/// Which targets this host may use.
pub struct TargetEligibility<'a> {
    /// Returns whether this host sends requests to a target, given by its hash.
    pub covers: &'a dyn Fn(u32) -> bool,
    /// Returns this host's part of the limit of a target in its cold time, or `None` when this host must not use it.
    pub limit: &'a dyn Fn(&Service, &Target) -> Option<ColdLimit>,
}

/// Chooses the target with the least expected cost.
///
/// A further copy of a long beginning is read only where a slot is free. At full load, reading one takes the time of a
/// dozen short queries, and two of three long prompts were placed at targets that did not keep their beginning.
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
    let mut best: Option<(f64, ChosenTarget)> = None;
    let mut last_resort: Option<(f64, ChosenTarget)> = None;
    let mut is_present = false;
    let mut has_healthy = false;
    for target in plan.targets_of(query.service) {
        if *target.region != *query.region || !plan.accepts_requests(target) {
            continue;
        }
        if !(rules.covers)(target.hash) {
            continue;
        }
        is_present = true;
        if query.tried.contains(&target.hash) {
            continue;
        }
        let load = target.load.borrow();
        let is_cold = now < load.cold_until && service.cold_per_s > 0.0;
        if is_cold {
            let limit = (rules.limit)(service, target);
            if !limit.is_some_and(|limit| load.cold_pace.may_send(now, limit)) {
                continue;
            }
        }
        let used = load.total_usage(now);
        let is_suspect = load.health.is_suspect(now, query.timings.answer_ms);
        has_healthy |= !is_suspect;
        if is_full(service, target, used.running, used.tokens, query.prompt) {
            continue;
        }
        let cached = load.cache.cached_tokens(&query.prompt.parts);
        let is_owner = query.prefix_owner == Some(target.hash);
        let is_copy = query.prefix_owner.is_some()
            && cached == 0
            && (!is_owner || query.is_owner_in_other_region);
        if is_copy && used.running >= target.slots {
            continue;
        }
        let new_tokens = query.prompt.input_tokens.saturating_sub(cached);
        let prefill_ms = new_tokens as f64 * query.timings.prefill_ms_per_token;
        let slots = f64::from(target.slots.max(1));
        let use_ratio = f64::from(used.running) / slots;
        let share = used.prefill_share.min(MOST_PREFILL_SHARE);
        // Prompts are read between the tokens of other requests, so prefill work stretches every answer.
        let stretched_tokens = query.prompt.output_tokens.min(MOST_STRETCHED_TOKENS) as f64;
        let stretch_ms = stretched_tokens * OUTPUT_TOKEN_MS * share / (1.0 - share);
        let prefill_weight = PREFILL_WEIGHT + PREFILL_WEIGHT_RUNNING * f64::from(used.running);
        let copy_ms = match query.prefix_owner {
            Some(_) if !is_owner && cached == 0 => NEW_COPY_WEIGHT * prefill_ms,
            _ => 0.0,
        };
        let stretch_weight = match query.prefix_owner {
            Some(_) => LONG_STRETCH_WEIGHT,
            None => 1.0,
        };
        let expected_ms = match service.engine {
            Some(_) => used.backlog_ms + prefill_ms + stretch_ms,
            None => query.timings.answer_ms * (1.0 + (use_ratio - CALM_USE).max(0.0)),
        };
        let score = match service.engine {
            Some(_) => {
                used.backlog_ms
                    + prefill_weight * prefill_ms
                    + copy_ms
                    + stretch_weight * stretch_ms
                    + FULL_BATCH_MS * use_ratio
            }
            None => FULL_BATCH_MS * use_ratio,
        } + FAILURE_MS * (load.health.failure_rate() - USUAL_FAILURES).max(0.0);
        let slot = match is_suspect {
            true => &mut last_resort,
            false => &mut best,
        };
        if slot.as_ref().is_none_or(|(other, _)| score < *other) {
            let chosen = ChosenTarget {
                target: target.clone(),
                service: service.clone(),
                prefill_ms,
                new_tokens,
                expected_ms,
                cost_ms: score,
                is_prefix_owner: is_owner,
                idle: used.backlog_ms < 1.0,
                cold: is_cold,
            };
            *slot = Some((score, chosen));
        }
    }
    // A suspect is tried only when there is nothing else: full targets are worth waiting for.
    let chosen = match has_healthy {
        true => best,
        false => best.or(last_resort),
    };
    match (chosen, is_present) {
        (Some((_, chosen)), _) => Ok(chosen),
        (None, true) => Err(NoTarget::Full),
        (None, false) => Err(NoTarget::Absent),
    }
}

/// Returns what a request costs at a plain target by the time that it has to expect there, both in milliseconds.
///
/// Another host tells the time only. Without the cost, the many hosts that cover no target of a small service took their
/// region for free, and sent nothing to other regions before it was full.
#[must_use]
pub fn plain_cost_ms(expected_ms: f64, answer_ms: f64) -> f64 {
    let use_ratio = expected_ms / answer_ms - 1.0 + CALM_USE;
    FULL_BATCH_MS * use_ratio.max(0.0)
}

fn is_full(service: &Service, target: &Target, running: u32, tokens: u64, prompt: &Prompt) -> bool {
    let slots = f64::from(target.slots.max(1));
    let queue = match service.engine {
        Some(_) if prompt.shared_prefix().is_some() => LONG_QUEUE,
        Some(_) => ENGINE_QUEUE,
        None => PLAIN_QUEUE,
    };
    if f64::from(running) >= slots * (1.0 + queue) || running >= service.max_connections {
        return true;
    }
    let Some(engine) = service.engine else {
        return false;
    };
    // An engine without other work takes a request of any size that its memory holds.
    running > 0
        && (tokens + prompt.total_tokens()) as f64 > engine.memory_tokens as f64 * MEMORY_SHARE
}

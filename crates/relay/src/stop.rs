//! The steps of a planned stop.

use lw_base::prelude::*;

/// A step of the planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStep {
    /// The host serves; no stop is planned.
    Serve,
    /// The host serves, and announces that it is leaving.
    Announce,
    /// The host closes idle connections, and the others after their current answer.
    CloseIdle,
    /// The host also closes its listeners.
    CloseListener,
    /// The host also answers the requests whose answer has not begun.
    EndRequests,
    /// The process ends.
    Exit,
}

/// A planned stop that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// When the signal arrived.
    pub began_at: MonoMs,
    /// The grace period at that time, in milliseconds. The platform ends the process by that one, also when the settings
    /// change.
    pub grace_ms: u64,
}

/// The end of the announcement, in milliseconds after the signal. Callers learn of the stop from the directory within
/// its TTL; requests that arrive until then are served.
const ANNOUNCE_UNTIL_MS: u64 = 2_000;
/// The time until which new connections are accepted, in milliseconds after the signal, because some callers use
/// outdated answers of the directory.
const ACCEPT_UNTIL_MS: u64 = 3_000;
/// The end of [`LAST_REQUEST_WAIT_MS`], in milliseconds after the signal.
const LAST_REQUEST_UNTIL_MS: u64 = ACCEPT_UNTIL_MS + LAST_REQUEST_WAIT_MS;
/// How long before the end of the grace period the host answers the requests that are open, in milliseconds, so that the
/// answers are written before the process exits.
const END_MARGIN_MS: u64 = 290;
/// How long before the end of the grace period the process exits, in milliseconds, so that it is not killed.
const EXIT_MARGIN_MS: u64 = 250;
/// How often the host checks whether the last answers are written, in milliseconds.
const WRITTEN_CHECK_MS: u64 = 5;

/// How long after [`ACCEPT_UNTIL_MS`] a host waits for the first request of a connection that was just opened, in
/// milliseconds: several round trips to distant callers.
pub(crate) const LAST_REQUEST_WAIT_MS: u64 = 1_000;

/// Returns the step at `stopped_ms` after the signal, with `requests` still in flight and `connections` still open.
#[must_use]
pub fn stop_step(stopped_ms: u64, grace_ms: u64, requests: u32, connections: u32) -> StopStep {
    if stopped_ms + EXIT_MARGIN_MS >= grace_ms {
        return StopStep::Exit;
    }
    if stopped_ms + END_MARGIN_MS >= grace_ms {
        return match requests {
            0 => StopStep::Exit,
            _ => StopStep::EndRequests,
        };
    }
    match stopped_ms {
        ..ANNOUNCE_UNTIL_MS => StopStep::Announce,
        ANNOUNCE_UNTIL_MS..ACCEPT_UNTIL_MS => StopStep::CloseIdle,
        _ if requests > 0 => StopStep::CloseListener,
        ..LAST_REQUEST_UNTIL_MS if connections > 0 => StopStep::CloseListener,
        _ => StopStep::Exit,
    }
}

/// Returns the time until the step may change because of the time, in milliseconds.
#[must_use]
pub fn next_step_ms(stopped_ms: u64, grace_ms: u64) -> u64 {
    let end_ms = grace_ms.saturating_sub(END_MARGIN_MS);
    if stopped_ms >= end_ms {
        return WRITTEN_CHECK_MS;
    }
    let steps = [
        ANNOUNCE_UNTIL_MS,
        ACCEPT_UNTIL_MS,
        LAST_REQUEST_UNTIL_MS,
        end_ms,
    ];
    let later = steps.into_iter().filter(|at_ms| *at_ms > stopped_ms);
    later.min().unwrap_or(end_ms) - stopped_ms
}

/// Returns whether a host takes a request that arrives `stopped_ms` after the signal and ends after `remaining_ms` at the
/// latest.
///
/// Load: callers who use open connections or an old answer of the directory. Once the stop was announced, they are told to
/// go elsewhere, unless their request ends before the process does.
#[must_use]
pub fn takes_request(stopped_ms: u64, grace_ms: u64, remaining_ms: u64) -> bool {
    stopped_ms < ANNOUNCE_UNTIL_MS || ends_in_time(stopped_ms, grace_ms, remaining_ms)
}

/// Returns whether a request that arrives `stopped_ms` after the signal ends before the process does. It ends after
/// `remaining_ms` at the latest.
///
/// Load: other hosts that have yet to hear of the stop. Their requests can go to another host at no cost to the caller, so
/// a stopping host refuses them from the signal on, unless no other host of its region is ready.
#[must_use]
pub fn ends_in_time(stopped_ms: u64, grace_ms: u64, remaining_ms: u64) -> bool {
    let ends_ms = stopped_ms.saturating_add(remaining_ms);
    ends_ms.saturating_add(END_MARGIN_MS) < grace_ms
}

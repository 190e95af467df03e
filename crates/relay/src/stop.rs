//! The steps of a planned stop.

/// What a host still does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStep {
    /// It serves.
    Serve,
    /// It serves, and tells everyone that it leaves.
    Announce,
    /// It closes idle connections, and the others after their answers.
    CloseIdle,
    /// It also refuses new connections.
    CloseListener,
    /// The process ends.
    Exit,
}

/// Callers learn from the directory within its time to live; requests that come meanwhile are served.
const ANNOUNCE_MS: u64 = 2_000;
/// New connections are still taken for this long, because some callers use old answers of the directory.
const ACCEPT_MS: u64 = 3_000;
/// The process ends this long before it would be killed.
const EXIT_EARLY_MS: u64 = 250;

/// Returns the step at `stopped_ms` after the signal, with `requests` still being served.
#[must_use]
pub fn stop_step(stopped_ms: u64, grace_ms: u64, requests: u32) -> StopStep {
    if stopped_ms + EXIT_EARLY_MS >= grace_ms {
        return StopStep::Exit;
    }
    match stopped_ms {
        ..ANNOUNCE_MS => StopStep::Announce,
        ANNOUNCE_MS..ACCEPT_MS => StopStep::CloseIdle,
        _ if requests > 0 => StopStep::CloseListener,
        _ => StopStep::Exit,
    }
}

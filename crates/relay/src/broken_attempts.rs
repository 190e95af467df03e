//! Attempts that ended with their connection, until it is known whether their target has crashed.

use lw_base::prelude::*;
use lw_quarantine::{CrashStage, PartKey, Suspects};

/// How long an attempt is kept, in milliseconds. A target that restarts at once answers new connections, and is known to
/// have crashed only when it rejects a request for its former process.
const RETENTION_MS: u64 = 3_000;
/// The maximum number of requests that are kept for a target: more than the slots of an engine.
const MAX_REQUESTS: usize = 256;

/// The request of an attempt that ended with its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRequest {
    /// When the attempt ended.
    pub broken_at: MonoMs,
    /// How far its answer was.
    pub stage: CrashStage,
    /// The shared parts of its prompt.
    pub parts: Vec<PartKey>,
    /// Its key.
    pub request: Option<PartKey>,
}

impl BrokenRequest {
    /// Returns what of the request may have crashed the target.
    #[must_use]
    pub fn suspects(&self) -> Suspects<'_> {
        Suspects {
            parts: &self.parts,
            request: self.request,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct BrokenTarget {
    /// One for each list of parts, request and stage.
    requests: Vec<BrokenRequest>,
    is_checking: bool,
}

/// Attempts whose connection ended before their target had answered them, by the hash of the target's incarnation.
#[derive(Clone, Debug, Default)]
pub struct BrokenAttempts {
    by_target: FastMap<u32, BrokenTarget>,
}

impl BrokenAttempts {
    /// Records an attempt of a request. Returns whether the caller should check if the target still runs.
    pub fn record<'a>(
        &mut self,
        now: MonoMs,
        target: u32,
        stage: CrashStage,
        suspects: impl Into<Suspects<'a>>,
    ) -> bool {
        let Suspects { parts, request } = suspects.into();
        self.by_target.retain(|_, broken| {
            broken
                .requests
                .retain(|request| now.since_ms(request.broken_at) < RETENTION_MS);
            broken.is_checking || !broken.requests.is_empty()
        });
        let broken = self.by_target.entry(target).or_default();
        let requests = &mut broken.requests;
        let is_known = |known: &&mut BrokenRequest| {
            known.stage == stage && known.request == request && known.parts == parts
        };
        if let Some(known) = requests.iter_mut().find(is_known) {
            known.broken_at = now;
        } else if requests.len() < MAX_REQUESTS {
            requests.push(BrokenRequest {
                broken_at: now,
                stage,
                parts: parts.to_vec(),
                request,
            });
        }
        !std::mem::replace(&mut broken.is_checking, true)
    }

    /// Records that a target has accepted a connection.
    pub fn record_alive(&mut self, target: u32) {
        if let Some(broken) = self.by_target.get_mut(&target) {
            broken.is_checking = false;
        }
    }

    /// Removes and returns the requests of a target that has crashed.
    pub fn take(&mut self, now: MonoMs, target: u32) -> Vec<BrokenRequest> {
        let broken = self.by_target.remove(&target).unwrap_or_default();
        let requests = broken.requests.into_iter();
        requests
            .filter(|request| now.since_ms(request.broken_at) < RETENTION_MS)
            .collect()
    }
}

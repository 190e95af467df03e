//! Hooks that decide whether a non-idempotent request runs.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use lw_base::prelude::*;
use lw_idem::{BodyDigest, Ending, RecordKey};

/// A non-idempotent request with its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyedRequest {
    /// The key of its idempotency record.
    pub key: RecordKey,
    /// The time at which the key was issued.
    pub issued: WallMs,
    /// The digest of method, path and body, which detects a key that is reused for another request.
    pub digest: BodyDigest,
    /// Whether the caller marked this as its first attempt with the key.
    pub first_attempt: bool,
    /// The deadline of the caller.
    pub deadline: MonoMs,
    /// Whether another host of the region forwarded the request, so that it must not be forwarded again.
    pub forwarded: bool,
}

/// Permission to run a request once; called with the end of the run.
///
/// A permit that is dropped uncalled must be treated as a run with an unknown end.
pub type RunPermit = Box<dyn FnOnce(&Ending) + Send + Sync>;

/// The decision on a non-idempotent request.
pub enum KeyedDecision {
    /// Run the request once.
    Run(RunPermit),
    /// Respond with the recorded end of an earlier request with the same key.
    Replay(Ending),
    /// Respond with an error.
    Refuse {
        /// The error kind.
        kind: ErrorKind,
        /// The outcome, which may be more certain than that of [`lw_base::error_response`].
        outcome: Outcome,
    },
    /// Forward the request to the owner of its key.
    Forward {
        /// The name of the owner, a host.
        host: Arc<str>,
        /// The address of the owner for forwarded requests.
        address: String,
    },
}

type WaitForOwner =
    dyn Fn(KeyedRequest, Arc<str>) -> Pin<Box<dyn Future<Output = bool> + Send>> + Send + Sync;

type Decide =
    dyn Fn(KeyedRequest) -> Pin<Box<dyn Future<Output = KeyedDecision> + Send>> + Send + Sync;

/// Decides whether non-idempotent requests run, with closures of the daemon.
#[derive(Clone)]
pub struct IdempotencyHooks {
    decide: Arc<Decide>,
    wait_for_owner: Arc<WaitForOwner>,
}

impl IdempotencyHooks {
    /// Creates hooks from the closure that decides on a request. Its future may be dropped before it completes.
    pub fn new<F>(decide: impl Fn(KeyedRequest) -> F + Send + Sync + 'static) -> Self
    where
        F: Future<Output = KeyedDecision> + Send + 'static,
    {
        Self {
            decide: Arc::new(move |request| Box::pin(decide(request))),
            wait_for_owner: Arc::new(|_, _| Box::pin(async { false })),
        }
    }

    /// Sets the closure that waits until a host other than the given one owns the key.
    ///
    /// Its future returns whether the owner changed in time.
    #[must_use]
    pub fn with_owner_wait<F>(
        mut self,
        wait: impl Fn(KeyedRequest, Arc<str>) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = bool> + Send + 'static,
    {
        self.wait_for_owner =
            Arc::new(move |request, former_owner| Box::pin(wait(request, former_owner)));
        self
    }

    /// Creates hooks that refuse every request, for a host without idempotency records.
    #[must_use]
    pub fn refuse_all() -> Self {
        Self::new(|request| async move {
            KeyedDecision::Refuse {
                kind: ErrorKind::ClaimRefused,
                outcome: match request.first_attempt {
                    true => Outcome::NotRun,
                    false => Outcome::Unknown,
                },
            }
        })
    }

    pub(crate) async fn decide(&self, request: KeyedRequest) -> KeyedDecision {
        (self.decide)(request).await
    }

    pub(crate) async fn wait_for_owner(
        &self,
        request: KeyedRequest,
        former_owner: Arc<str>,
    ) -> bool {
        (self.wait_for_owner)(request, former_owner).await
    }
}

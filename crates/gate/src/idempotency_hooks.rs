//! Decisions on requests that must not run twice, as the gate receives them.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use lw_base::prelude::*;
use lw_idem::{BodyDigest, Ending, RecordKey};

/// A request that must not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyedRequest {
    /// The key.
    pub key: RecordKey,
    /// The issue time of the key.
    pub issued: WallMs,
    /// What the request contains.
    pub digest: BodyDigest,
    /// The caller marked its first attempt with this key.
    pub first_attempt: bool,
    /// When the caller stops to wait.
    pub deadline: MonoMs,
    /// Another host of the region forwarded the request, so that it must not be forwarded again.
    pub forwarded: bool,
}

/// Permission to run a request once; called with its end. A permit that is dropped reports an unknown end.
pub type RunPermit = Box<dyn FnOnce(&Ending) + Send + Sync>;

/// The decision on a request that must not run twice.
pub enum KeyedDecision {
    /// Send the request to a target once.
    Run(RunPermit),
    /// Answer with the recorded end of an earlier attempt.
    Replay(Ending),
    /// Answer with an error; the outcome may be more certain than the answer table says.
    Refuse {
        /// The error kind.
        kind: ErrorKind,
        /// The outcome to tell.
        outcome: Outcome,
    },
    /// Send the request to the owner of its key.
    Forward {
        /// The name of the owner.
        host: Arc<str>,
        /// The address for forwarded requests.
        address: String,
    },
}

type WaitForOwner =
    dyn Fn(KeyedRequest, Arc<str>) -> Pin<Box<dyn Future<Output = bool> + Send>> + Send + Sync;

type Decide =
    dyn Fn(KeyedRequest) -> Pin<Box<dyn Future<Output = KeyedDecision> + Send>> + Send + Sync;

/// Decides on requests that must not run twice.
#[derive(Clone)]
pub struct IdempotencyHooks {
    decide: Arc<Decide>,
    wait_for_owner: Arc<WaitForOwner>,
}

impl IdempotencyHooks {
    /// Builds the decision from a closure. Its future may be dropped.
    pub fn new<F>(decide: impl Fn(KeyedRequest) -> F + Send + Sync + 'static) -> Self
    where
        F: Future<Output = KeyedDecision> + Send + 'static,
    {
        Self {
            decide: Arc::new(move |ask| Box::pin(decide(ask))),
            wait_for_owner: Arc::new(|_, _| Box::pin(async { false })),
        }
    }

    /// Sets how to wait until another host than the given one owns a key; the result tells whether that happened.
    #[must_use]
    pub fn with_owner_wait<F>(
        mut self,
        wait: impl Fn(KeyedRequest, Arc<str>) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = bool> + Send + 'static,
    {
        self.wait_for_owner = Arc::new(move |ask, former| Box::pin(wait(ask, former)));
        self
    }

    /// Refuses every request, for a host without records of keys.
    #[must_use]
    pub fn refuse_all() -> Self {
        Self::new(|ask| async move {
            KeyedDecision::Refuse {
                kind: ErrorKind::ClaimRefused,
                outcome: match ask.first_attempt {
                    true => Outcome::NotRun,
                    false => Outcome::Unknown,
                },
            }
        })
    }

    pub(crate) async fn decide(&self, ask: KeyedRequest) -> KeyedDecision {
        (self.decide)(ask).await
    }

    pub(crate) async fn wait_for_owner(&self, ask: KeyedRequest, former: Arc<str>) -> bool {
        (self.wait_for_owner)(ask, former).await
    }
}

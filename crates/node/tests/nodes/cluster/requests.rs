//! Requests with idempotency keys, as the HTTP servers submit them.

use bytes::Bytes;
use lw_base::prelude::*;
use lw_idem::{BodyDigest, Ending, RecordKey, issue_time};
use lw_node::{SubmitDecision, SubmitRequest};
use uuid::{NoContext, Timestamp, Uuid};

use super::Cluster;

/// The reply that a caller receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    Done(Bytes),
    Replayed(Bytes),
    Refused(ErrorKind, Outcome),
}

impl Reply {
    /// The reply for a key that may have run.
    pub(crate) const UNKNOWN: Self = Self::Refused(ErrorKind::OutcomeUnknown, Outcome::Unknown);
}

impl Cluster {
    /// Returns a new key with the current issue time.
    pub(crate) fn new_key(&self) -> Uuid {
        let wall = self.clock.wall().0;
        let (seconds, nanos) = (wall / 1_000, (wall % 1_000) * 1_000_000);
        Uuid::new_v7(Timestamp::from_unix(NoContext, seconds, nanos as u32))
    }

    pub(crate) fn submit_request(&self, id: Uuid, first_attempt: bool) -> SubmitRequest {
        SubmitRequest {
            key: RecordKey { scope: 7, id },
            issued: issue_time(id),
            digest: BodyDigest([1; 16]),
            first_attempt,
            deadline: self.clock.mono().plus_ms(10_000),
            forwarded: false,
        }
    }

    /// Submits a request at a host, forwards it to the owner, and runs it if it gets a permit.
    pub(crate) async fn request(&self, at: &str, id: Uuid, first_attempt: bool) -> Reply {
        let decision = self.decide(at, id, first_attempt).await;
        match decision {
            SubmitDecision::Run(permit) => {
                *self.runs.lock().entry(id).or_default() += 1;
                let body = Bytes::from(id.to_string());
                permit.end(&Ending::complete(200, "text/plain", body.clone()));
                Reply::Done(body)
            }
            SubmitDecision::Replay(Ending::Kept { body, .. }) => Reply::Replayed(body),
            SubmitDecision::Refuse { kind, outcome } => Reply::Refused(kind, outcome),
            other => panic!("unexpected decision {other:?}"),
        }
    }

    /// Returns the decision on a request. A failed forward to the owner is retried once the owner has been replaced.
    pub(crate) async fn decide(&self, at: &str, id: Uuid, first_attempt: bool) -> SubmitDecision {
        let request = self.submit_request(id, first_attempt);
        loop {
            let node = &self.host(at).node;
            let decision = node.submit(request).await;
            let SubmitDecision::Forward { host, address } = decision else {
                return decision;
            };
            assert_eq!(address, format!("{host}:81"), "the address of the owner");
            let decision = self.forward(at, &host, request).await;
            if !matches!(
                decision,
                SubmitDecision::Refuse {
                    kind: ErrorKind::OwnerUnreachable,
                    ..
                }
            ) || !node
                .wait_for_owner(request.key, &host, request.deadline)
                .await
            {
                return decision;
            }
        }
    }

    async fn forward(&self, from: &str, to: &str, request: SubmitRequest) -> SubmitDecision {
        let owner = self.hosts.iter().find(|other| other.name == to);
        let Some(owner) = owner.filter(|_| !self.fake_network.is_cut(from, to)) else {
            return SubmitDecision::Refuse {
                kind: ErrorKind::OwnerUnreachable,
                outcome: if request.first_attempt {
                    Outcome::NotRun
                } else {
                    Outcome::Unknown
                },
            };
        };
        let forwarded = SubmitRequest {
            forwarded: true,
            ..request
        };
        owner.node.submit(forwarded).await
    }

    /// Runs `count` new keys and returns them.
    pub(crate) async fn run_keys(&self, at: &str, count: usize) -> Vec<Uuid> {
        let mut keys = Vec::new();
        for _ in 0..count {
            let id = self.new_key();
            let reply = self.request(at, id, true).await;
            assert!(
                matches!(reply, Reply::Done(_)),
                "a new key did not run: {reply:?}"
            );
            keys.push(id);
        }
        keys
    }

    /// Asserts that every key ran once and that its stored answer is replayed.
    pub(crate) async fn assert_replayed(&self, at: &str, keys: &[Uuid]) {
        for id in keys {
            let reply = self.request(at, *id, false).await;
            assert_eq!(reply, Reply::Replayed(Bytes::from(id.to_string())));
            assert_eq!(self.runs.lock()[id], 1, "key {id}");
        }
    }

    pub(crate) fn assert_no_key_ran_twice(&self) {
        let runs = self.runs.lock();
        let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
        assert!(twice.is_empty(), "keys that ran twice: {twice:?}");
    }
}

//! Requests with idempotency keys, as the HTTP side makes them.

use bytes::Bytes;
use lw_base::prelude::*;
use lw_idem::{BodyDigest, Ending, RecordKey, issue_time};
use lw_node::{SubmitDecision, SubmitRequest};
use uuid::{NoContext, Timestamp, Uuid};

use super::Bed;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    Done(Bytes),
    Replayed(Bytes),
    Refused(ErrorKind, Outcome),
}

impl Told {
    /// The answer for a key that may have run.
    pub(crate) const UNKNOWN: Self = Self::Refused(ErrorKind::OutcomeUnknown, Outcome::Unknown);
}

impl Bed {
    /// Returns a new key that is issued now.
    pub(crate) fn key(&self) -> Uuid {
        let wall = self.clock.wall().0;
        let (seconds, nanos) = (wall / 1_000, (wall % 1_000) * 1_000_000);
        Uuid::new_v7(Timestamp::from_unix(NoContext, seconds, nanos as u32))
    }

    pub(crate) fn ask_of(&self, id: Uuid, first_attempt: bool) -> SubmitRequest {
        SubmitRequest {
            key: RecordKey { scope: 7, id },
            issued: issue_time(id),
            digest: BodyDigest([1; 16]),
            first_attempt,
            deadline: self.clock.mono().plus_ms(10_000),
            forwarded: false,
        }
    }

    /// Sends a request to a host, follows it to the owner, and runs it there when it may run.
    pub(crate) async fn ask(&self, at: &str, id: Uuid, first_attempt: bool) -> Told {
        let answer = self.decide(at, id, first_attempt).await;
        match answer {
            SubmitDecision::Run(permit) => {
                *self.runs.lock().entry(id).or_default() += 1;
                let body = Bytes::from(id.to_string());
                permit.end(&Ending::complete(200, "text/plain", body.clone()));
                Told::Done(body)
            }
            SubmitDecision::Replay(Ending::Kept { body, .. }) => Told::Replayed(body),
            SubmitDecision::Refuse { kind, outcome } => Told::Refused(kind, outcome),
            other => panic!("unexpected answer {other:?}"),
        }
    }

    /// Returns the decision on a request. A hop to the owner that fails is repeated once the owner was replaced.
    pub(crate) async fn decide(&self, at: &str, id: Uuid, first_attempt: bool) -> SubmitDecision {
        let ask = self.ask_of(id, first_attempt);
        loop {
            let node = &self.host(at).node;
            let answer = node.submit(ask).await;
            let SubmitDecision::Forward { host, address } = answer else {
                return answer;
            };
            assert_eq!(address, format!("{host}:81"), "the address of the owner");
            let answer = self.hop(at, &host, ask).await;
            if !matches!(
                answer,
                SubmitDecision::Refuse {
                    kind: ErrorKind::OwnerUnreachable,
                    ..
                }
            ) || !node.wait_for_owner(ask.key, &host, ask.deadline).await
            {
                return answer;
            }
        }
    }

    async fn hop(&self, from: &str, to: &str, ask: SubmitRequest) -> SubmitDecision {
        let owner = self.hosts.iter().find(|other| other.name == to);
        let Some(owner) = owner.filter(|_| !self.wires.is_cut(from, to)) else {
            return SubmitDecision::Refuse {
                kind: ErrorKind::OwnerUnreachable,
                outcome: if ask.first_attempt {
                    Outcome::NotRun
                } else {
                    Outcome::Unknown
                },
            };
        };
        let forwarded = SubmitRequest {
            forwarded: true,
            ..ask
        };
        owner.node.submit(forwarded).await
    }

    /// Runs new keys until `count` of them ran, and returns them.
    pub(crate) async fn run_keys(&self, at: &str, count: usize) -> Vec<Uuid> {
        let mut keys = Vec::new();
        for _ in 0..count {
            let id = self.key();
            let told = self.ask(at, id, true).await;
            assert!(matches!(told, Told::Done(_)), "a new key runs: {told:?}");
            keys.push(id);
        }
        keys
    }

    /// Asserts that every key of `keys` ran once and is answered with its kept answer.
    pub(crate) async fn assert_replayed(&self, at: &str, keys: &[Uuid]) {
        for id in keys {
            let told = self.ask(at, *id, false).await;
            assert_eq!(told, Told::Replayed(Bytes::from(id.to_string())));
            assert_eq!(self.runs.lock()[id], 1, "key {id}");
        }
    }

    pub(crate) fn assert_no_key_ran_twice(&self) {
        let runs = self.runs.lock();
        let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
        assert!(twice.is_empty(), "keys that ran twice: {twice:?}");
    }
}

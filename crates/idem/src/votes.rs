//! Takeover votes, on the side of the voter and of the host that requests them.

use lw_base::{FastMap, FastSet, MonoMs};

use crate::instance::{HostName, Instance};

/// How long a voter must have received nothing from a member before it votes that the member is silent.
pub const VOTE_SILENCE_MS: u64 = 30_000;

/// The state of a host as a voter, and the votes that it received.
#[derive(Debug)]
pub(crate) struct Votes {
    started_at: MonoMs,
    /// The highest incarnation of each host that sent a message, and when its last message arrived.
    last_message_at: FastMap<HostName, (u64, MonoMs)>,
    /// The members that this host voted silent, with the highest map revision of a query.
    voted_silent: FastMap<Instance, u64>,
    /// The map revision to which the votes in `received` apply.
    received_revision: u64,
    /// The hosts that voted each member silent.
    received: FastMap<Instance, FastSet<HostName>>,
}

impl Votes {
    pub(crate) fn new(started_at: MonoMs) -> Self {
        Self {
            started_at,
            last_message_at: FastMap::default(),
            voted_silent: FastMap::default(),
            received_revision: 0,
            received: FastMap::default(),
        }
    }

    pub(crate) fn record_message(&mut self, from: &Instance, now: MonoMs) {
        let entry = self.last_message_at.entry(from.host.clone()).or_default();
        if from.incarnation >= entry.0 {
            *entry = (from.incarnation, now);
        }
    }

    /// Returns true when a later process of the same host sent a message, which proves that `instance` ended.
    pub(crate) fn has_later_incarnation(&self, instance: &Instance) -> bool {
        self.last_message_at
            .get(&instance.host)
            .is_some_and(|(incarnation, _)| *incarnation > instance.incarnation)
    }

    fn is_silent(&self, instance: &Instance, now: MonoMs) -> bool {
        let since = match self.last_message_at.get(&instance.host) {
            Some((incarnation, _)) if *incarnation > instance.incarnation => return true,
            Some((incarnation, at)) if *incarnation == instance.incarnation => *at,
            Some(_) | None => self.started_at,
        };
        now.since_ms(since.max(self.started_at)) >= VOTE_SILENCE_MS
    }

    /// Returns those of the members in `silent` that are silent, and records the vote against them.
    pub(crate) fn vote(
        &mut self,
        revision: u64,
        silent: &[Instance],
        me: &Instance,
        now: MonoMs,
    ) -> Vec<Instance> {
        let granted: Vec<Instance> = silent
            .iter()
            .filter(|member| *member != me && self.is_silent(member, now))
            .cloned()
            .collect();
        for member in &granted {
            let voted_revision = self.voted_silent.entry(member.clone()).or_default();
            *voted_revision = (*voted_revision).max(revision);
        }
        granted
    }

    /// Returns true when an acknowledgement to `to`, whose probe carried map revision `sender_revision`, counts as
    /// authority evidence.
    ///
    /// A member that this host voted silent gets no evidence until its probe carries a higher map revision than that on
    /// which the vote was based.
    pub(crate) fn gives_evidence(&mut self, to: &Instance, sender_revision: u64) -> bool {
        match self.voted_silent.get(to) {
            Some(revision) if sender_revision <= *revision => false,
            Some(_) => {
                self.voted_silent.remove(to);
                true
            }
            None => true,
        }
    }

    /// Records the votes of the host `from`; votes for a revision other than `current_revision` are ignored.
    pub(crate) fn record_votes(
        &mut self,
        revision: u64,
        current_revision: u64,
        from: &HostName,
        silent: Vec<Instance>,
    ) {
        if revision != current_revision {
            return;
        }
        if self.received_revision != revision {
            self.received.clear();
            self.received_revision = revision;
        }
        for member in silent {
            self.received
                .entry(member)
                .or_default()
                .insert(from.clone());
        }
    }

    /// Returns true when at least half of `electorate` voted that `member` is silent, or when no vote is needed.
    ///
    /// A process has ended when its host has a later incarnation. An electorate of one host gives no peer evidence that
    /// a vote would have to exclude.
    pub(crate) fn granted(
        &self,
        revision: u64,
        member: &Instance,
        electorate: &[HostName],
    ) -> bool {
        if self.has_later_incarnation(member) || electorate.len() < 2 {
            return true;
        }
        if self.received_revision != revision {
            return false;
        }
        let Some(voters) = self.received.get(member) else {
            return false;
        };
        let count = electorate.iter().filter(|host| voters.contains(*host));
        count.count() * 2 >= electorate.len()
    }
}

//! Takeover votes, on the side of the voter and of the asking host.

use lw_base::{FastMap, FastSet, MonoMs};

use crate::instance::{HostName, Instance};

/// How long a voter must not have heard from a member.
pub const VOTE_SILENCE_MS: u64 = 30_000;

/// What a host knows as a voter, and the votes that it received.
#[derive(Debug)]
pub(crate) struct Votes {
    started: MonoMs,
    heard: FastMap<HostName, (u64, MonoMs)>,
    /// Members that this host declared silent, and the map revision of the query.
    marks: FastMap<Instance, u64>,
    received_for: u64,
    received: FastMap<Instance, FastSet<HostName>>,
}

impl Votes {
    pub(crate) fn new(started: MonoMs) -> Self {
        Self {
            started,
            heard: FastMap::default(),
            marks: FastMap::default(),
            received_for: 0,
            received: FastMap::default(),
        }
    }

    pub(crate) fn heard(&mut self, from: &Instance, now: MonoMs) {
        let entry = self.heard.entry(from.host.clone()).or_default();
        if from.incarnation >= entry.0 {
            *entry = (from.incarnation, now);
        }
    }

    /// Returns true when a later process of the same host was heard, which proves that `instance` ended.
    pub(crate) fn superseded(&self, instance: &Instance) -> bool {
        self.heard
            .get(&instance.host)
            .is_some_and(|(incarnation, _)| *incarnation > instance.incarnation)
    }

    fn is_silent(&self, instance: &Instance, now: MonoMs) -> bool {
        let since = match self.heard.get(&instance.host) {
            Some((incarnation, _)) if *incarnation > instance.incarnation => return true,
            Some((incarnation, at)) if *incarnation == instance.incarnation => *at,
            Some(_) | None => self.started,
        };
        now.since_ms(since.max(self.started)) >= VOTE_SILENCE_MS
    }

    /// Answers a query: returns the members that are silent, and marks them.
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
            let mark = self.marks.entry(member.clone()).or_default();
            *mark = (*mark).max(revision);
        }
        granted
    }

    /// Returns whether an acknowledgement to `to`, which shows map revision `shown`, may count as evidence.
    pub(crate) fn gives_evidence(&mut self, to: &Instance, shown: u64) -> bool {
        match self.marks.get(to) {
            Some(revision) if shown <= *revision => false,
            Some(_) => {
                self.marks.remove(to);
                true
            }
            None => true,
        }
    }

    /// Records the votes of `from`; votes for another revision than the held one are dropped.
    pub(crate) fn receive(
        &mut self,
        revision: u64,
        held: u64,
        from: &HostName,
        silent: Vec<Instance>,
    ) {
        if revision != held {
            return;
        }
        if self.received_for != revision {
            self.received.clear();
            self.received_for = revision;
        }
        for member in silent {
            self.received
                .entry(member)
                .or_default()
                .insert(from.clone());
        }
    }

    /// Returns true when at least half of `electorate` declared `member` silent.
    ///
    /// An electorate of one host gives no peer evidence, so there is nothing to vote against.
    pub(crate) fn granted(
        &self,
        revision: u64,
        member: &Instance,
        electorate: &[HostName],
    ) -> bool {
        if self.superseded(member) || electorate.len() < 2 {
            return true;
        }
        if self.received_for != revision {
            return false;
        }
        let Some(voters) = self.received.get(member) else {
            return false;
        };
        let count = electorate.iter().filter(|host| voters.contains(*host));
        count.count() * 2 >= electorate.len()
    }
}

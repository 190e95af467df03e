//! Taking and spreading member updates.

use std::sync::Arc;

use lw_base::MonoMs;
use rand::seq::IteratorRandom;

use crate::UPDATES_PER_MESSAGE;
use crate::action::MemberAction;
use crate::member::Member;
use crate::membership::Membership;
use crate::update::{MemberState, MemberUpdate};

impl Membership {
    /// Takes a statement about a member; a false one about this host is refuted.
    pub(crate) fn apply(&mut self, update: MemberUpdate, now: MonoMs, out: &mut Vec<MemberAction>) {
        if update.host == self.me.host {
            self.refute(&update);
            return;
        }
        let sends_left = self.sends();
        let Some(member) = self.members.get_mut(&update.host) else {
            if update.state != MemberState::Dead && !update.address.is_empty() {
                self.add(update, now, out);
            }
            return;
        };
        let Some(update) = update.completed(&member.update) else {
            return;
        };
        if !update.replaces(&member.update) {
            return;
        }
        if update.incarnation > member.update.incarnation {
            member.acknowledged = None;
        }
        if update.state != member.update.state {
            member.since = now;
        }
        member.sends_left = sends_left;
        member.update = update.clone();
        out.push(MemberAction::Changed(update));
    }

    fn add(&mut self, update: MemberUpdate, now: MonoMs, out: &mut Vec<MemberAction>) {
        let member = Member {
            update: update.clone(),
            since: now,
            acknowledged: None,
            sends_left: self.sends(),
            conf_revision: 0,
        };
        self.seeds.retain(|address| *address != update.address);
        self.members.insert(update.host.clone(), member);
        out.push(MemberAction::Changed(update));
    }

    /// Answers a false statement about this host.
    ///
    /// A statement that was refuted before is answered again: the refutation may have been lost on the way.
    fn refute(&mut self, update: &MemberUpdate) {
        if update.incarnation > self.me.incarnation {
            return;
        }
        let former = update.incarnation < self.me.incarnation;
        if !former && update.state < MemberState::Suspect {
            return;
        }
        if !former && update.refutation >= self.me.refutation {
            self.me.refutation = update.refutation + 1;
        }
        self.announce_me();
    }

    pub(crate) fn announce_me(&mut self) {
        self.me_sends_left = self.sends();
    }

    /// Returns how often an update is sent on: three times the logarithm of the region reaches every member.
    fn sends(&self) -> u32 {
        3 * (usize::BITS - (self.members.len() + 1).leading_zeros())
    }

    /// Selects the updates for a message to `to`, the statement about `to` itself first.
    pub(crate) fn piggyback(
        &mut self,
        to: Option<&Arc<str>>,
        introduce: bool,
    ) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        if introduce || self.me_sends_left > 0 {
            self.me_sends_left = self.me_sends_left.saturating_sub(1);
            updates.push(self.me.clone());
        }
        let about_receiver = to.and_then(|to| self.members.get(to));
        let doubted = |member: &&Member| member.update.state >= MemberState::Suspect;
        updates.extend(
            about_receiver
                .filter(doubted)
                .map(|member| member.update.short()),
        );
        self.add_waiting(&mut updates);
        let fill = if introduce {
            UPDATES_PER_MESSAGE
        } else {
            // While there is news, the random one can wait.
            updates.len().max(1)
        };
        self.add_random(&mut updates, fill);
        updates.truncate(UPDATES_PER_MESSAGE);
        updates
    }

    fn add_waiting(&mut self, updates: &mut Vec<MemberUpdate>) {
        let mut waiting: Vec<&mut Member> = self
            .members
            .values_mut()
            .filter(|member| member.sends_left > 0)
            .collect();
        waiting.sort_by_key(|member| std::cmp::Reverse(member.sends_left));
        let room = UPDATES_PER_MESSAGE.saturating_sub(updates.len());
        for member in waiting.into_iter().take(room) {
            member.sends_left -= 1;
            updates.push(member.update.short());
        }
    }

    /// Adds random members up to `fill`: a host that missed an update learns it later this way.
    fn add_random(&mut self, updates: &mut Vec<MemberUpdate>, fill: usize) {
        let room = fill.min(UPDATES_PER_MESSAGE).saturating_sub(updates.len());
        let chosen = self.members.values().choose_multiple(&mut self.rng, room);
        updates.extend(chosen.into_iter().map(|member| member.update.short()));
    }
}

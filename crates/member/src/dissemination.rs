//! Applies member updates and disseminates them with other messages.

use std::sync::Arc;

use lw_base::MonoMs;
use rand::seq::IteratorRandom;

use crate::UPDATES_PER_MESSAGE;
use crate::action::MemberAction;
use crate::member::Member;
use crate::member_update::{MemberState, MemberUpdate};
use crate::membership::Membership;

impl Membership {
    /// Applies an update of a member; a false update about this host is refuted.
    pub(crate) fn apply(&mut self, update: MemberUpdate, now: MonoMs, out: &mut Vec<MemberAction>) {
        if update.host == self.me.host {
            self.refute(&update);
            return;
        }
        let sends_left = self.transmission_count();
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
            member.last_acked_at = None;
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
            last_acked_at: None,
            sends_left: self.transmission_count(),
            conf_revision: 0,
        };
        self.seeds.retain(|address| *address != update.address);
        self.members.insert(update.host.clone(), member);
        out.push(MemberAction::Changed(update));
    }

    /// Refutes a false update about this host.
    ///
    /// An update that was refuted before is refuted again, because the first refutation may have been lost.
    fn refute(&mut self, update: &MemberUpdate) {
        if update.incarnation > self.me.incarnation {
            return;
        }
        let is_former_process = update.incarnation < self.me.incarnation;
        if !is_former_process && update.state < MemberState::Suspect {
            return;
        }
        if !is_former_process && update.refutation >= self.me.refutation {
            self.me.refutation = update.refutation + 1;
        }
        self.announce_self();
    }

    pub(crate) fn announce_self(&mut self) {
        self.me_sends_left = self.transmission_count();
    }

    /// Returns the number of messages in which an update is sent.
    ///
    /// Three times the binary logarithm of the region's size is enough to reach every member.
    fn transmission_count(&self) -> u32 {
        3 * (usize::BITS - (self.members.len() + 1).leading_zeros())
    }

    /// Selects the updates for a message to `to`: the update of this host if needed, a suspicion of `to`, then others.
    ///
    /// With `introduce`, the update of this host is included, and random members fill the message.
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
        let receiver = to.and_then(|to| self.members.get(to));
        let is_suspected_or_dead = |member: &&Member| member.update.state >= MemberState::Suspect;
        updates.extend(
            receiver
                .filter(is_suspected_or_dead)
                .map(|member| member.update.abbreviated()),
        );
        self.add_pending(&mut updates);
        let fill = if introduce {
            UPDATES_PER_MESSAGE
        } else {
            // A random member is sent only in a message without other updates.
            updates.len().max(1)
        };
        self.add_random(&mut updates, fill);
        updates.truncate(UPDATES_PER_MESSAGE);
        updates
    }

    fn add_pending(&mut self, updates: &mut Vec<MemberUpdate>) {
        let mut pending: Vec<&mut Member> = self
            .members
            .values_mut()
            .filter(|member| member.sends_left > 0)
            .collect();
        pending.sort_by_key(|member| std::cmp::Reverse(member.sends_left));
        let room = UPDATES_PER_MESSAGE.saturating_sub(updates.len());
        for member in pending.into_iter().take(room) {
            member.sends_left -= 1;
            updates.push(member.update.abbreviated());
        }
    }

    /// Adds random members up to `fill`, so that a host that missed an update receives it later.
    fn add_random(&mut self, updates: &mut Vec<MemberUpdate>, fill: usize) {
        let room = fill.min(UPDATES_PER_MESSAGE).saturating_sub(updates.len());
        let chosen = self.members.values().choose_multiple(&mut self.rng, room);
        updates.extend(chosen.into_iter().map(|member| member.update.abbreviated()));
    }
}

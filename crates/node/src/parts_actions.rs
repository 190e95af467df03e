//! Performing the actions of membership and of the at-most-once protocol.

use std::sync::Arc;

use lw_idem::{ClaimId, Ending, IdemAction, Instance, MemberStatus, ProposalResult, RecordKey};
use lw_member::{MemberAction, MemberState, Update};
use lw_peer::Message;

use crate::core::Core;
use crate::map_task::Proposed;
use crate::run_permit::RunPermit;
use crate::submit_decision::SubmitDecision;

impl Core {
    pub(crate) fn perform_members(&self, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send {
                    host,
                    address,
                    message,
                } => self.send(&host, &address, &Message::Member(message)),
                MemberAction::Changed(update) => self.on_member_change(&update),
                MemberAction::Acknowledged {
                    host,
                    incarnation,
                    sent_at,
                    evidence,
                } => {
                    let from = Instance { host, incarnation };
                    self.idem
                        .on_probe_ack(&from, sent_at, evidence, self.clock.mono());
                }
            }
        }
    }

    fn on_member_change(&self, update: &Update) {
        let instance = Instance {
            host: update.host.clone(),
            incarnation: update.incarnation,
        };
        log::info!("node: {instance} is {:?}", update.state);
        let status = match update.state {
            MemberState::Alive => MemberStatus::Alive,
            MemberState::Leaving => MemberStatus::Leaving,
            MemberState::Dead => MemberStatus::Lost,
            // A suspect has time to refute, and its shards stay with it.
            MemberState::Suspect => return,
        };
        self.idem.on_member(&instance, status);
    }

    pub(crate) fn perform_idem(self: &Arc<Self>, actions: Vec<IdemAction>) {
        for action in actions {
            match action {
                IdemAction::Send { to, message } => self.send_idem(&to, message),
                IdemAction::Run { ticket, key, claim } => {
                    let permit = RunPermit::new(self.clone(), key, claim);
                    self.answers.deliver(ticket, SubmitDecision::Run(permit));
                }
                IdemAction::Replay { ticket, ending } => {
                    self.answers.deliver(ticket, SubmitDecision::Replay(ending));
                }
                IdemAction::Refuse {
                    ticket,
                    kind,
                    outcome,
                } => self
                    .answers
                    .deliver(ticket, SubmitDecision::Refuse { kind, outcome }),
                IdemAction::Propose { map, if_version } => {
                    self.propose(Proposed { map, if_version });
                }
                IdemAction::ReadMap => self.read_map.notify_one(),
            }
        }
    }

    fn propose(self: &Arc<Self>, proposed: Proposed) {
        if self.may_propose() {
            // The receiver is gone only after the node stopped.
            drop(self.proposals.send(proposed));
            return;
        }
        let (now, wall) = (self.clock.mono(), self.clock.wall());
        let mut out = Vec::new();
        self.idem
            .on_proposed(ProposalResult::NotWritten, now, wall, &mut out);
        self.perform_idem(out);
    }

    fn may_propose(&self) -> bool {
        let Some(map) = self.idem.map() else {
            return true;
        };
        let me = self.identity.instance();
        let members = self.members.lock();
        let rule = self.proposal_rule.lock();
        rule.allows(&map, &me, &members, self.clock.mono())
    }

    /// A message for a former process of a host is not sent to its present one.
    fn send_idem(&self, to: &Instance, message: lw_idem::IdemMessage) {
        if let Some((address, Some(incarnation))) = self.address_of(&to.host)
            && incarnation == to.incarnation
        {
            self.send(&to.host, &address, &Message::Idem(message));
        }
    }

    pub(crate) fn end_run(self: &Arc<Self>, key: RecordKey, claim: ClaimId, ending: &Ending) {
        let mut out = Vec::new();
        self.idem
            .on_ended(key, claim, ending, self.clock.wall(), &mut out);
        self.perform_idem(out);
    }
}

//! Performs the actions that membership and the at-most-once protocol return.

use std::sync::Arc;

use lw_idem::{ClaimId, Ending, IdemAction, Instance, ProcessStatus, ProposalResult, RecordKey};
use lw_member::{MemberAction, MemberState, MemberUpdate};
use lw_peer::Message;

use crate::core::Core;
use crate::map_task::MapProposal;
use crate::run_permit::RunPermit;
use crate::submit_decision::SubmitDecision;

impl Core {
    pub(crate) fn perform_member_actions(&self, actions: Vec<MemberAction>) {
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

    fn on_member_change(&self, update: &MemberUpdate) {
        let instance = Instance {
            host: update.host.clone(),
            incarnation: update.incarnation,
        };
        log::info!("node: {instance} is {:?}", update.state);
        let status = match update.state {
            MemberState::Alive => ProcessStatus::Alive,
            MemberState::Leaving => ProcessStatus::Leaving,
            MemberState::Dead => ProcessStatus::Lost,
            // A suspect may still refute the suspicion, so it keeps its shards.
            MemberState::Suspect => return,
        };
        self.idem.on_member(&instance, status);
    }

    pub(crate) fn perform_idem_actions(self: &Arc<Self>, actions: Vec<IdemAction>) {
        for action in actions {
            match action {
                IdemAction::Send { to, message } => self.send_idem(&to, message),
                IdemAction::Run { ticket, key, claim } => {
                    let permit = RunPermit::new(self.clone(), key, claim);
                    self.pending_decisions
                        .deliver(ticket, SubmitDecision::Run(permit));
                }
                IdemAction::Replay { ticket, ending } => {
                    self.pending_decisions
                        .deliver(ticket, SubmitDecision::Replay(ending));
                }
                IdemAction::Refuse {
                    ticket,
                    kind,
                    outcome,
                } => self
                    .pending_decisions
                    .deliver(ticket, SubmitDecision::Refuse { kind, outcome }),
                IdemAction::Propose { map, if_version } => {
                    self.propose(MapProposal { map, if_version });
                }
                IdemAction::ReadMap => self.map_read_requested.notify_one(),
            }
        }
    }

    fn propose(self: &Arc<Self>, proposal: MapProposal) {
        if self.may_propose() {
            // The receiver is dropped only when the node stops.
            drop(self.proposals.send(proposal));
            return;
        }
        let (now, wall) = (self.clock.mono(), self.clock.wall());
        let mut out = Vec::new();
        self.idem
            .on_proposed(ProposalResult::NotWritten, now, wall, &mut out);
        self.perform_idem_actions(out);
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

    /// Sends a message to one incarnation of a host; a message for another incarnation is dropped.
    fn send_idem(&self, to: &Instance, message: lw_idem::IdemMessage) {
        if let Some((address, Some(incarnation))) = self.address_of(&to.host)
            && incarnation == to.incarnation
        {
            self.send(&to.host, &address, &Message::Idem(message));
        }
    }

    /// Records the ending of a run in the at-most-once protocol.
    pub(crate) fn end_run(self: &Arc<Self>, key: RecordKey, claim: ClaimId, ending: &Ending) {
        let mut out = Vec::new();
        self.idem
            .on_ended(key, claim, ending, self.clock.wall(), &mut out);
        self.perform_idem_actions(out);
    }
}

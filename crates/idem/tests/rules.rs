//! Rules of the protocol that random failures seldom reach, tested on single hosts with a constructed map.

use std::collections::BTreeMap;

use lw_base::{ErrorKind, MonoMs, Outcome, WallMs};
use lw_idem::{
    BodyDigest, ClaimId, Cutoff, Ending, Idem, IdemAction, IdemMessage, IdemRequest, Instance,
    MapHost, ProcessStatus, ProposalResult, Record, RecordKey, SHARDS, ShardMap, ShardView, Ticket,
};
use test_case::test_case;
use uuid::Builder;

const WALL: u64 = 1_800_000_000_000;

fn instance(host: &str) -> Instance {
    Instance {
        host: host.into(),
        incarnation: 1,
    }
}

fn map_host(host: &str) -> MapHost {
    MapHost {
        instance: instance(host),
        zone: host.into(),
    }
}

/// Returns a map of the hosts a, b and c with `owner` and `backup` in every shard.
fn map(revision: u64, epoch: u64, owner: &str, backup: &str) -> ShardMap {
    let view = ShardView {
        epoch,
        owner: instance(owner),
        backup: Some(instance(backup)),
        backup_complete: true,
        cutoff: None,
        electorate: 1,
    };
    ShardMap {
        revision,
        hosts: ["a", "b", "c"].map(map_host).to_vec(),
        electorates: BTreeMap::from([(1, vec!["a".into(), "b".into(), "c".into()])]),
        shards: vec![view; SHARDS],
    }
}

/// The shard of all keys in these tests. Writes that rebalance shards move only the first ones, so they do not move it.
const SHARD: u8 = 63;

/// Returns a key of [`SHARD`].
fn key(number: u8) -> RecordKey {
    let id = Builder::from_unix_timestamp_millis(WALL + 50_000, &[number; 10]).into_uuid();
    let mut keys = (0..).map(|scope| RecordKey { scope, id });
    keys.find(|key| lw_idem::shard_of(*key) == usize::from(SHARD))
        .unwrap()
}

fn wall(now: u64) -> WallMs {
    WallMs(WALL + now)
}

struct Host(Idem);

impl Host {
    fn with(name: &str, map: &ShardMap) -> Self {
        let host = Self(Idem::new(map_host(name), 1 << 25, MonoMs(0)));
        host.read(1, map, 0);
        for other in ["a", "b", "c"] {
            host.0.on_member(&instance(other), ProcessStatus::Alive);
        }
        host
    }

    fn read(&self, version: u64, map: &ShardMap, now: u64) {
        let now_ms = MonoMs(now);
        let mut out = Vec::new();
        self.0
            .on_map(version, Some(map), now_ms, now_ms, wall(now), &mut out);
    }

    fn request(&self, number: u8, digest: u8, now: u64) -> Vec<IdemAction> {
        let request = IdemRequest {
            ticket: Ticket(u64::from(number)),
            key: key(number),
            issued: wall(50_000),
            digest: BodyDigest([digest; 16]),
            first_attempt: false,
            deadline: MonoMs(now + 60_000),
        };
        let mut out = Vec::new();
        self.0
            .on_request(&request, MonoMs(now), wall(now), &mut out);
        out
    }

    /// Returns true if the host sends a claim to its backup on a request with key `number`.
    fn claims(&self, number: u8, now: u64) -> bool {
        let out = self.request(number, 1, now);
        let sent = |action: &IdemAction| {
            matches!(
                action,
                IdemAction::Send {
                    message: IdemMessage::Claim { .. },
                    ..
                }
            )
        };
        out.iter().any(sent)
    }

    /// Returns true if the host accepts a claim that `a` sends as the owner in `epoch`.
    fn acknowledges(&self, epoch: u64, number: u8, now: u64) -> bool {
        let claim = ClaimId { epoch, number: 1 };
        let record = Record {
            key: key(number),
            issued: wall(50_000),
            digest: BodyDigest([1; 16]),
            claim,
            ending: None,
            ended: None,
        };
        let message = IdemMessage::Claim {
            shard: SHARD,
            epoch,
            record,
        };
        let out = self.message("a", message, now);
        let accepted = |action: &IdemAction| {
            matches!(
                action,
                IdemAction::Send {
                    message: IdemMessage::ClaimAck { accepted: true, .. },
                    ..
                }
            )
        };
        out.iter().any(accepted)
    }

    fn message(&self, from: &str, message: IdemMessage, now: u64) -> Vec<IdemAction> {
        let mut out = Vec::new();
        self.0
            .on_message(&instance(from), message, MonoMs(now), &mut out);
        out
    }

    /// Returns the map that the host proposes in a tick at `now`, if any.
    fn proposal(&self, now: u64) -> Option<ShardMap> {
        let mut out = Vec::new();
        self.0.tick(MonoMs(now), wall(now), &mut out);
        out.into_iter().find_map(|action| match action {
            IdemAction::Propose { map, .. } => Some(ShardMap::clone(&map)),
            _ => None,
        })
    }

    /// Reports the result of the last proposal to the host.
    fn proposed(&self, result: ProposalResult, now: u64) {
        self.0
            .on_proposed(result, MonoMs(now), wall(now), &mut Vec::new());
    }
}

/// Guards against an isolated owner that accepts keys with expired evidence.
#[test]
fn keys_are_refused_with_expired_evidence() {
    let host = Host::with("a", &map(5, 3, "a", "b"));
    assert!(host.claims(1, 11_000));
    assert!(!host.claims(2, 11_001));
    host.0
        .on_probe_ack(&instance("b"), MonoMs(20_000), false, MonoMs(20_010));
    assert!(
        !host.claims(3, 20_100),
        "an acknowledgement without evidence is counted"
    );
    host.0
        .on_probe_ack(&instance("b"), MonoMs(20_000), true, MonoMs(20_010));
    assert!(host.claims(4, 31_000) && !host.claims(5, 31_001));
}

/// Guards against a voter that still gives evidence to an owner after it voted that the owner is silent.
#[test]
fn a_voter_withholds_evidence_until_a_newer_map_is_shown() {
    let host = Host::with("c", &map(5, 3, "a", "b"));
    host.0.on_probe(&instance("a"), 5, MonoMs(10_000));
    let query = || IdemMessage::TakeoverQuery {
        revision: 5,
        silent: vec![instance("a"), instance("b")],
    };
    let votes = |now| match host.message("d", query(), now).remove(0) {
        IdemAction::Send {
            message: IdemMessage::TakeoverVote { silent, .. },
            ..
        } => silent,
        other => panic!("unexpected {other:?}"),
    };
    assert_eq!(votes(29_999), []);
    assert_eq!(
        votes(30_000),
        [instance("b")],
        "a sent a probe 20 s ago, so only b is silent"
    );
    assert!(host.0.on_probe(&instance("a"), 5, MonoMs(30_001)));
    assert!(!host.0.on_probe(&instance("b"), 5, MonoMs(30_001)));
    assert!(
        !host.0.on_probe(&instance("b"), 5, MonoMs(90_000)),
        "evidence is given before a probe of the member carries a newer map revision"
    );
    assert!(host.0.on_probe(&instance("b"), 6, MonoMs(90_001)));
}

/// Guards against an owner that accepts keys on old evidence while its proposal may be stored: the new view may have
/// another electorate, whose votes the old evidence does not exclude.
#[test_case(ProposalResult::Unclear, false)]
#[test_case(ProposalResult::NotWritten, true)]
fn an_unresolved_proposal_suspends_the_owner(result: ProposalResult, continues: bool) {
    let host = Host::with("a", &map(5, 3, "a", "b"));
    host.0.on_member(&instance("c"), ProcessStatus::Lost);
    let proposal = host.proposal(1_000).unwrap();
    assert!(proposal.shards.iter().all(|view| view.epoch == 4));
    host.proposed(result, 1_500);
    host.0
        .on_probe_ack(&instance("b"), MonoMs(20_000), true, MonoMs(20_010));
    assert_eq!(host.claims(1, 20_100), continues);
    host.read(2, &proposal, 20_200);
    assert!(
        host.claims(2, 20_300),
        "the proposal is still unresolved after the read"
    );
}

/// Guards against a backup that accepts claims of an owner that its proposal may have replaced.
#[test_case(ProposalResult::Unclear, false)]
#[test_case(ProposalResult::NotWritten, true)]
fn an_unresolved_takeover_suspends_the_backup(result: ProposalResult, continues: bool) {
    let host = Host::with("b", &map(5, 3, "a", "b"));
    assert!(host.acknowledges(3, 1, 500));
    host.0.on_member(&instance("a"), ProcessStatus::Lost);
    let proposal = host.proposal(1_000).unwrap();
    assert!(
        proposal
            .shards
            .iter()
            .all(|view| view.owner == instance("b"))
    );
    host.proposed(result, 1_500);
    assert_eq!(host.acknowledges(3, 2, 2_000), continues);
}

/// Guards against a backup that accepts claims of another epoch or another owner.
#[test]
fn a_backup_accepts_claims_of_its_view_only() {
    let host = Host::with("b", &map(5, 3, "a", "b"));
    assert!(!host.acknowledges(2, 1, 100) && !host.acknowledges(4, 2, 100));
    host.read(2, &map(6, 4, "b", "c"), 200);
    assert!(!host.acknowledges(3, 3, 300), "the host is now the owner");
    host.read(3, &map(5, 3, "a", "b"), 400);
    assert!(!host.acknowledges(3, 4, 500), "a lower epoch is adopted");
    let written_back = host.proposal(1_500).unwrap();
    assert!(written_back.shards.iter().all(|view| view.epoch >= 4));
    assert!(written_back.revision > 6);
}

/// Guards against a takeover that was stored so late that the former owner may accept keys issued after the cutoff.
#[test]
fn a_takeover_stored_too_late_raises_its_cutoff() {
    let with_cutoff = |ahead_ms: u64| {
        let mut map = map(5, 3, "a", "b");
        let issued_before = wall(40_000 + ahead_ms);
        for view in &mut map.shards {
            view.cutoff = Some(Cutoff {
                issued_before,
                epoch: 3,
            });
        }
        let host = Host::with("a", &self::map(4, 2, "c", "b"));
        host.read(2, &map, 40_000);
        host
    };
    assert!(
        !with_cutoff(9_000).claims(1, 41_000),
        "a key is accepted with less than 16 s until the cutoff"
    );
    let next = with_cutoff(9_000).proposal(41_000).unwrap();
    let cutoffs = next.shards.iter().map(|view| view.cutoff.unwrap());
    assert!(
        cutoffs
            .into_iter()
            .all(|cutoff| cutoff.issued_before == wall(71_000) && cutoff.epoch == 4)
    );
    let timely = with_cutoff(16_000);
    let refused = timely.request(2, 1, 41_000);
    assert_eq!(
        refused[0],
        refusal(2, ErrorKind::OutcomeUnknown, Outcome::Unknown)
    );
}

fn refusal(number: u8, kind: ErrorKind, outcome: Outcome) -> IdemAction {
    IdemAction::Refuse {
        ticket: Ticket(u64::from(number)),
        kind,
        outcome,
    }
}

/// Guards against a key that is accepted for two different requests.
#[test]
fn a_key_is_refused_for_another_body() {
    let host = Host::with("a", &map(5, 3, "a", "b"));
    assert!(host.claims(1, 100));
    let other = host.request(1, 2, 200);
    assert_eq!(other[0], refusal(1, ErrorKind::KeyReused, Outcome::NotRun));
}

/// Guards against a late acknowledgement or release that is applied to a later claim of the same key.
#[test]
fn late_messages_do_not_affect_a_later_claim() {
    let host = Host::with("a", &map(5, 3, "a", "b"));
    assert!(host.claims(1, 100));
    let ack = |number| IdemMessage::ClaimAck {
        shard: SHARD,
        key: key(1),
        claim: ClaimId { epoch: 3, number },
        accepted: true,
    };
    let is_run = |action: &IdemAction| matches!(action, IdemAction::Run { .. });
    let mut out = Vec::new();
    host.0.tick(MonoMs(3_000), wall(3_000), &mut out);
    assert!(out.contains(&refusal(1, ErrorKind::ClaimRefused, Outcome::Unknown)));
    assert!(
        host.claims(1, 3_100),
        "the withdrawn key is not claimed again"
    );
    assert!(!host.message("b", ack(1), 3_200).iter().any(is_run));
    assert!(
        !host.message("c", ack(2), 3_200).iter().any(is_run),
        "the sender is not the backup"
    );
    assert!(host.message("b", ack(2), 3_200).iter().any(is_run));
    assert!(
        !host.message("b", ack(2), 3_300).iter().any(is_run),
        "the acknowledgement is a duplicate"
    );
    let backup = Host::with("b", &map(5, 3, "a", "b"));
    assert!(backup.acknowledges(3, 1, 100));
    let release = IdemMessage::DoneCopy {
        shard: SHARD,
        key: key(1),
        claim: ClaimId {
            epoch: 3,
            number: 0,
        },
        ending: Ending::NotRun,
        ended: wall(100),
    };
    backup.message("a", release, 200);
    assert_eq!(backup.0.record_count(), 1);
}

/// Guards against a repeat that waits past its deadline, and against waiting repeats that get no answer.
#[test]
fn repeats_wait_for_the_answer_or_their_deadline() {
    let host = Host::with("a", &map(5, 3, "a", "b"));
    assert!(host.claims(1, 100));
    assert_eq!(host.request(1, 1, 200), [], "the repeat must wait");
    let claim = ClaimId {
        epoch: 3,
        number: 1,
    };
    let ack = IdemMessage::ClaimAck {
        shard: SHARD,
        key: key(1),
        claim,
        accepted: true,
    };
    assert_eq!(host.message("b", ack, 300).len(), 1);
    let mut out = Vec::new();
    host.0.tick(MonoMs(60_200), wall(60_200), &mut out);
    assert!(out.contains(&refusal(1, ErrorKind::DeadlineAfterSend, Outcome::Unknown)));
    assert_eq!(host.request(1, 1, 60_300), []);
    let ending = Ending::complete(200, "text/plain", "done".into());
    out.clear();
    host.0
        .on_ended(key(1), claim, &ending, wall(60_400), &mut out);
    let replay = IdemAction::Replay {
        ticket: Ticket(1),
        ending,
    };
    assert!(out.contains(&replay));
}

/// Guards against a transfer that skips records when parts are resent or acknowledged twice, and against parts that
/// exceed the size of a frame.
#[test]
fn a_transfer_of_many_parts_is_complete() {
    const RECORDS: usize = 60;
    let owner = Host::with("a", &map(5, 3, "a", "c"));
    let backup = Host::with("b", &map(5, 3, "a", "c"));
    for number in 0..RECORDS as u8 {
        assert!(owner.claims(number, 100));
        let runs = (1..=RECORDS as u64).map(|claim| IdemMessage::ClaimAck {
            shard: SHARD,
            key: key(number),
            claim: ClaimId {
                epoch: 3,
                number: claim,
            },
            accepted: true,
        });
        let out: Vec<IdemAction> = runs.flat_map(|ack| owner.message("c", ack, 200)).collect();
        let [IdemAction::Run { key, claim, .. }] = out[..] else {
            panic!("unexpected {out:?}");
        };
        let ending = Ending::complete(200, "", vec![number; 4_000].into());
        owner
            .0
            .on_ended(key, claim, &ending, wall(300), &mut Vec::new());
    }
    let mut next = map(6, 4, "a", "b");
    next.shards
        .iter_mut()
        .for_each(|view| view.backup_complete = false);
    owner.read(2, &next, 400);
    backup.read(2, &next, 400);
    let mut parts = 0;
    let mut now = 500;
    let complete = loop {
        now += 600;
        let mut out = Vec::new();
        owner.0.tick(MonoMs(now), wall(now), &mut out);
        let mut proposal = None;
        for action in out {
            match action {
                IdemAction::Send { message, .. } => {
                    if let IdemMessage::TransferPart { records, .. } = &message {
                        let bytes = records
                            .iter()
                            .map(|record| record.ending.as_ref().map_or(0, Ending::kept_bytes));
                        assert!(bytes.sum::<usize>() <= lw_idem::TRANSFER_PART_BYTES);
                        parts += usize::from(!records.is_empty());
                    }
                    // Every second message is lost; every other one arrives twice.
                    if (now / 600) % 2 == 0 {
                        deliver_twice(&owner, &backup, &message, now);
                    }
                }
                IdemAction::Propose { map, .. } => proposal = Some(map),
                _ => {}
            }
        }
        if let Some(map) = proposal {
            // A shard with a complete backup may be moved in the same write.
            if map
                .shards
                .iter()
                .all(|view| view.backup_complete || view.epoch > 4)
            {
                break map;
            }
            owner.proposed(ProposalResult::NotWritten, now);
        }
        owner.read(2, &next, now);
        assert!(now < 200_000, "the transfer does not end");
    };
    assert!(complete.revision > 6);
    assert_eq!(backup.0.record_count(), RECORDS);
    assert!(parts > 8, "{parts} parts");
}

fn deliver_twice(owner: &Host, backup: &Host, message: &IdemMessage, now: u64) {
    for _ in 0..2 {
        for answer in backup.message("a", message.clone(), now) {
            if let IdemAction::Send { message, .. } = answer {
                owner.message("b", message, now);
            }
        }
    }
}

/// Guards against a region that starts with a new map when the key-value service lost the map that hosts still have.
#[test]
fn a_lost_map_is_written_back() {
    let current = map(5, 3, "a", "b");
    let host = Host::with("a", &current);
    let now = MonoMs(2_000);
    host.0
        .on_map(0, None, now, now, wall(2_000), &mut Vec::new());
    let proposal = host.proposal(2_100).unwrap();
    assert!(proposal.revision > current.revision);
    assert!(
        current
            .shards
            .iter()
            .zip(&proposal.shards)
            .all(|(current, new)| new.epoch >= current.epoch && new.has(&instance("a")))
    );
}

/// Guards against hosts that start together and all write the map in the same second, when only one write succeeds.
#[test]
fn joining_hosts_propose_one_after_another() {
    let names = ["d", "e", "f", "g", "h", "i", "j", "k"];
    let current = map(5, 3, "a", "b");
    let mut proposed: Vec<u64> = Vec::new();
    for name in names {
        let host = Host::with(name, &current);
        for other in names {
            host.0.on_member(&instance(other), ProcessStatus::Alive);
        }
        let mut times = (3_000..10_000).step_by(100);
        proposed.extend(times.find(|now| {
            host.read(1, &current, *now);
            host.proposal(*now).is_some()
        }));
    }
    proposed.sort_unstable();
    assert_eq!(proposed.len(), names.len(), "{proposed:?}");
    for pair in proposed.windows(2) {
        assert!(pair[1] - pair[0] >= 500, "{proposed:?}");
    }
}

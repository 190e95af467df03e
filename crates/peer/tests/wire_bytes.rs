//! Encoded bytes of frames between hosts.
//!
//! A renamed, moved or retyped field or variant would break the exchange with hosts of an earlier version. The bytes
//! of the membership and at-most-once messages are guarded in their own crates.

use bytes::Bytes;
use lw_idem::IdemMessage;
use lw_member::MemberMessage;
use lw_peer::{Codec, Message, PeerKeys};

/// Asserts that host `a` sends `message` as the frame `fixture` (in hexadecimal), and that host `b` decodes it.
fn assert_frame(message: &Message, kind: u8, kind_name: &str, fixture: &str) {
    let sender = Codec::new("a", 21, PeerKeys::new(b"key"));
    let receiver = Codec::new("b", 22, PeerKeys::new(b"key"));
    let encoded = sender.encode("b", message).unwrap();
    let hex: String = encoded.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, fixture, "{message:?}");
    let bytes: Vec<u8> = (0..fixture.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&fixture[at..at + 2], 16).unwrap())
        .collect();
    let received = receiver.decode(&bytes).unwrap();
    assert_eq!((&*received.sender, received.incarnation), ("a", 21));
    assert_eq!(&received.message, message);
    assert_eq!((message.kind(), message.kind_name()), (kind, kind_name));
}

#[test]
fn frames_keep_their_bytes() {
    let bytes = |text: &'static str| Bytes::from_static(text.as_bytes());
    let member = Message::Member(MemberMessage::Leaving);
    assert_frame(
        &member,
        17,
        "leaving",
        "01016101621501110006845e405b84917bb88456bb48196c2350",
    );
    let idem = Message::Idem(IdemMessage::TransferAck {
        shard: 31,
        epoch: 32,
        part: 33,
    });
    assert_frame(
        &idem,
        8,
        "shard-transfer-ack",
        "010161016215010801041f20210238c76fa63dd341ef81d4a10e9df2b1",
    );
    assert_frame(
        &Message::ConfigPush(bytes("c1")),
        11,
        "config-push",
        "010161016215010b020263315a18ef8f51bc403d2559528931c02700",
    );
    assert_frame(
        &Message::ConfigPull(bytes("c2")),
        12,
        "config-pull",
        "010161016215010c030263323a29f9324b469ac8845f0f8caeebb889",
    );
    assert_frame(
        &Message::ConfigReply(bytes("c3")),
        13,
        "config-reply",
        "010161016215010d040263333994f4c80abc8f3d026edc31fe974751",
    );
    assert_frame(
        &Message::LoadBoard(bytes("c4")),
        16,
        "load-board",
        "010161016215011005026334d8eb8baabd1bb2c49d1c73c503e83e96",
    );
}

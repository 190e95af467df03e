//! Frames: rejection reasons, replay protection and key rotation.

use bytes::Bytes;
use lw_member::MemberMessage;
use lw_peer::{Codec, FRAME_BYTES_MAX, FrameRefusal, Message, PeerKeys};
use test_case::test_case;

fn codec(host: &str, incarnation: u64, key: &[u8]) -> Codec {
    Codec::new(host, incarnation, PeerKeys::new(key))
}

fn message() -> Message {
    Message::ConfigPush(Bytes::from_static(b"revision 7"))
}

type FrameEdit = fn(&mut Vec<u8>);

/// Guards against a damaged or foreign frame that is accepted as a message.
#[test_case(|frame| frame.truncate(9), FrameRefusal::Truncated; "too short for a tag")]
#[test_case(|frame| frame.truncate(24), FrameRefusal::Key; "truncated body")]
#[test_case(|frame| frame[0] = 2, FrameRefusal::Version; "newer version")]
#[test_case(|frame| frame[12] ^= 1, FrameRefusal::Key; "changed byte")]
#[test_case(|frame| frame.resize(FRAME_BYTES_MAX + 1, 0), FrameRefusal::TooLarge; "too large")]
fn rejects_damaged_frames(edit: FrameEdit, refusal: FrameRefusal) {
    let (sender, receiver) = (codec("a", 1, b"key"), codec("b", 1, b"key"));
    let mut frame = sender.encode("b", &message()).unwrap().to_vec();
    edit(&mut frame);
    assert_eq!(receiver.decode(&frame), Err(refusal));
    assert_eq!(receiver.refusals().get(refusal), 1);
}

/// Guards against a recorded frame that is accepted again, by this or another host.
#[test]
fn rejects_replayed_frames() {
    let (sender, receiver) = (codec("a", 5, b"key"), codec("b", 1, b"key"));
    let frames: Vec<Bytes> = (0..200)
        .map(|_| sender.encode("b", &message()).unwrap())
        .collect();
    assert!(receiver.decode(&frames[1]).is_ok());
    assert!(receiver.decode(&frames[0]).is_ok(), "frame out of order");
    assert_eq!(receiver.decode(&frames[0]), Err(FrameRefusal::Replayed));
    assert!(receiver.decode(&frames[199]).is_ok());
    assert_eq!(receiver.decode(&frames[2]), Err(FrameRefusal::Replayed));
    assert_eq!(
        codec("c", 1, b"key").decode(&frames[3]),
        Err(FrameRefusal::Misdirected)
    );
    let restarted = codec("a", 6, b"key").encode("b", &message()).unwrap();
    assert!(receiver.decode(&restarted).is_ok());
    assert_eq!(receiver.decode(&frames[198]), Err(FrameRefusal::Replayed));
}

/// Guards against hosts that reject each other's frames during a key rotation, and against a removed key that
/// stays valid.
#[test]
fn rotates_the_key() {
    let (old, new) = (codec("a", 1, b"old"), codec("n", 1, b"new"));
    let receiver = Codec::new("b", 1, PeerKeys::new(b"old").and_accept(b"new"));
    assert!(
        receiver
            .decode(&old.encode("b", &message()).unwrap())
            .is_ok()
    );
    assert!(
        receiver
            .decode(&new.encode("b", &message()).unwrap())
            .is_ok()
    );
    receiver.set_keys(PeerKeys::new(b"new"));
    let late = old.encode("b", &message()).unwrap();
    assert_eq!(receiver.decode(&late), Err(FrameRefusal::Key));
}

/// Guards against oversized frames, and against frames without a receiver for messages other than membership.
#[test]
fn limits_size_and_omitted_receivers() {
    let (sender, receiver) = (codec("a", 1, b"key"), codec("b", 1, b"key"));
    let large = Message::ConfigPush(Bytes::from(vec![0; FRAME_BYTES_MAX]));
    assert_eq!(sender.encode("b", &large), Err(FrameRefusal::TooLarge));
    let probe = Message::Member(MemberMessage::Leaving);
    assert!(receiver.decode(&sender.encode("", &probe).unwrap()).is_ok());
    let push = sender.encode("", &message()).unwrap();
    assert_eq!(receiver.decode(&push), Err(FrameRefusal::Misdirected));
}

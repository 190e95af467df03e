//! The nng transport over loopback.

use std::sync::mpsc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use lw_peer::{NngNetwork, SendOutcome};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against frames that are lost on a healthy connection, and against a sender that blocks on an absent peer.
#[test]
fn delivers_and_never_blocks() {
    let (sent, received) = mpsc::channel();
    let listener = NngNetwork::listen("127.0.0.1:0", move |frame| {
        sent.send(frame.to_vec()).unwrap();
    })
    .unwrap();
    let sender = NngNetwork::listen("127.0.0.1:0", |_| {}).unwrap();
    let network = sender.network();
    for number in 0..100_u8 {
        let outcome = network.send(listener.address(), Bytes::from(vec![number; 10]));
        assert_eq!(outcome, SendOutcome::Queued);
    }
    for number in 0..100_u8 {
        assert_eq!(received.recv_timeout(TIMEOUT).unwrap(), vec![number; 10]);
    }
    let absent = NngNetwork::listen("127.0.0.1:0", |_| {})
        .unwrap()
        .address()
        .to_owned();
    let start = Instant::now();
    let full = (0..1_000)
        .filter(|_| network.send(&absent, Bytes::from_static(b"x")) == SendOutcome::Full)
        .count();
    assert!(full > 0, "the queue to an absent peer is bounded");
    assert_eq!(sender.dropped(), full as u64);
    assert!(start.elapsed() < TIMEOUT);
}

//! Transports that shut down while peers send to them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use lw_peer::NngNetwork;

/// With PUSH sockets, nng aborts the process in 3 of 3 runs of up to 40 rounds, within 7 s.
const ROUNDS: usize = 12;

/// Guards against an abort of the process inside nng when a transport shuts down while peers send and dial.
#[test]
fn transports_shut_down_under_traffic() {
    for _ in 0..ROUNDS {
        let networks: Vec<NngNetwork> = (0..8)
            .map(|_| NngNetwork::listen("127.0.0.1:0", |_| {}).unwrap())
            .collect();
        let addresses: Vec<String> = networks
            .iter()
            .map(|network| network.address().to_owned())
            .collect();
        let stop = Arc::new(AtomicBool::new(false));
        let threads: Vec<_> = networks
            .into_iter()
            .enumerate()
            .map(|(number, network)| {
                let (addresses, stop) = (addresses.clone(), stop.clone());
                std::thread::spawn(move || {
                    let sender = network.network();
                    let mut sent = 0;
                    while !stop.load(Ordering::Relaxed) && sent < 40 + number * 40 {
                        for address in &addresses {
                            let _ = sender.send(address, Bytes::from_static(b"frame"));
                        }
                        sent += 1;
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    drop(sender);
                    drop(network);
                })
            })
            .collect();
        for thread in threads {
            thread.join().unwrap();
        }
    }
}

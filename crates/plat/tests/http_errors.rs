//! Failed connections are reported as unreachable or as a lost reply.

use lw_plat::{HttpTimeouts, KvCall, KvError, http_kv};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect_ms: 2_000,
    call_ms: 200,
};

fn put() -> KvCall {
    KvCall::Put {
        key: "a/b".into(),
        value: "x".into(),
        if_version: 0,
        lease_id: None,
    }
}

/// Guards against reporting a refused connection as a write that may have taken effect.
#[tokio::test]
async fn a_refused_connection_is_reported_as_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    drop(listener);
    let kv = http_kv(&address, TIMEOUTS);
    assert_eq!(kv.call(put()).await, Err(KvError::Unreachable));
}

/// Guards against reporting a write as failed without effect although the service may have received it.
#[tokio::test]
async fn a_silent_or_closed_connection_is_reported_as_a_lost_reply() {
    for keep_open in [true, false] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        let server = tokio::spawn(async move {
            let mut open_streams = Vec::new();
            loop {
                let (mut stream, _) = listener.accept().await.expect("accept");
                let mut start = [0u8; 16];
                stream.read_exact(&mut start).await.expect("request");
                if keep_open {
                    open_streams.push(stream);
                }
            }
        });
        let kv = http_kv(&address, TIMEOUTS);
        assert_eq!(kv.call(put()).await, Err(KvError::ReplyLost), "{keep_open}");
        server.abort();
    }
}

//! JSON bodies that the platform services and the engines exchange with the gateway.
//!
//! A renamed, moved or retyped field or variant would break a platform service or an engine of an earlier version.

use std::fmt::Debug;

use lw_plat::{EngineCommand, EngineLoad, EngineState, HostEntry, HostState};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Asserts that the JSON text `fixture` decodes to `value`, and that `value` encodes to it.
fn assert_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, fixture: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), fixture);
    assert_eq!(&serde_json::from_str::<T>(fixture).unwrap(), value);
}

#[test]
fn host_entries_keep_their_bytes() {
    for (state, fixture) in [
        (
            HostState::Live,
            r#"{"host":"h1","region":"r1","zone":"z1","caller_address":"10.0.0.1:1","peer_address":"10.0.0.1:2","state":"live"}"#,
        ),
        (
            HostState::Leaving,
            r#"{"host":"h1","region":"r1","zone":"z1","caller_address":"10.0.0.1:1","peer_address":"10.0.0.1:2","state":"leaving"}"#,
        ),
    ] {
        let entry = HostEntry {
            host: "h1".into(),
            region: "r1".into(),
            zone: "z1".into(),
            caller_address: "10.0.0.1:1".into(),
            peer_address: "10.0.0.1:2".into(),
            state,
        };
        assert_json(&entry, fixture);
    }
}

#[test]
fn engine_messages_keep_their_bytes() {
    let command = EngineCommand {
        fencing: 11,
        model: "m1".into(),
        version: "v1".into(),
        role: "prefill".into(),
    };
    assert_json(
        &command,
        r#"{"fencing":11,"model":"m1","version":"v1","role":"prefill"}"#,
    );
    let state = EngineState {
        model: "m2".into(),
        version: "v2".into(),
        role: "decode".into(),
        fencing: 12,
    };
    assert_json(
        &state,
        r#"{"model":"m2","version":"v2","role":"decode","fencing":12}"#,
    );
    let load = EngineLoad {
        queued: 13,
        running: 14,
        tokens_per_s: 15.5,
        at_ms: 16,
    };
    assert_json(
        &load,
        r#"{"queued":13,"running":14,"tokens_per_s":15.5,"at_ms":16}"#,
    );
}

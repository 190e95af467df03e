//! Encoded bytes of the types that other crates put into messages and stored values.
//!
//! A renamed or moved variant, or a retyped field, would break hosts of an earlier version and stored data.

use std::fmt::Debug;

use lw_base::{AttemptId, ErrorKind, Hop, MonoMs, Outcome, PriorityClass, RequestId, WallMs};
use serde::Serialize;
use serde::de::DeserializeOwned;
use uuid::Uuid;

/// Asserts that the JSON text `fixture` decodes to `value`, and that `value` encodes to it.
fn assert_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, fixture: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), fixture);
    assert_eq!(&serde_json::from_str::<T>(fixture).unwrap(), value);
}

/// Asserts that `fixture` (postcard, in hexadecimal) decodes to `value`, and that `value` encodes to it.
fn assert_postcard<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, fixture: &str) {
    let bytes: Vec<u8> = (0..fixture.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&fixture[start..start + 2], 16).unwrap())
        .collect();
    let encoded = postcard::to_stdvec(value).unwrap();
    let hex: String = encoded.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, fixture, "{value:?}");
    assert_eq!(&postcard::from_bytes::<T>(&bytes).unwrap(), value);
}

#[test]
fn ids_and_times_keep_their_bytes() {
    let request = RequestId(Uuid::from_u128(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10));
    let attempt = AttemptId {
        request,
        number: 23,
    };
    assert_postcard(&request, "100102030405060708090a0b0c0d0e0f10");
    assert_postcard(&attempt, "100102030405060708090a0b0c0d0e0f1017");
    assert_postcard(&MonoMs(1_001), "e907");
    assert_postcard(&WallMs(1_002), "ea07");
    assert_json(&request, r#""01020304-0506-0708-090a-0b0c0d0e0f10""#);
    assert_json(
        &attempt,
        r#"{"request":"01020304-0506-0708-090a-0b0c0d0e0f10","number":23}"#,
    );
    assert_json(&MonoMs(1_001), "1001");
    assert_json(&WallMs(1_002), "1002");
}

#[test]
fn enum_variants_keep_their_bytes() {
    let outcomes = vec![Outcome::Complete, Outcome::NotRun, Outcome::Unknown];
    assert_postcard(&outcomes, "03000102");
    assert_json(&outcomes, r#"["Complete","NotRun","Unknown"]"#);
    let hops = vec![Hop::Caller, Hop::Region, Hop::Owner];
    assert_postcard(&hops, "03000102");
    assert_json(&hops, r#"["Caller","Region","Owner"]"#);
    let classes = PriorityClass::ALL.to_vec();
    assert_postcard(&classes, "03000102");
    assert_json(&classes, r#"["lookup","interactive","batch"]"#);
    let kinds = ErrorKind::ALL.to_vec();
    assert_postcard(
        &kinds,
        "20000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
    );
    assert_json(
        &kinds,
        r#"["bad_request","unauthorized","headers_too_large","body_too_large","unknown_service","key_missing","key_malformed","key_expired","key_reused","misdirected","residency_refused","loop_detected","limit_exceeded","queue_full","deadline_unreachable","deadline_before_send","deadline_after_send","no_target","connect_failed","target_refused","answer_lost","answer_incomplete","owner_unreachable","claim_refused","outcome_unknown","answer_not_kept","isolated","not_ready","leaving","retry_budget_spent","caller_gone","internal"]"#,
    );
}

//! The load message as hosts exchange it.
//!
//! Guards against a renamed, moved or retyped field that hosts of another release would not understand.

use lw_admit::CustomerId;
use lw_node::LoadBoardMessage;
use serde_json::json;
use test_case::test_case;

const EMPTY: &[u8] = &[0, 0, 0, 0];

const ALL_FIELDS: &[u8] = &[
    136, 142, 152, 168, 192, 224, 128, 129, 1, // targets_digest
    2, 172, 2, 11, 12, 0, 13, 14, // loads
    2, 1, 200, 1, // not_serving
    2, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 184, 23, // customers
];

const BUILT: &[u8] = &[
    9, 2, 4, 31, 32, 139, 3, 33, 34, 0, 2, 4, 5, 6, 7, 8, 248, 15, 0, 0, 0, 0, 7, 157, 33,
];

/// Returns a message with a value of its own in each field, built by the names of the fields.
fn all_fields() -> LoadBoardMessage {
    serde_json::from_value(json!({
        "targets_digest": 0x0102_0304_0506_0708_u64,
        "loads": [[300, [11, 12]], [0, [13, 14]]],
        "not_serving": [1, 200],
        "customers": [[[21, 22, 23, 24, 25], 26], [[27, 28, 29, 30, 31], 3_000]],
    }))
    .expect("the fields of a load message")
}

/// Returns a message that is built as hosts build it.
fn built() -> LoadBoardMessage {
    let mut message = LoadBoardMessage::new(9);
    let mut next = 0;
    message.push_load(&mut next, 4, [31, 32]);
    message.push_load(&mut next, 400, [33, 34]);
    let customers = [
        (CustomerId(0x0102_0304_0506_0708), 2.5),
        (CustomerId(7), 1_000.0),
    ];
    message.set_customers(&customers);
    message
}

#[test_case(EMPTY, &LoadBoardMessage::default() ; "empty")]
#[test_case(ALL_FIELDS, &all_fields() ; "all fields")]
#[test_case(BUILT, &built() ; "built")]
fn a_load_board_message_keeps_its_bytes(bytes: &[u8], message: &LoadBoardMessage) {
    let decoded: LoadBoardMessage = postcard::from_bytes(bytes).expect("a load message");
    assert_eq!(decoded, *message);
    assert_eq!(message.encode(), bytes);
}

//! Which requests have the same key.

use lw_quarantine::PartKey;
use test_case::test_case;

type Fields = &'static [&'static str];

const FIELDS: Fields = &["GET", "a.example", "/x/1?n=2", "shop-north", "", "body"];

fn key(fields: Fields) -> PartKey {
    PartKey::of_request(fields.iter().map(|field| field.as_bytes()))
}

// Guards against a key that depends on the process or on the machine.
#[test]
fn a_request_has_the_same_key_on_every_host() {
    assert_eq!(key(FIELDS).to_string(), "007c246bc20cea42");
}

// Guards against sound requests that count as copies of another one.
#[test_case(&["POST", "a.example", "/x/1?n=2", "shop-north", "", "body"]; "another method")]
#[test_case(&["GET", "b.example", "/x/1?n=2", "shop-north", "", "body"]; "another host name")]
#[test_case(&["GET", "a.example", "/x/2?n=2", "shop-north", "", "body"]; "another path")]
#[test_case(&["GET", "a.example", "/x/1?n=3", "shop-north", "", "body"]; "another query")]
#[test_case(&["GET", "a.example", "/x/1?n=2", "shop-south", "", "body"]; "another caller")]
#[test_case(&["GET", "a.example", "/x/1?n=2", "shop-north", "p:4", "body"]; "another prompt")]
#[test_case(&["GET", "a.example", "/x/1?n=2", "shop-north", "", "Body"]; "another body")]
#[test_case(&["GET", "a.example", "/x/1?n=2", "", "shop-north", "body"]; "the caller in the next field")]
#[test_case(&["GET", "a.example", "/x/1?n=2", "shop-north", "body", ""]; "the body in the field before")]
#[test_case(&["GET", "a.example", "/x/1?n=2shop", "-north", "", "body"]; "another boundary between fields")]
fn requests_with_other_fields_have_other_keys(fields: Fields) {
    assert_ne!(key(fields), key(FIELDS));
}

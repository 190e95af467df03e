//! Parses documents: positions in errors, and line numbers of entities.

use lw_doc::{SourceMap, parse_document};
use test_case::test_case;

fn sample(name: &str) -> String {
    let path = format!("{}/../../samples/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the sample exists")
}

/// Guards against an error whose position an operator cannot find in the file.
#[test_case("{\n \"format\": 1,\n \"regionz\": {}\n}", 3, "unknown field `regionz`, expected one of `format`"; "unknown section")]
#[test_case("{\n \"format\": 1, /* two\n lines */ \"regions\": 7\n}", 3, "expected a map"; "line after a block comment")]
#[test_case("{\n \"format\": 1,\n}", 3, "trailing comma"; "trailing comma")]
#[test_case("{ /* open", 1, "does not end"; "unterminated comment")]
fn errors_state_the_line_and_the_allowed_fields(text: &str, line: usize, part: &str) {
    let error = parse_document("a.json", text).expect_err("the text is invalid");
    assert_eq!((error.file.as_str(), error.line), ("a.json", line));
    assert!(error.message.contains(part), "{error}");
}

/// Guards against a second entity that silently replaces the first one of the same name.
#[test]
fn a_duplicate_name_is_reported() {
    let text = "{\"format\": 1, \"customers\": {\n\"a\": {},\n\"a\": {\"requests_per_s\": 2}}}";
    let parsed = parse_document("a.json", text).expect("the syntax is valid");
    assert_eq!(parsed.source.duplicates(), [("customers/a".to_owned(), 3)]);
}

/// Guards against line numbers that point to another entity.
#[test]
fn entities_and_fields_have_line_numbers() {
    let text = "// head\n{\"format\": 1,\n\"customers\": {\n\"a\": {},\n\"b\": {\n\"requests_per_s\": 2}}}";
    let source: SourceMap = parse_document("a.json", text)
        .expect("the text is valid")
        .source;
    assert_eq!(source.line("customers/a"), Some(4));
    assert_eq!(source.line("customers/b/requests_per_s"), Some(6));
    assert_eq!(source.line("customers/b/absent"), Some(5));
    assert_eq!(source.line("nothing"), None);
}

/// Guards against a digest that changes when a document is serialised and parsed again.
#[test_case("sahyog.json")]
#[test_case("riad.json")]
fn canonical_bytes_survive_a_round_trip(name: &str) {
    let mut document = parse_document(name, &sample(name))
        .expect("the text is valid")
        .document;
    document.weights.cost = 0.1 + 0.2;
    let bytes = document.canonical_bytes();
    let text = String::from_utf8(bytes.clone()).expect("JSON is UTF-8");
    let again = parse_document(name, &text)
        .expect("the text is valid")
        .document;
    assert_eq!(again, document);
    assert_eq!(again.canonical_bytes(), bytes);
}

//! Download and upload of the document.

mod support;

use support::browser::Browser;
use support::store::Store;
use support::{console, sample};
use test_case::test_case;

/// Guards against a download that lacks the changes of the draft, or an upload that loses part of the document.
#[test]
fn a_download_can_be_edited_and_uploaded() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    browser.get("/console/customers/edit?name=foundry-12");
    browser.submit("/console/customers/save", &[("requests_per_s", "25")]);
    let draft = support::browser::form_inputs(&browser.page.body, "/console/draft");
    let file = browser.post("/console/document.json", draft).body.clone();
    let edited = file.replace("\"requests_per_s\": 5.0", "\"requests_per_s\": 6.0 // more");
    assert_ne!(file, edited);
    browser.get("/console/document");
    let page = browser.submit("/console/document/upload", &[("file", &edited)]);
    assert_eq!(page.status, 200, "{}", page.body);
    assert_eq!(browser.submit("/console/publish", &[]).status, 303);
    let mut expected = sample();
    for (name, rate) in [("foundry-12", 25.0), ("foundry-31", 6.0)] {
        expected
            .customers
            .get_mut(name)
            .expect("a customer")
            .requests_per_s = Some(rate);
    }
    assert_eq!(store.head().digest, expected.digest());
}

/// Guards against an outdated file that silently reverts revisions published since its download.
#[test]
fn an_old_file_conflicts_with_newer_revisions() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    let file = browser.get("/console/document.json").body.clone();
    browser.get("/console/customers/edit?name=foundry-12");
    browser.submit("/console/customers/save", &[("requests_per_s", "25")]);
    browser.open("/console/preview");
    browser.submit("/console/publish", &[]);
    let edited = file.replace("\"requests_per_s\": 5.0", "\"requests_per_s\": 6.0");
    browser.get("/console/document");
    assert_eq!(
        browser
            .submit("/console/document/upload", &[("text", &edited)])
            .status,
        409
    );
    assert_eq!(browser.submit("/console/rebase", &[]).status, 200);
    assert_eq!(browser.submit("/console/publish", &[]).status, 303);
    let document = store.head().document;
    assert_eq!(document.customers["foundry-12"].requests_per_s, Some(25.0));
    assert_eq!(document.customers["foundry-31"].requests_per_s, Some(6.0));
}

/// Guards against accepting invalid files, and against errors without the line number.
#[test_case("{\n\"format\": 1,\n\"regionz\": {}}", "line 3, column 9: unknown field `regionz`"; "unknown field")]
#[test_case("{\n\"format\": 1", "line 2"; "truncated file")]
#[test_case("{\"format\": 1, /* open", "comment"; "unterminated comment")]
#[test_case("{\n\"format\": 1,\n\"regions\": {\n\"a\": {\"zones\": []}}}", "regions/a/zones (line 4): the list is empty"; "empty list of zones")]
#[test_case("{\"format\": 2}", "format (line 1): format 2 is not supported"; "unsupported format")]
#[test_case("\n{\"format\": 2}", "format (line 2): format 2 is not supported"; "leading line break")]
#[test_case(" \n", "Nothing was uploaded"; "blank text")]
fn errors_of_invalid_files_name_the_line(text: &str, expected: &str) {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    browser.get("/console/document");
    let page = browser.submit("/console/document/upload", &[("text", text)]);
    assert_eq!(page.status, 422);
    assert!(page.body.contains(expected), "{}", page.body);
    let shown = support::browser::form_inputs(&page.body, "/console/document/upload");
    assert_eq!(shown.get("text"), text, "the uploaded text is shown again");
}

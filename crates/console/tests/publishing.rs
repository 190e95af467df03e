//! Publishing: previews, warnings, conflicts, rollbacks and failures.

mod support;

use std::sync::Arc;

use support::browser::{Browser, form_inputs};
use support::store::{FailureMode, Store};
use support::{console, sample};

/// Removes the column names and the line breaks between tags.
fn compact(html: &str) -> String {
    let mut parts = html.split(" data-name=\"");
    let mut text = parts.next().unwrap_or("").to_owned();
    for part in parts {
        text.push_str(part.split_once('"').map_or("", |(_, rest)| rest));
    }
    text.replace(">\n<", "><")
}

fn two_operators(store: &Arc<Store>) -> (Browser, Browser) {
    // Each request may reach another host, which has the same operators and key.
    let asha = Browser::signed_in(console(store), "asha");
    let karim = Browser::signed_in(console(store), "karim");
    (asha, karim)
}

fn set_rate_limit(browser: &mut Browser, customer: &str, rate: &str) {
    browser.get(&format!("/console/customers/edit?name={customer}"));
    save_rate_limit(browser, rate);
}

fn save_rate_limit(browser: &mut Browser, rate: &str) {
    let typed = [("requests_per_s", rate)];
    let page = browser.submit("/console/customers/save", &typed);
    assert_eq!(page.status, 200, "{}", page.body);
}

fn publish(browser: &mut Browser) -> u16 {
    assert_eq!(browser.open("/console/preview").status, 200);
    browser.submit("/console/publish", &[]).status
}

fn rate(store: &Store, customer: &str) -> Option<f64> {
    store.head().document.customers[customer].requests_per_s
}

/// Guards against losing edits between pages and hosts before they are published together.
#[test]
fn several_edits_become_one_revision() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    set_rate_limit(&mut browser, "foundry-12", "25");
    browser.console = console(&store);
    browser.open("/console/targets/new?copy_of=mp-01");
    let typed = [("name", "mp-04"), ("address", "127.0.0.1:9122")];
    assert_eq!(browser.submit("/console/targets/save", &typed).status, 200);
    browser.console = console(&store);
    browser.open("/console/customers/remove?name=clerks-vadodara");
    assert_eq!(
        browser.submit("/console/customers/removed", &[]).status,
        200
    );
    browser.open("/console/customers?q=foundry");
    assert!(browser.page.body.contains("requests_per_s: 25"));
    browser.open("/console/preview");
    for part in ["requests_per_s", "mp-04", "customers/clerks-vadodara"] {
        assert!(browser.page.body.contains(part), "{part}");
    }
    browser.submit("/console/publish", &[]);
    assert_eq!(
        browser.page.header("location"),
        Some("/console?published=2")
    );
    let document = store.head().document;
    assert_eq!(document.customers["foundry-12"].requests_per_s, Some(25.0));
    assert_eq!(document.targets["mp-04"].slots, 64);
    assert!(!document.customers.contains_key("clerks-vadodara"));
    assert_eq!(store.head().revision, 2);
    assert!(
        browser
            .get("/console/audit")
            .body
            .contains("published as revision 2")
    );
}

/// Guards against changes that cannot be removed from a draft.
#[test]
fn changes_of_a_draft_can_be_undone() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    set_rate_limit(&mut browser, "foundry-12", "25");
    browser.open("/console/customers/edit?name=foundry-31");
    save_rate_limit(&mut browser, "6");
    browser.submit("/console/draft/undo", &[("path", "customers/foundry-12")]);
    assert!(!browser.page.body.contains("customers/foundry-12"));
    assert!(browser.page.body.contains("customers/foundry-31"));
    browser.submit("/console/draft/discard", &[]);
    assert!(browser.page.body.contains("The draft has no changes."));
}

/// Guards against one operator overwriting the changes that another published from the same base.
#[test]
fn the_second_operator_sees_the_conflict_and_keeps_the_draft() {
    let store = Store::new(sample());
    let (mut asha, mut karim) = two_operators(&store);
    set_rate_limit(&mut asha, "foundry-12", "25");
    karim.get("/console/customers/edit?name=foundry-12");
    let typed = [("requests_per_s", "30"), ("home_region", "")];
    karim.submit("/console/customers/save", &typed);
    karim.open("/console/preview");
    let warning = "customers/foundry-12/home_region: the customer's home region changes";
    assert_eq!(publish(&mut asha), 303);
    // The preview was opened before the other operator published.
    karim.submit("/console/publish", &[("confirm", warning)]);
    assert_eq!(karim.page.status, 409);
    let body = karim.page.body.clone();
    for part in [
        "revision 2 is in force",
        "<td>20.0</td><td>25.0</td><td>30.0</td>",
    ] {
        let compact = compact(&body);
        assert!(compact.contains(part), "{part}: {compact}");
    }
    assert_eq!(rate(&store, "foundry-12"), Some(25.0));
    assert_eq!(karim.submit("/console/rebase", &[]).status, 200);
    karim.submit("/console/publish", &[]);
    assert_eq!(
        karim.page.status, 422,
        "the warning needs a confirmation again"
    );
    assert_eq!(
        karim
            .submit("/console/publish", &[("confirm", warning)])
            .status,
        303
    );
    assert_eq!(rate(&store, "foundry-12"), Some(30.0));
    assert_eq!(
        store.head().document.customers["foundry-12"].home_region,
        None
    );
}

/// Guards against a draft that reverts fields of the same entity that only the other operator changed.
#[test]
fn fields_that_only_others_changed_are_kept() {
    let store = Store::new(sample());
    let (mut asha, mut karim) = two_operators(&store);
    set_rate_limit(&mut asha, "print-shop-9", "99");
    // The form was opened before the other operator published and is saved afterwards.
    karim.get("/console/customers/edit?name=print-shop-9");
    assert_eq!(publish(&mut asha), 303);
    let typed = [("home_region", "gujarat-east")];
    assert_eq!(karim.submit("/console/customers/save", &typed).status, 200);
    assert_eq!(karim.open("/console/preview").status, 409);
    assert!(karim.page.body.contains("no field was changed by both"));
    assert_eq!(karim.submit("/console/rebase", &[]).status, 200);
    assert_eq!(karim.submit("/console/publish", &[]).status, 303);
    let document = store.head().document;
    let customer = &document.customers["print-shop-9"];
    assert_eq!(customer.requests_per_s, Some(99.0));
    assert_eq!(customer.home_region.as_deref(), Some("gujarat-east"));
}

/// Guards against applying a removal that conflicts with another change without showing the conflict.
#[test]
fn removing_an_entity_changed_by_another_operator_is_a_conflict() {
    let store = Store::new(sample());
    let (mut asha, mut karim) = two_operators(&store);
    karim.get("/console/customers/remove?name=print-shop-9");
    karim.submit("/console/customers/removed", &[]);
    set_rate_limit(&mut asha, "print-shop-9", "99");
    assert_eq!(publish(&mut asha), 303);
    assert_eq!(karim.open("/console/preview").status, 409);
    let compact = compact(&karim.page.body);
    assert!(
        compact.contains("<td>10.0</td><td>99.0</td><td>none</td>"),
        "{compact}"
    );
}

/// Guards against a draft that cannot be published when its base is no longer stored.
#[test]
fn a_draft_can_be_rebased_without_its_base() {
    let store = Store::new(sample());
    let (mut asha, mut karim) = two_operators(&store);
    set_rate_limit(&mut karim, "foundry-31", "7");
    set_rate_limit(&mut asha, "foundry-12", "25");
    assert_eq!(publish(&mut asha), 303);
    store.state().lowest_stored_revision = 2;
    assert_eq!(karim.open("/console/preview").status, 409);
    assert!(karim.page.body.contains("not available any more"));
    assert_eq!(karim.submit("/console/rebase", &[]).status, 200);
    assert_eq!(karim.submit("/console/publish", &[]).status, 303);
    assert_eq!(
        (rate(&store, "foundry-12"), rate(&store, "foundry-31")),
        (Some(25.0), Some(7.0))
    );
}

/// Guards against publishing dangerous changes before every warning is confirmed.
#[test]
fn each_warning_requires_confirmation() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    browser.get("/console/customers/remove?name=foundry-12");
    browser.submit("/console/customers/removed", &[]);
    for target in ["mp-02", "mp-03"] {
        browser.open(&format!("/console/targets/remove?name={target}"));
        browser.submit("/console/targets/removed", &[]);
    }
    browser.open("/console/preview");
    let page = browser.page.body.clone();
    let boxes = page.split("name=\"confirm\" value=\"").skip(1);
    let warnings: Vec<String> = boxes
        .map(|rest| support::browser::unescape(&rest[..rest.find('"').expect("an end")]))
        .collect();
    assert!(warnings.len() >= 3, "{warnings:?}");
    assert_eq!(browser.submit("/console/publish", &[]).status, 422);
    let mut confirmed: Vec<(&str, &str)> = Vec::new();
    for (index, warning) in warnings.iter().enumerate() {
        let page = browser.submit("/console/publish", &confirmed);
        assert_eq!(page.status, 422, "{index} of {} confirmed", warnings.len());
        assert_eq!(
            page.body.matches(" checked>").count(),
            index,
            "confirmations are kept"
        );
        confirmed.push(("confirm", warning));
    }
    assert_eq!(store.head().revision, 1);
    assert_eq!(browser.submit("/console/publish", &confirmed).status, 303);
    assert_eq!(store.head().revision, 2);
}

/// Guards against a rollback that skips the preview, or that publishes another document than the earlier one.
#[test]
fn a_rollback_publishes_the_earlier_document_as_a_new_revision() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    for rate in ["21", "22"] {
        set_rate_limit(&mut browser, "foundry-12", rate);
        assert_eq!(publish(&mut browser), 303);
    }
    browser.get("/console/revision?revision=1");
    assert_eq!(browser.submit("/console/revision/return", &[]).status, 200);
    assert!(browser.page.body.contains("requests_per_s"));
    assert_eq!(
        store.head().revision,
        3,
        "nothing is published before the preview is confirmed"
    );
    browser.submit("/console/publish", &[]);
    assert_eq!(
        (store.head().revision, store.head().digest),
        (4, sample().digest())
    );
    assert_eq!(browser.get("/console/revision?revision=9").status, 404);
    set_rate_limit(&mut browser, "foundry-12", "23");
    browser.open("/console/revision?revision=2");
    let page = browser.submit("/console/revision/return", &[]);
    assert_eq!(page.status, 409, "a draft with changes is not discarded");
    assert!(
        form_inputs(&page.body, "/console/draft")
            .get("draft")
            .contains("foundry-12")
    );
}

/// Guards against lost drafts and wrong outcomes when the store fails.
#[test]
fn failures_of_the_store_keep_the_draft() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    set_rate_limit(&mut browser, "foundry-12", "25");
    store.set_failure_mode(FailureMode::Down);
    assert_eq!(browser.open("/console/preview").status, 503);
    assert!(
        form_inputs(&browser.page.body, "/console/draft")
            .get("draft")
            .contains("foundry-12")
    );
    store.set_failure_mode(FailureMode::Refuses);
    browser.open("/console/preview");
    let page = browser.submit("/console/publish", &[]);
    assert_eq!(page.status, 503);
    assert!(page.body.contains("Nothing was published"));
    store.set_failure_mode(FailureMode::LosesReply);
    let page = browser.submit("/console/publish", &[]);
    assert!(page.body.contains("outcome is not known"));
    assert_eq!(store.head().revision, 2);
    assert_eq!(
        browser.submit("/console/publish", &[]).status,
        303,
        "the same operation"
    );
    assert_eq!(store.head().revision, 2);
}

/// Guards against publishing a second revision when the browser sends the same form twice.
#[test]
fn a_form_that_is_sent_twice_publishes_once() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    set_rate_limit(&mut browser, "foundry-12", "25");
    browser.open("/console/preview");
    let body = form_inputs(&browser.page.body, "/console/publish");
    for _ in 0..2 {
        let page = browser.post("/console/publish", body.clone());
        assert_eq!(page.header("location"), Some("/console?published=2"));
    }
    assert_eq!(store.head().revision, 2);
}

/// Guards against publishing a draft that invalidates other parts of the document.
#[test]
fn an_invalid_draft_is_kept_but_not_published() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    browser.get("/console/regions/remove?name=saurashtra");
    let page = browser.submit("/console/regions/removed", &[]);
    assert!(page.body.contains("no region is named `saurashtra`"));
    assert_eq!(browser.open("/console/preview").status, 422);
    assert!(!browser.page.body.contains("action=\"/console/publish\""));
    // The page has no publish button; a forged form post is rejected as well.
    let session = browser.cookie.clone().expect("signed in");
    let session = lw_console::auth::Session::read(
        &session,
        &support::key(),
        &support::operators(),
        browser.now,
    );
    let token = session
        .expect("signed in")
        .token(&support::key(), lw_console::auth::FormId::Publish);
    let mut body = lw_console::Inputs::default()
        .with("token", token)
        .with("operation", "5f0c5cf1-4d3c-4b39-9f39-000000000001");
    for (name, value) in form_inputs(&browser.page.body, "/console/draft").iter() {
        if name != "token" {
            body.push(name, value);
        }
    }
    assert_eq!(browser.post("/console/publish", body).status, 422);
    assert_eq!(store.head().revision, 1);
}

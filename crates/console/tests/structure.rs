//! Page structure: keyboard and screen reader access, and lists with 38,000 customers.

mod support;

use std::collections::HashSet;

use lw_console::Section;
use lw_doc::{CustomerEntry, PlannedStopEntry};
use support::browser::{Browser, attribute};
use support::store::Store;
use support::{console, sample};

/// Checks that a page has labels, one heading, valid link targets and a skip link.
fn check_structure(html: &str, context: &str) {
    assert!(html.contains("<html lang=\"en\">"), "{context}");
    assert_eq!(html.matches("<h1>").count(), 1, "{context}");
    let first_link = html.find("href=").expect("a link");
    assert!(
        html[first_link..].starts_with("href=\"#main\""),
        "{context}: skip link first"
    );
    assert!(
        html.contains("<main id=\"main\" tabindex=\"-1\">"),
        "{context}"
    );
    let tags: Vec<&str> = html.split('<').skip(1).collect();
    let ids: Vec<String> = tags.iter().filter_map(|tag| attribute(tag, "id")).collect();
    let unique: HashSet<&String> = ids.iter().collect();
    assert_eq!(ids.len(), unique.len(), "{context}: repeated ids {ids:?}");
    let labelled: HashSet<String> = tags
        .iter()
        .filter_map(|tag| attribute(tag, "for"))
        .collect();
    let mut in_label = false;
    for tag in &tags {
        in_label = (in_label || tag.starts_with("label")) && !tag.starts_with("/label");
        let control = ["input ", "select ", "textarea "]
            .iter()
            .any(|name| tag.starts_with(name));
        if control && attribute(tag, "type").as_deref() != Some("hidden") {
            let id = attribute(tag, "id");
            let named = id.is_some_and(|id| labelled.contains(&id));
            assert!(in_label || named, "{context}: no label for <{tag}");
        }
        for id in attribute(tag, "aria-describedby")
            .unwrap_or_default()
            .split_whitespace()
        {
            assert!(
                unique.contains(&id.to_owned()),
                "{context}: no element {id}"
            );
        }
        if let Some(id) =
            attribute(tag, "href").and_then(|href| href.strip_prefix('#').map(str::to_owned))
        {
            assert!(unique.contains(&id), "{context}: no element {id}");
        }
        let form = attribute(tag, "form");
        assert!(
            form.is_none_or(|form| unique.contains(&form)),
            "{context}: no form for <{tag}"
        );
        assert!(
            !tag.starts_with("th ") || tag.contains("scope="),
            "{context}: <{tag}"
        );
        assert!(
            attribute(tag, "tabindex").is_none_or(|index| index == "-1"),
            "{context}: <{tag}"
        );
        for name in ["href", "action", "formaction"] {
            let inside = |path: String| path.starts_with("/console") || path.starts_with('#');
            assert!(attribute(tag, name).is_none_or(inside), "{context}: <{tag}");
        }
    }
    assert_eq!(
        html.matches("<table").count(),
        html.matches("<caption>").count(),
        "{context}"
    );
    check_tags_are_balanced(&tags, context);
}

fn check_tags_are_balanced(tags: &[&str], context: &str) {
    let mut open: Vec<&str> = Vec::new();
    for tag in tags.iter().filter(|tag| !tag.starts_with('!')) {
        let name = tag.split([' ', '>']).next().unwrap_or("");
        match name.strip_prefix('/') {
            Some(name) => assert_eq!(open.pop(), Some(name), "{context}: <{tag}"),
            None if ["input", "meta", "br"].contains(&name) => {}
            None => {
                assert!(
                    name != "form" || !open.contains(&"form"),
                    "{context}: nested form"
                );
                open.push(name);
            }
        }
    }
    assert_eq!(open, Vec::<&str>::new(), "{context}");
}

/// Guards against pages that do not work with a keyboard or a screen reader.
#[test]
fn pages_can_be_used_without_a_pointer() {
    let mut document = sample();
    let stop = |start: &str| PlannedStopEntry {
        targets: vec!["ga-01".into()],
        start: start.into(),
        ..PlannedStopEntry::default()
    };
    document
        .planned_stops
        .insert("now".into(), stop("2026-12-03T19:00:00Z"));
    document
        .planned_stops
        .insert("next".into(), stop("2026-12-04T19:00:00Z"));
    let store = Store::new(document);
    let mut browser = Browser::signed_in(console(&store), "asha");
    let mut paths: Vec<String> = [
        "",
        "/draft",
        "/preview",
        "/audit",
        "/revisions",
        "/document",
    ]
    .map(|path| format!("/console{path}"))
    .into();
    paths.push("/console/revision?revision=1".into());
    paths.push("/console/planned-stops/now".into());
    for section in Section::ALL {
        let slug = section.slug();
        paths.push(format!("/console/{slug}"));
        let document = store.head().document;
        let names = section.names(&document);
        paths.push(format!("/console/{slug}/edit?name={}", names[0]));
        if section.has_names() {
            paths.push(format!("/console/{slug}/new"));
            paths.push(format!("/console/{slug}/remove?name={}", names[0]));
        }
    }
    let mut checked = 0;
    for path in &paths {
        assert_eq!(browser.get(path).status, 200, "{path}");
        check_structure(&browser.page.body, path);
        checked += 1;
    }
    // Repeat every page with a draft, which turns links into buttons.
    browser.get("/console/customers/edit?name=foundry-12");
    browser.submit("/console/customers/save", &[("home_region", "")]);
    let draft = browser.page.clone();
    for path in &paths {
        browser.page = draft.clone();
        assert_eq!(browser.open(path).status, 200, "{path} with a draft");
        check_structure(&browser.page.body, path);
        checked += 1;
    }
    browser.page = draft.clone();
    browser.open("/console/targets/new");
    browser.submit("/console/targets/save", &[("name", "a b"), ("slots", "x")]);
    check_structure(&browser.page.body, "a form with faults");
    browser.cookie = None;
    for path in ["/console/sign-in", "/nowhere"] {
        browser.get(path);
        check_structure(&browser.page.body, path);
    }
    println!("{} pages", checked + 3);
}

/// Guards against list pages whose size grows with the document, and against customers that no page lists.
#[test]
fn large_customer_lists_are_searched_and_paged() {
    let mut document = sample();
    document.customers.clear();
    for number in 0..38_000 {
        let name = format!("customer-{number:05}");
        document.customers.insert(name, CustomerEntry::default());
    }
    let store = Store::new(document);
    let mut browser = Browser::signed_in(console(&store), "asha");
    let first = browser.get("/console/customers").body.clone();
    assert!(first.contains("38000 of 38000 shown, page 1 of 760"));
    let rows = |html: &str| html.matches("<th scope=\"row\">").count();
    assert_eq!(rows(&first), 50);
    assert!(first.len() < 64 * 1024, "{} bytes", first.len());
    let last = browser.get("/console/customers?page=760").body.clone();
    assert!(last.contains("customer-37999") && rows(&last) == 50);
    assert!(
        browser
            .get("/console/customers?page=999999999")
            .body
            .contains("page 760 of 760")
    );
    assert!(
        browser
            .get("/console/customers?page=-1")
            .body
            .contains("page 1 of 760")
    );
    let found = browser.get("/console/customers?q=ER-0123").body.clone();
    assert!(found.contains("10 of 38000 shown, page 1 of 1") && rows(&found) == 10);
    browser.get("/console/customers/edit?name=customer-01234");
    let page = browser.submit("/console/customers/save", &[("requests_per_s", "3")]);
    assert!(page.body.len() < 64 * 1024, "a draft contains only changes");
    browser.open("/console/preview");
    assert_eq!(browser.submit("/console/publish", &[]).status, 303);
}

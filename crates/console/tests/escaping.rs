//! Text from documents and users is always escaped.

mod support;

use std::sync::Arc;

use lw_console::Section;
use lw_console::backend::{AuditOutcome, AuditRow};
use lw_console::html::{Html, element};
use lw_doc::{CustomerEntry, ModelEntry, PlannedStopEntry, RegionEntry};
use support::browser::{Browser, form_inputs, unescape};
use support::store::Store;
use support::{NOW, console, sample};

const HOSTILE: [&str; 5] = [
    "<script>alert(1)</script>",
    "\"><img src=x onerror=alert(1)>",
    "' onfocus=alert(1) autofocus='",
    "</textarea></style></title><b>&lt;",
    "a\r\n\u{0}\u{1b}\u{202e}b",
];

/// Guards against text that becomes markup, or attribute values that end their quotes.
#[test]
fn the_builder_escapes_text_and_attributes() {
    for text in HOSTILE {
        let html = Html::from(
            element("p")
                .attr("title", text)
                .text(text)
                .child(Html::new().text(text)),
        );
        let html = html.as_str();
        assert_eq!(html.matches('<').count(), 2, "{html}");
        assert_eq!(html.matches('>').count(), 2, "{html}");
        assert_eq!(html.matches('"').count(), 2, "{html}");
        assert_eq!(html.matches('\'').count(), 0, "{html}");
        assert!(!html.contains(['\u{0}', '\u{1b}']), "{html}");
    }
    assert_eq!(unescape(Html::new().text(HOSTILE[1]).as_str()), HOSTILE[1]);
}

fn hostile_store() -> Arc<Store> {
    let mut document = sample();
    let template = document.targets["ga-01"].clone();
    let service = document.services["member-portal"].clone();
    for text in HOSTILE {
        let name = text.to_owned();
        document.targets.insert(name.clone(), template.clone());
        document.services.insert(name.clone(), service.clone());
        let customer = CustomerEntry {
            home_region: Some(name.clone()),
            key_digest: name.clone(),
            ..CustomerEntry::default()
        };
        document.customers.insert(name.clone(), customer);
        let region = RegionEntry {
            zones: vec![name.clone()],
            delay_ms: [(name.clone(), 1.0)].into(),
        };
        document.regions.insert(name.clone(), region);
        let stop = PlannedStopEntry {
            hosts: vec![name.clone()],
            start: "2026-12-03T19:00:00Z".into(),
            end: None,
            ..PlannedStopEntry::default()
        };
        document.planned_stops.insert(name.clone(), stop);
        document
            .engine
            .models
            .insert(name.clone(), ModelEntry { version: name });
    }
    let store = Store::new(document);
    for text in HOSTILE {
        store.add_row(AuditRow {
            at: NOW,
            operator: text.into(),
            base_revision: 1,
            outcome: AuditOutcome::Refused {
                reason: text.into(),
            },
            changed_paths: Some(vec![text.into()]),
        });
    }
    store
}

fn assert_escaped(html: &str, context: &str) {
    for part in [
        "<script",
        "<img",
        "<b>",
        " onfocus=alert(1) autofocus='",
        "\u{0}",
        "\u{1b}",
    ] {
        assert!(!html.contains(part), "{context} contains {part}");
    }
    assert_eq!(html.matches("<style").count(), 1, "{context}");
    assert_eq!(html.matches("<title").count(), 1, "{context}");
}

/// Guards against pages that output a hostile name, value, operator name or query as markup.
#[test]
fn pages_escape_all_text() {
    let store = hostile_store();
    let mut browser = Browser::signed_in(console(&store), "asha");
    let mut pages = 0;
    let mut check_page = |browser: &mut Browser, path: &str| {
        let page = browser.get(path);
        assert!([200, 303, 404, 422].contains(&page.status), "{path}");
        assert_escaped(&page.body, path);
        pages += 1;
    };
    for path in [
        "/console",
        "/console/audit",
        "/console/revisions",
        "/console/draft",
        "/console/document",
    ] {
        check_page(&mut browser, path);
    }
    for section in Section::ALL {
        check_page(&mut browser, &format!("/console/{}", section.slug()));
        for text in HOSTILE {
            let query = lw_console::Inputs::default()
                .with("name", text)
                .with("q", text)
                .with("copy_of", text);
            for action in ["", "/edit", "/new", "/remove"] {
                check_page(
                    &mut browser,
                    &format!("/console/{}{action}?{}", section.slug(), query.encode()),
                );
            }
        }
    }
    println!("{pages} pages");
}

/// Guards against hostile text that is output as markup, or altered when it passes through a form and a draft.
#[test]
fn typed_text_survives_forms_unchanged() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    for text in &HOSTILE[..4] {
        browser.get("/console/targets/new");
        let page = browser.submit(
            "/console/targets/save",
            &[("name", text), ("address", text)],
        );
        assert_eq!(page.status, 422);
        assert_escaped(&page.body, text);
        let shown = form_inputs(&page.body, "/console/targets/save");
        assert_eq!((shown.get("name"), shown.get("address")), (*text, *text));
        let mut visitor = Browser::new(browser.console.clone());
        visitor.get("/console/sign-in");
        visitor.submit("/console/sign-in", &[("operator", text), ("then", text)]);
        assert_escaped(&visitor.page.body, text);
        let upload = [("text", *text)];
        browser.get("/console/document");
        let page = browser.submit("/console/document/upload", &upload);
        assert_escaped(&page.body, text);
        assert_eq!(
            form_inputs(&page.body, "/console/document/upload").get("text"),
            *text
        );
    }
}

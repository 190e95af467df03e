//! The console with the configuration crate and a simulated key-value service.

mod support;

use std::sync::Arc;

use lw_base::MonoMs;
use lw_conf::{ReplicaDriver, ReplicaDriverParts};
use lw_console::answers::Console;
use lw_console::backend::{Backend, ConfBackendDeps};
use lw_stand::FakeKv;
use support::browser::Browser;
use support::{key, operators, sample};

/// Returns the console of one host; all hosts share the key-value service.
fn host(fake_kv: &FakeKv, name: &str) -> Arc<Console> {
    let parts = ReplicaDriverParts {
        kv: fake_kv.kv(),
        send: Box::new(|_, _| {}),
        now: Box::new(|| MonoMs(0)),
        random: Box::new(|| 4),
    };
    let backend = Backend::from_conf(ConfBackendDeps {
        replica: ReplicaDriver::new(name, parts),
        kv: fake_kv.kv(),
        status: Arc::new(Vec::new),
        gateway_addresses: Arc::new(Vec::new),
    });
    Arc::new(Console::new(operators(), key(), backend))
}

fn set_rate_limit(browser: &mut Browser, rate: &str) {
    browser.get("/console/customers/edit?name=foundry-12");
    browser.submit("/console/customers/save", &[("requests_per_s", rate)]);
    assert_eq!(browser.page.status, 200);
}

fn publish_first_revision(fake_kv: &FakeKv) -> Browser {
    let mut browser = Browser::signed_in(host(fake_kv, "host-1"), "asha");
    let text = serde_json::to_string(&sample()).expect("the sample serializes to JSON");
    browser.get("/console/document");
    browser.submit("/console/document/upload", &[("text", &text)]);
    let page = browser.submit("/console/publish", &[]);
    assert_eq!(page.header("location"), Some("/console?published=1"));
    browser
}

/// Guards against forms that fail while no revision is published yet.
#[test]
fn the_first_revision_can_be_created_with_forms() {
    let fake_kv = FakeKv::default();
    let mut browser = Browser::signed_in(host(&fake_kv, "host-1"), "asha");
    assert!(
        browser
            .get("/console")
            .body
            .contains("No revision is published yet.")
    );
    browser.get("/console/regions/new");
    let typed = [("name", "kutch"), ("zones", "bhuj-1")];
    assert_eq!(browser.submit("/console/regions/save", &typed).status, 200);
    assert_eq!(browser.open("/console/preview").status, 200);
    let page = browser.submit("/console/publish", &[]);
    assert_eq!(
        page.header("location"),
        Some("/console?published=1"),
        "{}",
        page.body
    );
    assert!(browser.get("/console/regions").body.contains("bhuj-1"));
}

/// Guards against losing conflicts, rollbacks or audit records between the console and the store.
#[test]
fn conflicts_and_rollbacks_work_across_two_hosts() {
    let fake_kv = FakeKv::default();
    let mut asha = publish_first_revision(&fake_kv);
    let mut karim = Browser::signed_in(host(&fake_kv, "host-2"), "karim");
    set_rate_limit(&mut asha, "25");
    set_rate_limit(&mut karim, "30");
    karim.open("/console/preview");
    asha.open("/console/preview");
    let page = asha.submit("/console/publish", &[]);
    assert_eq!(page.header("location"), Some("/console?published=2"));
    assert_eq!(karim.submit("/console/publish", &[]).status, 409);
    assert!(karim.page.body.contains("revision 2 is in force"));
    assert_eq!(karim.submit("/console/rebase", &[]).status, 200);
    let page = karim.submit("/console/publish", &[]);
    assert_eq!(page.header("location"), Some("/console?published=3"));
    // The first host has not loaded revision 3 yet and reads it from the key-value service.
    assert!(
        asha.get("/console/customers?q=foundry-12")
            .body
            .contains("requests_per_s: 30")
    );
    asha.get("/console/revision?revision=1");
    assert_eq!(asha.submit("/console/revision/return", &[]).status, 200);
    let page = asha.submit("/console/publish", &[]);
    assert_eq!(
        page.header("location"),
        Some("/console?published=4"),
        "{}",
        page.body
    );
    let audit = asha.get("/console/audit").body.clone();
    assert_eq!(
        audit.matches(">published as revision ").count(),
        4,
        "{audit}"
    );
    assert!(
        audit.contains("refused: revision 2 was published since"),
        "{audit}"
    );
}

/// Guards against lost drafts and wrong outcomes while the key-value service fails.
#[test]
fn outages_and_lost_replies_are_reported() {
    let fake_kv = FakeKv::default();
    let mut asha = publish_first_revision(&fake_kv);
    set_rate_limit(&mut asha, "25");
    asha.open("/console/preview");
    fake_kv.set_outage(true);
    let page = asha.submit("/console/publish", &[]);
    assert_eq!(page.status, 503);
    assert!(page.body.contains("Nothing was published"), "{}", page.body);
    assert_eq!(
        asha.open("/console/customers").status,
        200,
        "the host has the revision loaded"
    );
    asha.open("/console/preview");
    fake_kv.set_outage(false);
    fake_kv.drop_replies(1);
    asha.submit("/console/publish", &[]);
    assert_eq!(asha.page.header("location"), Some("/console?published=2"));
}

//! Form validation: which values are accepted, and at which field each error is shown.

mod support;

use lw_console::backend::StoredDocument;
use lw_console::draft::Draft;
use lw_console::forms::{FormSubmission, SubmitOutcome, blank, fill, read_time, show_time, submit};
use lw_console::{Inputs, Section};
use lw_doc::{Document, parse_rfc3339};
use support::browser::Browser;
use support::store::Store;
use support::{NOW, console, sample};
use test_case::test_case;

fn with_typed(inputs: &Inputs, typed: &[(&str, &str)]) -> Inputs {
    let mut result = Inputs::default();
    for (name, value) in inputs
        .iter()
        .filter(|(n, _)| !typed.iter().any(|(t, _)| t == n))
    {
        result.push(name, value);
    }
    for (name, value) in typed {
        result.push(name, *value);
    }
    result
}

fn submit_form(
    section: Section,
    stop_now: bool,
    base: &Document,
    inputs: &Inputs,
) -> SubmitOutcome {
    let gateway_addresses = ["127.0.0.1:8080".parse().expect("an address")];
    submit(FormSubmission {
        section,
        stop_now,
        base,
        draft: &Draft::empty(&StoredDocument::new(1, base.clone())),
        inputs,
        gateway_addresses: &gateway_addresses,
        now: NOW,
    })
    .expect("the draft is valid")
}

/// Guards against a form that alters an entity when it is opened and saved without edits.
#[test_case(Section::Services, "member-portal")]
#[test_case(Section::Regions, "gujarat-east")]
#[test_case(Section::Targets, "ga-01")]
#[test_case(Section::Customers, "foundry-12")]
#[test_case(Section::Customers, "clerks-vadodara")]
#[test_case(Section::Weights, "weights")]
#[test_case(Section::Models, "grade-assistant")]
#[test_case(Section::Audit, "audit")]
#[test_case(Section::PlannedStops, "week-3")]
fn saving_an_unedited_form_changes_nothing(section: Section, name: &str) {
    let mut base = sample();
    let stop = lw_doc::PlannedStopEntry {
        targets: vec!["ga-01".into()],
        start: "2026-12-03T20:00:30Z".into(),
        ..Default::default()
    };
    base.planned_stops.insert("week-3".into(), stop);
    let inputs = fill(section, &base, name).expect("the entity exists");
    let inputs = inputs.with("original", name);
    let SubmitOutcome::Accepted { draft, caused } = submit_form(section, false, &base, &inputs)
    else {
        panic!("the unedited form was rejected");
    };
    assert_eq!((draft.changes, caused), (vec![], vec![]));
}

const SERVICE: &[(&str, &str)] = &[("name", "pricing"), ("regions", "saurashtra")];
const TARGET: &[(&str, &str)] = &[
    ("name", "mp-09"),
    ("service", "member-portal"),
    ("zone", "rajkot-1"),
    ("address", "127.0.0.1:9901"),
];
const STOP: &[(&str, &str)] = &[("name", "week-4"), ("targets", "ga-01\nga-02")];

/// Guards against a form that rejects a valid new entity.
#[test_case(Section::Services, false, SERVICE)]
#[test_case(Section::Regions, false, &[("name", "kutch"), ("zones", "bhuj-1\n bhuj-2 "), ("delay_ms", "saurashtra 12.5")])]
#[test_case(Section::Targets, false, TARGET)]
#[test_case(Section::Customers, false, &[("name", "foundry.77"), ("requests_per_s", " 0.5 ")])]
#[test_case(Section::PlannedStops, false, STOP)]
#[test_case(Section::PlannedStops, true, &[("name", "now-1"), ("zones", "rajkot-1"), ("duration_min", "45")])]
fn valid_entities_are_accepted(section: Section, stop_now: bool, typed: &[(&str, &str)]) {
    let inputs = with_typed(&blank(section, NOW), typed);
    let submission = submit_form(section, stop_now, &sample(), &inputs);
    let SubmitOutcome::Accepted { draft, caused } = submission else {
        panic!("refused: {submission:?}");
    };
    assert_eq!((draft.changes.len(), caused.len()), (1, 0));
}

struct InvalidField {
    section: Section,
    base: &'static [(&'static str, &'static str)],
    typed: &'static [(&'static str, &'static str)],
    field: &'static str,
}

const fn invalid(
    section: Section,
    base: &'static [(&'static str, &'static str)],
    typed: &'static [(&'static str, &'static str)],
    field: &'static str,
) -> InvalidField {
    InvalidField {
        section,
        base,
        typed,
        field,
    }
}

const REGION: &[(&str, &str)] = &[("name", "kutch"), ("zones", "bhuj-1")];
const CUSTOMER: &[(&str, &str)] = &[("name", "foundry-77")];
const AUDIT: &[(&str, &str)] = &[("original", "audit"), ("keep_days", "30")];
const WEIGHTS: &[(&str, &str)] = &[("original", "weights")];
const MODEL: &[(&str, &str)] = &[("original", "grade-assistant"), ("version", "4")];

const INVALID_FIELDS: &[InvalidField] = &[
    invalid(Section::Services, SERVICE, &[("name", "")], "name"),
    invalid(Section::Services, SERVICE, &[("name", "a/b")], "name"),
    invalid(
        Section::Services,
        SERVICE,
        &[("name", "member-portal")],
        "name",
    ),
    invalid(Section::Services, SERVICE, &[("kind", "other")], "kind"),
    invalid(Section::Services, SERVICE, &[("priority", "")], "priority"),
    invalid(
        Section::Services,
        SERVICE,
        &[("regions", "nowhere")],
        "regions",
    ),
    invalid(
        Section::Services,
        SERVICE,
        &[("allowed_regions", "gujarat-east")],
        "regions",
    ),
    invalid(
        Section::Services,
        SERVICE,
        &[
            ("allowed_regions", "saurashtra"),
            ("allowed_regions", "nowhere"),
        ],
        "allowed_regions",
    ),
    invalid(
        Section::Services,
        SERVICE,
        &[("deadline_ms", "soon")],
        "deadline_ms",
    ),
    invalid(
        Section::Services,
        SERVICE,
        &[("deadline_ms", "600001")],
        "deadline_ms",
    ),
    invalid(
        Section::Services,
        SERVICE,
        &[("max_in_flight_per_target", "-1")],
        "max_in_flight_per_target",
    ),
    invalid(
        Section::Services,
        SERVICE,
        &[("queue_entries", "0")],
        "queue_entries",
    ),
    invalid(
        Section::Services,
        SERVICE,
        &[("queue_bytes", "99999999999999999999999")],
        "queue_bytes",
    ),
    invalid(
        Section::Services,
        SERVICE,
        &[("non_idempotent_methods", "post")],
        "non_idempotent_methods",
    ),
    invalid(Section::Regions, REGION, &[("name", "a b")], "name"),
    invalid(Section::Regions, REGION, &[("zones", " \n")], "zones"),
    invalid(Section::Regions, REGION, &[("zones", "rajkot-1")], "zones"),
    invalid(
        Section::Regions,
        REGION,
        &[("delay_ms", "saurashtra")],
        "delay_ms",
    ),
    invalid(
        Section::Regions,
        REGION,
        &[("delay_ms", "saurashtra NaN")],
        "delay_ms",
    ),
    invalid(
        Section::Regions,
        REGION,
        &[("delay_ms", "nowhere 5")],
        "delay_ms",
    ),
    invalid(
        Section::Regions,
        REGION,
        &[("delay_ms", "saurashtra 5\nsaurashtra 6")],
        "delay_ms",
    ),
    invalid(Section::Targets, TARGET, &[("name", "ga-01")], "name"),
    invalid(Section::Targets, TARGET, &[("service", "")], "service"),
    invalid(Section::Targets, TARGET, &[("zone", "nowhere")], "zone"),
    invalid(
        Section::Targets,
        TARGET,
        &[("address", "localhost:9")],
        "address",
    ),
    invalid(
        Section::Targets,
        TARGET,
        &[("address", "127.0.0.1:8080")],
        "address",
    ),
    invalid(
        Section::Targets,
        TARGET,
        &[("address", "127.0.0.1:9101")],
        "address",
    ),
    invalid(Section::Targets, TARGET, &[("slots", "1.5")], "slots"),
    invalid(Section::Customers, CUSTOMER, &[("name", "x y")], "name"),
    invalid(
        Section::Customers,
        CUSTOMER,
        &[("home_region", "nowhere")],
        "home_region",
    ),
    invalid(
        Section::Customers,
        CUSTOMER,
        &[("requests_per_s", "many")],
        "requests_per_s",
    ),
    invalid(
        Section::Customers,
        CUSTOMER,
        &[("requests_per_s", "inf")],
        "requests_per_s",
    ),
    invalid(
        Section::Customers,
        CUSTOMER,
        &[("requests_per_s", "0")],
        "requests_per_s",
    ),
    invalid(
        Section::Customers,
        CUSTOMER,
        &[("key_digest", "abc")],
        "key_digest",
    ),
    invalid(Section::Audit, AUDIT, &[("keep_days", "0")], ""),
    invalid(
        Section::Audit,
        AUDIT,
        &[("keep_days", "a month")],
        "keep_days",
    ),
    invalid(Section::Weights, WEIGHTS, &[("cost", "1.1")], "cost"),
    invalid(Section::Weights, WEIGHTS, &[("latency", "-0.1")], "latency"),
    invalid(
        Section::Weights,
        WEIGHTS,
        &[("cross_region", "")],
        "cross_region",
    ),
    invalid(
        Section::Weights,
        WEIGHTS,
        &[("cost", "0"), ("latency", "0"), ("cross_region", "0")],
        "",
    ),
    invalid(Section::PlannedStops, STOP, &[("targets", "")], ""),
    invalid(
        Section::PlannedStops,
        STOP,
        &[("targets", "ga-99")],
        "targets",
    ),
    invalid(
        Section::PlannedStops,
        STOP,
        &[("zones", "nowhere")],
        "zones",
    ),
    invalid(Section::PlannedStops, STOP, &[("hosts", "a b")], "hosts"),
    invalid(
        Section::PlannedStops,
        STOP,
        &[("start", "tomorrow")],
        "start",
    ),
    invalid(
        Section::PlannedStops,
        STOP,
        &[("start", "2026-02-30 10:00")],
        "start",
    ),
    invalid(
        Section::PlannedStops,
        STOP,
        &[("end", "2026-12-03 20:00+05:30")],
        "end",
    ),
    invalid(
        Section::PlannedStops,
        STOP,
        &[("end", "2026-12-03 19:00")],
        "end",
    ),
    invalid(Section::Models, MODEL, &[("version", "a b")], "version"),
    invalid(
        Section::Models,
        &[("version", "4")],
        &[("name", "member-portal")],
        "name",
    ),
    invalid(
        Section::Models,
        &[("version", "4")],
        &[("name", "")],
        "name",
    ),
];

/// Guards against accepting an invalid field, marking the wrong field, or losing the typed text.
#[test]
fn each_invalid_field_is_marked_and_keeps_its_text() {
    let store = Store::new(sample());
    for case in INVALID_FIELDS {
        let inputs = with_typed(&blank(case.section, NOW), case.base);
        let inputs = with_typed(&inputs, case.typed);
        let context = format!("{} {:?}", case.section.slug(), case.typed);
        let SubmitOutcome::Rejected { faults, .. } =
            submit_form(case.section, false, &sample(), &inputs)
        else {
            panic!("accepted: {context}");
        };
        let fields: Vec<&str> = faults
            .iter()
            .map(|f| f.field.as_deref().unwrap_or(""))
            .collect();
        assert!(
            fields.iter().all(|field| *field == case.field),
            "{context}: {faults:?}"
        );
        check_form_is_shown_again(&store, case, &inputs, &context);
    }
    println!("{} invalid fields", INVALID_FIELDS.len());
}

fn check_form_is_shown_again(
    store: &std::sync::Arc<Store>,
    case: &InvalidField,
    inputs: &Inputs,
    context: &str,
) {
    let mut browser = Browser::signed_in(console(store), "asha");
    let slug = case.section.slug();
    match inputs.get("original") {
        "" => browser.get(&format!("/console/{slug}/new")),
        name => browser.get(&format!("/console/{slug}/edit?name={name}")),
    };
    let typed: Vec<(&str, &str)> = inputs.iter().collect();
    let action = format!("/console/{slug}/save");
    let page = browser.submit(&action, &typed);
    assert_eq!(page.status, 422, "{context}");
    assert!(page.body.contains("role=\"alert\""), "{context}");
    if !case.field.is_empty() {
        let marked = format!(
            "id=\"f-{0}\" aria-invalid=\"true\" aria-describedby=\"f-{0}-fault",
            case.field
        );
        assert!(page.body.contains(&marked), "{context}: {}", page.body);
        assert!(
            page.body.contains(&format!("href=\"#f-{}\"", case.field)),
            "{context}"
        );
    }
    let shown = support::browser::form_inputs(&page.body, &action);
    for (name, value) in inputs.iter().filter(|(_, value)| !value.is_empty()) {
        assert!(
            shown.all(name).any(|v| v == value),
            "{context} lost {name}={value}: {shown:?}"
        );
    }
}

/// Guards against a page that reports only the first of several invalid fields.
#[test]
fn all_invalid_fields_are_reported_together() {
    let typed = [
        ("name", "a b"),
        ("address", "x"),
        ("slots", "y"),
        ("zone", "z"),
    ];
    let inputs = with_typed(&with_typed(&blank(Section::Targets, NOW), TARGET), &typed);
    let SubmitOutcome::Rejected { faults, .. } =
        submit_form(Section::Targets, false, &sample(), &inputs)
    else {
        panic!("accepted");
    };
    let mut fields: Vec<&str> = faults.iter().filter_map(|f| f.field.as_deref()).collect();
    fields.sort_unstable();
    assert_eq!(fields, ["address", "name", "slots", "zone"]);
}

/// Guards against a change that invalidates another part of the document without a report.
#[test]
fn faults_caused_in_other_entities_are_reported() {
    let base = sample();
    let inputs = fill(Section::Regions, &base, "saurashtra").expect("it exists");
    let inputs = with_typed(
        &inputs,
        &[("original", "saurashtra"), ("zones", "rajkot-2")],
    );
    let SubmitOutcome::Accepted { caused, .. } =
        submit_form(Section::Regions, false, &base, &inputs)
    else {
        panic!("refused");
    };
    assert!(
        caused
            .iter()
            .any(|fault| fault.path == "targets/mp-03/zone"),
        "{caused:?}"
    );
}

/// Guards against parsing times differently from how they are displayed.
#[test_case("2026-12-03 20:00", Some("2026-12-03T20:00:00Z"))]
#[test_case(" 2026-12-03T20:00:30Z ", Some("2026-12-03T20:00:30Z"))]
#[test_case("2026-12-03  20:00 Z", Some("2026-12-03T20:00:00Z"))]
#[test_case("2026-12-03", None)]
#[test_case("2026-12-03 24:30", None)]
#[test_case("2026-12-03 20:00:00+05:30", None)]
#[test_case("03.12.2026 20:00", None)]
#[test_case("", None)]
fn times_are_parsed_as_utc(typed: &str, expected: Option<&str>) {
    let read = read_time(typed);
    assert_eq!(read.as_deref(), expected);
    if let Some(read) = read {
        assert_eq!(read_time(&show_time(&read)), Some(read));
    }
}

/// Guards against a stop that does not start now or has another duration than the chosen one.
#[test_case("45", Some(45))]
#[test_case("0", None)]
#[test_case("10081", None)]
#[test_case("an hour", None)]
fn a_stop_started_now_has_the_chosen_duration(typed: &str, minutes: Option<u64>) {
    let inputs = Inputs::default()
        .with("name", "now-1")
        .with("targets", "ga-01")
        .with("duration_min", typed);
    match (
        submit_form(Section::PlannedStops, true, &sample(), &inputs),
        minutes,
    ) {
        (SubmitOutcome::Accepted { draft, .. }, Some(minutes)) => {
            let document = draft.apply(&sample()).expect("the draft can be applied");
            let stop = &document.planned_stops["now-1"];
            assert_eq!(parse_rfc3339(&stop.start), Some(NOW));
            let end = stop.end.as_deref().and_then(parse_rfc3339);
            assert_eq!(end, Some(NOW.plus_ms(minutes * 60_000)));
        }
        (SubmitOutcome::Rejected { faults, .. }, None) => {
            assert_eq!(faults.len(), 1, "{faults:?}");
            assert_eq!(faults[0].field.as_deref(), Some("duration_min"));
        }
        (other, _) => panic!("{other:?}"),
    }
}

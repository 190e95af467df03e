//! Random form input never publishes an invalid document and never panics.
//!
//! The store asserts that every published document is valid.

mod support;

use lw_console::{Inputs, Section};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use support::browser::{Browser, attribute, form_inputs};
use support::store::{FailureMode, Store};
use support::{console, sample};

const SEED: u64 = 0x1ace_711e;
const SESSIONS: usize = 120;
const STEPS: usize = 40;

const TEXTS: [&str; 30] = [
    "",
    " ",
    "0",
    "1",
    "-1",
    "0.5",
    "1e309",
    "NaN",
    "600000",
    "18446744073709551616",
    "ga-01",
    "mp-01",
    "foundry-12",
    "gujarat-east",
    "saurashtra",
    "rajkot-1",
    "member-portal",
    "grade-assistant",
    "model",
    "plain",
    "lookup",
    "10.0.0.7:9001",
    "127.0.0.1:8080",
    "2026-12-03 20:00",
    "2026-13-03 20:00",
    "POST\nPATCH",
    "saurashtra 5\nx",
    "weights",
    "a/b",
    "\u{0}<\"'&\u{1f4a9}",
];
const DRAFTS: [&str; 8] = [
    "[]",
    "{",
    "[{\"path\":\"weights\"}]",
    "[{\"path\":\"format\",\"value\":2}]",
    "[{\"path\":\"targets/ga-01\",\"value\":{\"service\":7}}]",
    "[{\"path\":\"engine/models/\",\"value\":{\"version\":\"\"}}]",
    "[{\"path\":\"services/x/y/z\",\"value\":null},{\"path\":\"regions/saurashtra\"}]",
    "[{\"path\":\"customers/new\",\"value\":{\"requests_per_s\":1e400}}]",
];

struct Random(ChaCha8Rng);

impl Random {
    fn below(&mut self, limit: usize) -> usize {
        self.0.next_u32() as usize % limit
    }

    fn of<'a>(&mut self, values: &[&'a str]) -> &'a str {
        values[self.below(values.len())]
    }

    fn text(&mut self) -> String {
        match self.below(8) {
            0 => (0..self.below(40))
                .map(|_| char::from(self.below(128) as u8))
                .collect(),
            1 => format!("{}\n{}", self.of(&TEXTS), self.of(&TEXTS)),
            _ => self.of(&TEXTS).to_owned(),
        }
    }

    /// Returns the fields with one value replaced, which often is a valid change.
    fn one_changed(&mut self, fields: &Inputs) -> Inputs {
        let own = |name: &str| {
            !["token", "base_revision", "base_digest", "draft", "original"].contains(&name)
        };
        let typed: Vec<&str> = fields
            .iter()
            .map(|(name, _)| name)
            .filter(|name| own(name))
            .collect();
        let chosen = typed[self.below(typed.len())];
        let mut changed = Inputs::default();
        for (name, value) in fields.iter() {
            let value = if name == chosen {
                self.text()
            } else {
                value.to_owned()
            };
            changed.push(name, value);
        }
        changed
    }

    /// Returns the fields with some values replaced, repeated or omitted.
    fn mixed(&mut self, fields: &Inputs) -> Inputs {
        let mut mixed = Inputs::default();
        for (name, value) in fields.iter() {
            let protected = name == "token" || name == "base_digest";
            match self.below(if protected { 400 } else { 10 }) {
                0 => {}
                1 if name == "draft" => mixed.push(name, self.of(&DRAFTS)),
                1..=3 if name != "draft" && !protected => mixed.push(name, self.text()),
                _ => mixed.push(name, value),
            }
            if self.below(20) == 0 {
                let text = self.text();
                mixed.push(name, text);
            }
        }
        mixed
    }
}

/// Returns the actions of the POST forms of a page.
fn actions(html: &str) -> Vec<String> {
    let forms = html.split("<form ").skip(1);
    let posts = forms.filter(|form| attribute(form, "method").as_deref() == Some("post"));
    let actions = posts.filter_map(|form| attribute(form, "action"));
    let session = ["/console/sign-out", "/console/sign-in"];
    actions
        .filter(|action| !session.contains(&action.as_str()))
        .collect()
}

fn open_random_page(random: &mut Random, browser: &mut Browser, document: &lw_doc::Document) {
    let section = Section::ALL[random.below(Section::ALL.len())];
    let names = section.names(document);
    let name = match names.is_empty() || random.below(12) == 0 {
        true => random.text(),
        false => names[random.below(names.len())].to_owned(),
    };
    let action = match section {
        Section::PlannedStops => random.of(&["/new", "/edit", "/now", "/remove"]),
        _ => random.of(&["", "/new", "/edit", "/edit", "/edit", "/remove"]),
    };
    let mut path = format!("/console/{}{action}", section.slug());
    let has_draft = browser.page.body.contains("id=\"draft\"");
    match random.below(8) {
        0 => path = "/console/document".to_owned(),
        1 => path = "/console/revision".to_owned(),
        2..=4 if has_draft => path = "/console/preview".to_owned(),
        _ => {}
    }
    let query = Inputs::default().with("name", name.as_str()).with(
        random.of(&["copy_of", "q", "page", "revision"]),
        random.text(),
    );
    let path = format!("{path}?{}", query.encode());
    match has_draft {
        true => browser.open(&path),
        false => browser.get(&path),
    };
}

fn submit_random_form(random: &mut Random, browser: &mut Browser) {
    let actions = actions(&browser.page.body);
    let publish = actions
        .iter()
        .position(|action| action == "/console/publish");
    let chosen = publish.filter(|_| random.below(2) == 0);
    let action = &actions[chosen.unwrap_or_else(|| random.below(actions.len()))];
    let mut fields = form_inputs(&browser.page.body, action);
    if action == "/console/publish" {
        for part in browser.page.body.split("name=\"confirm\" value=\"").skip(1) {
            let warning = &part[..part.find('"').unwrap_or(0)];
            if random.below(8) > 0 {
                fields.push("confirm", support::browser::unescape(warning));
            }
        }
    }
    let fields = match random.below(4) {
        0 => random.mixed(&fields),
        _ if action.ends_with("/save") => random.one_changed(&fields),
        _ => fields,
    };
    browser.post(action, fields);
}

/// Guards against form input that publishes an invalid document, panics or causes an internal error.
#[test]
fn random_input_never_publishes_an_invalid_document() {
    println!("seed {SEED:#x}");
    let mut random = Random(ChaCha8Rng::seed_from_u64(SEED));
    let store = Store::new(sample());
    let mut statuses = std::collections::BTreeMap::<u16, usize>::new();
    for session in 0..SESSIONS {
        let mut browser = Browser::signed_in(console(&store), ["asha", "karim"][session % 2]);
        for _ in 0..STEPS {
            store.set_failure_mode(match random.below(40) {
                0 => FailureMode::Refuses,
                1 => FailureMode::LosesReply,
                2 => FailureMode::Down,
                _ => FailureMode::Works,
            });
            let document = store.head().document;
            let before = browser.page.clone();
            match random.below(3) {
                1 | 2 if !actions(&browser.page.body).is_empty() => {
                    submit_random_form(&mut random, &mut browser);
                }
                _ => open_random_page(&mut random, &mut browser, &document),
            }
            *statuses.entry(browser.page.status).or_default() += 1;
            assert!(browser.page.status != 500, "{}", browser.page.body);
            if [400, 403, 404].contains(&browser.page.status) {
                browser.page = before;
            }
            // A draft that can no longer be published would make the rest of the session useless.
            if browser.page.status == 422 && random.below(3) == 0 {
                browser.get("/console");
            }
        }
    }
    let revision = store.head().revision;
    println!("statuses {statuses:?}, revision {revision}");
    assert!(
        revision > 10,
        "too few revisions were published to exercise the check: revision {revision}"
    );
    assert!(
        statuses.contains_key(&422) && statuses.contains_key(&409),
        "{statuses:?}"
    );
}

//! The common layout of all pages.

use crate::auth::FormId;
use crate::html::{Element, Html, element};
use crate::pages::view::{View, hidden, submit_button};
use crate::section::Section;
use crate::style::STYLE;

/// Returns a page for a signed-in operator; `current` is the path of the navigation entry to highlight.
pub(crate) fn page(view: &View<'_>, title: &str, current: &str, content: Html) -> Html {
    let header = element("header")
        .child(navigation(view, current))
        .child(signed_in(view))
        .child(draft_bar(view));
    frame(title, Html::new().child(header), content, view.draft_form())
}

/// Returns a page with the common layout but without navigation.
pub(crate) fn frame(title: &str, header: Html, content: Html, footer: Html) -> Html {
    let head = element("head")
        .child(element("meta").attr("charset", "utf-8"))
        .child(viewport())
        .child(element("title").text(&format!("{title} – Lacewingstile console")))
        .child(Html::style_sheet(STYLE));
    let skip = element("a")
        .attr("class", "skip")
        .attr("href", "#main")
        .text("Skip to content");
    let main = element("main")
        .attr("id", "main")
        .attr("tabindex", "-1")
        .child(element("h1").text(title))
        .child(content);
    let body = element("body")
        .child(skip)
        .child(header)
        .child(main)
        .child(footer);
    Html::document(element("html").attr("lang", "en").child(head).child(body))
}

fn viewport() -> Element {
    element("meta")
        .attr("name", "viewport")
        .attr("content", "width=device-width, initial-scale=1")
}

fn navigation(view: &View<'_>, current: &str) -> Element {
    let sections = Section::ALL.into_iter().map(|section| {
        let path = format!("/console/{}", section.slug());
        (path, section.title())
    });
    let first = [("/console".to_owned(), "Overview")];
    let last = [
        ("/console/revisions", "Revisions"),
        ("/console/audit", "Audit trail"),
        ("/console/document", "Document"),
    ];
    let last = last.map(|(path, label)| (path.to_owned(), label));
    let entries = first.into_iter().chain(sections).chain(last);
    let items = entries.map(|(path, label)| {
        let link = view.link(&path, label);
        let here = (path == current).then_some("page");
        element("li").child(link.attr_if("aria-current", here))
    });
    let list = element("ul").children(items);
    element("nav").attr("aria-label", "Sections").child(list)
}

fn signed_in(view: &View<'_>) -> Element {
    let token = view.session.token(view.key, FormId::SignOut);
    element("form")
        .attr("method", "post")
        .attr("action", "/console/sign-out")
        .child(hidden("token", &token))
        .text("Signed in as ")
        .child(element("strong").text(&view.session.operator))
        .text(" ")
        .child(submit_button("Sign out"))
}

fn draft_bar(view: &View<'_>) -> Html {
    if !view.has_draft() {
        return Html::new();
    }
    let (count, base) = (view.draft.changes.len(), view.draft.base_revision);
    let mut state = element("p").text(&format!(
        "Your draft is not published yet. Changed entries: {count}, based on revision {base}. "
    ));
    if view.head_revision != base {
        let head = view.head_revision;
        let note = format!("Revision {head} was published in the meantime. ");
        state = state.child(element("strong").text(&note));
    }
    let state = state
        .child(view.link("/console/draft", "Review the draft"))
        .text(" ")
        .child(view.link("/console/preview", "Preview and publish"));
    element("section")
        .attr("class", "box")
        .attr("aria-label", "Draft")
        .child(state)
        .into()
}

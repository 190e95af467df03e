//! The list page of a section.

use lw_doc::Document;
use serde_json::Value;

use crate::auth::FormId;
use crate::html::{Element, Html, element};
use crate::inputs::Inputs;
use crate::pages::layout::page;
use crate::pages::table::{paragraph, table, text};
use crate::pages::value_text::value_text;
use crate::pages::view::{View, path_with, submit_button};
use crate::section::Section;

/// The maximum number of rows per page; a document can have 38,000 customers.
const ROWS_PER_PAGE: usize = 50;

/// The search text and page number of a list.
#[derive(Clone, Debug, Default)]
pub struct ListQuery {
    /// Text that the names must contain, ignoring case.
    pub search: String,
    /// The page number, starting at 1.
    pub page: usize,
}

impl ListQuery {
    /// Reads the query; a missing or invalid page number means the first page.
    #[must_use]
    pub fn read(inputs: &Inputs) -> Self {
        Self {
            search: inputs.get("q").trim().to_owned(),
            page: inputs.get("page").parse().unwrap_or(1).max(1),
        }
    }
}

/// Returns the list of a section.
#[must_use]
pub fn list_page(
    view: &View<'_>,
    document: &Document,
    section: Section,
    query: &ListQuery,
) -> Html {
    let wanted = query.search.to_lowercase();
    let mut names = section.names(document);
    let all = names.len();
    names.retain(|name| name.to_lowercase().contains(&wanted));
    let pages = names.len().div_ceil(ROWS_PER_PAGE).max(1);
    let number = query.page.min(pages);
    let shown = names
        .iter()
        .skip((number - 1) * ROWS_PER_PAGE)
        .take(ROWS_PER_PAGE);
    let rows = shown.map(|name| row(view, document, section, name));
    let path = format!("/console/{}", section.slug());
    let caption = format!("{} of {all} shown, page {number} of {pages}", names.len());
    let content = Html::new()
        .child(add_links(view, section, &path))
        .child(search(view, section, &path, &query.search))
        .child(table(&caption, &["Name", "Settings", "Actions"], rows))
        .child(pager(view, &path, &query.search, number, pages));
    page(view, section.title(), &path, content)
}

fn add_links(view: &View<'_>, section: Section, path: &str) -> Html {
    if !section.has_names() {
        return Html::new();
    }
    let label = format!("Add a {}", section.entity());
    let mut links = element("p")
        .attr("class", "actions")
        .child(view.link(&format!("{path}/new"), &label));
    if section == Section::PlannedStops {
        let now = view.link(&format!("{path}/now"), "Start a planned stop now");
        links = links.child(now);
    }
    links.into()
}

fn search(view: &View<'_>, section: Section, path: &str, search: &str) -> Html {
    if !section.has_names() {
        return Html::new();
    }
    let form = match view.has_draft() {
        true => view.form(FormId::Navigate, path),
        false => element("form").attr("method", "get").attr("action", path),
    };
    let input = element("input")
        .attr("type", "text")
        .attr("id", "q")
        .attr("name", "q")
        .attr("value", search);
    let field = element("div")
        .attr("class", "field")
        .child(element("label").attr("for", "q").text("Name contains"))
        .child(input);
    form.attr("role", "search")
        .child(field)
        .child(element("p").child(submit_button("Search")))
        .into()
}

fn row(view: &View<'_>, document: &Document, section: Section, name: &str) -> Vec<Html> {
    let path = format!("/console/{}", section.slug());
    let action = |action: &str, parameter: &str, label: &str| {
        let path = path_with(&format!("{path}/{action}"), parameter, name);
        let spoken = format!("{label} {name}");
        view.link(&path, label).attr("aria-label", &spoken)
    };
    let mut actions = element("div")
        .attr("class", "actions")
        .child(action("edit", "name", "Edit"));
    if section.has_names() {
        actions = actions
            .child(action("new", "copy_of", "Copy"))
            .child(action("remove", "name", "Remove"));
    }
    let settings = section.value(document, name);
    vec![
        text(name),
        settings_html(settings.as_ref()).into(),
        actions.into(),
    ]
}

fn settings_html(value: Option<&Value>) -> Element {
    let Some(Value::Object(map)) = value else {
        return paragraph("none");
    };
    let parts = map.iter().map(|(name, value)| {
        let text = value_text(Some(value));
        format!("{name}: {text}")
    });
    paragraph(&parts.collect::<Vec<_>>().join("; "))
}

fn pager(view: &View<'_>, path: &str, search: &str, number: usize, pages: usize) -> Html {
    if pages == 1 {
        return Html::new();
    }
    let page_link = |page: usize, label: &str| {
        let query = Inputs::default()
            .with("q", search)
            .with("page", page.to_string());
        view.link(&format!("{path}?{}", query.encode()), label)
    };
    let mut links = element("nav")
        .attr("aria-label", "Pages")
        .attr("class", "actions");
    if number > 1 {
        links = links
            .child(page_link(1, "First page"))
            .child(page_link(number - 1, "Previous page"));
    }
    if number < pages {
        links = links
            .child(page_link(number + 1, "Next page"))
            .child(page_link(pages, "Last page"));
    }
    links.into()
}

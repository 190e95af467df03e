//! The overview page.

use lw_base::WallMs;
use lw_doc::{Document, PlannedStopEntry, parse_rfc3339};

use crate::backend::StatusRow;
use crate::forms::show_time;
use crate::html::{Html, element};
use crate::pages::layout::page;
use crate::pages::table::{paragraph, table, text};
use crate::pages::view::{View, path_with};
use crate::section::Section;

/// The maximum number of upcoming stops shown.
const MAX_UPCOMING_STOPS: usize = 5;

/// The data of the overview page.
#[derive(Clone, Copy)]
pub struct OverviewView<'a> {
    /// The document in force.
    pub document: &'a Document,
    /// The digest of the document, in hex.
    pub digest: &'a str,
    /// The status of the hosts that this host knows.
    pub status: &'a [StatusRow],
    /// The revision that the operator just published.
    pub published: Option<u64>,
}

/// Returns the overview page.
#[must_use]
pub fn overview_page(view: &View<'_>, overview: OverviewView<'_>) -> Html {
    let document = overview.document;
    let mut content = Html::new();
    if let Some(revision) = overview.published {
        let notice = format!("Revision {revision} was published.");
        let notice = element("p")
            .attr("role", "status")
            .child(element("strong").text(&notice));
        content = content.child(notice);
    }
    let head = view.head_revision;
    let digest = overview.digest;
    let state = match head {
        0 => "No revision is published yet.".to_owned(),
        _ => format!("Revision {head} is in force, digest {digest}."),
    };
    let content = content
        .child(paragraph(&state))
        .child(element("h2").text("Counts"))
        .child(counts(view, document))
        .child(element("h2").text("Planned stops in effect now"))
        .child(stops(
            view,
            "Stops in effect now",
            &current_stops(document, view.now),
        ))
        .child(element("h2").text("Upcoming planned stops"))
        .child(stops(
            view,
            "Next stops to start",
            &upcoming_stops(document, view.now),
        ))
        .child(element("h2").text("Hosts"))
        .child(hosts(overview.status));
    page(view, "Overview", "/console", content)
}

fn counts(view: &View<'_>, document: &Document) -> Html {
    let sections = Section::ALL
        .into_iter()
        .filter(|section| section.has_names());
    let rows = sections.map(|section| {
        let path = format!("/console/{}", section.slug());
        let link = view.link(&path, section.title());
        let count = section.names(document).len();
        vec![link.into(), text(&count.to_string())]
    });
    table("Entries of the document", &["Section", "Count"], rows).into()
}

type Stop<'a> = (&'a str, &'a PlannedStopEntry, WallMs);

fn current_stops(document: &Document, now: WallMs) -> Vec<Stop<'_>> {
    let mut stops = timed_stops(document);
    stops.retain(|(_, entry, start)| {
        let end = entry.end.as_deref().and_then(parse_rfc3339);
        *start <= now && end.is_none_or(|end| now < end)
    });
    stops
}

fn upcoming_stops(document: &Document, now: WallMs) -> Vec<Stop<'_>> {
    let mut stops = timed_stops(document);
    stops.retain(|(_, _, start)| *start > now);
    stops.sort_by_key(|(_, _, start)| *start);
    stops.truncate(MAX_UPCOMING_STOPS);
    stops
}

fn timed_stops(document: &Document) -> Vec<Stop<'_>> {
    let stops = document.planned_stops.iter();
    let timed = stops.filter_map(|(name, entry)| {
        let start = parse_rfc3339(&entry.start)?;
        Some((name.as_str(), entry, start))
    });
    timed.collect()
}

fn stops(view: &View<'_>, caption: &str, stops: &[Stop<'_>]) -> Html {
    if stops.is_empty() {
        return paragraph("None.").into();
    }
    let rows = stops.iter().map(|(name, entry, _)| {
        let path = path_with("/console/planned-stops/edit", "name", name);
        let parts = [&entry.zones, &entry.hosts, &entry.targets];
        let parts: Vec<&str> = parts.into_iter().flatten().map(String::as_str).collect();
        let end = entry
            .end
            .as_deref()
            .map_or("until removed".to_owned(), show_time);
        vec![
            view.link(&path, name).into(),
            text(&parts.join(", ")),
            text(&show_time(&entry.start)),
            text(&end),
        ]
    });
    table(
        caption,
        &["Name", "Stops", "Start (UTC)", "End (UTC)"],
        rows,
    )
    .into()
}

fn hosts(status: &[StatusRow]) -> Html {
    if status.is_empty() {
        return paragraph(
            "This host does not know the status of any host yet. Reload the page later.",
        )
        .into();
    }
    let rows = status.iter().map(|row| {
        let revision = row.revision.map(|revision| revision.to_string());
        vec![
            text(&row.host),
            text(&row.region),
            text(&row.zone),
            text(&row.state),
            text(revision.as_deref().unwrap_or("not known")),
        ]
    });
    let headings = ["Host", "Region", "Availability zone", "State", "Revision"];
    table("Hosts that this host knows", &headings, rows).into()
}

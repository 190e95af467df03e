//! HTML tables.

use crate::html::{Element, Html, element};

/// Returns a table whose first column contains the row headers; on narrow screens each row becomes a block.
pub(crate) fn table(
    caption: &str,
    headings: &[&str],
    rows: impl IntoIterator<Item = Vec<Html>>,
) -> Element {
    let heading_cells = headings
        .iter()
        .map(|heading| element("th").attr("scope", "col").text(heading));
    let head = element("thead").child(element("tr").children(heading_cells));
    let heading_at = |index: usize| headings.get(index).copied().unwrap_or("");
    let rows = rows.into_iter().map(|cells| {
        let cells = cells
            .into_iter()
            .enumerate()
            .map(|(index, cell)| match index {
                0 => element("th").attr("scope", "row").child(cell),
                _ => element("td")
                    .attr("data-name", heading_at(index))
                    .child(cell),
            });
        element("tr").children(cells)
    });
    let table = element("table")
        .attr("class", "rows")
        .child(element("caption").text(caption))
        .child(head)
        .child(element("tbody").children(rows));
    element("div").attr("class", "wide").child(table)
}

pub(crate) fn text(text: &str) -> Html {
    Html::new().text(text)
}

pub(crate) fn paragraph(text: &str) -> Element {
    element("p").text(text)
}

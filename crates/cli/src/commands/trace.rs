//! `trace`: tells from logs what happened to a request.

use gumdrop::Options;
use serde_json::{Value, json};

use crate::cli_error::CliError;
use crate::report::Report;
use crate::tables::table;

/// State changes this long before the first line of the request are shown, in milliseconds: a changed configuration or
/// a lost platform explains more than the request itself.
const BEFORE_MS: u64 = 5_000;
/// The fields of a line that every line has.
const COMMON: [&str; 4] = ["time_ms", "level", "message", "id"];

/// Tells from the logs of the hosts what happened to a request.
#[derive(Debug, Options)]
pub(crate) struct TraceOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        required,
        help = "the id of the caller's attempt",
        meta = "ID"
    )]
    id: String,
    #[options(free, help = "log files of the hosts, one JSON object a line")]
    files: Vec<String>,
}

/// A line of a log.
#[derive(Clone, Debug)]
struct Line {
    file: String,
    time_ms: u64,
    fields: Value,
}

impl Line {
    fn id(&self) -> Option<&str> {
        self.fields["id"].as_str()
    }

    fn row(&self, start_ms: u64) -> Vec<String> {
        let at_ms = self.time_ms as i64 - start_ms as i64;
        let message = self.fields["message"].as_str().unwrap_or_default();
        let fields = self.fields.as_object().into_iter().flatten();
        let details: Vec<String> = fields
            .filter(|(name, _)| !COMMON.contains(&name.as_str()))
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .collect();
        vec![
            format!("{at_ms:+}"),
            self.file.clone(),
            message.to_owned(),
            details.join(" "),
        ]
    }
}

pub(crate) fn run(options: &TraceOptions) -> Result<Report, CliError> {
    if options.files.is_empty() {
        let message = "name the log files of the hosts: lacewingstile trace --id ID FILE...";
        return Err(CliError::Usage(message.to_owned()));
    }
    let mut lines = Vec::new();
    for file in &options.files {
        let text = std::fs::read_to_string(file)
            .map_err(|error| CliError::Usage(format!("{file}: {error}; name a readable file")))?;
        lines.extend(text.lines().filter_map(|line| parse_line(file, line)));
    }
    lines.sort_by_key(|line| line.time_ms);
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.id() == Some(&options.id))
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        let message = format!("no line of the logs has the id {}", options.id);
        return Err(CliError::Failed(message));
    };
    let from_ms = first.time_ms.saturating_sub(BEFORE_MS);
    let shown = lines.iter().filter(|line| {
        let is_own = line.id() == Some(&options.id);
        let is_state = line.id().is_none() && (from_ms..=last.time_ms).contains(&line.time_ms);
        is_own || is_state
    });
    let shown: Vec<&Line> = shown.collect();
    let rows = shown.iter().map(|line| line.row(first.time_ms));
    let text = table(&["ms", "log", "message", "details"], rows);
    let json = json!({
        "id": options.id,
        "lines": shown.iter().map(|line| &line.fields).collect::<Vec<_>>(),
    });
    Ok(Report { text, json })
}

/// Reads a line; a collector may have put words before the object.
fn parse_line(file: &str, line: &str) -> Option<Line> {
    let fields: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    Some(Line {
        file: file.to_owned(),
        time_ms: fields["time_ms"].as_u64()?,
        fields,
    })
}

//! `trace`: shows what happened to a request, from the logs of the hosts.

use gumdrop::Options;
use serde_json::{Value, json};

use crate::cli_error::CliError;
use crate::report::Report;
use crate::tables::table;

/// Period before the first line of the request in which lines without a request id are shown, in milliseconds. They
/// report state changes that can explain a failure, such as a new configuration or an unreachable platform.
const STATE_LINES_BEFORE_MS: u64 = 5_000;
/// Fields that are not repeated in the details column.
const NON_DETAIL_FIELDS: [&str; 4] = ["time_ms", "level", "message", "id"];

/// Shows what happened to a request, from the log files of the hosts.
#[derive(Debug, Options)]
pub(crate) struct TraceOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        required,
        help = "id of the caller's attempt, as in the field `id` of the logs",
        meta = "ID"
    )]
    id: String,
    #[options(free, help = "log files of the hosts, with one JSON object per line")]
    files: Vec<String>,
}

/// A parsed log line.
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
            .filter(|(name, _)| !NON_DETAIL_FIELDS.contains(&name.as_str()))
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
        let message = "no log file is given; name the log files of the hosts: lacewingstile trace --id ID FILE...";
        return Err(CliError::Usage(message.to_owned()));
    }
    let mut lines = Vec::new();
    for file in &options.files {
        let text = std::fs::read_to_string(file).map_err(|error| {
            CliError::Usage(format!(
                "{file}: the log file cannot be read: {error}; check the path and its permissions"
            ))
        })?;
        lines.extend(text.lines().filter_map(|line| parse_line(file, line)));
    }
    lines.sort_by_key(|line| line.time_ms);
    let request_lines: Vec<&Line> = lines
        .iter()
        .filter(|line| line.id() == Some(&options.id))
        .collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        let message = format!(
            "no log line has the id {}; check the id, and name the log files of all hosts",
            options.id
        );
        return Err(CliError::Failed(message));
    };
    let from_ms = first.time_ms.saturating_sub(STATE_LINES_BEFORE_MS);
    let shown = lines.iter().filter(|line| {
        let is_request_line = line.id() == Some(&options.id);
        let is_state_line = line.id().is_none() && (from_ms..=last.time_ms).contains(&line.time_ms);
        is_request_line || is_state_line
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

/// Parses a log line, with or without text that a log collector put before the JSON object.
///
/// Returns `None` for a line without a JSON object or without a time.
fn parse_line(file: &str, line: &str) -> Option<Line> {
    let fields: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    Some(Line {
        file: file.to_owned(),
        time_ms: fields["time_ms"].as_u64()?,
        fields,
    })
}

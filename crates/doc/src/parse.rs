//! Parses JSON with comments.

use std::io::Read;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

use crate::document::Document;
use crate::parse_error::ParseError;
use crate::source_map::SourceMap;

/// A document together with the line numbers of its parts.
#[derive(Clone, Debug)]
pub struct ParsedDocument {
    /// The document.
    pub document: Document,
    /// The lines of its entities and fields.
    pub source: SourceMap,
}

/// Parses a document from JSON with comments; errors report `file` as the name of the text.
///
/// # Errors
///
/// Returns the first syntax error, unknown field or wrong type with its line and column.
pub fn parse_document(file: &str, text: &str) -> Result<ParsedDocument, ParseError> {
    let json = strip_comments(file, text)?;
    let document = read_json(file, &json)?;
    let source = SourceMap::of(&json);
    Ok(ParsedDocument { document, source })
}

/// Parses a value of any type from JSON with comments; errors report `file` as the name of the text.
///
/// # Errors
///
/// Returns the first syntax error, unknown field or wrong type with its line and column.
pub fn parse_json<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, ParseError> {
    let json = strip_comments(file, text)?;
    read_json(file, &json)
}

fn read_json<T: DeserializeOwned>(file: &str, json: &str) -> Result<T, ParseError> {
    serde_json::from_str(json).map_err(|error| ParseError {
        file: file.to_owned(),
        line: error.line(),
        column: error.column(),
        message: message_without_position(&error),
    })
}

/// Returns the error text without its position, which [`ParseError`] has in separate fields.
fn message_without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    }
}

/// Replaces comments by spaces of the same length, so that lines and columns do not change.
fn strip_comments(file: &str, text: &str) -> Result<String, ParseError> {
    let error = |message: &str| ParseError {
        file: file.to_owned(),
        line: text.lines().count(),
        column: 0,
        message: message.to_owned(),
    };
    let mut stripped = Vec::with_capacity(text.len());
    StripComments::new(text.as_bytes())
        .read_to_end(&mut stripped)
        .map_err(|_| {
            error("a comment or string does not end, or a `/` starts no comment; please correct it")
        })?;
    for (byte, original) in stripped.iter_mut().zip(text.bytes()) {
        if original == b'\n' {
            *byte = b'\n';
        }
    }
    String::from_utf8(stripped)
        .map_err(|_| error("the text is not UTF-8; please save the file in UTF-8 encoding"))
}

//! Reading JSON with comments.

use std::io::Read;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

use crate::document::Document;
use crate::parse_error::ParseError;
use crate::source_map::SourceMap;

/// A document together with the places of its parts in the file.
#[derive(Clone, Debug)]
pub struct ParsedDocument {
    /// The document.
    pub document: Document,
    /// The lines of its entities and fields.
    pub source: SourceMap,
}

/// Reads a document from JSON with comments; `file` names the text in errors.
///
/// # Errors
///
/// Returns the first syntax fault, unknown field or wrong type with its line and column.
pub fn parse_document(file: &str, text: &str) -> Result<ParsedDocument, ParseError> {
    let json = strip_comments(file, text)?;
    let document = read_json(file, &json)?;
    let source = SourceMap::of(&json);
    Ok(ParsedDocument { document, source })
}

/// Reads any settings type from JSON with comments; `file` names the text in errors.
///
/// # Errors
///
/// Returns the first syntax fault, unknown field or wrong type with its line and column.
pub fn parse_json<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, ParseError> {
    let json = strip_comments(file, text)?;
    read_json(file, &json)
}

fn read_json<T: DeserializeOwned>(file: &str, json: &str) -> Result<T, ParseError> {
    serde_json::from_str(json).map_err(|error| ParseError {
        file: file.to_owned(),
        line: error.line(),
        column: error.column(),
        message: message_of(&error),
    })
}

/// Cuts off the position, which the error carries in fields of its own.
fn message_of(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    }
}

/// Replaces comments by spaces of the same length, so that lines and columns stay.
fn strip_comments(file: &str, text: &str) -> Result<String, ParseError> {
    let fault = |message: &str| ParseError {
        file: file.to_owned(),
        line: text.lines().count(),
        column: 0,
        message: message.to_owned(),
    };
    let mut stripped = Vec::with_capacity(text.len());
    StripComments::new(text.as_bytes())
        .read_to_end(&mut stripped)
        .map_err(|_| fault("a comment or a string does not end, or a single `/` stands alone"))?;
    for (byte, original) in stripped.iter_mut().zip(text.bytes()) {
        if original == b'\n' {
            *byte = b'\n';
        }
    }
    String::from_utf8(stripped).map_err(|_| fault("the text is not UTF-8"))
}

//! What the answers that make up one stream have in common.

use http::StatusCode;
use http::header::CONTENT_TYPE;

use crate::answer::OpenAnswer;
use crate::headers::header_text;

/// The status and media type of a streamed answer. An answer continues a stream only if it has both in common with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StreamHead {
    status: StatusCode,
    /// The media type in lower case without its parameters; empty when the answer states none.
    media_type: Box<str>,
}

impl StreamHead {
    pub(crate) fn of(answer: &OpenAnswer) -> Self {
        let content_type = header_text(&answer.headers, &CONTENT_TYPE).unwrap_or_default();
        let media_type = content_type.split(';').next().unwrap_or_default();
        Self {
            status: answer.status,
            media_type: media_type.trim().to_ascii_lowercase().into(),
        }
    }
}

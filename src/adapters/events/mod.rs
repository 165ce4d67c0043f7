//! Encodes timeline events as JSON lines, which the admin interface writes and the
//! command line reads.

use std::fmt;

use serde_json::{Value, json};

use crate::{
    domain::ParseError,
    policy::timeline::{Event, Utc},
};

/// The content type of newline-delimited JSON.
pub const CONTENT_TYPE: &str = "application/x-ndjson";

/// One line of a timeline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Line {
    /// A recorded event.
    Event(Event),
    /// The name of an entry that did not respond. Without this line, the timeline
    /// would look as if nothing had happened there.
    Missing(String),
}

/// An error in the decoding of a line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LineError {
    /// The line is not JSON.
    Malformed(String),
    /// A field is missing or not a string.
    Missing(&'static str),
    /// A field has a value that is invalid or that this version does not know.
    Unknown(ParseError),
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(cause) => write!(f, "the line is not JSON: {cause}"),
            Self::Missing(field) => write!(f, "the line has no field {field:?}"),
            Self::Unknown(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for LineError {}

/// Encodes a line as a JSON object.
#[must_use]
pub fn encode(line: &Line) -> Value {
    match line {
        Line::Event(event) => json!({
            "stamp": event.stamp.to_string(),
            "time": Utc(event.stamp.wall_time).to_string(),
            "entry": event.stamp.entry.as_str(),
            "part": event.component().to_string(),
            "kind": event.kind.to_string(),
            "text": event.text,
        }),
        Line::Missing(entry) => json!({ "missing": entry }),
    }
}

/// Decodes a line.
///
/// # Errors
///
/// Returns an error if the line does not have the format of [`encode`], or if its
/// kind of event is unknown, which an entry of a later version may write.
pub fn decode(line: &str) -> Result<Line, LineError> {
    let value: Value =
        serde_json::from_str(line).map_err(|e| LineError::Malformed(e.to_string()))?;
    if let Some(entry) = value["missing"].as_str() {
        return Ok(Line::Missing(entry.to_owned()));
    }
    let string = |name| value[name].as_str().ok_or(LineError::Missing(name));
    Ok(Line::Event(Event {
        stamp: string("stamp")?.parse().map_err(LineError::Unknown)?,
        kind: string("kind")?.parse().map_err(LineError::Unknown)?,
        text: string("text")?.to_owned(),
    }))
}

/// Formats a line as text for operators.
impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Event(event) => event.fmt(f),
            Self::Missing(entry) => write!(f, "missing: entry {entry} does not answer"),
        }
    }
}

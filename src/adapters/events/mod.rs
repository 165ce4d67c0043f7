//! Events as JSON lines, which the administration writes and the command line
//! reads.

use std::fmt;

use serde_json::{Value, json};

use crate::{
    domain::ParseError,
    policy::timeline::{Event, Utc},
};

/// The content type of JSON lines.
pub const CONTENT_TYPE: &str = "application/x-ndjson";

/// One line of a timeline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Line {
    /// An event.
    Event(Event),
    /// An entry that did not answer, so that a gap is not taken for silence.
    Missing(String),
}

/// Why a line cannot be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LineError {
    /// The line is not JSON.
    Malformed(String),
    /// A field is missing.
    Missing(&'static str),
    /// A field has a value that this version does not know.
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

/// Returns a line as JSON.
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

/// Reads a line.
///
/// # Errors
///
/// Returns an error if the line is not one that [`encode`] writes. An entry of a
/// later version may write kinds of events that this one does not know.
pub fn decode(line: &str) -> Result<Line, LineError> {
    let value: Value =
        serde_json::from_str(line).map_err(|e| LineError::Malformed(e.to_string()))?;
    if let Some(entry) = value["missing"].as_str() {
        return Ok(Line::Missing(entry.to_owned()));
    }
    let text = |name| value[name].as_str().ok_or(LineError::Missing(name));
    Ok(Line::Event(Event {
        stamp: text("stamp")?.parse().map_err(LineError::Unknown)?,
        kind: text("kind")?.parse().map_err(LineError::Unknown)?,
        text: text("text")?.to_owned(),
    }))
}

/// Prints a line for people.
impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Event(event) => event.fmt(f),
            Self::Missing(entry) => write!(f, "missing: entry {entry} does not answer"),
        }
    }
}

//! The encoding of what the store holds for a service's document.
//!
//! Records are JSON, so that an operator can read them with the store's own
//! tools during an incident. Protobuf would be smaller, but the texts dominate
//! the size either way.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::VALUE_MAX;
use crate::{
    domain::{Millis, Revision},
    policy::document::{Edit, FormerRevision, History},
};

/// The version of the encoding, so that a later one can tell them apart.
const FORMAT: u32 = 1;

/// Why a record cannot be written or read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// The text alone is too large for the store.
    TooLarge(usize),
    /// The value is not a record.
    Malformed(String),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(len) => f.write_str(&super::oversized(*len)),
            Self::Malformed(cause) => write!(f, "the record cannot be read: {cause}"),
        }
    }
}

impl std::error::Error for RecordError {}

#[derive(Deserialize, Serialize)]
struct Image {
    format: u32,
    current: EditImage,
    former: Vec<FormerImage>,
    dropped: bool,
}

#[derive(Deserialize, Serialize)]
struct EditImage {
    id: String,
    team: String,
    wall: u64,
    text: Option<String>,
}

#[derive(Deserialize, Serialize)]
struct FormerImage {
    revision: u64,
    edit: EditImage,
}

/// Encodes a history. The oldest former revisions are dropped if the record
/// would be too large for the store.
///
/// # Errors
///
/// Returns [`RecordError::TooLarge`] if the current text alone does not fit.
pub fn encode(history: &History) -> Result<Bytes, RecordError> {
    let mut image = Image {
        format: FORMAT,
        current: edit_image(&history.current),
        former: history.former.iter().map(former_image).collect(),
        dropped: history.dropped,
    };
    loop {
        let bytes = serde_json::to_vec(&image).map_err(malformed)?;
        if bytes.len() <= VALUE_MAX {
            return Ok(bytes.into());
        }
        if image.former.pop().is_none() {
            return Err(RecordError::TooLarge(bytes.len()));
        }
        image.dropped = true;
    }
}

/// Decodes a history.
///
/// # Errors
///
/// Returns [`RecordError::Malformed`] if the value is not a record.
pub fn decode(value: &Bytes) -> Result<History, RecordError> {
    let image: Image = serde_json::from_slice(value).map_err(malformed)?;
    if image.format != FORMAT {
        let cause = format!("format {} is not {FORMAT}", image.format);
        return Err(RecordError::Malformed(cause));
    }
    let former: Result<Vec<FormerRevision>, RecordError> =
        image.former.into_iter().map(former).collect();
    Ok(History {
        current: edit(image.current)?,
        former: former?,
        dropped: image.dropped,
    })
}

fn malformed(cause: impl fmt::Display) -> RecordError {
    RecordError::Malformed(cause.to_string())
}

fn edit_image(edit: &Edit) -> EditImage {
    EditImage {
        id: edit.id.to_string(),
        team: edit.team.to_string(),
        wall: edit.wall_time.0,
        text: edit.text.clone(),
    }
}

fn former_image(former: &FormerRevision) -> FormerImage {
    FormerImage {
        revision: former.revision.0,
        edit: edit_image(&former.edit),
    }
}

fn edit(image: EditImage) -> Result<Edit, RecordError> {
    Ok(Edit {
        id: image.id.parse().map_err(malformed)?,
        team: image.team.parse().map_err(malformed)?,
        wall_time: Millis(image.wall),
        text: image.text,
    })
}

fn former(image: FormerImage) -> Result<FormerRevision, RecordError> {
    Ok(FormerRevision {
        revision: Revision(image.revision),
        edit: edit(image.edit)?,
    })
}

//! The encoding of a service's document and its history in the store.
//!
//! Records are JSON, so that an operator can read them with the store's own
//! tools during an incident. Protobuf would save little, because the document
//! texts dominate the size in either encoding.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::MAX_VALUE_BYTES;
use crate::{
    domain::{Millis, Revision},
    policy::document::{Edit, FormerRevision, History},
};

/// The version of the encoding, which lets a later version recognize it.
const FORMAT_VERSION: u32 = 1;

/// The largest floor of a record: the store's own revisions are signed.
const MAX_FLOOR: u64 = i64::MAX.unsigned_abs();

/// Why a record cannot be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// The current text alone exceeds the store's limit. Holds the size of the
    /// record in bytes.
    TooLarge(usize),
    /// The value is not a valid record.
    Malformed(String),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(len) => f.write_str(&super::too_large_message(*len)),
            Self::Malformed(cause) => write!(f, "the record cannot be decoded: {cause}"),
        }
    }
}

impl std::error::Error for RecordError {}

#[derive(Deserialize, Serialize)]
struct HistoryJson {
    format: u32,
    current: EditJson,
    former: Vec<FormerJson>,
    /// Left out if it is zero, as in records of versions that know no floor.
    #[serde(default, skip_serializing_if = "is_zero")]
    floor: u64,
    dropped: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(n: &u64) -> bool {
    *n == 0
}

#[derive(Deserialize, Serialize)]
struct EditJson {
    id: String,
    team: String,
    wall: u64,
    text: Option<String>,
}

#[derive(Deserialize, Serialize)]
struct FormerJson {
    revision: u64,
    edit: EditJson,
}

/// Encodes a history. If the record would exceed the store's limit, the oldest
/// former revisions are dropped.
///
/// # Errors
///
/// Returns [`RecordError::TooLarge`] if the record exceeds the limit with the
/// current text alone, or [`RecordError::Malformed`] if its floor is too large.
pub fn encode(history: &History) -> Result<Bytes, RecordError> {
    check_floor(history.floor.0)?;
    let mut json = HistoryJson {
        format: FORMAT_VERSION,
        current: edit_to_json(&history.current),
        former: history.former.iter().map(former_to_json).collect(),
        floor: history.floor.0,
        dropped: history.dropped,
    };
    loop {
        let bytes = serde_json::to_vec(&json).map_err(malformed)?;
        if bytes.len() <= MAX_VALUE_BYTES {
            return Ok(bytes.into());
        }
        if json.former.pop().is_none() {
            return Err(RecordError::TooLarge(bytes.len()));
        }
        json.dropped = true;
    }
}

/// Decodes a history.
///
/// # Errors
///
/// Returns [`RecordError::Malformed`] if the value is not a valid record.
pub fn decode(value: &Bytes) -> Result<History, RecordError> {
    let json: HistoryJson = serde_json::from_slice(value).map_err(malformed)?;
    if json.format != FORMAT_VERSION {
        let cause = format!(
            "format {} is not supported, expected {FORMAT_VERSION}",
            json.format
        );
        return Err(RecordError::Malformed(cause));
    }
    check_floor(json.floor)?;
    let former: Result<Vec<FormerRevision>, RecordError> =
        json.former.into_iter().map(former_from_json).collect();
    Ok(History {
        current: edit_from_json(json.current)?,
        former: former?,
        floor: Revision(json.floor),
        dropped: json.dropped,
    })
}

/// Checks that a floor leaves room for a later revision.
fn check_floor(floor: u64) -> Result<(), RecordError> {
    if floor > MAX_FLOOR {
        return Err(malformed(format!("floor {floor} is above {MAX_FLOOR}")));
    }
    Ok(())
}

fn malformed(cause: impl fmt::Display) -> RecordError {
    RecordError::Malformed(cause.to_string())
}

fn edit_to_json(edit: &Edit) -> EditJson {
    EditJson {
        id: edit.id.to_string(),
        team: edit.team.to_string(),
        wall: edit.wall_time.0,
        text: edit.text.clone(),
    }
}

fn former_to_json(former: &FormerRevision) -> FormerJson {
    FormerJson {
        revision: former.revision.0,
        edit: edit_to_json(&former.edit),
    }
}

fn edit_from_json(json: EditJson) -> Result<Edit, RecordError> {
    Ok(Edit {
        id: json.id.parse().map_err(malformed)?,
        team: json.team.parse().map_err(malformed)?,
        wall_time: Millis(json.wall),
        text: json.text,
    })
}

fn former_from_json(json: FormerJson) -> Result<FormerRevision, RecordError> {
    Ok(FormerRevision {
        revision: Revision(json.revision),
        edit: edit_from_json(json.edit)?,
    })
}

//! Records of documents in the store.

use bytes::Bytes;
use serde_json::{Value, json};

use crate::{
    adapters::store::VALUE_MAX,
    domain::{Millis, Revision, ServiceName},
    policy::{
        admin::{Code, Failure},
        document::{Edit, Former, History, Stored},
    },
    ports::Record,
};

const PREFIX: &str = "documents/";

pub(super) fn prefix() -> Bytes {
    Bytes::from_static(PREFIX.as_bytes())
}

pub(super) fn key(service: &ServiceName) -> Bytes {
    Bytes::from(format!("{PREFIX}{service}"))
}

/// Returns the service that a key names.
pub(super) fn service(key: &Bytes) -> String {
    let text = String::from_utf8_lossy(key);
    text.strip_prefix(PREFIX).unwrap_or(&text).to_owned()
}

pub(super) fn encode(history: &History) -> Result<Bytes, Failure> {
    let edit = |e: &Edit| json!({"id": e.id.to_string(), "team": e.team.as_str(), "wall": e.wall.0, "text": e.text});
    let former: Vec<Value> = history
        .former
        .iter()
        .map(|f| json!({"revision": f.revision.0, "edit": edit(&f.edit)}))
        .collect();
    let value =
        json!({"current": edit(&history.current), "former": former, "dropped": history.dropped});
    let text = value.to_string();
    if text.len() > VALUE_MAX {
        let detail = format!("the record would have {} B, the store holds {VALUE_MAX} B", text.len());
        return Err(Failure::new(Code::TooLarge, detail));
    }
    Ok(Bytes::from(text))
}

pub(super) fn decode(record: &Record) -> Result<Stored, Failure> {
    let bad = || Failure::new(Code::InvalidRecord, "the record cannot be read");
    let value: Value = serde_json::from_slice(&record.value).map_err(|_| bad())?;
    let edit = |v: &Value| {
        Some(Edit {
            id: v["id"].as_str()?.parse().ok()?,
            team: v["team"].as_str()?.parse().ok()?,
            wall: Millis(v["wall"].as_u64()?),
            text: v["text"].as_str().map(str::to_owned),
        })
    };
    let former = value["former"].as_array().ok_or_else(bad)?.iter().map(|f| {
        Some(Former {
            revision: Revision(f["revision"].as_u64()?),
            edit: edit(&f["edit"])?,
        })
    });
    Ok(Stored {
        revision: record.revision,
        history: History {
            current: edit(&value["current"]).ok_or_else(bad)?,
            former: former.collect::<Option<Vec<_>>>().ok_or_else(bad)?,
            dropped: value["dropped"].as_bool().unwrap_or(false),
        },
    })
}

//! Documents in the store: what a revision holds, and how an edit is written.
//!
//! The decisions are in [`policy::document`](crate::policy::document). Here they
//! are carried out against a [`Store`], with a bounded number of attempts,
//! because an editor waits for the result.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;

use super::record::{self, RecordError};
use crate::{
    adapters::ini::parse_document,
    domain::{Revision, ServiceName},
    policy::document::{Content, Edit, EditError, History, StoredHistory, WriteOutcome},
    ports::{Record, Store, StoreError, Update, Write},
};

/// The prefix of all documents.
pub const PREFIX: Bytes = Bytes::from_static(b"documents/");

/// How often an edit is written or read back before its fate is reported as
/// unknown.
const ATTEMPTS: u32 = 5;

/// The pause before an edit is read back. A write that is still on its way has
/// usually arrived by then, which saves repeating it.
const PAUSE: Duration = Duration::from_millis(200);

/// A revision of a document as it arrives from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// The service.
    pub service: ServiceName,
    /// The store's revision.
    pub revision: Revision,
    /// What the revision holds.
    pub content: Content,
}

/// Why an edit was not made, or is not known to be made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitError {
    /// The editor started from another revision, or another edit came first.
    Refused(EditError),
    /// The record cannot be read or written.
    Record(RecordError),
    /// The store did not answer. [`StoreError::Unknown`] means that the edit may
    /// have taken effect.
    Store(StoreError),
    /// The edit may have taken effect, and the record does not tell.
    Unknown,
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(e) => e.fmt(f),
            Self::Record(e) => e.fmt(f),
            Self::Store(e) => e.fmt(f),
            Self::Unknown => {
                f.write_str("the edit may have taken effect; the record does not tell")
            }
        }
    }
}

impl std::error::Error for SubmitError {}

/// Returns the key of a service's document.
#[must_use]
pub fn key(service: &ServiceName) -> Bytes {
    [&PREFIX[..], service.as_bytes()].concat().into()
}

/// Returns the service that a key belongs to, none for a key of another kind.
#[must_use]
pub fn service(key: &[u8]) -> Option<ServiceName> {
    let name = key.strip_prefix(&PREFIX[..])?;
    std::str::from_utf8(name).ok()?.parse().ok()
}

/// Returns the revisions that an update brings, none for a key of another kind.
///
/// If the current revision is invalid, the last valid one in the record's
/// history comes before it, because a process that has just started has no other
/// way to learn of it from the store.
#[must_use]
pub fn arrivals(update: &Update) -> Vec<Arrival> {
    match update {
        Update::Put(found) => found_arrivals(found),
        Update::Delete(key, revision) => {
            let deleted = service(key).map(|service| Arrival {
                service,
                revision: *revision,
                content: Content::Deleted,
            });
            deleted.into_iter().collect()
        }
    }
}

fn found_arrivals(found: &Record) -> Vec<Arrival> {
    let Some(service) = service(&found.key) else {
        return Vec::new();
    };
    let arrival = |revision, content| Arrival {
        service: service.clone(),
        revision,
        content,
    };
    let history = match record::decode(&found.value) {
        Ok(history) => history,
        Err(e) => {
            let invalid = Content::Invalid(vec![e.to_string()]);
            return vec![arrival(found.revision, invalid)];
        }
    };
    let current = arrival(found.revision, content(&service, &history.current));
    if !matches!(current.content, Content::Invalid(_)) {
        return vec![current];
    }
    let mut former = history.former.iter();
    let valid = former.find_map(|f| match content(&service, &f.edit) {
        Content::Invalid(_) => None,
        content => Some(arrival(f.revision, content)),
    });
    valid.into_iter().chain([current]).collect()
}

fn content(service: &ServiceName, edit: &Edit) -> Content {
    let Some(text) = &edit.text else {
        return Content::Deleted;
    };
    match parse_document(service.as_str(), text) {
        Ok(document) => Content::Document(Arc::new(document)),
        Err(faults) => Content::Invalid(faults.iter().map(ToString::to_string).collect()),
    }
}

/// Reads a service's record.
///
/// # Errors
///
/// Returns an error if the store does not answer or the record is malformed.
pub async fn read(
    store: &Store,
    service: &ServiceName,
) -> Result<Option<StoredHistory>, SubmitError> {
    let found = (store.get)(key(service))
        .await
        .map_err(SubmitError::Store)?;
    let stored = found.map(|r| {
        let history = record::decode(&r.value).map_err(SubmitError::Record)?;
        Ok(StoredHistory {
            revision: r.revision,
            history,
        })
    });
    stored.transpose()
}

/// Writes an edit and returns the revision that it got.
///
/// The caller has checked the text. `base` is the revision that the editor
/// started from, none to follow whatever is there. An edit that is submitted
/// again with the same id is written once.
///
/// # Errors
///
/// Returns a conflict if another edit came first, and an error of the store
/// otherwise. See [`SubmitError`].
pub async fn submit(
    store: &Store,
    service: &ServiceName,
    base: Option<Revision>,
    edit: Edit,
) -> Result<Revision, SubmitError> {
    let id = edit.id;
    let stored = read(store, service).await?;
    let expected = stored.as_ref().map_or(Revision::default(), |s| s.revision);
    if let Some(own) = own_revision(History::write_outcome(id, expected, stored.as_ref())) {
        return Ok(own);
    }
    let history = History::extend(stored, base, edit).map_err(SubmitError::Refused)?;
    let write = Write {
        key: key(service),
        value: Some(record::encode(&history).map_err(SubmitError::Record)?),
        expected,
    };
    let mut lost = match (store.write)(write.clone()).await {
        Ok(revision) => return Ok(revision),
        Err(error @ StoreError::Down { .. }) => return Err(SubmitError::Store(error)),
        Err(error) => error,
    };
    for _ in 1..ATTEMPTS {
        if let StoreError::Unknown { .. } = lost {
            tokio::time::sleep(PAUSE).await;
        }
        // While the store is down, the write stays in doubt.
        let Ok(found) = read(store, service).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        match History::write_outcome(id, expected, found.as_ref()) {
            WriteOutcome::InEffect(own) | WriteOutcome::Superseded { own, .. } => return Ok(own),
            WriteOutcome::Conflict(found) => return Err(conflict(expected, found)),
            WriteOutcome::Unknown => return Err(SubmitError::Unknown),
            WriteOutcome::Pending => {}
        }
        match (store.write)(write.clone()).await {
            Ok(revision) => return Ok(revision),
            Err(StoreError::Down { .. }) => tokio::time::sleep(PAUSE).await,
            Err(error) => lost = error,
        }
    }
    Err(match lost {
        // The last write met a revision that no read has explained, which may be
        // the edit's own.
        StoreError::Conflict(_) => SubmitError::Unknown,
        error => SubmitError::Store(error),
    })
}

fn own_revision(outcome: WriteOutcome) -> Option<Revision> {
    match outcome {
        WriteOutcome::InEffect(own) | WriteOutcome::Superseded { own, .. } => Some(own),
        WriteOutcome::Conflict(_) | WriteOutcome::Pending | WriteOutcome::Unknown => None,
    }
}

fn conflict(base: Revision, found: Revision) -> SubmitError {
    SubmitError::Refused(EditError::Conflict { base, found })
}

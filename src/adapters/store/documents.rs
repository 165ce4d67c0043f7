//! Reads documents from the store and writes edits to it.
//!
//! The rules for edits are in [`policy::document`](crate::policy::document).
//! This module executes them against a [`Store`], with a bounded number of
//! attempts, because an editor waits for the result.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;

use super::record::{self, RecordError};
use crate::{
    adapters::ini::parse_document,
    domain::{Revision, ServiceName},
    policy::document::{Content, Edit, EditError, History, StoredHistory, WriteOutcome},
    ports::{Record, Store, StoreError, Update, Write},
};

/// The key prefix of all documents.
pub const KEY_PREFIX: Bytes = Bytes::from_static(b"documents/");

/// The maximum number of attempts to write an edit or to read it back before
/// its outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 5;

/// The delay before an edit is read back. A write that is still in flight has
/// usually reached the store by then, which avoids sending it again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A revision of a document as read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct DocumentRevision {
    /// The service that the document configures.
    pub service: ServiceName,
    /// The revision.
    pub revision: Revision,
    /// The document, or why there is none.
    pub content: Content,
}

/// Why an edit was not written, or why its outcome is unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitError {
    /// The edit is based on another revision, or another edit was written
    /// first.
    Refused(EditError),
    /// The record cannot be decoded or encoded.
    Record(RecordError),
    /// The store call failed. [`StoreError::Unknown`] means that the edit may
    /// have taken effect.
    Store(StoreError),
    /// The edit may have taken effect, and the record does not show whether it
    /// has.
    Unknown,
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(e) => e.fmt(f),
            Self::Record(e) => e.fmt(f),
            Self::Store(e) => e.fmt(f),
            Self::Unknown => {
                f.write_str("the edit may have taken effect; the record does not show it")
            }
        }
    }
}

impl std::error::Error for SubmitError {}

/// Returns the key of a service's document.
#[must_use]
pub fn key(service: &ServiceName) -> Bytes {
    [&KEY_PREFIX[..], service.as_bytes()].concat().into()
}

/// Returns the service that a key belongs to, or `None` if it is not the key of
/// a document.
#[must_use]
pub fn parse_key(key: &[u8]) -> Option<ServiceName> {
    let name = key.strip_prefix(&KEY_PREFIX[..])?;
    std::str::from_utf8(name).ok()?.parse().ok()
}

/// Returns the document revisions in an update, or none if its key is not the
/// key of a document.
///
/// If the current revision is invalid, the last valid one in the record's
/// history precedes it, because a process that has just started cannot get it
/// from the store in any other way.
#[must_use]
pub fn document_revisions(update: &Update) -> Vec<DocumentRevision> {
    match update {
        Update::Put(found) => record_revisions(found),
        Update::Delete(key, revision) => {
            let deleted = parse_key(key).map(|service| DocumentRevision {
                service,
                revision: *revision,
                content: Content::Deleted,
            });
            deleted.into_iter().collect()
        }
    }
}

fn record_revisions(record: &Record) -> Vec<DocumentRevision> {
    let Some(service) = parse_key(&record.key) else {
        return Vec::new();
    };
    let document_revision = |revision, content| DocumentRevision {
        service: service.clone(),
        revision,
        content,
    };
    let history = match record::decode(&record.value) {
        Ok(history) => history,
        Err(e) => {
            let invalid = Content::Invalid(vec![e.to_string()]);
            return vec![document_revision(record.revision, invalid)];
        }
    };
    let revision = history.revision(record.revision);
    let current = document_revision(revision, parse_content(&service, &history.current));
    if !matches!(current.content, Content::Invalid(_)) {
        return vec![current];
    }
    let mut former = history.former.iter();
    let valid = former.find_map(|f| match parse_content(&service, &f.edit) {
        Content::Invalid(_) => None,
        content => Some(document_revision(f.revision, content)),
    });
    valid.into_iter().chain([current]).collect()
}

/// Parses the text of an edit.
fn parse_content(service: &ServiceName, edit: &Edit) -> Content {
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
/// Returns an error if the store call fails or the record is malformed.
pub async fn read(
    store: &Store,
    service: &ServiceName,
) -> Result<Option<StoredHistory>, SubmitError> {
    let found = (store.get)(key(service))
        .await
        .map_err(SubmitError::Store)?;
    let stored = found.map(|r| {
        let history = record::decode(&r.value).map_err(SubmitError::Record)?;
        Ok(StoredHistory::new(r.revision, history))
    });
    stored.transpose()
}

/// Writes an edit and returns its revision.
///
/// The text must have been validated by the caller. `base` is the revision that
/// the edit is based on; with `None` the edit applies to the current revision,
/// whichever it is. The edit gets a revision later than `known`, the latest one
/// that entries have in effect, which matters after the store has come back from
/// an older copy. An edit that is submitted again with the same id is written
/// only once.
///
/// # Errors
///
/// Returns a conflict if another edit was written first. See [`SubmitError`]
/// for the other errors.
pub async fn submit(
    store: &Store,
    service: &ServiceName,
    base: Option<Revision>,
    known: Revision,
    edit: Edit,
) -> Result<Revision, SubmitError> {
    let id = edit.id;
    let stored = read(store, service).await?;
    let expected = stored.as_ref().map_or(Revision::default(), |s| s.revision);
    if let Some(own) = written_revision(History::write_outcome(id, expected, stored.as_ref())) {
        return Ok(own);
    }
    let assigned = stored.as_ref().map_or(Revision::default(), |s| s.assigned);
    let history = History::extend(stored, base, edit).map_err(SubmitError::Refused)?;
    let history = history.later_than(known);
    if known > expected {
        tracing::warn!(
            "document: the store has {service} at revision {expected}, older than {known} in effect, \
             and the edit gets a later one."
        );
    }
    let write = Write {
        key: key(service),
        value: Some(record::encode(&history).map_err(SubmitError::Record)?),
        expected: assigned,
    };
    let mut last_error = match (store.write)(write.clone()).await {
        Ok(assigned) => return Ok(history.revision(assigned)),
        Err(error @ StoreError::Down { .. }) => return Err(SubmitError::Store(error)),
        Err(error) => error,
    };
    for _ in 1..MAX_ATTEMPTS {
        if let StoreError::Unknown { .. } = last_error {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        // The outcome stays unknown while the record cannot be read.
        let Ok(found) = read(store, service).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        match History::write_outcome(id, expected, found.as_ref()) {
            WriteOutcome::InEffect(own) | WriteOutcome::Superseded { own, .. } => return Ok(own),
            WriteOutcome::Conflict(found) => return Err(conflict_error(expected, found)),
            WriteOutcome::Unknown => return Err(SubmitError::Unknown),
            WriteOutcome::Pending => {}
        }
        match (store.write)(write.clone()).await {
            Ok(assigned) => return Ok(history.revision(assigned)),
            Err(StoreError::Down { .. }) => tokio::time::sleep(RETRY_DELAY).await,
            Err(error) => last_error = error,
        }
    }
    Err(match last_error {
        // The last write conflicted with a revision that was not read
        // afterwards and may be the edit's own.
        StoreError::Conflict(_) => SubmitError::Unknown,
        error => SubmitError::Store(error),
    })
}

/// Returns the revision of the edit if the record shows that it was written.
fn written_revision(outcome: WriteOutcome) -> Option<Revision> {
    match outcome {
        WriteOutcome::InEffect(own) | WriteOutcome::Superseded { own, .. } => Some(own),
        WriteOutcome::Conflict(_) | WriteOutcome::Pending | WriteOutcome::Unknown => None,
    }
}

fn conflict_error(base: Revision, found: Revision) -> SubmitError {
    SubmitError::Refused(EditError::Conflict { base, found })
}

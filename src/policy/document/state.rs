//! Adoption: decides which revision of a document is in effect in a process.

use std::{fmt, sync::Arc};

use crate::domain::{Document, Revision, ServiceName};

/// The content of a revision, after parsing and validation.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A document that passed all checks.
    Document(Arc<Document>),
    /// The document was deleted.
    Deleted,
    /// A text that failed validation, with every fault.
    Invalid(Vec<String>),
}

/// The state of one service's document in one process.
///
/// The caller holds the lock of the service's shard during
/// [`adopt`](Self::adopt), so revisions of the same service are handled one at
/// a time.
#[derive(Clone, Debug, PartialEq)]
pub struct DocumentState {
    service: ServiceName,
    revision: Revision,
    document: Option<Arc<Document>>,
    highest_checked: Revision,
}

impl DocumentState {
    /// Returns the state of a service for which no revision has arrived.
    #[must_use]
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            revision: Revision::default(),
            document: None,
            highest_checked: Revision::default(),
        }
    }

    /// Returns the revision in effect, or zero if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the document in effect, or `None` before the first valid
    /// revision and after a deletion.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Returns the greatest revision that was adopted or rejected.
    ///
    /// A digest exchanged between entries needs both this revision and the one
    /// in effect. With only the one in effect, an invalid revision would be
    /// fetched again every second. With only this one, a valid revision that
    /// arrives after a later invalid one would never be fetched.
    #[must_use]
    pub fn highest_checked(&self) -> Revision {
        self.highest_checked
    }

    /// Adopts a revision if it is valid and strictly greater than the one in
    /// effect.
    ///
    /// A valid revision that arrives after a later invalid one is adopted,
    /// because it is still the last valid one.
    pub fn adopt(&mut self, revision: Revision, content: Content) -> Adoption {
        if revision <= self.revision {
            return Adoption::Stale {
                current: self.revision,
            };
        }
        match self.validate(content) {
            Ok(document) => self.replace(revision, document),
            Err(faults) => self.reject(revision, faults),
        }
    }

    fn validate(&self, content: Content) -> Result<Option<Arc<Document>>, Vec<String>> {
        match content {
            Content::Deleted => Ok(None),
            Content::Invalid(faults) => Err(faults),
            Content::Document(document) if document.service != self.service => Err(vec![format!(
                "the document names service {}, its key names {}",
                document.service, self.service
            )]),
            Content::Document(document) => Ok(Some(document)),
        }
    }

    fn replace(&mut self, revision: Revision, document: Option<Arc<Document>>) -> Adoption {
        let former = std::mem::replace(&mut self.document, document);
        let former_revision = std::mem::replace(&mut self.revision, revision);
        self.highest_checked = self.highest_checked.max(revision);
        Adoption::Adopted {
            former_revision,
            former,
        }
    }

    fn reject(&mut self, revision: Revision, faults: Vec<String>) -> Adoption {
        if revision <= self.highest_checked {
            return Adoption::Stale {
                current: self.revision,
            };
        }
        self.highest_checked = revision;
        Adoption::Rejected(Rejection {
            service: self.service.clone(),
            rejected: revision,
            current: self.revision,
            faults,
        })
    }
}

/// The result of [`DocumentState::adopt`].
#[derive(Clone, Debug, PartialEq)]
pub enum Adoption {
    /// The revision is now in effect. A traffic shift starts from the document
    /// that it replaced.
    Adopted {
        /// The revision that was in effect before, or zero if there was none.
        former_revision: Revision,
        /// The document that was in effect before.
        former: Option<Arc<Document>>,
    },
    /// The same or a later revision is in effect, or the revision is invalid
    /// and the same or a later one was already checked. Nothing changes.
    Stale {
        /// The revision in effect.
        current: Revision,
    },
    /// The revision is invalid and the last valid one stays in effect. This is
    /// returned once for each invalid revision.
    Rejected(Rejection),
}

/// Reports an invalid revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// The service.
    pub service: ServiceName,
    /// The invalid revision.
    pub rejected: Revision,
    /// The revision that stays in effect, or zero if there is none.
    pub current: Revision,
    /// Every fault of the invalid revision.
    pub faults: Vec<String>,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "document {}: revision {} is invalid, revision {} stays in effect: {}",
            self.service,
            self.rejected,
            self.current,
            self.faults.join("; ")
        )
    }
}

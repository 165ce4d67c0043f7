//! Adoption of documents and rosters that the store or a peer delivers.

use std::sync::Arc;

use crate::{
    adapters::{
        grpc::DocumentBody,
        ini::{parse_document, print_document},
        store::{documents::DocumentRevision, roster as encoding},
    },
    app::entry::{State, fleet::ROSTER_NAME},
    domain::{Revision, ServiceName},
    policy::{
        document::{Adoption, Content},
        timeline::Kind,
    },
};

/// Adopts a revision, queues its announcement to the peers and emits the events
/// that follow.
pub(super) fn adopt(state: &Arc<State>, document_revision: DocumentRevision) {
    let DocumentRevision {
        service,
        revision,
        content,
    } = document_revision;
    match state.adopt_content(&service, revision, content) {
        Adoption::Adopted { .. } => {
            let is_moving = |s: &mut crate::app::entry::Service| {
                s.shift
                    .as_ref()
                    .is_some_and(crate::policy::shift::Shift::is_moving)
            };
            if state.services.get(&service, is_moving) == Some(true) {
                (state.events.emit)(
                    Kind::ShiftStarted,
                    format!("{service} to revision {revision}"),
                );
            }
            state.fleet.dissemination().on_adopted(&service, revision);
            (state.events.emit)(
                Kind::RevisionAdopted,
                format!("{service} revision {revision}"),
            );
        }
        Adoption::Rejected(rejection) => {
            (state.events.emit)(Kind::RevisionRejected, rejection.to_string());
        }
        Adoption::Stale { .. } => {}
    }
}

/// Adopts the document or the roster that a peer sent.
pub(super) fn receive(state: &Arc<State>, body: DocumentBody) {
    let DocumentBody {
        service,
        revision,
        text,
    } = body;
    if service.as_str() == ROSTER_NAME {
        if let Some(record) = text.and_then(|t| encoding::decode(&t).ok()) {
            state.adopt_roster(record);
        }
        return;
    }
    let content = match text {
        None => Content::Deleted,
        Some(text) => match parse_document(service.as_str(), &String::from_utf8_lossy(&text)) {
            Ok(doc) => Content::Document(Arc::new(doc)),
            Err(faults) => Content::Invalid(faults.iter().map(ToString::to_string).collect()),
        },
    };
    adopt(
        state,
        DocumentRevision {
            service,
            revision,
            content,
        },
    );
}

/// Returns the bodies that a peer requests. Those that this entry does not have
/// are left out.
pub(super) fn bodies(state: &State, services: &[ServiceName]) -> Vec<DocumentBody> {
    services.iter().filter_map(|s| body(state, s)).collect()
}

fn body(state: &State, service: &ServiceName) -> Option<DocumentBody> {
    if service.as_str() == ROSTER_NAME {
        let rosters = state.fleet.rosters();
        let text = encoding::encode(&rosters.record).ok()?;
        return Some(DocumentBody {
            service: service.clone(),
            revision: Revision(rosters.epoch().0),
            text: Some(text),
        });
    }
    let (revision, doc) = state
        .services
        .get(service, |s| (s.doc.revision(), s.doc.document().cloned()))?;
    // Printing the document on request avoids holding its text in memory. The
    // printed text parses to the same document.
    let text = doc.map(|d| print_document(&d).into());
    (revision > Revision::default()).then(|| DocumentBody {
        service: service.clone(),
        revision,
        text,
    })
}

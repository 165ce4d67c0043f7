//! Queries of the documents in the store: list, text and history.

use http::{HeaderValue, Response};
use serde_json::{Value, json};
use volo_http::body::Body;

use super::{
    Admin, changes,
    edit::{parse_service, read, store_unavailable},
    reply,
};
use crate::{
    adapters::{
        http::Query,
        ini::parse_document,
        store::{documents, record},
    },
    domain::{Document, Revision, ServiceName},
    policy::{
        admin::{AdminError, Code},
        document::{Edit, StoredHistory, diff},
    },
};

pub(super) async fn list(admin: &Admin) -> Result<Response<Body>, AdminError> {
    let snapshot = (admin.store.list)(documents::KEY_PREFIX).await;
    let snapshot = snapshot.map_err(|e| store_unavailable(&e))?;
    let mut all = Vec::new();
    for found in &snapshot.records {
        let Some(service) = documents::parse_key(&found.key) else {
            continue;
        };
        // An invalid record must not hide the others.
        match record::decode(&found.value) {
            Ok(history) if history.current.text.is_some() => {
                let revision = history.revision(found.revision);
                all.push(summary(&service, revision, &history.current));
            }
            Ok(_) => {}
            Err(e) => all.push(json!({
                "service": service.as_str(),
                "revision": found.revision.0,
                "fault": e.to_string(),
            })),
        }
    }
    Ok(reply::json(&json!({ "documents": all })))
}

fn summary(service: &ServiceName, revision: Revision, edit: &Edit) -> Value {
    json!({
        "service": service.as_str(),
        "revision": revision.0,
        "team": edit.team.as_str(),
        "edit": edit.id.to_string(),
        "wall_ms": edit.wall_time.0,
        "deleted": edit.text.is_none(),
    })
}

/// Returns the text of the current revision, or of the revision in the query.
pub(super) async fn get(
    admin: &Admin,
    name: &str,
    query: &Query,
) -> Result<Response<Body>, AdminError> {
    let service = parse_service(name)?;
    let requested: Option<Revision> = query
        .value("revision")
        .map_err(|e| reply::bad_request(&e))?;
    let stored = read(admin, &service).await?;
    let stored = stored.ok_or_else(|| unknown_document(&service))?;
    let revision = requested.unwrap_or(stored.revision);
    let edit = stored.edit_at(revision).ok_or_else(|| {
        let detail = format!("the store keeps no revision {revision} of {service}");
        AdminError::new(Code::UnknownDocument, detail).found(stored.revision)
    })?;
    let Some(text) = &edit.text else {
        return Err(unknown_document(&service).found(stored.revision));
    };
    let mut resp = reply::text(text.clone());
    reply::set_etag(&mut resp, revision);
    let team = HeaderValue::from_str(edit.team.as_str());
    if let Ok(team) = team {
        resp.headers_mut().insert("x-savorybeam-team", team);
    }
    Ok(resp)
}

fn unknown_document(service: &ServiceName) -> AdminError {
    let detail = format!("there is no document for {service}");
    AdminError::new(Code::UnknownDocument, detail)
}

/// Lists the revisions that the store keeps, the latest first, each with its
/// changes.
pub(super) async fn history(admin: &Admin, name: &str) -> Result<Response<Body>, AdminError> {
    let service = parse_service(name)?;
    let stored = read(admin, &service).await?;
    let stored = stored.ok_or_else(|| unknown_document(&service))?;
    let StoredHistory {
        revision, history, ..
    } = &stored;
    let mut edits = vec![(*revision, &history.current)];
    edits.extend(history.former.iter().map(|f| (f.revision, &f.edit)));
    let mut all = Vec::new();
    for (n, (revision, edit)) in edits.iter().enumerate() {
        let mut value = summary(&service, *revision, edit);
        let predecessor = edits.get(n + 1).map(|(_, e)| parse_edit(e));
        // The changes of a revision are unknown if its predecessor was dropped.
        if predecessor.is_some() || !history.dropped {
            let predecessor = predecessor.flatten();
            let all = diff(predecessor.as_ref(), parse_edit(edit).as_ref());
            value["changes"] = changes::render(&all);
        }
        all.push(value);
    }
    let mut resp = reply::json(&json!({
        "service": service.as_str(),
        "revisions": all,
        "dropped": history.dropped,
    }));
    reply::set_etag(&mut resp, *revision);
    Ok(resp)
}

fn parse_edit(edit: &Edit) -> Option<Document> {
    let text = edit.text.as_ref()?;
    parse_document("stored", text).ok()
}

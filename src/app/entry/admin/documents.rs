//! Documents as the store holds them.

use http::{HeaderValue, Response};
use serde_json::{Value, json};
use volo_http::body::Body;

use super::{
    Admin, changes,
    edit::{read, service, unavailable},
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
        admin::{Code, Failure},
        document::{Edit, Stored, diff},
    },
};

pub(super) async fn list(admin: &Admin) -> Result<Response<Body>, Failure> {
    let snapshot = (admin.store.list)(documents::KEY_PREFIX).await;
    let snapshot = snapshot.map_err(|e| unavailable(&e))?;
    let mut all = Vec::new();
    for found in &snapshot.records {
        let Some(service) = documents::parse_key(&found.key) else {
            continue;
        };
        // One record that cannot be read must not hide the others.
        match record::decode(&found.value) {
            Ok(history) if history.current.text.is_some() => {
                all.push(summary(&service, found.revision, &history.current));
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
        "wall_ms": edit.wall.0,
        "deleted": edit.text.is_none(),
    })
}

/// Returns the text of the current revision, or of the one in the query.
pub(super) async fn get(
    admin: &Admin,
    name: &str,
    query: &Query,
) -> Result<Response<Body>, Failure> {
    let service = service(name)?;
    let wanted: Option<Revision> = query.value("revision").map_err(|e| reply::bad(&e))?;
    let stored = read(admin, &service).await?;
    let stored = stored.ok_or_else(|| missing(&service))?;
    let revision = wanted.unwrap_or(stored.revision);
    let edit = stored.at(revision).ok_or_else(|| {
        let detail = format!("the store keeps no revision {revision} of {service}");
        Failure::new(Code::UnknownDocument, detail).found(stored.revision)
    })?;
    let Some(text) = &edit.text else {
        return Err(missing(&service).found(stored.revision));
    };
    let mut resp = reply::text(text.clone());
    reply::tag(&mut resp, revision);
    let team = HeaderValue::from_str(edit.team.as_str());
    if let Ok(team) = team {
        resp.headers_mut().insert("x-savorybeam-team", team);
    }
    Ok(resp)
}

fn missing(service: &ServiceName) -> Failure {
    let detail = format!("there is no document for {service}");
    Failure::new(Code::UnknownDocument, detail)
}

/// Lists the revisions that the store keeps, the latest first, each with what it
/// changed.
pub(super) async fn history(admin: &Admin, name: &str) -> Result<Response<Body>, Failure> {
    let service = service(name)?;
    let stored = read(admin, &service).await?;
    let stored = stored.ok_or_else(|| missing(&service))?;
    let Stored { revision, history } = &stored;
    let mut edits = vec![(*revision, &history.current)];
    edits.extend(history.former.iter().map(|f| (f.revision, &f.edit)));
    let mut all = Vec::new();
    for (n, (revision, edit)) in edits.iter().enumerate() {
        let mut value = summary(&service, *revision, edit);
        let before = edits.get(n + 1).map(|(_, e)| document(e));
        // Without its predecessor the record does not tell what it changed.
        if before.is_some() || !history.dropped {
            let before = before.flatten();
            let all = diff(before.as_ref(), document(edit).as_ref());
            value["changes"] = changes::render(&all);
        }
        all.push(value);
    }
    let mut resp = reply::json(&json!({
        "service": service.as_str(),
        "revisions": all,
        "dropped": history.dropped,
    }));
    reply::tag(&mut resp, *revision);
    Ok(resp)
}

fn document(edit: &Edit) -> Option<Document> {
    let text = edit.text.as_ref()?;
    parse_document("stored", text).ok()
}

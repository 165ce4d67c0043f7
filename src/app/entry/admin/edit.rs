//! Edits of documents.
//!
//! The store's compare-and-swap decides which of several concurrent edits
//! succeeds. If the reply of the store is lost, [`submit`] reads the record and
//! finds out from the edit's id whether the write took effect. Only if the store
//! stays unavailable does an operator get the outcome `unknown`, together with the
//! id. The edit can be sent again with this id without being applied twice.

use http::{Request, Response, StatusCode, header};
use serde_json::json;
use volo_http::body::Body;

use super::{Admin, body, changes, reply};
use crate::{
    adapters::{
        http::Query,
        ini::parse_document,
        store::{
            documents::{self, SubmitError, submit},
            record::RecordError,
        },
    },
    app::count_of,
    domain::{Document, Millis, Revision, ServiceName, TeamName},
    policy::{
        admin::{AdminError, Code, CurrentRecord, Precondition, check_edit, revision_conflict},
        document::{Edit, EditError, EditId, StoredHistory, diff},
        timeline::Kind,
    },
    ports::StoreError,
};

/// After what time a client should retry while the store is unavailable.
const RETRY_AFTER: Millis = Millis(2_000);

/// The header with the id of an edit. A client that sends the same id again gets
/// the result of the first edit, so it may repeat an edit of outcome `unknown`.
const EDIT_ID: &str = "x-savorybeam-edit";

/// An edit that a client requests. Without a text it deletes the document.
struct Plan {
    service: ServiceName,
    team: TeamName,
    base: Precondition,
    id: EditId,
    text: Option<String>,
    document: Option<Document>,
}

/// An edit that the store has accepted.
struct Accepted {
    revision: Revision,
    created: bool,
}

pub(super) async fn put(
    admin: &Admin,
    team: &TeamName,
    name: &str,
    query: &Query,
    req: Request<Body>,
) -> Result<Response<Body>, AdminError> {
    let service = parse_service(name)?;
    let is_dry_run = query.flag("dry-run").map_err(|e| reply::bad_request(&e))?;
    let (base, id) = (parse_base(&req)?, parse_edit_id(&req)?);
    let text = body::read_text(req).await?;
    let document = parse(admin, &service, &text)?;
    let plan = Plan {
        service,
        team: team.clone(),
        base,
        id,
        text: Some(text),
        document: Some(document),
    };
    if is_dry_run {
        return dry_run(admin, &plan).await;
    }
    apply(admin, plan).await
}

pub(super) async fn delete(
    admin: &Admin,
    team: &TeamName,
    name: &str,
    query: &Query,
    req: &Request<Body>,
) -> Result<Response<Body>, AdminError> {
    let plan = Plan {
        service: parse_service(name)?,
        team: team.clone(),
        base: parse_base(req)?,
        id: parse_edit_id(req)?,
        text: None,
        document: None,
    };
    if query.flag("dry-run").map_err(|e| reply::bad_request(&e))? {
        return dry_run(admin, &plan).await;
    }
    apply(admin, plan).await
}

/// Parses the service name in a path.
pub(super) fn parse_service(name: &str) -> Result<ServiceName, AdminError> {
    name.parse().map_err(|e| reply::bad_request(&e))
}

fn parse_base(req: &Request<Body>) -> Result<Precondition, AdminError> {
    let text = |name: header::HeaderName| {
        let value = req.headers().get(&name).map(|v| v.to_str());
        value.transpose().map_err(|_| {
            let detail = format!("header {name}: not ASCII text");
            AdminError::new(Code::BadRequest, detail)
        })
    };
    match (text(header::IF_MATCH)?, text(header::IF_NONE_MATCH)?) {
        (None, None) => Ok(Precondition::Unstated),
        (Some(tag), None) => tag.parse().map_err(|e| reply::bad_request(&e)),
        (None, Some("*")) => Ok(Precondition::Absent),
        _ => Err(AdminError::new(
            Code::BadRequest,
            "expected either If-Match with one entity tag or If-None-Match: *",
        )),
    }
}

fn parse_edit_id(req: &Request<Body>) -> Result<EditId, AdminError> {
    let Some(value) = req.headers().get(EDIT_ID) else {
        return Ok(EditId::random(&mut rand::rng()));
    };
    let text = value.to_str().unwrap_or_default();
    text.parse()
        .map_err(|e| AdminError::new(Code::BadRequest, format!("header {EDIT_ID}: {e}")))
}

/// Parses a document, and checks that its service is the one in the path and that
/// its team is in the settings.
fn parse(admin: &Admin, service: &ServiceName, text: &str) -> Result<Document, AdminError> {
    let file = format!("{service}.ini");
    let mut faults = Vec::new();
    let document = parse_document(&file, text);
    match &document {
        Err(all) => faults.extend(all.iter().map(ToString::to_string)),
        Ok(doc) => {
            if doc.service != *service {
                let name = &doc.service;
                faults.push(format!(
                    "{file}: [service] name: found {:?}, expected {:?}, the service in the path",
                    name.as_str(),
                    service.as_str()
                ));
            }
            if !admin.teams.contains_key(&doc.team) {
                faults.push(format!(
                    "{file}: [service] team: found {:?}, expected a team in the settings",
                    doc.team.as_str()
                ));
            }
        }
    }
    match document {
        Ok(doc) if faults.is_empty() => Ok(doc),
        _ => {
            let detail = format!("the document has {}", count_of(faults.len(), "fault"));
            Err(AdminError::new(Code::InvalidDocument, detail).faults(faults))
        }
    }
}

async fn dry_run(admin: &Admin, plan: &Plan) -> Result<Response<Body>, AdminError> {
    let stored = read(admin, &plan.service).await?;
    let found = found_record(stored.as_ref());
    check_edit(&plan.team, plan.base, &found, plan.document.as_ref())?;
    let old = current_document(&plan.service, stored.as_ref());
    let all = diff(old.as_ref(), plan.document.as_ref());
    let mut resp = reply::json(&json!({
        "service": plan.service.as_str(),
        "dry_run": true,
        "found": found.revision.0,
        "changes": changes::render(&all),
    }));
    if found.owner.is_some() {
        reply::set_etag(&mut resp, found.revision);
    }
    Ok(resp)
}

async fn apply(admin: &Admin, plan: Plan) -> Result<Response<Body>, AdminError> {
    let result = write(admin, &plan).await;
    let Plan {
        service, team, id, ..
    } = &plan;
    let accepted = match result {
        Ok(accepted) => accepted,
        Err(failure) => {
            let text = format!("{service} by team {team}, edit {id}: {failure}");
            (admin.events.emit)(Kind::EditRefused, text);
            return Err(failure);
        }
    };
    let revision = accepted.revision;
    let verb = if plan.text.is_some() {
        "put"
    } else {
        "deleted"
    };
    let text = format!("{service} {verb} at revision {revision} by team {team}, edit {id}");
    (admin.events.emit)(Kind::EditAccepted, text);
    let mut resp = reply::json(&json!({
        "service": service.as_str(),
        "revision": revision.0,
        "edit": id.to_string(),
    }));
    if accepted.created {
        *resp.status_mut() = StatusCode::CREATED;
    }
    reply::set_etag(&mut resp, revision);
    Ok(resp)
}

async fn write(admin: &Admin, plan: &Plan) -> Result<Accepted, AdminError> {
    let stored = read(admin, &plan.service).await?;
    let applied = stored.as_ref().and_then(|s| applied_revision(s, plan.id));
    if let Some(revision) = applied {
        return Ok(Accepted {
            revision,
            created: false,
        });
    }
    let found = found_record(stored.as_ref());
    check_edit(&plan.team, plan.base, &found, plan.document.as_ref())?;
    let edit = Edit {
        id: plan.id,
        team: plan.team.clone(),
        wall_time: (admin.clock.wall)(),
        text: plan.text.clone(),
    };
    let expected = found.revision;
    let known = known_revision(admin, &plan.service).await;
    let submitted = submit(&admin.store, &plan.service, Some(expected), known, edit).await;
    let revision = submitted.map_err(|e| submit_failure(plan, expected, e))?;
    Ok(Accepted {
        revision,
        created: found.owner.is_none() && plan.text.is_some(),
    })
}

/// Returns the latest revision that an entry has in effect. All of them are asked,
/// because this one may have started after the store lost the record.
async fn known_revision(admin: &Admin, service: &ServiceName) -> Revision {
    let reported = (admin.port.entry_revisions)(service.clone()).await;
    let latest = reported.iter().filter_map(|r| r.revision).max();
    Revision(latest.unwrap_or_default())
}

fn submit_failure(plan: &Plan, expected: Revision, e: SubmitError) -> AdminError {
    match e {
        SubmitError::Refused(EditError::Conflict { found, .. }) => {
            conflict_failure(plan.base, expected, found)
        }
        SubmitError::Refused(e) => AdminError::new(Code::BadRequest, e.to_string()),
        SubmitError::Record(RecordError::TooLarge(_)) => {
            AdminError::new(Code::TooLarge, e.to_string())
        }
        SubmitError::Record(_) => AdminError::new(Code::InvalidRecord, e.to_string()),
        SubmitError::Store(e @ StoreError::Down { .. }) => store_unavailable(&e),
        SubmitError::Store(_) | SubmitError::Unknown => {
            let id = plan.id;
            let detail = format!("edit {id}: {e}; send it again with {EDIT_ID}: {id}");
            AdminError::unknown(detail)
        }
    }
}

/// Returns the failure of an edit whose base was current when it was checked but
/// was replaced before the write. The conflict names the revision that was
/// checked.
fn conflict_failure(base: Precondition, expected: Revision, found: Revision) -> AdminError {
    match base {
        Precondition::Any | Precondition::At(_) => {
            revision_conflict(Precondition::At(expected), found)
        }
        Precondition::Absent | Precondition::Unstated => revision_conflict(base, found),
    }
}

/// Returns the revision that an edit created, if the record still contains it.
fn applied_revision(stored: &StoredHistory, id: EditId) -> Option<Revision> {
    if stored.history.current.id == id {
        return Some(stored.revision);
    }
    let mut former = stored.history.former.iter();
    former.find(|f| f.edit.id == id).map(|f| f.revision)
}

fn found_record(stored: Option<&StoredHistory>) -> CurrentRecord {
    let Some(stored) = stored else {
        return CurrentRecord::default();
    };
    let edit = &stored.history.current;
    // A text is checked before it is stored. If it is invalid nevertheless, the
    // team that wrote it counts as the owner, so that it can repair it.
    let owner = edit.text.as_ref().map(|text| {
        let doc = parse_document("stored", text);
        doc.map_or_else(|_| edit.team.clone(), |d| d.team)
    });
    CurrentRecord {
        revision: stored.revision,
        owner,
    }
}

/// Returns the document in the store, or `None` if there is no valid one.
fn current_document(service: &ServiceName, stored: Option<&StoredHistory>) -> Option<Document> {
    let text = stored?.history.current.text.as_ref()?;
    parse_document(service.as_str(), text).ok()
}

/// Reads the record of a service from the store.
pub(super) async fn read(
    admin: &Admin,
    service: &ServiceName,
) -> Result<Option<StoredHistory>, AdminError> {
    // A read changes nothing, so the outcome of a failed read is never `unknown`.
    documents::read(&admin.store, service)
        .await
        .map_err(|e| match e {
            SubmitError::Store(e) => store_unavailable(&e),
            e => AdminError::new(Code::InvalidRecord, e.to_string()),
        })
}

/// Returns the failure of a request while the store does not respond.
pub(super) fn store_unavailable(e: &StoreError) -> AdminError {
    AdminError::new(Code::StoreUnavailable, e.to_string()).retry_after(RETRY_AFTER)
}

//! Edits of documents.
//!
//! The store's compare-and-swap decides which edit wins. Its answer may be lost,
//! and then the record itself tells what became of the write, because it keeps
//! the id of each edit: [`settle`] reads it until it is known, for at most
//! [`SETTLE_MAX`]. Only if the store is gone for longer does an operator see the
//! outcome `unknown`.

use std::time::Duration;

use http::{Request, Response, StatusCode, header};
use serde_json::json;
use tokio::time::Instant;
use volo_http::body::Body;

use super::{Admin, body, changes, record, reply};
use crate::{
    adapters::{http::Query, ini::parse_document},
    domain::{Document, Millis, Revision, ServiceName, TeamName},
    policy::{
        admin::{Base, Code, Failure, Found, check, conflict},
        document::{Edit, EditId, Fate, History, Stored, diff},
        timeline::Kind,
    },
    ports::{StoreError, Write},
};

/// How long the fate of a write is looked for after its answer was lost.
const SETTLE_MAX: Duration = Duration::from_secs(3);

/// The pause between two reads for it. The store serves about 2,000 reads a
/// second to all entries, so a lost answer may cost a few reads only.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// When an operator may try again while the store is down.
const RETRY: Millis = Millis(2_000);

/// The header with the id of an edit. A client that sends the same id again gets
/// the result of the first edit, so it may repeat an edit after `unknown`.
const EDIT_ID: &str = "x-savorybeam-edit";

/// An edit that is to be made.
struct Plan {
    service: ServiceName,
    team: TeamName,
    base: Base,
    id: EditId,
    text: Option<String>,
    document: Option<Document>,
}

/// An edit that the store has accepted.
struct Accepted {
    revision: Revision,
    current: Revision,
    created: bool,
}

pub(super) async fn put(
    admin: &Admin,
    team: &TeamName,
    name: &str,
    query: &Query,
    req: Request<Body>,
) -> Result<Response<Body>, Failure> {
    let service = service(name)?;
    let dry = query.flag("dry-run").map_err(|e| reply::bad(&e))?;
    let (base, id) = (base(&req)?, edit_id(&req)?);
    let text = body::text(req).await?;
    let document = parse(admin, &service, &text)?;
    let plan = Plan {
        service,
        team: team.clone(),
        base,
        id,
        text: Some(text),
        document: Some(document),
    };
    if dry {
        return dry_run(admin, &plan).await;
    }
    make(admin, plan).await
}

pub(super) async fn delete(
    admin: &Admin,
    team: &TeamName,
    name: &str,
    query: &Query,
    req: &Request<Body>,
) -> Result<Response<Body>, Failure> {
    let plan = Plan {
        service: service(name)?,
        team: team.clone(),
        base: base(req)?,
        id: edit_id(req)?,
        text: None,
        document: None,
    };
    if query.flag("dry-run").map_err(|e| reply::bad(&e))? {
        return dry_run(admin, &plan).await;
    }
    make(admin, plan).await
}

/// Parses the service that a path names.
pub(super) fn service(name: &str) -> Result<ServiceName, Failure> {
    name.parse().map_err(|e| reply::bad(&e))
}

fn base(req: &Request<Body>) -> Result<Base, Failure> {
    let text = |name: header::HeaderName| {
        let value = req.headers().get(&name).map(|v| v.to_str());
        value.transpose().map_err(|_| {
            let detail = format!("header {name}: not ASCII text");
            Failure::new(Code::BadRequest, detail)
        })
    };
    match (text(header::IF_MATCH)?, text(header::IF_NONE_MATCH)?) {
        (None, None) => Ok(Base::Unstated),
        (Some(tag), None) => tag.parse().map_err(|e| reply::bad(&e)),
        (None, Some("*")) => Ok(Base::Absent),
        _ => Err(Failure::new(
            Code::BadRequest,
            "allowed is either If-Match with one tag or If-None-Match: *",
        )),
    }
}

fn edit_id(req: &Request<Body>) -> Result<EditId, Failure> {
    let Some(value) = req.headers().get(EDIT_ID) else {
        return Ok(EditId::random(&mut rand::rng()));
    };
    let text = value.to_str().unwrap_or_default();
    text.parse()
        .map_err(|e| Failure::new(Code::BadRequest, format!("header {EDIT_ID}: {e}")))
}

/// Parses a document and checks what only the administration knows: its key and
/// the teams.
fn parse(admin: &Admin, service: &ServiceName, text: &str) -> Result<Document, Failure> {
    let file = format!("{service}.ini");
    let mut faults = Vec::new();
    let document = parse_document(&file, text);
    match &document {
        Err(all) => faults.extend(all.iter().map(ToString::to_string)),
        Ok(doc) => {
            if doc.service != *service {
                let name = &doc.service;
                faults.push(format!(
                    "{file}: [service] name: found {:?}, allowed is {:?}, which the path names",
                    name.as_str(),
                    service.as_str()
                ));
            }
            if !admin.teams.contains_key(&doc.team) {
                faults.push(format!(
                    "{file}: [service] team: found {:?}, allowed is a team of the settings",
                    doc.team.as_str()
                ));
            }
        }
    }
    match document {
        Ok(doc) if faults.is_empty() => Ok(doc),
        _ => {
            let detail = format!("the document has {} faults", faults.len());
            Err(Failure::new(Code::InvalidDocument, detail).faults(faults))
        }
    }
}

async fn dry_run(admin: &Admin, plan: &Plan) -> Result<Response<Body>, Failure> {
    let stored = read(admin, &plan.service).await?;
    let found = found(stored.as_ref());
    check(&plan.team, plan.base, &found, plan.document.as_ref())?;
    let old = current(&plan.service, stored.as_ref());
    let all = diff(old.as_ref(), plan.document.as_ref());
    let mut resp = reply::json(&json!({
        "service": plan.service.as_str(),
        "dry_run": true,
        "found": found.revision.0,
        "changes": changes::render(&all),
    }));
    if found.owner.is_some() {
        reply::tag(&mut resp, found.revision);
    }
    Ok(resp)
}

async fn make(admin: &Admin, plan: Plan) -> Result<Response<Body>, Failure> {
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
        "current": accepted.current.0,
        "edit": id.to_string(),
    }));
    if accepted.created {
        *resp.status_mut() = StatusCode::CREATED;
    }
    reply::tag(&mut resp, revision);
    Ok(resp)
}

async fn write(admin: &Admin, plan: &Plan) -> Result<Accepted, Failure> {
    let stored = read(admin, &plan.service).await?;
    if let Some((current, own)) = stored.as_ref().and_then(|s| made(s, plan.id)) {
        return Ok(accepted(own, current, false));
    }
    let found = found(stored.as_ref());
    check(&plan.team, plan.base, &found, plan.document.as_ref())?;
    let edit = Edit {
        id: plan.id,
        team: plan.team.clone(),
        wall: (admin.clock.wall)(),
        text: plan.text.clone(),
    };
    let created = found.owner.is_none() && plan.text.is_some();
    let expected = found.revision;
    let history = History::extend(stored, None, edit)
        .map_err(|e| Failure::new(Code::RevisionConflict, e.to_string()))?;
    let write = Write {
        key: record::key(&plan.service),
        value: Some(record::encode(&history)?),
        expected,
    };
    match (admin.store.write)(write.clone()).await {
        Ok(revision) => Ok(accepted(revision, revision, created)),
        Err(e @ StoreError::Down { .. }) => Err(unavailable(&e)),
        // A write that an adapter repeated may also conflict with itself.
        Err(e) => settle(admin, plan, &write, created, e).await,
    }
}

fn accepted(revision: Revision, current: Revision, created: bool) -> Accepted {
    Accepted {
        revision,
        current,
        created,
    }
}

/// Finds out what became of a write whose answer does not tell, and repeats it
/// if it has not taken effect.
async fn settle(
    admin: &Admin,
    plan: &Plan,
    write: &Write,
    created: bool,
    mut cause: StoreError,
) -> Result<Accepted, Failure> {
    let (id, expected) = (plan.id, write.expected);
    let give_up = Instant::now() + SETTLE_MAX;
    loop {
        // A failed read tells nothing, so it is repeated like an open fate.
        if let Ok(stored) = read(admin, &plan.service).await {
            match History::fate(id, expected, stored.as_ref()) {
                Fate::InEffect(revision) => return Ok(accepted(revision, revision, created)),
                Fate::Superseded { own, current } => return Ok(accepted(own, current, created)),
                Fate::Lost(found) => return Err(lost(plan.base, expected, found)),
                Fate::Unknown => break,
                Fate::Open => match (admin.store.write)(write.clone()).await {
                    Ok(revision) => return Ok(accepted(revision, revision, created)),
                    Err(e) => cause = e,
                },
            }
        }
        if Instant::now() >= give_up {
            break;
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
    let detail = format!("edit {id}: {cause}. Send it again with {EDIT_ID}: {id} to find out");
    Err(Failure::unknown(detail))
}

/// Returns the failure of an editor whose revision was right when it was
/// checked, so the conflict names that one.
fn lost(base: Base, expected: Revision, found: Revision) -> Failure {
    match base {
        Base::Any | Base::At(_) => conflict(Base::At(expected), found),
        Base::Absent | Base::Unstated => conflict(base, found),
    }
}

/// Returns the current revision and the own one if the record keeps the edit.
fn made(stored: &Stored, id: EditId) -> Option<(Revision, Revision)> {
    if stored.history.current.id == id {
        return Some((stored.revision, stored.revision));
    }
    let mut former = stored.history.former.iter();
    let own = former.find(|f| f.edit.id == id)?;
    Some((stored.revision, own.revision))
}

fn found(stored: Option<&Stored>) -> Found {
    let Some(stored) = stored else {
        return Found::default();
    };
    let edit = &stored.history.current;
    // The text in the store was checked before it was written. If it is invalid
    // nevertheless, the team that wrote it may repair it.
    let owner = edit.text.as_ref().map(|text| {
        let doc = parse_document("stored", text);
        doc.map_or_else(|_| edit.team.clone(), |d| d.team)
    });
    Found {
        revision: stored.revision,
        owner,
    }
}

/// Returns the document in the store, none if there is none that is valid.
fn current(service: &ServiceName, stored: Option<&Stored>) -> Option<Document> {
    let text = stored?.history.current.text.as_ref()?;
    parse_document(service.as_str(), text).ok()
}

/// Reads what the store holds for a service.
pub(super) async fn read(admin: &Admin, service: &ServiceName) -> Result<Option<Stored>, Failure> {
    let record = (admin.store.get)(record::key(service)).await;
    // A read changes nothing, so its failure is never of unknown outcome.
    let record = record.map_err(|e| unavailable(&e))?;
    record.map(|r| record::decode(&r)).transpose()
}

/// Returns the failure while the store does not answer.
pub(super) fn unavailable(e: &StoreError) -> Failure {
    Failure::new(Code::StoreUnavailable, e.to_string()).retry_after(RETRY)
}

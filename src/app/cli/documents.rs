//! `savorybeam documents`: reads, validates and edits service documents.
//!
//! `get` writes the revision into the first line as a comment, and `put` sends
//! it as the base of the edit. So an operator who edits the output of `get`
//! doesn't have to state the base, and a concurrent edit is detected instead of
//! overwritten.

use std::{fs, path::Path};

use eyre::{WrapErr, bail};
use http::{Method, StatusCode};
use serde_json::Value;

use super::{
    check,
    client::{AdminRequest, AdminResponse, Client},
    options::Documents,
};
use crate::{
    adapters::ini::parse_document,
    domain::{Millis, Revision, ServiceName},
    policy::{document::EditId, timeline::Utc},
};

/// The start of the first line of a printed document, before its revision.
const REVISION_PREFIX: &str = "# savorybeam revision ";

/// Runs a subcommand of `documents`.
pub(super) async fn run(command: Documents) -> eyre::Result<()> {
    match command {
        Documents::Get {
            access,
            revision,
            service,
        } => get(&Client::new(access), &service, revision).await,
        Documents::Put {
            access,
            base,
            force,
            dry_run,
            file,
        } => {
            let base = if force {
                Some("*".to_owned())
            } else {
                base.map(|r| format!("\"{r}\""))
            };
            put(&Client::new(access), &file, base, dry_run).await
        }
        Documents::List { access, json } => list(&Client::new(access), json).await,
        Documents::Check { files } => check::run(&files),
        Documents::History {
            access,
            json,
            service,
        } => history(&Client::new(access), &service, json).await,
    }
}

async fn get(
    client: &Client,
    service: &ServiceName,
    revision: Option<Revision>,
) -> eyre::Result<()> {
    let mut path = format!("/v1/documents/{service}");
    if let Some(revision) = revision {
        path = format!("{path}?revision={revision}");
    }
    let response = client
        .call(&AdminRequest::get(path))
        .await?
        .error_for_status()?;
    let found = response.revision().unwrap_or_default();
    println!("{REVISION_PREFIX}{found}");
    print!("{}", response.body);
    Ok(())
}

async fn put(
    client: &Client,
    file: &Path,
    base: Option<String>,
    dry_run: bool,
) -> eyre::Result<()> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).wrap_err_with(|| format!("read {name}"))?;
    let doc = parse_document(&name, &text).map_err(|faults| check::list_faults(&faults))?;
    let (line_revision, text) = split_revision_line(&text);
    let base = base.or(line_revision.map(|r| format!("\"{r}\"")));
    let request = put_request(&doc.service, text, base, dry_run);
    let response = client.call(&request).await;
    let response = response.wrap_err_with(|| unknown_outcome(&request))?;
    if let (StatusCode::PRECONDITION_REQUIRED, Some(found)) = (response.status, response.revision())
    {
        bail!(
            "{} exists at revision {found}: edit the output of `documents get`, or state --base {found}",
            doc.service
        );
    }
    let value = response.error_for_status()?.json()?;
    if dry_run {
        print_changes(&value["changes"], "");
        return Ok(());
    }
    println!("{} is at revision {}", doc.service, value["revision"]);
    Ok(())
}

/// Returns a request that edits a document. It carries a random edit id, which
/// makes it safe to repeat.
pub(super) fn put_request(
    service: &ServiceName,
    text: &str,
    base: Option<String>,
    dry_run: bool,
) -> AdminRequest {
    let query = if dry_run { "?dry-run=1" } else { "" };
    let id = EditId::random(&mut rand::rng());
    let mut headers = vec![("x-savorybeam-edit", id.to_string())];
    headers.extend(base.map(|tag| ("if-match", tag)));
    AdminRequest {
        method: Method::PUT,
        path: format!("/v1/documents/{service}{query}"),
        headers,
        body: text.to_owned(),
    }
}

/// Returns the error context of an edit that got no response, which says how to
/// find out whether the edit took effect.
pub(super) fn unknown_outcome(request: &AdminRequest) -> String {
    let id = request.headers.first().map_or("", |(_, id)| id.as_str());
    format!("edit {id} may have taken effect: if so, the history of the document lists its id")
}

/// Separates the text from the revision line that `get` writes before it.
fn split_revision_line(text: &str) -> (Option<Revision>, &str) {
    let found = text.split_once('\n').and_then(|(first, rest)| {
        let revision = first.trim().strip_prefix(REVISION_PREFIX)?.parse().ok()?;
        Some((revision, rest))
    });
    found.map_or((None, text), |(revision, rest)| (Some(revision), rest))
}

async fn list(client: &Client, json: bool) -> eyre::Result<()> {
    let Some(response) = client.read("/v1/documents", json).await? else {
        return Ok(());
    };
    for document in array_field(&response, "documents")? {
        let service = document["service"].as_str().unwrap_or_default();
        if let Some(fault) = document["fault"].as_str() {
            println!("{service:<24} revision {:<8} {fault}", document["revision"]);
            continue;
        }
        println!("{service:<24} {}", format_edit(&document));
    }
    Ok(())
}

async fn history(client: &Client, service: &ServiceName, json: bool) -> eyre::Result<()> {
    let path = format!("/v1/documents/{service}/history");
    let Some(response) = client.read(path, json).await? else {
        return Ok(());
    };
    for edit in array_field(&response, "revisions")? {
        println!("{}", format_edit(&edit));
        print_changes(&edit["changes"], "  ");
    }
    Ok(())
}

fn format_edit(edit: &Value) -> String {
    let wall = Utc(Millis(edit["wall_ms"].as_u64().unwrap_or_default()));
    let team = edit["team"].as_str().unwrap_or_default();
    let deleted = if edit["deleted"] == true {
        ", deleted"
    } else {
        ""
    };
    format!(
        "revision {:<8} {wall} team {team}, edit {}{deleted}",
        edit["revision"],
        edit["edit"].as_str().unwrap_or_default()
    )
}

fn print_changes(changes: &Value, indent: &str) {
    let all = changes.as_array().map(Vec::as_slice).unwrap_or_default();
    if all.is_empty() {
        println!("{indent}no change");
    }
    for change in all {
        println!("{indent}{}", change["text"].as_str().unwrap_or_default());
    }
}

/// Returns the array in a field of a JSON response.
pub(super) fn array_field(response: &AdminResponse, name: &str) -> eyre::Result<Vec<Value>> {
    let value = response.json()?;
    match value[name].as_array() {
        Some(items) => Ok(items.clone()),
        None => bail!("read the response: {name} is missing"),
    }
}

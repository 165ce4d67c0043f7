//! `savorybeam documents`.
//!
//! `get` writes the revision into the first line as a comment, and `put` reads
//! it from there. So the usual way of editing a file states its base without
//! anybody having to remember it, and a lost race is noticed.

use std::{fs, path::Path};

use eyre::{WrapErr, bail, eyre};
use http::{Method, StatusCode};
use serde_json::Value;

use super::{
    check,
    client::{Ask, Client, Reply},
    options::Documents,
};
use crate::{
    adapters::ini::parse_document,
    domain::{Millis, Revision, ServiceName},
    policy::{document::EditId, timeline::Utc},
};

/// What the first line of a document begins with if it states its revision.
const MARK: &str = "# savorybeam revision ";

/// Runs a command on documents.
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
    let reply = client.call(&Ask::get(path)).await?.success()?;
    let found = reply.revision().unwrap_or_default();
    println!("{MARK}{found}");
    print!("{}", reply.body);
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
    let doc = parse_document(&name, &text).map_err(|faults| {
        let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
        eyre!("{} faults:\n{}", all.len(), all.join("\n"))
    })?;
    let (stated, text) = split_mark(&text);
    let base = base.or(stated.map(|r| format!("\"{r}\"")));
    let ask = put_ask(&doc.service, text, base, dry_run);
    let reply = client.call(&ask).await;
    let reply = reply.wrap_err_with(|| lost(&ask))?;
    if let (StatusCode::PRECONDITION_REQUIRED, Some(found)) = (reply.status, reply.revision()) {
        bail!(
            "{} exists at revision {found}: edit the output of `documents get`, or state --base {found}",
            doc.service
        );
    }
    let value = reply.success()?.json()?;
    if dry_run {
        print_changes(&value["changes"], "");
        return Ok(());
    }
    println!("{} is at revision {}", doc.service, value["revision"]);
    Ok(())
}

/// Returns the request of an edit. Its id makes it safe to repeat.
pub(super) fn put_ask(
    service: &ServiceName,
    text: &str,
    base: Option<String>,
    dry_run: bool,
) -> Ask {
    let query = if dry_run { "?dry-run=1" } else { "" };
    let id = EditId::random(&mut rand::rng());
    let mut headers = vec![("x-savorybeam-edit", id.to_string())];
    headers.extend(base.map(|tag| ("if-match", tag)));
    Ask {
        method: Method::PUT,
        path: format!("/v1/documents/{service}{query}"),
        headers,
        body: text.to_owned(),
    }
}

/// Says how an editor finds out what became of an edit without an answer.
pub(super) fn lost(ask: &Ask) -> String {
    let id = ask.headers.first().map_or("", |(_, id)| id.as_str());
    format!("edit {id}: it may have taken effect; its id is in the document's history if it has")
}

/// Splits the line with the revision from the text.
fn split_mark(text: &str) -> (Option<Revision>, &str) {
    let stated = text.split_once('\n').and_then(|(first, rest)| {
        let revision = first.trim().strip_prefix(MARK)?.parse().ok()?;
        Some((revision, rest))
    });
    stated.map_or((None, text), |(revision, rest)| (Some(revision), rest))
}

async fn list(client: &Client, json: bool) -> eyre::Result<()> {
    let reply = client.call(&Ask::get("/v1/documents")).await?.success()?;
    if json {
        print!("{}", reply.body);
        return Ok(());
    }
    for d in rows(&reply, "documents")? {
        let service = d["service"].as_str().unwrap_or_default();
        if let Some(fault) = d["fault"].as_str() {
            println!("{service:<24} revision {:<8} {fault}", d["revision"]);
            continue;
        }
        println!("{service:<24} {}", edit_line(&d));
    }
    Ok(())
}

async fn history(client: &Client, service: &ServiceName, json: bool) -> eyre::Result<()> {
    let path = format!("/v1/documents/{service}/history");
    let reply = client.call(&Ask::get(path)).await?.success()?;
    if json {
        print!("{}", reply.body);
        return Ok(());
    }
    for edit in rows(&reply, "revisions")? {
        println!("{}", edit_line(&edit));
        print_changes(&edit["changes"], "  ");
    }
    Ok(())
}

fn edit_line(edit: &Value) -> String {
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

/// Returns the rows of an answer.
pub(super) fn rows(reply: &Reply, name: &str) -> eyre::Result<Vec<Value>> {
    let value = reply.json()?;
    match value[name].as_array() {
        Some(rows) => Ok(rows.clone()),
        None => bail!("read the answer: {name} is missing"),
    }
}

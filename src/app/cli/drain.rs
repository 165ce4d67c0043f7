//! `savorybeam drain`: starts, cancels and shows drains.
//!
//! A drain is an edit of the document like any other: the place or target is
//! marked as leaving, and the rest of the text stays as it is. So the command
//! needs neither a permission nor an endpoint of its own.

use std::time::Duration;

use eyre::{WrapErr, bail, eyre};
use http::StatusCode;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::{
    client::{AdminRequest, Client},
    documents::{array_field, put_request, unknown_outcome},
    options::DrainOptions,
};
use crate::{
    adapters::ini::{parse_document, set_key},
    app::count_of,
    domain::{Document, Place, PlaceName, Revision, ServiceName, TargetId},
};

/// How many times an edit is tried. It is derived again from the latest revision
/// after a concurrent edit replaced the one that it started from.
const MAX_ATTEMPTS: usize = 3;

/// The time between two requests for the state of a drain.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Starts or cancels the drain of a place or target. Shows the drains if the
/// service or the place is not given.
pub(super) async fn run(options: DrainOptions) -> eyre::Result<()> {
    let client = Client::new(options.access);
    let (Some(service), Some(place)) = (&options.service, &options.place) else {
        return show_drains(&client, options.service.as_ref(), options.json).await;
    };
    let edit = DrainEdit {
        service: service.clone(),
        place: place.clone(),
        target: options.target,
        cancel: options.cancel,
    };
    match submit_edit(&client, &edit).await? {
        Some(revision) => println!("{edit} since revision {revision}"),
        None => println!("{edit} already"),
    }
    match options.wait {
        Some(seconds) if !edit.cancel => {
            wait_until_complete(&client, &edit, Duration::from_secs(seconds)).await
        }
        _ => Ok(()),
    }
}

/// An edit that starts or cancels the drain of a place, or of one of its targets.
struct DrainEdit {
    service: ServiceName,
    place: PlaceName,
    target: Option<TargetId>,
    cancel: bool,
}

impl std::fmt::Display for DrainEdit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} place {}", self.service, self.place)?;
        if let Some(target) = self.target {
            write!(f, " target {target}")?;
        }
        f.write_str(if self.cancel { " is active" } else { " leaves" })
    }
}

/// Submits the edit and returns its revision, or `None` if the document already
/// has the requested state.
async fn submit_edit(client: &Client, edit: &DrainEdit) -> eyre::Result<Option<Revision>> {
    let path = format!("/v1/documents/{}", edit.service);
    for _ in 0..MAX_ATTEMPTS {
        let response = client
            .call(&AdminRequest::get(path.clone()))
            .await?
            .error_for_status()?;
        let revision = response
            .revision()
            .ok_or_else(|| eyre!("the response has no revision"))?;
        let text = apply_edit(edit, &response.body)?;
        if text == response.body {
            return Ok(None);
        }
        let base = Some(format!("\"{revision}\""));
        let request = put_request(&edit.service, &text, base, false);
        let response = client
            .call(&request)
            .await
            .wrap_err_with(|| unknown_outcome(&request))?;
        if response.status != StatusCode::PRECONDITION_FAILED {
            return Ok(response.error_for_status()?.revision());
        }
    }
    bail!("other edits replaced the base revision {MAX_ATTEMPTS} times")
}

/// Returns the text with the place or target marked as leaving, or as active if
/// the edit cancels a drain.
fn apply_edit(edit: &DrainEdit, text: &str) -> eyre::Result<String> {
    let doc = parse_document(edit.service.as_str(), text).map_err(|faults| {
        eyre!(
            "the document in the store has {}",
            count_of(faults.len(), "fault")
        )
    })?;
    let place = find(&doc, &edit.place)?;
    let section = format!("place {}", edit.place);
    let Some(target) = edit.target else {
        let state = if edit.cancel { "active" } else { "leaving" };
        if place.state.to_string() == state {
            return Ok(text.to_owned());
        }
        return Ok(set_key(text, &section, "state", Some(state)));
    };
    if !place.targets.contains(&target) {
        bail!("place {} has no target {target}", edit.place);
    }
    if place.leaving.contains(&target) != edit.cancel {
        return Ok(text.to_owned());
    }
    let mut leaving = place.leaving.clone();
    if edit.cancel {
        leaving.retain(|t| *t != target);
    } else {
        leaving.push(target);
    }
    let all: Vec<String> = leaving.iter().map(ToString::to_string).collect();
    let value = (!all.is_empty()).then(|| all.join(", "));
    Ok(set_key(text, &section, "leaving", value.as_deref()))
}

/// Returns a place of the document, or an error that lists its places.
fn find<'a>(doc: &'a Document, name: &PlaceName) -> eyre::Result<&'a Place> {
    let found = doc.places.iter().find(|p| p.name == *name);
    found.ok_or_else(|| {
        let all: Vec<&str> = doc.places.iter().map(|p| p.name.as_str()).collect();
        eyre!(
            "{} has no place {name}; it has {}",
            doc.service,
            all.join(", ")
        )
    })
}

/// Prints the drains of a service, or of all services. JSON output is the
/// response as received and lists all services.
async fn show_drains(
    client: &Client,
    service: Option<&ServiceName>,
    json: bool,
) -> eyre::Result<()> {
    let Some(response) = client.read("/v1/drains", json).await? else {
        return Ok(());
    };
    let mut all = array_field(&response, "drains")?;
    all.retain(|d| service.is_none_or(|s| d["service"] == s.as_str()));
    if all.is_empty() {
        println!("nothing leaves");
    }
    for drain in all {
        println!("{}", format_drain(&drain));
    }
    Ok(())
}

/// Returns the text form of a drain: its state, and the number of requests that
/// each entry still runs there.
fn format_drain(drain: &Value) -> String {
    let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
    let mut out = format!(
        "{} place {}",
        text(&drain["service"]),
        text(&drain["place"])
    );
    if let Some(target) = drain["target"].as_str() {
        out = format!("{out} target {target}");
    }
    let state = if drain["complete"] == true {
        "complete"
    } else {
        "running"
    };
    out = format!("{out}: {state}");
    for entry in drain["remaining"].as_array().into_iter().flatten() {
        let name = text(&entry["entry"]);
        let known = |v: &Value| v.as_u64().map_or("unknown".to_owned(), |n| n.to_string());
        let (running, revision) = (known(&entry["running"]), known(&entry["revision"]));
        out = format!("{out}\n  {name}: {running} requests, revision {revision}");
    }
    out
}

/// Polls until the drain is complete, and prints its state whenever it changes.
async fn wait_until_complete(
    client: &Client,
    edit: &DrainEdit,
    timeout: Duration,
) -> eyre::Result<()> {
    let deadline = Instant::now() + timeout;
    let mut printed = String::new();
    loop {
        let response = client
            .call(&AdminRequest::get("/v1/drains"))
            .await?
            .error_for_status()?;
        let all = array_field(&response, "drains")?;
        // The drain is missing until the responding entry has adopted the edit.
        if let Some(drain) = all.iter().find(|d| is_drain_of(edit, d)) {
            let text = format_drain(drain);
            if text != printed {
                println!("{text}");
                printed = text;
            }
            if drain["complete"] == true {
                return Ok(());
            }
        }
        if Instant::now() >= deadline {
            bail!("{edit}: not complete within {} s", timeout.as_secs());
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn is_drain_of(edit: &DrainEdit, drain: &Value) -> bool {
    let target = edit.target.map(|t| t.to_string());
    drain["service"] == edit.service.as_str()
        && drain["place"] == edit.place.as_str()
        && drain["target"].as_str() == target.as_deref()
}

//! `savorybeam drain`.
//!
//! A drain is an edit of the document like any other: the place or target is
//! marked as leaving, and the rest of the text stays as it is. So the command
//! needs no right and no interface of its own.

use std::time::Duration;

use eyre::{WrapErr, bail, eyre};
use http::StatusCode;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::{
    client::{Ask, Client},
    documents::{lost, put_ask, rows},
    options::DrainOptions,
};
use crate::{
    adapters::ini::{parse_document, set_key},
    domain::{Document, Place, PlaceName, Revision, ServiceName, TargetId},
};

/// How often the edit is derived anew after it lost a race against an edit of
/// something else.
const ATTEMPTS: usize = 3;

/// The pause between two looks at a drain.
const POLL: Duration = Duration::from_millis(500);

/// Drains a place or target, or shows all drains.
pub(super) async fn run(options: DrainOptions) -> eyre::Result<()> {
    let client = Client::new(options.access);
    let (Some(service), Some(place)) = (&options.service, &options.place) else {
        return show(&client, options.service.as_ref(), options.json).await;
    };
    let wish = Wish {
        service: service.clone(),
        place: place.clone(),
        target: options.target,
        cancel: options.cancel,
    };
    match edit(&client, &wish).await? {
        Some(revision) => println!("{wish} since revision {revision}"),
        None => println!("{wish} already"),
    }
    match options.wait {
        Some(seconds) if !wish.cancel => wait(&client, &wish, Duration::from_secs(seconds)).await,
        _ => Ok(()),
    }
}

/// What an operator wants to leave or to stay.
struct Wish {
    service: ServiceName,
    place: PlaceName,
    target: Option<TargetId>,
    cancel: bool,
}

impl std::fmt::Display for Wish {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} place {}", self.service, self.place)?;
        if let Some(target) = self.target {
            write!(f, " target {target}")?;
        }
        f.write_str(if self.cancel { " is active" } else { " leaves" })
    }
}

/// Makes the edit and returns its revision, none if nothing has to change.
async fn edit(client: &Client, wish: &Wish) -> eyre::Result<Option<Revision>> {
    let path = format!("/v1/documents/{}", wish.service);
    for _ in 0..ATTEMPTS {
        let reply = client.call(&Ask::get(path.clone())).await?.success()?;
        let revision = reply
            .revision()
            .ok_or_else(|| eyre!("the answer has no revision"))?;
        let text = change(wish, &reply.body)?;
        if text == reply.body {
            return Ok(None);
        }
        let base = Some(format!("\"{revision}\""));
        let ask = put_ask(&wish.service, &text, base, false);
        let reply = client.call(&ask).await.wrap_err_with(|| lost(&ask))?;
        if reply.status != StatusCode::PRECONDITION_FAILED {
            return Ok(reply.success()?.revision());
        }
    }
    bail!("other edits came first {ATTEMPTS} times")
}

/// Returns the text with the place or target marked.
fn change(wish: &Wish, text: &str) -> eyre::Result<String> {
    let doc = parse_document(wish.service.as_str(), text)
        .map_err(|faults| eyre!("the document in the store has {} faults", faults.len()))?;
    let place = find(&doc, &wish.place)?;
    let section = format!("place {}", wish.place);
    let Some(target) = wish.target else {
        let state = if wish.cancel { "active" } else { "leaving" };
        if place.state.to_string() == state {
            return Ok(text.to_owned());
        }
        return Ok(set_key(text, &section, "state", Some(state)));
    };
    if !place.targets.contains(&target) {
        bail!("place {} has no target {target}", wish.place);
    }
    if place.leaving.contains(&target) != wish.cancel {
        return Ok(text.to_owned());
    }
    let mut leaving = place.leaving.clone();
    if wish.cancel {
        leaving.retain(|t| *t != target);
    } else {
        leaving.push(target);
    }
    let all: Vec<String> = leaving.iter().map(ToString::to_string).collect();
    let value = (!all.is_empty()).then(|| all.join(", "));
    Ok(set_key(text, &section, "leaving", value.as_deref()))
}

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

/// Shows the drains of a service or of all.
async fn show(client: &Client, service: Option<&ServiceName>, json: bool) -> eyre::Result<()> {
    let reply = client.call(&Ask::get("/v1/drains")).await?.success()?;
    if json {
        print!("{}", reply.body);
        return Ok(());
    }
    let mut all = rows(&reply, "drains")?;
    all.retain(|d| service.is_none_or(|s| d["service"] == s.as_str()));
    if all.is_empty() {
        println!("nothing leaves");
    }
    for drain in all {
        println!("{}", line(&drain));
    }
    Ok(())
}

fn line(drain: &Value) -> String {
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

/// Waits until the drain is complete.
async fn wait(client: &Client, wish: &Wish, time: Duration) -> eyre::Result<()> {
    let give_up = Instant::now() + time;
    let mut shown = String::new();
    loop {
        let reply = client.call(&Ask::get("/v1/drains")).await?.success()?;
        let all = rows(&reply, "drains")?;
        // The entry that answers may not have the revision yet.
        if let Some(drain) = all.iter().find(|d| is_wish(wish, d)) {
            let line = line(drain);
            if line != shown {
                println!("{line}");
                shown = line;
            }
            if drain["complete"] == true {
                return Ok(());
            }
        }
        if Instant::now() >= give_up {
            bail!("{wish}: not complete within {} s", time.as_secs());
        }
        sleep(POLL).await;
    }
}

fn is_wish(wish: &Wish, drain: &Value) -> bool {
    let target = wish.target.map(|t| t.to_string());
    drain["service"] == wish.service.as_str()
        && drain["place"] == wish.place.as_str()
        && drain["target"].as_str() == target.as_deref()
}

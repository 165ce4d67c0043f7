//! `savorybeam status` and `savorybeam explain`.

use serde_json::Value;

use super::{
    client::{Ask, Client},
    documents::rows,
};
use crate::{
    domain::{Millis, ServiceName},
    policy::timeline::Utc,
};

/// Shows the state of an entry.
pub(super) async fn status(client: &Client, json: bool) -> eyre::Result<()> {
    let reply = client.call(&Ask::get("/v1/status")).await?.success()?;
    if json {
        print!("{}", reply.body);
        return Ok(());
    }
    let s = reply.json()?;
    let yes = |v: &Value| if *v == true { "yes" } else { "no" };
    println!(
        "entry {} in {} ({}), ready: {}, store up: {}, up for {} s",
        text(&s["entry"]),
        text(&s["region"]),
        text(&s["az"]),
        yes(&s["ready"]),
        yes(&s["store_up"]),
        s["uptime_ms"].as_u64().unwrap_or_default() / 1000
    );
    for service in all(&s["services"]) {
        println!(
            "service {}: revision {}, {} requests running",
            text(&service["service"]),
            service["revision"],
            service["running"]
        );
        for place in all(&service["places"]) {
            println!(
                "  place {}: {}, weight {}, effective {} of 1000, {} targets",
                text(&place["place"]),
                text(&place["state"]),
                place["weight"],
                place["effective"],
                place["targets"]
            );
        }
    }
    for member in all(&s["members"]) {
        println!(
            "member {} in {}: {}, incarnation {}",
            text(&member["entry"]),
            text(&member["region"]),
            text(&member["state"]),
            member["incarnation"]
        );
    }
    Ok(())
}

/// Shows why recent requests of a service went where they went.
pub(super) async fn explain(
    client: &Client,
    service: &ServiceName,
    json: bool,
) -> eyre::Result<()> {
    let ask = Ask::get(format!("/v1/explain?service={service}"));
    let reply = client.call(&ask).await?.success()?;
    if json {
        print!("{}", reply.body);
        return Ok(());
    }
    let decisions = rows(&reply, "decisions")?;
    if decisions.is_empty() {
        println!("no request of {service} went through this entry yet");
    }
    for d in decisions {
        let wall = Utc(Millis(d["wall_ms"].as_u64().unwrap_or_default()));
        let target = d["target"].as_str().unwrap_or("no target");
        println!(
            "{wall} {} -> {target}: {}; {} after {} ms",
            text(&d["request"]),
            text(&d["reason"]),
            text(&d["result"]),
            d["took_ms"]
        );
    }
    Ok(())
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn all(value: &Value) -> &[Value] {
    value.as_array().map(Vec::as_slice).unwrap_or_default()
}

//! `savorybeam status` and `savorybeam explain`: print the state and the recent
//! routing decisions of an entry.

use serde_json::Value;

use super::{client::Client, documents::array_field};
use crate::{
    domain::{Millis, ServiceName},
    policy::timeline::Utc,
};

/// Prints the state of an entry.
pub(super) async fn status(client: &Client, json: bool) -> eyre::Result<()> {
    let Some(response) = client.read("/v1/status", json).await? else {
        return Ok(());
    };
    let status = response.json()?;
    let yes_or_no = |v: &Value| if *v == true { "yes" } else { "no" };
    println!(
        "entry {} in {} ({}), ready: {}, store up: {}, up for {} s",
        str_or_empty(&status["entry"]),
        str_or_empty(&status["region"]),
        str_or_empty(&status["az"]),
        yes_or_no(&status["ready"]),
        yes_or_no(&status["store_up"]),
        status["uptime_ms"].as_u64().unwrap_or_default() / 1000
    );
    for service in all(&status["services"]) {
        println!(
            "service {}: revision {}, {} requests running",
            str_or_empty(&service["service"]),
            service["revision"],
            service["running"]
        );
        for place in all(&service["places"]) {
            println!(
                "  place {}: {}, weight {}, effective {} of 1000, {} targets",
                str_or_empty(&place["place"]),
                str_or_empty(&place["state"]),
                place["weight"],
                place["effective"],
                place["targets"]
            );
        }
    }
    for member in all(&status["members"]) {
        println!(
            "member {} in {}: {}, incarnation {}",
            str_or_empty(&member["entry"]),
            str_or_empty(&member["region"]),
            str_or_empty(&member["state"]),
            member["incarnation"]
        );
    }
    Ok(())
}

/// Prints which targets recent requests of a service were sent to, and why.
pub(super) async fn explain(
    client: &Client,
    service: &ServiceName,
    json: bool,
) -> eyre::Result<()> {
    let path = format!("/v1/explain?service={service}");
    let Some(response) = client.read(path, json).await? else {
        return Ok(());
    };
    let decisions = array_field(&response, "decisions")?;
    if decisions.is_empty() {
        println!("no request of {service} went through this entry yet");
    }
    for decision in decisions {
        let wall = Utc(Millis(decision["wall_ms"].as_u64().unwrap_or_default()));
        let target = decision["target"].as_str().unwrap_or("no target");
        println!(
            "{wall} {} -> {target}: {}; {} after {} ms",
            str_or_empty(&decision["request"]),
            str_or_empty(&decision["reason"]),
            str_or_empty(&decision["result"]),
            decision["took_ms"]
        );
    }
    Ok(())
}

fn str_or_empty(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn all(value: &Value) -> &[Value] {
    value.as_array().map(Vec::as_slice).unwrap_or_default()
}

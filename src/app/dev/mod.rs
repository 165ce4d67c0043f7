//! Everything on loopback in one process, for a newcomer.
//!
//! Three entries share an embedded store with the platform's semantics, and two
//! services have three targets each. Everything else is what runs in
//! production: the entries serve on sockets of their own and are administered
//! over HTTP.

pub mod target;

use std::{net::SocketAddr, sync::Arc};

use eyre::WrapErr;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::{
    adapters::{
        clock,
        http::{self, Server},
        ini::{parse_document, parse_settings},
        metrics,
        store::memory::{self, Memory},
    },
    app::entry::{self, Entry, Ports},
    ports::Clock,
};

/// The token of the sample team. It guards nothing beyond this process.
pub const TOKEN: &str = "dev-token-of-kitchens";

/// The sample services.
const SERVICES: [&str; 2] = ["slotboard", "bokun"];

/// The places of the samples, each with one entry and one target per service.
const PLACES: [(&str, &str); 3] = [
    ("reykjanes", "reykjanes-1"),
    ("nordurland", "nordurland-1"),
    ("austurland", "austurland-1"),
];

/// The slots of each sample target.
const SLOTS: u32 = 5;

/// A running set of entries and targets.
#[derive(Debug)]
pub struct Dev {
    entries: Vec<Entry>,
    targets: Vec<Server>,
    watch: JoinHandle<()>,
}

/// Starts everything on free ports of the loopback address.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn spawn() -> eyre::Result<Dev> {
    let clock = clock::open();
    let store = memory::open(clock.clone());
    let mut entries = Vec::new();
    for n in 0..PLACES.len() {
        entries.push(entry(n, &clock, &store).await?);
    }
    let mut targets = Vec::new();
    let admin = entries[0].admin();
    for service in SERVICES {
        let own = samples(service).await?;
        let text = document(service, &own);
        targets.extend(own);
        put(admin, service, text).await?;
    }
    let watch = watch::spawn(&store, &entries);
    Ok(Dev { entries, targets, watch })
}

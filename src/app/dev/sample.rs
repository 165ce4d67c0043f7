//! The entries and sample services of `dev`: their settings and documents.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::{WrapErr, eyre};

use crate::{
    adapters::store::{documents::submit, vms},
    domain::{Revision, ServiceName, TeamName},
    policy::document::{Edit, EditId},
    ports::{Clock, Store, Write},
};

/// The sample services, which all belong to [`TEAM`].
pub(super) const SERVICES: [&str; 2] = ["slotboard", "bokun"];

/// The team that owns the sample services.
const TEAM: &str = "kitchens";

/// The region and availability zone of each place. Each place has one entry, and
/// one target of each service.
pub(super) const PLACES: [(&str, &str); 3] = [
    ("reykjanes", "reykjanes-1"),
    ("nordurland", "nordurland-1"),
    ("austurland", "austurland-1"),
];

/// Returns the settings of the entry in the place at index `n`. `callers` is its
/// address for callers, and `peers` are the addresses of all entries for each
/// other.
pub(super) fn entry_settings(
    n: usize,
    token: &str,
    callers: SocketAddr,
    peers: &[SocketAddr],
) -> String {
    let (region, az) = PLACES[n];
    let regions = PLACES.map(|(r, _)| format!("[region {r}]\nheadroom = 100000 rps\n"));
    let seeds: Vec<String> = peers.iter().map(ToString::to_string).collect();
    let (seeds, peers) = (seeds.join(", "), peers[n]);
    // The store is in memory, so nothing connects to the endpoint.
    format!(
        "[entry]\nname = e{n}\nregion = {region}\naz = {az}\n\
         callers = {callers}\nadmin = 127.0.0.1:0\npeers = {peers}\nseeds = {seeds}\nlinger = 0 ms\n\
         [store]\nendpoints = 127.0.0.1:1\n[team {TEAM}]\ntoken = {token}\n{}",
        regions.concat()
    )
}

/// Writes the VM of an entry into the store, as the platform does in production.
pub(super) async fn register_vm(store: &Store, n: usize) -> eyre::Result<()> {
    let write = Write {
        key: [&vms::KEY_PREFIX[..], format!("e{n}").as_bytes()]
            .concat()
            .into(),
        value: Some(Bytes::from_static(b"{}")),
        expected: Revision::default(),
    };
    let written = (store.write)(write).await.map_err(|e| eyre!(e));
    written.wrap_err_with(|| format!("write the VM of e{n}"))?;
    Ok(())
}

/// Submits the document of a sample service as an edit.
pub(super) async fn put_document(
    store: &Store,
    clock: &Clock,
    service: &str,
    targets: &[SocketAddr],
) -> eyre::Result<()> {
    let name: ServiceName = service.parse()?;
    let team: TeamName = TEAM.parse()?;
    let edit = Edit {
        id: EditId::random(&mut rand::rng()),
        team,
        wall_time: (clock.wall)(),
        text: Some(document_text(service, targets)),
    };
    let submitted = submit(store, &name, None, Revision::default(), edit).await;
    submitted
        .map_err(|e| eyre!(e))
        .wrap_err_with(|| format!("put the document of {service}"))?;
    Ok(())
}

/// Returns a document with a target in each place, and a route for large
/// downloads.
fn document_text(service: &str, targets: &[SocketAddr]) -> String {
    let head =
        format!("[service]\nname = {service}\nteam = {TEAM}\ndeadline = 5 s\nshift-cap = 40 rps\n");
    let places = PLACES.iter().zip(targets).map(|((region, az), target)| {
        format!(
            "\n[place {az}]\nregion = {region}\naz = {az}\nweight = 100\nslots = {}\ntargets = {target}\n",
            super::SLOTS_PER_TARGET
        )
    });
    let routes = "\n[route /bytes]\nlane = long\npriority = bulk\n";
    [head]
        .into_iter()
        .chain(places)
        .chain([routes.to_owned()])
        .collect()
}

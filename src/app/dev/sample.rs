//! The sample services of `dev`.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
};

use eyre::{WrapErr, eyre};

use crate::{
    adapters::store::documents::submit,
    domain::{ServiceName, TeamName},
    policy::document::{Edit, EditId},
    ports::{Clock, Store},
};

/// The services, which one team owns.
pub(super) const SERVICES: [&str; 2] = ["slotboard", "bokun"];

/// The team.
const TEAM: &str = "kitchens";

/// The places with their availability zones. Each has one entry, and one target
/// of each service.
pub(super) const PLACES: [(&str, &str); 3] = [
    ("reykjanes", "reykjanes-1"),
    ("nordurland", "nordurland-1"),
    ("austurland", "austurland-1"),
];

/// Returns the settings of an entry.
///
/// Callers are told the addresses in the settings, so free ports are found
/// before the entry binds them. Another process could take one in between, and
/// then the start fails with an error that says so.
pub(super) fn settings(n: usize, token: &str) -> io::Result<String> {
    let (region, az) = PLACES[n];
    let [callers, admin, peers] = free_addrs()?;
    let regions = PLACES.map(|(r, _)| format!("[region {r}]\nheadroom = 2000 rps\n"));
    // The store is embedded, so nothing connects to the endpoint.
    Ok(format!(
        "[entry]\nname = e{n}\nregion = {region}\naz = {az}\n\
         callers = {callers}\nadmin = {admin}\npeers = {peers}\nlinger = 0 ms\n\
         [store]\nendpoints = 127.0.0.1:1\n[team {TEAM}]\ntoken = {token}\n{}",
        regions.concat()
    ))
}

/// Returns addresses that nobody uses at the moment. All are bound before the
/// first is given back, so they differ.
fn free_addrs() -> io::Result<[SocketAddr; 3]> {
    let bind = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let held = [bind()?, bind()?, bind()?];
    let [callers, admin, peers] = &held;
    Ok([
        callers.local_addr()?,
        admin.local_addr()?,
        peers.local_addr()?,
    ])
}

/// Puts the document of a service into the store.
pub(super) async fn put(
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
        wall: (clock.wall)(),
        text: Some(document(service, targets)),
    };
    let put = submit(store, &name, None, edit).await;
    put.map_err(|e| eyre!(e))
        .wrap_err_with(|| format!("put the document of {service}"))?;
    Ok(())
}

fn document(service: &str, targets: &[SocketAddr]) -> String {
    let head =
        format!("[service]\nname = {service}\nteam = {TEAM}\ndeadline = 5 s\nshift-cap = 40 rps\n");
    let places = PLACES.iter().zip(targets).map(|((region, az), target)| {
        format!(
            "\n[place {az}]\nregion = {region}\naz = {az}\nweight = 100\nslots = {}\ntargets = {target}\n",
            super::SLOTS
        )
    });
    let routes = "\n[route /bytes]\nlane = long\npriority = bulk\n";
    [head]
        .into_iter()
        .chain(places)
        .chain([routes.to_owned()])
        .collect()
}

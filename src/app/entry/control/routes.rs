//! The RPC methods that this entry serves to its peers.

use std::sync::Arc;

use super::{claims, documents, gossip, limits, reports, shifts, strikes};
use crate::{
    adapters::grpc::{self, Ack, Fetch, FetchReply, Probe, Relay, Routes, Status, Sync, SyncReply},
    app::entry::State,
    policy::member::Nonce,
};

/// Returns the handlers of all methods.
pub(super) fn routes(state: &Arc<State>) -> Routes {
    let routes = Routes::new(state.fleet.traffic.clone()).with_events(state.events.clone());
    let s = state.clone();
    let routes = grpc::serve_probe(routes, move |probe| {
        let reply = handle_probe(&s, probe);
        async move { Ok(reply) }
    });
    let s = state.clone();
    let routes = grpc::serve_relay(routes, move |relay| {
        let s = s.clone();
        async move { handle_relay(&s, relay).await }
    });
    let s = state.clone();
    let routes = grpc::serve_sync(routes, move |sync| {
        let reply = handle_sync(&s, &sync);
        async move { Ok(reply) }
    });
    let s = state.clone();
    let routes = grpc::serve_fetch(routes, move |fetch| {
        let reply = handle_fetch(&s, &fetch);
        async move { Ok(reply) }
    });
    let s = state.clone();
    let routes = grpc::serve_limit(routes, move |batch| limits::receive(&s, batch));
    let s = state.clone();
    let routes = grpc::serve_claim(routes, move |to, request| claims::answer(&s, to, request));
    let s = state.clone();
    let routes = grpc::serve_strike(routes, move |strikes| strikes::receive(&s, &strikes));
    let s = state.clone();
    let routes = grpc::serve_report(routes, move |service| {
        (s.fleet.sender(), reports::local_report(&s, service))
    });
    let s = state.clone();
    let routes = grpc::serve_moves(routes, move || shifts::in_progress(&s));
    let s = state.clone();
    grpc::serve_events(routes, move |message| reports::local_events(&s, message))
}

fn handle_probe(state: &Arc<State>, probe: Probe) -> Ack {
    let now = (state.ports.clock.now)();
    let from = &probe.sender.entry;
    let updates = state.fleet.members().on_probe(now, from, probe.updates);
    let root = {
        let mut spread = state.fleet.dissemination();
        spread.on_root(from, probe.root);
        spread.root()
    };
    Ack {
        sender: state.fleet.sender(),
        nonce: probe.nonce,
        updates,
        root,
    }
}

async fn handle_relay(state: &Arc<State>, relay: Relay) -> Result<Ack, Status> {
    let now = (state.ports.clock.now)();
    let Relay { probe, target, to } = relay;
    let updates = state.fleet.members().on_relay(now, &target, probe.updates);
    let root = state.fleet.dissemination().root();
    let probe = Probe {
        sender: state.fleet.sender(),
        nonce: probe.nonce,
        updates,
        root,
    };
    let ack = grpc::probe(&state.fleet.peers, to, &probe).await;
    let ack = ack.map_err(|e| Status::unavailable(e.to_string()))?;
    // The reply carries updates for this entry as well. Nonce 0 matches no probe
    // round here, because the round is that of the entry that requested the relay.
    let updates = ack.updates.clone();
    let mut members = state.fleet.members();
    members.on_ack(now, &ack.sender.entry, Nonce(0), updates);
    drop(members);
    Ok(ack)
}

fn handle_sync(state: &Arc<State>, sync: &Sync) -> SyncReply {
    let (records, more) = state.fleet.members().on_digest(&sync.digest);
    SyncReply {
        sender: state.fleet.sender(),
        records,
        more,
    }
}

fn handle_fetch(state: &Arc<State>, fetch: &Fetch) -> FetchReply {
    let (revisions, root) = {
        let mut spread = state.fleet.dissemination();
        spread.on_announce(&fetch.sender.entry, &fetch.announced);
        let summary = fetch.summary.as_ref();
        let revisions = summary.map(|s| spread.on_compare(s, &mut rand::rng()));
        (revisions.unwrap_or_default(), spread.root())
    };
    if !fetch.announced.is_empty() {
        gossip::disseminate(state);
    }
    FetchReply {
        sender: state.fleet.sender(),
        revisions,
        bodies: documents::bodies(state, &fetch.services),
        root,
    }
}

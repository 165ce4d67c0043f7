//! Membership and dissemination: performs the actions that the two protocols
//! request and passes the replies back to them.

use std::sync::Arc;

use super::{documents, run_every, spawn_call};
use crate::{
    adapters::grpc::{self, Fetch, Probe, Relay, Sync},
    app::entry::{State, fleet},
    domain::{EntryId, Millis, ServiceName, write},
    policy::{
        lookup::{EntryView, RegionDelays},
        member::{Action, Event, EventKind},
        spread,
        timeline::Kind,
    },
};

/// The interval at which both protocols expect to be ticked.
const TICK_INTERVAL: Millis = Millis(100);

/// Runs both protocols.
pub(super) async fn run(state: Arc<State>) {
    let mut last_candidates = Vec::new();
    run_every(TICK_INTERVAL, move || {
        let now = (state.ports.clock.now)();
        if state.fleet.has_unknown_entries() {
            state.fleet.members().request_sync();
        }
        let actions = state.fleet.members().tick(now, &mut rand::rng());
        for action in actions {
            spawn_call(run_member_action(state.clone(), action));
        }
        emit_events(&state);
        let candidates = state.fleet.candidates(now);
        if !fleet::same_entries(&last_candidates, &candidates) {
            update_view(&state, &candidates);
            last_candidates = candidates;
        }
        disseminate(&state);
        state.fleet.peers.close_idle();
    })
    .await;
}

/// Sends the dissemination messages that are due.
pub(super) fn disseminate(state: &Arc<State>) {
    let now = (state.ports.clock.now)();
    let others = state.fleet.other_entries();
    let actions = state
        .fleet
        .dissemination()
        .tick(now, &others, &mut rand::rng());
    for action in actions {
        spawn_call(run_spread_action(state.clone(), action));
    }
}

/// Emits the membership events to the timeline.
fn emit_events(state: &State) {
    let events = state.fleet.members().take_events();
    for Event { member, kind, .. } in events {
        (state.events.emit)(event_kind(&kind), format!("{member} {kind}"));
    }
}

fn event_kind(kind: &EventKind) -> Kind {
    match kind {
        EventKind::Joined => Kind::MemberJoined,
        EventKind::Suspected => Kind::MemberSuspected,
        EventKind::Failed | EventKind::Superseded(_) => Kind::MemberDead,
        EventKind::Leaving => Kind::MemberLeft,
        EventKind::Recovered
        | EventKind::Refuted
        | EventKind::Paused(_)
        | EventKind::Restarted(_)
        | EventKind::Returned => Kind::MemberReturned,
    }
}

/// Replaces the view from which lookups choose entries.
fn update_view(state: &State, candidates: &[crate::policy::lookup::Candidate]) {
    let links = state.settings.links.iter();
    let delays = RegionDelays::new(links.map(|l| (l.from.clone(), l.to.clone(), l.delay)));
    let view = Arc::new(EntryView::new(candidates, &delays));
    *write(&state.view) = view;
}

async fn run_member_action(state: Arc<State>, action: Action) {
    let fleet = &state.fleet;
    let sender = fleet.sender();
    let root = fleet.dissemination().root();
    let now = || (state.ports.clock.now)();
    match action {
        Action::Probe { to, nonce, updates } => {
            let probe = Probe {
                sender,
                nonce,
                updates,
                root,
            };
            match grpc::probe(&fleet.peers, to, &probe).await {
                Ok(ack) => handle_ack(&state, &ack.sender.entry.clone(), ack),
                Err(_) => fleet.members().on_error(nonce),
            }
        }
        Action::Relay {
            via,
            target,
            to,
            nonce,
            updates,
        } => {
            let probe = Probe {
                sender,
                nonce,
                updates,
                root,
            };
            let relay = Relay {
                probe,
                target: target.clone(),
                to,
            };
            if let Ok(ack) = grpc::relay(&fleet.peers, via, &relay).await {
                handle_ack(&state, &target, ack);
            }
        }
        Action::Sync { to, digest } => {
            let sync = Sync { sender, digest };
            if let Ok(reply) = grpc::sync(&fleet.peers, to, &sync).await {
                let from = reply.sender.entry;
                fleet
                    .members()
                    .on_records(now(), &from, reply.records, reply.more);
            }
        }
    }
}

fn handle_ack(state: &State, from: &EntryId, ack: Probe) {
    let now = (state.ports.clock.now)();
    state
        .fleet
        .members()
        .on_ack(now, from, ack.nonce, ack.updates);
    let agrees = {
        let mut spread = state.fleet.dissemination();
        spread.on_root(from, ack.root);
        spread.root() == ack.root
    };
    if agrees {
        state.set_documents_loaded();
    }
}

async fn run_spread_action(state: Arc<State>, action: spread::Action) {
    let request = Fetch::new(state.fleet.sender());
    match action {
        spread::Action::Announce { to, announcements } => {
            let request = Fetch {
                announced: announcements,
                ..request
            };
            send(&state, &to, &request).await;
        }
        spread::Action::Compare { with, summary } => {
            let request = Fetch {
                summary: Some(summary),
                ..request
            };
            send(&state, &with, &request).await;
        }
        spread::Action::Pull { from, services } => pull(&state, &from, request, services).await,
    }
}

async fn send(state: &Arc<State>, to: &EntryId, request: &Fetch) {
    let Some(address) = state.fleet.address(to) else {
        return;
    };
    if let Ok(reply) = grpc::fetch(&state.fleet.peers, address, request).await {
        state
            .fleet
            .dissemination()
            .on_announce(to, &reply.revisions);
        disseminate(state);
    }
}

async fn pull(state: &Arc<State>, from: &EntryId, request: Fetch, services: Vec<ServiceName>) {
    let request = Fetch {
        services: services.clone(),
        ..request
    };
    let reply = match state.fleet.address(from) {
        Some(address) => grpc::fetch(&state.fleet.peers, address, &request)
            .await
            .ok(),
        None => None,
    };
    let Some(reply) = reply else {
        state.fleet.dissemination().on_error(from, &services);
        return;
    };
    let received = reply.bodies.len();
    for body in reply.bodies {
        documents::receive(state, body);
    }
    state
        .fleet
        .dissemination()
        .on_pulled(from, &services, received);
    // Announces the new revisions at once instead of at the next tick, since the
    // delay would add up over the hops through the fleet.
    disseminate(state);
}

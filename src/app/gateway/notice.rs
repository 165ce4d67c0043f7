//! Records what targets say about themselves with their responses.

use std::sync::Arc;

use super::{State, now};
use crate::{
    domain::{Millis, ServiceName},
    policy::balance::{PauseEffect, PauseRequest, TargetNotice, Ticket},
};

/// A notice of a target, with the attempt whose response it came with.
pub(super) struct Received<'a> {
    pub service: &'a ServiceName,
    pub ticket: &'a Ticket,
    /// The request id for logs.
    pub request: &'a str,
    pub notice: &'a TargetNotice,
}

/// Records a notice and logs what it changed.
pub(super) fn record(state: &Arc<State>, received: &Received<'_>) {
    let Received {
        service,
        ticket,
        request,
        notice,
    } = received;
    if **notice == TargetNotice::default() {
        return;
    }
    let at = now(state);
    let effect = state
        .pools
        .get(service, |pool| pool.record_notice(at, ticket, notice))
        .unwrap_or_default();
    let target = &ticket.id;
    if effect.leaving {
        tracing::info!(%service, %target, request, "gateway: target is leaving.");
    }
    match effect.pause {
        Some(PauseEffect::Begun { until }) => {
            let pause_ms = (until - at).0;
            tracing::info!(%service, %target, request, pause_ms, "gateway: target paused.");
            tokio::spawn(log_end(
                state.clone(),
                (*service).clone(),
                (*ticket).clone(),
                until,
            ));
        }
        Some(PauseEffect::Extended { until }) => {
            let pause_ms = (until - at).0;
            tracing::info!(%service, %target, request, pause_ms, "gateway: pause of target extended.");
        }
        Some(PauseEffect::Unreadable) => {
            let value = match &notice.pause {
                PauseRequest::Unreadable(value) => value.as_str(),
                _ => "",
            };
            tracing::warn!(%service, %target, request, value, "gateway: unreadable pause ignored.");
        }
        None => {}
    }
}

/// Waits for the end of a pause, also if it is extended, and logs it.
async fn log_end(state: Arc<State>, service: ServiceName, ticket: Ticket, mut until: Millis) {
    loop {
        // The last instant of the pause belongs to it.
        let left = until + Millis(1) - now(&state);
        tokio::time::sleep(left.duration()).await;
        let at = now(&state);
        let later = state
            .pools
            .get(&service, |pool| pool.paused_until(at, &ticket));
        match later.flatten() {
            Some(later) => until = later,
            None => break,
        }
    }
    tracing::info!(%service, target = %ticket.id, "gateway: pause of target ended.");
}

//! Moves of traffic: takes the next step when it is time.

use std::sync::Arc;

use super::every;
use crate::{
    app::entry::State,
    domain::Millis,
    policy::{shift::Pace, timeline::Kind},
};

/// How often a move is looked at.
const PERIOD: Millis = Millis(250);

/// Runs the moves of all services.
pub(super) async fn run(state: Arc<State>) {
    every(PERIOD, move || {
        let now = (state.ports.clock.now)();
        let mut ended = Vec::new();
        state.services.each(|name, service| {
            let pace = service.shift.as_mut().map(|s| s.tick(None, now));
            if pace == Some(Pace::Finished) {
                ended.push(name.clone());
            }
        });
        for name in ended {
            (state.events.emit)(Kind::ShiftCompleted, name.to_string());
        }
    })
    .await;
}

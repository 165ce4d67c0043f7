//! Emits the events that follow from the entry's state.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use super::port;
use crate::{
    app::entry::State,
    policy::timeline::{Look, events_between},
};

/// The time between two looks. A look visits every document once.
const PERIOD: Duration = Duration::from_millis(500);

/// Starts the looks, which end with the entry.
pub(super) fn spawn(state: &Arc<State>) {
    tokio::spawn(run(Arc::downgrade(state)));
}

async fn run(state: Weak<State>) {
    let mut before = Look::default();
    loop {
        tokio::time::sleep(PERIOD).await;
        // The state is held only while it is looked at, so that it can end.
        let Some(state) = state.upgrade() else { break };
        let after = look(&state);
        for (kind, text) in events_between(&before, &after) {
            (state.events.emit)(kind, text);
        }
        before = after;
    }
}

fn look(state: &State) -> Look {
    Look {
        ready: state.unready_reason().is_none(),
        store_down: !state.ports.metrics.store_up(),
        leaving: port::leaving_here(state),
    }
}

//! Emits the events that follow from changes of the entry's state.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use super::port;
use crate::{
    app::entry::State,
    policy::timeline::{StateSnapshot, events_between},
};

/// The interval between two observations. Each of them visits every document once.
const OBSERVE_PERIOD: Duration = Duration::from_millis(500);

/// Starts the task that observes the state. It ends when the state is dropped.
pub(super) fn spawn(state: &Arc<State>) {
    tokio::spawn(run(Arc::downgrade(state)));
}

async fn run(state: Weak<State>) {
    let mut before = StateSnapshot::default();
    loop {
        tokio::time::sleep(OBSERVE_PERIOD).await;
        // Holds the state only during an observation, so that it can be dropped.
        let Some(state) = state.upgrade() else { break };
        let after = observe(&state);
        for (kind, text) in events_between(&before, &after) {
            (state.events.emit)(kind, text);
        }
        before = after;
    }
}

fn observe(state: &State) -> StateSnapshot {
    StateSnapshot {
        ready: state.unready_reason().is_none(),
        store_down: !state.ports.metrics.store_up(),
        leaving: port::running_by_subject(state),
    }
}

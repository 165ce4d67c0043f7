//! What an entry measures of itself: gauges, and the load that peers see.

use std::sync::Arc;

use super::every;
use crate::{
    adapters::metrics::{ServiceLabel, StateLabel, UnitLabels},
    app::entry::State,
    domain::Millis,
    policy::{
        lookup::{LoadGauge, LoadLevel},
        member::{self, Load},
    },
};

/// How often gauges are set. Scrapes are rarer.
const PERIOD: Millis = Millis(1_000);

/// Measures.
pub(super) async fn run(state: Arc<State>) {
    let mut gauge = LoadGauge::default();
    every(PERIOD, move || {
        services(&state);
        members(&state);
        limits(&state);
        load(&state, &mut gauge);
    })
    .await;
}

fn services(state: &State) {
    let revisions = &state.ports.metrics.revision;
    state.services.each(|name, s| {
        let label = ServiceLabel {
            service: name.to_string(),
        };
        let revision = i64::try_from(s.doc.revision().0).unwrap_or(i64::MAX);
        revisions.get_or_create(&label).set(revision);
    });
}

fn members(state: &State) {
    let states = [
        (member::State::Alive, "alive"),
        (member::State::Suspect, "suspect"),
        (member::State::Leaving, "left"),
        (member::State::Dead, "dead"),
    ];
    let members = state.fleet.members();
    for (known, word) in states {
        let count = members.all().filter(|(_, s)| *s == known).count();
        let gauge = &state.ports.metrics.members;
        let gauge = gauge.get_or_create(&StateLabel { state: word });
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}

fn limits(state: &State) {
    let units = &state.ports.metrics.units;
    state.limits.each(|name, ledger| {
        let status = ledger.status();
        let home = (status.usable + status.lent).saturating_sub(status.borrowed);
        let kinds = [
            ("home", home),
            ("lent", status.lent),
            ("borrowed", status.borrowed),
            ("used", status.busy),
        ];
        for (kind, count) in kinds {
            let limit = name.to_string();
            let gauge = units.get_or_create(&UnitLabels { limit, kind });
            gauge.set(count.into());
        }
    });
}

/// Tells the peers how loaded this entry is: requests that run or wait, in parts
/// of the connections that it may have.
fn load(state: &State, gauge: &mut LoadGauge) {
    let mut used = u64::from(state.running());
    state.services.each(|_, s| used += s.waiting() as u64);
    let level = gauge.observe(used, state.settings.connections.into());
    // An entry that is not ready has no slots.
    let unready = state.unready_reason().is_some();
    state.fleet.members().set_load(match level {
        _ if unready => Load::Severe,
        LoadLevel::Normal => Load::Normal,
        LoadLevel::Busy => Load::High,
        LoadLevel::Overloaded => Load::Severe,
    });
}

//! Gauges of the metrics, and the load level that this entry reports to its
//! peers.

use std::sync::Arc;

use super::run_every;
use crate::{
    adapters::metrics::{ServiceLabel, StateLabel, UnitLabels},
    app::entry::{State, quota},
    domain::Millis,
    policy::{
        lookup::{LoadGauge, LoadLevel},
        member::{self, Load},
    },
};

/// How often the gauges are set. Metrics are scraped less often.
const UPDATE_PERIOD: Millis = Millis(1_000);

/// Updates the gauges and the load level periodically.
pub(super) async fn run(state: Arc<State>) {
    let mut gauge = LoadGauge::default();
    run_every(UPDATE_PERIOD, move || {
        set_revisions(&state);
        count_members(&state);
        set_units(&state);
        report_load(&state, &mut gauge);
        quota::tidy(&state);
    })
    .await;
}

fn set_revisions(state: &State) {
    let revisions = &state.ports.metrics.revision;
    state.services.each(|name, s| {
        let label = ServiceLabel {
            service: name.to_string(),
        };
        let revision = i64::try_from(s.doc.revision().0).unwrap_or(i64::MAX);
        revisions.get_or_create(&label).set(revision);
    });
}

fn count_members(state: &State) {
    let states = [
        (member::State::Alive, "alive"),
        (member::State::Suspect, "suspect"),
        (member::State::Leaving, "left"),
        (member::State::Dead, "dead"),
    ];
    let members = state.fleet.members();
    for (known, label) in states {
        let count = members.all().filter(|(_, s)| *s == known).count();
        let gauge = &state.ports.metrics.members;
        let gauge = gauge.get_or_create(&StateLabel { state: label });
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}

fn set_units(state: &State) {
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

/// Reports the load level of this entry to its peers: the ratio of running and
/// waiting requests to the maximum number of connections.
fn report_load(state: &State, gauge: &mut LoadGauge) {
    let mut used = u64::from(state.running());
    state.services.each(|_, s| used += s.waiting() as u64);
    let level = gauge.observe(used, state.settings.connections.into());
    // An entry that is not ready has no slots, so it reports the highest load.
    let unready = state.unready_reason().is_some();
    state.fleet.members().set_load(match level {
        _ if unready => Load::Severe,
        LoadLevel::Normal => Load::Normal,
        LoadLevel::Busy => Load::High,
        LoadLevel::Overloaded => Load::Severe,
    });
}

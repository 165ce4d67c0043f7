//! Serves changes of the platform, tokens of quotas and strikes to other entries.

use std::sync::Arc;

use eyre::WrapErr;
use tokio::time::timeout;

use super::{State, crashes, feed, now, quota};
use crate::{
    adapters::grpc::{self, Routes, Sender, Server},
    domain::{Millis, Position, Revision},
    ports::{AgedBatch, Batch, Change, ChangesQuery, FetchError},
};

/// Starts the server for other entries, if the settings have an address for it.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(super) async fn bind(state: &Arc<State>) -> eyre::Result<Option<Server>> {
    let Some(addr) = state.settings().control else {
        return Ok(None);
    };
    let quotas = state.clone();
    let routes = grpc::serve_quota(Routes::default(), move |ask| {
        let state = quotas.clone();
        async move { quota::answer(&state, &ask) }
    });
    let strikes = state.clone();
    let routes = grpc::serve_strike(routes, move |notices| {
        let lacking = crashes::receive(&strikes, &notices);
        (Sender::without_roster(&crashes::member(&strikes)), lacking)
    });
    let state = state.clone();
    let routes = grpc::serve_changes(routes, move |query| {
        let state = state.clone();
        async move {
            let ChangesQuery {
                after,
                has_era,
                wait,
                report,
            } = query;
            let Some(after) = after else {
                return full_state(&state, wait).await;
            };
            state.record_follower(now(&state) + wait);
            if let Some(report) = report {
                state.record_report(report);
            }
            if has_era {
                changes_after(&state, after, wait).await
            } else {
                changes_without_era(&state, after.revision, wait).await
            }
        }
    });
    let server = grpc::bind(addr, routes).await;
    Ok(Some(server.wrap_err("start the server for other entries")?))
}

/// Returns the changes after a position and the demand of the region. Waits up to `wait`
/// for the first change, but not if the other entry is in a later era, of which this one
/// knows nothing.
async fn changes_after(
    state: &State,
    after: Position,
    wait: Millis,
) -> Result<AgedBatch, FetchError> {
    let mut positions = state.subscribe_position();
    let newer = positions.wait_for(|known| *known > after || known.era < after.era);
    // After a timeout the empty response confirms that nothing has changed.
    let _ = timeout(wait.duration(), newer).await.is_ok();
    logged_changes(state, after)
}

/// Returns the changes that an entry of an earlier version lacks, which knows no eras
/// and keeps the largest revision that it has seen.
///
/// Its revision is taken for one of the current era. As long as the log contains the
/// begin of that era, it is taken for one of the former era: the entry then gets all
/// changes of the current one with each reply, because nothing says which of them it
/// has. What this entry defers is left out until it takes effect here. Otherwise all
/// entries of that version would read the store side by side, and again and again, as
/// revisions below their own count for nothing there.
async fn changes_without_era(
    state: &State,
    after: Revision,
    wait: Millis,
) -> Result<AgedBatch, FetchError> {
    let mut positions = state.subscribe_position();
    let current = Position::new(state.era(), after);
    let is_new_era = state.change_log().era_begin().is_some();
    if is_new_era {
        let _ = timeout(wait.duration(), positions.changed()).await.is_ok();
    } else {
        let newer = positions.wait_for(|known| *known > current);
        let _ = timeout(wait.duration(), newer).await.is_ok();
    }
    // The era may have begun during the wait.
    let begin = state.change_log().era_begin();
    let Some(end) = begin else {
        return logged_changes(state, current);
    };
    let former = Position::new(end.era, after.min(end.revision));
    let mut aged = logged_changes(state, former)?;
    let Batch { changes, position } = &mut aged.batch;
    position.revision = position.revision.max(end.revision).max(after);
    changes.retain(|change| !feed::is_doubtful(state, change));
    for change in changes {
        // Without a revision, registrations are ordered by the target's own numbers.
        if let Change::Registered(instance) = change {
            instance.position = Position::default();
        }
    }
    Ok(aged)
}

/// Returns the changes after a position and the demand of the region.
fn logged_changes(state: &State, after: Position) -> Result<AgedBatch, FetchError> {
    let demand = state.demand_total();
    let log = state.change_log();
    let changes = log.changes_after(after).ok_or(FetchError::Compacted)?;
    Ok(AgedBatch {
        batch: Batch {
            changes,
            position: log.position(),
        },
        age: now(state) - log.as_of(),
        has_gap: log.has_gap_after(after),
        demand: Some(demand),
    })
}

/// Returns the complete state of the platform as this entry knows it. Waits up to `wait`
/// until it has read any: at a start of all entries the others ask it before that.
async fn full_state(state: &State, wait: Millis) -> Result<AgedBatch, FetchError> {
    let mut positions = state.subscribe_position();
    let is_known = |position: &Position| *position > Position::default();
    let known = timeout(wait.duration(), positions.wait_for(is_known)).await;
    if !matches!(known, Ok(Ok(_))) {
        return Err(FetchError::Empty);
    }
    let position = state.settled_position();
    let at = state.change_log().as_of();
    // The state is read after the position, so it may already contain later
    // changes. The other entry gets those again with its next request.
    let table = state.table();
    let configuration = table.map(|t| Change::Configured(Box::new(t.configuration())));
    let mut changes = Vec::from_iter(configuration);
    let evacuated = state.evacuated();
    changes.extend(evacuated.iter().cloned().map(Change::Evacuated));
    changes.extend(state.entries().all().cloned().map(Change::Joined));
    changes.extend(state.registry().targets().cloned().map(Change::Registered));
    Ok(AgedBatch {
        batch: Batch { changes, position },
        age: now(state) - at,
        has_gap: false,
        demand: None,
    })
}

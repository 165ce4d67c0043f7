//! The roster: proposes the next one when entries join or when the platform
//! reports that their VMs are gone.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::{
    adapters::store::{
        roster::{self as encoding, RosterRecord},
        vms,
    },
    app::entry::State,
    domain::{EntryId, Millis, Revision},
    policy::member::{Proposer, Roster, Vm, next_roster, proposers},
    ports::{StoreError, Write},
};

/// How often an entry checks whether the roster has to change.
const CHECK_PERIOD: Millis = Millis(250);

/// How often a proposer reads the platform's list of VMs if no entry is joining.
/// The list itself lags by more than this.
const LIST_INTERVAL: Millis = Millis(5_000);

/// How long a stopping entry waits for its removal from the roster in the store.
const LEAVE_TIMEOUT: Millis = Millis(2_000);

/// How many entries act as proposers. The others do not read the list of VMs.
const PROPOSERS_MAX: usize = 3;

/// Proposes a roster when one is due.
pub(super) async fn run(state: Arc<State>) {
    let mut proposer = Proposer::default();
    let mut vms = BTreeMap::new();
    let mut listed: Option<Millis> = None;
    super::store::wait_for_peers(&state).await;
    loop {
        tokio::time::sleep(CHECK_PERIOD.duration()).await;
        let now = (state.ports.clock.now)();
        let Some(rank) = rank(&state).filter(|r| *r < PROPOSERS_MAX) else {
            continue;
        };
        let joining = pending_roster(&state, &vms).is_some() || awaits_vm(&state, &vms);
        let interval = if joining {
            Millis(CHECK_PERIOD.0 * 2)
        } else {
            LIST_INTERVAL
        };
        if listed.is_none_or(|at| now - at >= interval) {
            listed = Some(now);
            if let Ok(snapshot) = (state.ports.store.list)(vms::KEY_PREFIX).await {
                vms = vms::read(&snapshot.records);
            }
        }
        let pending = pending_roster(&state, &vms).is_some();
        if proposer.due(now, rank, pending)
            && let Err(e) = propose(&state, &vms).await
        {
            tracing::info!("roster: the proposal failed: {e}.");
        }
    }
}

fn rank(state: &State) -> Option<usize> {
    let epoch = state.fleet.rosters().epoch();
    let members = state.fleet.members();
    let order = proposers(epoch, members.alive());
    order.iter().position(|id| **id == members.local().id)
}

/// Returns whether the platform does not list the VM of a live entry yet.
fn awaits_vm(state: &State, vms: &BTreeMap<EntryId, Vm>) -> bool {
    let members = state.fleet.members();
    members.alive().any(|m| !vms.contains_key(&m.id))
}

/// Returns the roster that should replace the current one, if it has to change.
fn pending_roster(state: &State, vms: &BTreeMap<EntryId, Vm>) -> Option<Roster> {
    let rosters = state.fleet.rosters();
    successor(state, &rosters.record.current, vms)
}

fn successor(state: &State, current: &Roster, vms: &BTreeMap<EntryId, Vm>) -> Option<Roster> {
    let members = state.fleet.members();
    let mut vms = vms.clone();
    for (name, vm) in &mut vms {
        // A leaving entry still finishes requests. Its units stay reserved until
        // it removes itself from the roster or its VM is gone.
        vm.leaving = false;
        // A later incarnation has bound the same address, so the former process
        // on that VM has ended.
        if let Some((member, _)) = members.get(name) {
            vm.incarnation = vm.incarnation.max(member.incarnation);
        }
    }
    next_roster(current, members.alive(), &vms)
}

/// Writes the next roster, unless another entry has written one in the meantime.
async fn propose(state: &Arc<State>, vms: &BTreeMap<EntryId, Vm>) -> Result<(), StoreError> {
    let (stored, revision) = read(state).await?;
    state.adopt_roster(stored.clone());
    let Some(current) = successor(state, &stored.current, vms) else {
        return Ok(());
    };
    write(state, stored.current, current, revision).await
}

/// Reads the roster from which the next one follows, and the revision of the stored
/// one.
async fn read(state: &State) -> Result<(RosterRecord, Revision), StoreError> {
    let found = (state.ports.store.get)(encoding::KEY).await?;
    let Some(found) = found else {
        let stored = RosterRecord::default();
        return Ok((latest(state, stored), Revision::default()));
    };
    match encoding::decode(&found.value) {
        Ok(stored) => Ok((latest(state, stored), found.revision)),
        Err(e) => Err(StoreError::Down {
            step: "read the roster",
            peer: "store".to_owned(),
            cause: e.to_string(),
        }),
    }
}

/// Returns the stored roster or, if that is from an older copy of the store, the one
/// that this entry has. An epoch that follows the older one may have been given out
/// already, so that entries with different rosters would take them for the same.
fn latest(state: &State, stored: RosterRecord) -> RosterRecord {
    let rosters = state.fleet.rosters();
    let own = &rosters.record;
    if stored.current.epoch > own.current.epoch || stored.current == own.current {
        return stored;
    }
    tracing::warn!(
        "roster: the store has epoch {}, older than {} here, which the next one follows.",
        stored.current.epoch,
        own.current.epoch
    );
    own.clone()
}

async fn write(
    state: &Arc<State>,
    former: Roster,
    current: Roster,
    expected: Revision,
) -> Result<(), StoreError> {
    let record = RosterRecord {
        addresses: addresses(state, &current),
        former,
        current,
    };
    let Ok(value) = encoding::encode(&record) else {
        return Ok(());
    };
    let write = Write {
        key: encoding::KEY,
        value: Some(value),
        expected,
    };
    // If the reply is lost, the watch shows whether the write took effect.
    (state.ports.store.write)(write).await?;
    tracing::info!(
        "roster: epoch {} has {} entries.",
        record.current.epoch,
        record.current.seats.len()
    );
    state.adopt_roster(record);
    Ok(())
}

/// Returns the known addresses of the entries of a roster.
fn addresses(state: &State, roster: &Roster) -> BTreeMap<EntryId, SocketAddr> {
    let seats = roster.seats.iter();
    let named = seats.map(|s| Some((s.entry.clone(), state.fleet.address(&s.entry)?)));
    named.flatten().collect()
}

/// Removes this entry from the roster at the end of a planned stop, after all of
/// its requests have ended. If the store is unavailable, the seat stays until the
/// platform reports that the VM is gone.
pub(in crate::app::entry) async fn leave_roster(state: &Arc<State>) {
    let leave = async {
        let (stored, revision) = read(state).await?;
        let me = &state.me;
        let mut current = stored.current.clone();
        current
            .seats
            .retain(|s| s.entry != me.entry || s.incarnation != me.incarnation);
        if current.seats.len() == stored.current.seats.len() {
            return Ok(());
        }
        current.epoch = current.epoch.next();
        write(state, stored.current, current, revision).await
    };
    match tokio::time::timeout(LEAVE_TIMEOUT.duration(), leave).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => tracing::info!("roster: this entry keeps its seat: {e}."),
        Err(_) => tracing::info!("roster: this entry keeps its seat: the store does not reply."),
    }
}

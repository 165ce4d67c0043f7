//! The roster: proposes the next one when entries come or the platform says that
//! they are gone.

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

/// How often an entry looks whether the roster has to change.
const PERIOD: Millis = Millis(250);

/// How often the first proposer reads the platform's list. The list lags by more
/// than this.
const LIST: Millis = Millis(5_000);

/// How long an entry that stops waits for the store to take it off the roster.
const LEAVE: Millis = Millis(2_000);

/// How many entries may have to propose, so that the others read no list.
const RANKS: usize = 3;

/// Proposes rosters.
pub(super) async fn run(state: Arc<State>) {
    let mut proposer = Proposer::default();
    let mut vms = BTreeMap::new();
    let mut listed: Option<Millis> = None;
    super::store::meet(&state).await;
    loop {
        tokio::time::sleep(PERIOD.duration()).await;
        let now = (state.ports.clock.now)();
        let Some(rank) = rank(&state).filter(|r| *r < RANKS) else {
            continue;
        };
        let joining = next(&state, &vms).is_some() || is_missing(&state, &vms);
        let rest = if joining { Millis(PERIOD.0 * 2) } else { LIST };
        if listed.is_none_or(|at| now - at >= rest) {
            listed = Some(now);
            if let Ok(snapshot) = (state.ports.store.list)(vms::KEY_PREFIX).await {
                vms = vms::read(&snapshot.records);
            }
        }
        let pending = next(&state, &vms).is_some();
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

/// Tells whether a live entry waits for the platform to list its VM.
fn is_missing(state: &State, vms: &BTreeMap<EntryId, Vm>) -> bool {
    let members = state.fleet.members();
    members.alive().any(|m| !vms.contains_key(&m.id))
}

/// Returns the roster that should follow the one in force.
fn next(state: &State, vms: &BTreeMap<EntryId, Vm>) -> Option<Roster> {
    let rosters = state.fleet.rosters();
    follow(state, &rosters.record.current, vms)
}

fn follow(state: &State, present: &Roster, vms: &BTreeMap<EntryId, Vm>) -> Option<Roster> {
    let members = state.fleet.members();
    let mut vms = vms.clone();
    for (name, vm) in &mut vms {
        // An entry that leaves still finishes requests. Its units stay reserved
        // until it takes itself off the roster or its VM is gone.
        vm.leaving = false;
        // A later life at the same address has bound it, so the former process
        // on that VM has ended.
        if let Some((member, _)) = members.get(name) {
            vm.incarnation = vm.incarnation.max(member.incarnation);
        }
    }
    next_roster(present, members.alive(), &vms)
}

/// Writes the next roster if nobody else wrote first.
async fn propose(state: &Arc<State>, vms: &BTreeMap<EntryId, Vm>) -> Result<(), StoreError> {
    let (present, revision) = read(state).await?;
    state.adopt_roster(present.clone());
    let Some(current) = follow(state, &present.current, vms) else {
        return Ok(());
    };
    write(state, present.current, current, revision).await
}

async fn read(state: &State) -> Result<(RosterRecord, Revision), StoreError> {
    let found = (state.ports.store.get)(encoding::KEY).await?;
    let Some(found) = found else {
        return Ok((RosterRecord::default(), Revision::default()));
    };
    match encoding::decode(&found.value) {
        Ok(record) => Ok((record, found.revision)),
        Err(e) => Err(StoreError::Down {
            step: "read the roster",
            peer: "store".to_owned(),
            cause: e.to_string(),
        }),
    }
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
    // If the answer is lost, the watch tells whether the write took effect.
    (state.ports.store.write)(write).await?;
    tracing::info!(
        "roster: epoch {} has {} entries.",
        record.current.epoch,
        record.current.seats.len()
    );
    state.adopt_roster(record);
    Ok(())
}

/// Returns the addresses of the entries of a roster, as far as they are known.
fn addresses(state: &State, roster: &Roster) -> BTreeMap<EntryId, SocketAddr> {
    let seats = roster.seats.iter();
    let named = seats.map(|s| Some((s.entry.clone(), state.fleet.address(&s.entry)?)));
    named.flatten().collect()
}

/// Takes this entry off the roster at the end of a planned stop, when none of
/// its requests runs any more. Without the store its seat stays until the
/// platform reports the VM gone.
pub(in crate::app::entry) async fn leave_roster(state: &Arc<State>) {
    let leave = async {
        let (present, revision) = read(state).await?;
        let me = &state.me;
        let mut current = present.current.clone();
        current
            .seats
            .retain(|s| s.entry != me.entry || s.incarnation != me.incarnation);
        if current.seats.len() == present.current.seats.len() {
            return Ok(());
        }
        current.epoch = current.epoch.next();
        write(state, present.current, current, revision).await
    };
    match tokio::time::timeout(LEAVE.duration(), leave).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => tracing::info!("roster: the seat stays: {e}."),
        Err(_) => tracing::info!("roster: the seat stays, the store does not answer."),
    }
}

//! Requests that crash the targets that run them.
//!
//! A connection that breaks before the response is no proof: targets reset connections
//! beyond their limit and close idle ones. So the entry checks shortly after whether the
//! target still listens. If not, each request that broke a connection to it gets a strike,
//! but only one for all of its attempts: when many targets crash together, a proper request
//! may meet two of them. Two strikes block the request at all entries, because its caller
//! repeats it at any of them. See [`policy::crash`](crate::policy::crash) and
//! [docs/design.md](../../../docs/design.md), section 3.11.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, AtomicU32, Ordering::Relaxed},
};

use rand::seq::IteratorRandom;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::{State, exchange::BrokenConn, now, request::RoutedRequest};
use crate::{
    domain::{EntryId, Incarnation, Millis, Presence, Shards, TargetId, lock},
    policy::{
        crash::{
            Admission, Failure, FailureCause, RecentSuccesses, Stage, StrikeNotice, StrikeTable,
            is_strike, neighbour_places,
        },
        once::{Fingerprint, Member},
        refusal::Refusal,
    },
    ports::{Listener, StrikeCall},
};

/// The time from a broken connection to the check of the target. The kernel closes the
/// sockets of a process that has ended one after the other, the listener in no fixed order.
const CHECK_DELAY: Millis = Millis(100);

/// The number of bits of a fingerprint that select its shard. They are the highest ones, so
/// that the shards are in the order of the fingerprints.
const SHARD_BITS: u32 = 4;

/// The maximum number of fingerprints with strikes, about 100 bytes each.
const FINGERPRINTS_MAX: usize = 1_024;

/// The number of requests whose success is remembered, 48 bytes each.
const SUCCESSES_MAX: usize = 2_048;

/// The maximum number of requests that wait for the check of one target.
const SUSPECTS_MAX: usize = 64;

/// How many entries are told of a strike directly. Each of them passes on what
/// is new to it, so that the cost for one entry does not grow with the fleet.
const NOTICE_FANOUT: usize = 4;

/// The maximum number of strikes that an entry passes on at once in each
/// [`COMPARE_PERIOD`]. When many targets crash together, the others spread by comparison.
const NOTICES_MAX: u32 = 8;

/// How often an entry compares its strikes with those of one other entry.
const COMPARE_PERIOD: Millis = Millis(1_000);

/// The largest number of notices in one comparison.
const PAGE_LEN: usize = 64;

/// What this entry knows of requests that crash targets. Each lock is held for one
/// decision and never together with another.
#[derive(Debug)]
pub(super) struct Crashes {
    me: Member,
    shards: Vec<Mutex<Shard>>,
    /// The requests that wait for the check of a target.
    suspects: Shards<TargetId, Vec<Suspect>>,
    /// The number of notices that were passed on at once in the current period.
    sent_notices: AtomicU32,
}

/// What is known of the requests of some fingerprints.
#[derive(Debug)]
struct Shard {
    strikes: StrikeTable,
    successes: RecentSuccesses,
}

/// A request that broke the connection to a target.
#[derive(Debug)]
struct Suspect {
    fingerprint: Fingerprint,
    /// The request id, for logs.
    request: String,
    /// Whether the target was known to be leaving.
    leaving: bool,
    /// Whether the request ran alone on trial, or has broken a connection before.
    persistent: bool,
    /// Whether an attempt of the same request has led to a strike.
    struck: Arc<AtomicBool>,
}

impl Crashes {
    pub fn new(name: &EntryId) -> Self {
        let me = Member {
            entry: name.clone(),
            incarnation: Incarnation(rand::random()),
        };
        let count = 1 << SHARD_BITS;
        let shard = |_| {
            Mutex::new(Shard {
                strikes: StrikeTable::new(me.clone(), FINGERPRINTS_MAX / count),
                successes: RecentSuccesses::with_slots(SUCCESSES_MAX / count),
            })
        };
        Self {
            shards: (0..count).map(shard).collect(),
            me,
            suspects: Shards::new(),
            sent_notices: AtomicU32::new(0),
        }
    }

    /// Returns the numbers of requests with strikes and of blocked ones.
    pub fn counts(&self, now: Millis) -> (usize, usize) {
        let counts = self.shards.iter().map(|shard| {
            let Shard { strikes, .. } = &*lock(shard);
            (strikes.len(), strikes.blocked_count(now))
        });
        counts.fold((0, 0), |sum, n| (sum.0 + n.0, sum.1 + n.1))
    }

    /// Returns up to [`PAGE_LEN`] notices after a fingerprint, in order.
    fn page(&self, after: Option<Fingerprint>, now: Millis) -> Vec<StrikeNotice> {
        let mut page = Vec::new();
        for shard in &self.shards {
            let left = PAGE_LEN - page.len();
            page.extend(lock(shard).strikes.page(after, left, now));
        }
        page
    }

    fn shard(&self, fingerprint: Fingerprint) -> MutexGuard<'_, Shard> {
        let index = fingerprint.0 >> (u128::BITS - SHARD_BITS);
        lock(&self.shards[usize::try_from(index).unwrap_or_default()])
    }
}

/// A trial of a request with a strike. It ends when this value is dropped.
pub(super) struct Trial {
    state: Arc<State>,
    fingerprint: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let crashes = self.state.crashes();
        let mut shard = crashes.shard(self.fingerprint);
        shard.strikes.end_trial(self.fingerprint);
    }
}

/// Admits a request unless it is blocked. Returns a trial if it has a strike.
///
/// # Errors
///
/// Returns the refusal if the request is blocked or on trial.
pub(super) fn admit(
    state: &Arc<State>,
    fingerprint: Fingerprint,
) -> Result<Option<Trial>, Refusal> {
    let at = now(state);
    let admission = state
        .crashes()
        .shard(fingerprint)
        .strikes
        .admit(fingerprint, at);
    match admission {
        Admission::Unrestricted => Ok(None),
        Admission::Trial => Ok(Some(Trial {
            state: state.clone(),
            fingerprint,
        })),
        Admission::Refused(refusal) => Err(refusal),
    }
}

/// Returns whether a request whose latest attempt failed may not be sent again.
/// `broken` says whether that attempt broke its connection, which is not checked yet.
pub(super) fn forbids_retry(state: &State, fingerprint: Fingerprint, broken: bool) -> bool {
    let at = now(state);
    let Shard { strikes, .. } = &*state.crashes().shard(fingerprint);
    strikes.is_blocked(fingerprint, at) || (broken && strikes.count(fingerprint, at) > 0)
}

/// Records that a target answered a request without a server error, which clears its
/// strikes. Other entries learn of that by comparison.
pub(super) fn record_success(state: &State, fingerprint: Fingerprint) {
    let at = now(state);
    let mut shard = state.crashes().shard(fingerprint);
    shard.successes.insert(fingerprint, at);
    shard.strikes.clear(fingerprint, at);
}

/// Records that a request broke the connection to its target before the response, and
/// checks the target unless a check is pending. `persistent` says whether the request ran
/// alone on trial or has broken a connection before, so that an earlier success does not
/// speak for it. `struck` belongs to the request and says whether it has got a strike.
pub(super) fn record_break(
    state: &Arc<State>,
    routed: &RoutedRequest,
    conn: &BrokenConn,
    persistent: bool,
    struck: &Arc<AtomicBool>,
) {
    let target = conn.target;
    let suspect = Suspect {
        fingerprint: routed.fingerprint,
        request: routed.label().to_owned(),
        leaving: conn.leaving,
        persistent,
        struck: struck.clone(),
    };
    let suspects = &state.crashes().suspects;
    let is_first = suspects.with(target, Vec::new, |waiting| {
        let is_first = waiting.is_empty();
        if waiting.len() < SUSPECTS_MAX {
            waiting.push(suspect);
        }
        is_first
    });
    if is_first {
        let state = state.clone();
        tokio::spawn(async move { check(&state, target).await });
    }
}

/// Checks whether a target has crashed. If so, the requests that broke a connection to it
/// get a strike.
async fn check(state: &Arc<State>, target: TargetId) {
    sleep(CHECK_DELAY.duration()).await;
    let listener = (state.ports.listeners.check)(target).await;
    let suspects = state.crashes().suspects.remove(&target);
    if listener != Listener::Closed {
        return;
    }
    for suspect in suspects.into_iter().flatten() {
        strike(state, target, &suspect);
    }
}

/// Records a strike, unless the request is known to run well elsewhere.
fn strike(state: &Arc<State>, target: TargetId, suspect: &Suspect) {
    let (at, crashes) = (now(state), state.crashes());
    let Suspect {
        fingerprint,
        request,
        leaving,
        persistent,
        struck,
    } = suspect;
    let failure = Failure {
        stage: Stage::Written,
        cause: FailureCause::Broken,
        leaving: *leaving,
    };
    let succeeded = crashes
        .shard(*fingerprint)
        .successes
        .contains(*fingerprint, at);
    if !is_strike(failure, succeeded && !persistent) || struck.swap(true, Relaxed) {
        return;
    }
    let (notice, blocked) = {
        let Shard { strikes, .. } = &mut *crashes.shard(*fingerprint);
        let notice = strikes.record_strike(*fingerprint, at);
        (notice, strikes.is_blocked(*fingerprint, at))
    };
    tracing::warn!(request, %fingerprint, %target, blocked, "crash: a target has ended while it ran a request.");
    announce(state, &notice);
}

/// Tells the neighbours of strikes against a request.
fn announce(state: &Arc<State>, notice: &StrikeNotice) {
    if state.crashes().sent_notices.fetch_add(1, Relaxed) >= NOTICES_MAX {
        return;
    }
    for peer in neighbours(state, NOTICE_FANOUT) {
        let (state, notices) = (state.clone(), vec![notice.clone()]);
        tokio::spawn(async move { send(&state, &peer, notices).await });
    }
}

/// Returns up to `count` of the neighbours of this entry in random order.
fn neighbours(state: &State, count: usize) -> Vec<Presence> {
    let entries = state.entries();
    let me = &state.crashes().me.entry;
    let mut all: Vec<&Presence> = entries.all().collect();
    all.retain(|p| p.peer.is_some() || p.name == *me);
    all.sort_by(|a, b| a.name.cmp(&b.name));
    let Some(own) = all.iter().position(|p| p.name == *me) else {
        return Vec::new();
    };
    let near = neighbour_places(own, all.len());
    let near = near.into_iter().map(|place| all[place].clone());
    near.choose_multiple(&mut rand::rng(), count)
}

async fn send(state: &Arc<State>, to: &Presence, notices: Vec<StrikeNotice>) {
    let Some(peer) = to.peer else {
        return;
    };
    let call = StrikeCall {
        peer,
        sender: state.crashes().me.clone(),
        notices,
    };
    match (state.ports.strikes.send)(call).await {
        Ok(lacking) => {
            receive(state, &lacking);
        }
        Err(error) => tracing::debug!(cause = %error, "crash: no answer."),
    }
}

/// Merges the strikes of another entry, passes on those that are new, and returns what the
/// other one lacks.
pub(super) fn receive(state: &Arc<State>, notices: &[StrikeNotice]) -> Vec<StrikeNotice> {
    let at = now(state);
    let mut lacking = Vec::new();
    for notice in notices {
        let fingerprint = notice.fingerprint;
        let (merged, blocked) = {
            let Shard { strikes, .. } = &mut *state.crashes().shard(fingerprint);
            let merged = strikes.merge_all(std::slice::from_ref(notice), at);
            (merged, strikes.is_blocked(fingerprint, at))
        };
        lacking.extend(merged.lacking);
        if merged.fresh.is_empty() {
            continue;
        }
        tracing::info!(%fingerprint, blocked, "crash: another entry has seen strikes.");
        announce(state, notice);
    }
    lacking
}

/// Returns this entry, as other entries name the sender of strikes.
pub(super) fn member(state: &State) -> Member {
    state.crashes().me.clone()
}

/// Periodically removes expired strikes and compares a page of the others with a
/// neighbour.
pub(super) async fn run(state: Arc<State>) {
    let mut after = None;
    let mut timer = interval(COMPARE_PERIOD.duration());
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let (at, crashes) = (now(&state), state.crashes());
        crashes.sent_notices.store(0, Relaxed);
        for shard in &crashes.shards {
            lock(shard).strikes.tick(at);
        }
        let page = crashes.page(after, at);
        after = page.last().map(|notice| notice.fingerprint);
        if page.is_empty() {
            continue;
        }
        for peer in neighbours(&state, 1) {
            let (state, page) = (state.clone(), page.clone());
            tokio::spawn(async move { send(&state, &peer, page).await });
        }
    }
}

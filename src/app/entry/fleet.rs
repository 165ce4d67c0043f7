//! The other entries: membership, rosters, and connections to them.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, RwLock},
};

use crate::{
    adapters::{
        grpc::{Peers, Sender, Traffic},
        ini::Settings,
        store::roster::RosterRecord,
    },
    domain::{EntryId, Epoch, Incarnation, Millis, lock, read, write},
    policy::{
        limit,
        lookup::{Candidate, EntryState, EntryView, LoadLevel},
        member::{self, Load, Members, State, Version},
        once,
        spread::{self, Dissemination},
    },
    ports::Events,
};

/// The name under which the roster is disseminated together with the documents.
/// Names of services do not begin with a dot, so no service has it.
pub(super) const ROSTER_NAME: &str = ".roster";

/// The time limit for a call to another entry. A round trip between regions
/// takes 70 ms.
const CALL_TIMEOUT: Millis = Millis(1_000);

/// A roster, converted to the types that limits and claims use.
#[derive(Debug, Default)]
pub struct Rosters {
    /// The record in the store: the current and the former roster.
    pub record: RosterRecord,
    /// The current roster for limits.
    pub limits: Arc<limit::Roster>,
    /// The current and the former roster for claims.
    pub claims: [once::Roster; 2],
}

impl Rosters {
    /// Converts the record of the store.
    #[must_use]
    pub fn new(record: RosterRecord) -> Self {
        let limit_member = |s: &member::Seat| limit::RosterMember {
            member: limit::Member {
                entry: s.entry.clone(),
                incarnation: s.incarnation,
            },
            leaving: false,
        };
        let claim_entry = |s: &member::Seat| once::RosterEntry {
            member: once::Member {
                entry: s.entry.clone(),
                incarnation: s.incarnation,
            },
            region: s.region.clone(),
            az: s.az.clone(),
        };
        let claims =
            |r: &member::Roster| once::Roster::new(r.epoch, r.seats.iter().map(claim_entry));
        let current = &record.current;
        let limits = limit::Roster::new(
            current.epoch,
            current.seats.iter().map(limit_member).collect(),
        );
        Self {
            limits: Arc::new(limits),
            claims: [claims(current), claims(&record.former)],
            record,
        }
    }

    /// Returns the epoch of the current roster.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.record.current.epoch
    }
}

/// The other entries: their membership, the revisions that they have, and the
/// channels to them.
///
/// Membership, dissemination and the rosters have separate locks, of which no
/// thread holds two at the same time.
#[derive(Debug)]
pub struct Fleet {
    members: Mutex<Members>,
    dissemination: Mutex<Dissemination>,
    rosters: RwLock<Arc<Rosters>>,
    /// Channels to other entries.
    pub peers: Peers,
    /// Counts of what was sent over the channels.
    pub traffic: Arc<Traffic>,
}

impl Fleet {
    /// Returns a fleet that knows only this entry.
    #[must_use]
    pub fn new(settings: &Settings, incarnation: Incarnation, events: &Events) -> Self {
        let me = member::Member {
            id: settings.name.clone(),
            incarnation,
            version: Version(0),
            state: State::Alive,
            region: settings.region.clone(),
            az: settings.az.clone(),
            callers: settings.callers,
            admin: settings.admin,
            peers: settings.peers,
            // It has no slots yet, so callers should try other entries first.
            load: Load::Severe,
        };
        let traffic: Arc<Traffic> = Arc::default();
        Self {
            members: Mutex::new(Members::new(
                me,
                settings.seeds.clone(),
                member::Tuning::default(),
            )),
            dissemination: Mutex::new(Dissemination::new(spread::Tuning::default())),
            rosters: RwLock::default(),
            peers: Peers::new(CALL_TIMEOUT, traffic.clone()).with_events(events.clone()),
            traffic,
        }
    }

    /// Locks the membership.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        lock(&self.members)
    }

    /// Locks the dissemination of revisions.
    pub fn dissemination(&self) -> MutexGuard<'_, Dissemination> {
        lock(&self.dissemination)
    }

    /// Returns the current rosters.
    #[must_use]
    pub fn rosters(&self) -> Arc<Rosters> {
        read(&self.rosters)
    }

    /// Replaces the rosters if the new epoch is greater. Returns whether they
    /// were replaced.
    pub(super) fn set_rosters(&self, rosters: Rosters) -> bool {
        let mut current = write(&self.rosters);
        if rosters.epoch() <= current.epoch() {
            return false;
        }
        *current = Arc::new(rosters);
        true
    }

    /// Returns the sender header of this entry's messages.
    #[must_use]
    pub fn sender(&self) -> Sender {
        let epoch = self.rosters().epoch();
        let members = self.members();
        Sender {
            entry: members.local().id.clone(),
            incarnation: members.local().incarnation,
            epoch,
        }
    }

    /// Returns the address at which an entry accepts messages from other
    /// entries.
    #[must_use]
    pub fn address(&self, entry: &EntryId) -> Option<SocketAddr> {
        let known = self.members().get(entry).map(|(m, _)| m.peers);
        let rosters = self.rosters();
        known.or_else(|| rosters.record.addresses.get(entry).copied())
    }

    /// Returns whether the roster lists entries that the membership does not
    /// know.
    #[must_use]
    pub fn has_unknown_entries(&self) -> bool {
        let rosters = self.rosters();
        let members = self.members();
        let seats = &rosters.record.current.seats;
        seats.iter().any(|s| members.get(&s.entry).is_none())
    }

    /// Returns the other entries that are alive.
    #[must_use]
    pub fn other_entries(&self) -> Vec<EntryId> {
        let members = self.members();
        let me = members.local().id.clone();
        let all = members.alive().map(|m| m.id.clone());
        all.filter(|id| *id != me).collect()
    }

    /// Returns the candidates for lookups: the entries that have a seat in the
    /// roster.
    ///
    /// An entry without a seat has no units, so its callers would wait in vain,
    /// for as long as an outage of the store lasts.
    #[must_use]
    pub fn candidates(&self, now: Millis) -> Vec<Candidate> {
        let rosters = self.rosters();
        let members = self.members();
        let has_seat = |m: &member::Member| {
            let seats = &rosters.record.current.seats;
            let belongs = |s: &member::Seat| s.entry == m.id && s.incarnation == m.incarnation;
            seats.iter().any(belongs)
        };
        let candidate = |(m, state): (&member::Member, State)| Candidate {
            id: m.id.clone(),
            region: m.region.clone(),
            az: m.az.clone(),
            address: m.callers,
            level: match m.load {
                Load::Normal => LoadLevel::Normal,
                Load::High => LoadLevel::Busy,
                Load::Severe => LoadLevel::Overloaded,
            },
            state: match state {
                State::Alive => EntryState::Live,
                State::Suspect => EntryState::Suspect,
                State::Leaving => EntryState::Leaving,
                State::Dead => EntryState::Dead,
            },
            changed_at: now,
        };
        let all = members.all().filter(|(m, _)| has_seat(m));
        all.map(candidate).collect()
    }
}

/// Returns whether two lists contain the same entries with the same addresses,
/// levels and states. The times may differ. Only then may a view be reused.
#[must_use]
pub(super) fn same_entries(a: &[Candidate], b: &[Candidate]) -> bool {
    let key = |c: &Candidate| (c.id.clone(), c.address, c.level, c.state);
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| key(a) == key(b))
}

/// Returns an empty view, for an entry that knows no other entries yet.
pub(super) fn empty_view() -> EntryView {
    EntryView::new(&[], &crate::policy::lookup::RegionDelays::default())
}

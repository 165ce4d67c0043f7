//! What an entry knows of the other entries.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
};

use crate::{
    adapters::{
        grpc::{Peers, Sender, Traffic},
        ini::Settings,
        store::roster::RosterRecord,
    },
    domain::{EntryId, Epoch, Incarnation, Millis},
    policy::{
        limit,
        lookup::{Candidate, EntryState, EntryView, LoadLevel},
        member::{self, Load, Members, State, Version},
        once,
        spread::{self, Dissemination},
    },
    ports::Events,
};

/// The name under which the roster is disseminated beside the documents. No
/// service has it, since a service's name does not begin with a dot.
pub(super) const ROSTER: &str = ".roster";

/// How long a call to another entry may take. A round trip between regions takes
/// 70 ms.
const CALL: Millis = Millis(1_000);

/// A roster in the forms in which decisions need it.
#[derive(Debug, Default)]
pub struct Rosters {
    /// As the store has it, with the one before.
    pub record: RosterRecord,
    /// For limits.
    pub limits: Arc<limit::Roster>,
    /// For claims, in force and before.
    pub claims: [once::Roster; 2],
}

impl Rosters {
    /// Converts what the store has.
    #[must_use]
    pub fn new(record: RosterRecord) -> Self {
        let seat = |s: &member::Seat| limit::RosterMember {
            member: limit::Member {
                entry: s.entry.clone(),
                incarnation: s.incarnation,
            },
            leaving: false,
        };
        let entry = |s: &member::Seat| once::RosterEntry {
            member: once::Member {
                entry: s.entry.clone(),
                incarnation: s.incarnation,
            },
            region: s.region.clone(),
            az: s.az.clone(),
        };
        let claims = |r: &member::Roster| once::Roster::new(r.epoch, r.seats.iter().map(entry));
        let current = &record.current;
        let limits = limit::Roster::new(current.epoch, current.seats.iter().map(seat).collect());
        Self {
            limits: Arc::new(limits),
            claims: [claims(current), claims(&record.former)],
            record,
        }
    }

    /// Returns the epoch in force.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.record.current.epoch
    }
}

/// The other entries: who they are, what they have, and how to reach them.
///
/// Membership, dissemination and the roster each have a lock of their own. They
/// are never held together.
#[derive(Debug)]
pub struct Fleet {
    members: Mutex<Members>,
    spread: Mutex<Dissemination>,
    rosters: RwLock<Arc<Rosters>>,
    /// Channels to other entries.
    pub peers: Peers,
    /// What they have carried.
    pub traffic: Arc<Traffic>,
}

impl Fleet {
    /// Returns a fleet of which only this entry is known.
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
            // It has no slots yet, so callers should try others first.
            load: Load::Severe,
        };
        let traffic: Arc<Traffic> = Arc::default();
        Self {
            members: Mutex::new(Members::new(
                me,
                settings.seeds.clone(),
                member::Tuning::default(),
            )),
            spread: Mutex::new(Dissemination::new(spread::Tuning::default())),
            rosters: RwLock::default(),
            peers: Peers::new(CALL, traffic.clone()).with_events(events.clone()),
            traffic,
        }
    }

    /// Locks the membership.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the dissemination of revisions.
    pub fn spread(&self) -> MutexGuard<'_, Dissemination> {
        self.spread.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the roster in force.
    #[must_use]
    pub fn rosters(&self) -> Arc<Rosters> {
        self.rosters
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a roster in force if its epoch is greater. Returns whether it was.
    pub(super) fn set_rosters(&self, rosters: Rosters) -> bool {
        let mut current = self.rosters.write().unwrap_or_else(PoisonError::into_inner);
        if rosters.epoch() <= current.epoch() {
            return false;
        }
        *current = Arc::new(rosters);
        true
    }

    /// Returns what messages of this entry begin with.
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

    /// Returns where an entry takes messages of others.
    #[must_use]
    pub fn address(&self, entry: &EntryId) -> Option<SocketAddr> {
        let known = self.members().get(entry).map(|(m, _)| m.peers);
        let rosters = self.rosters();
        known.or_else(|| rosters.record.addresses.get(entry).copied())
    }

    /// Tells whether the roster lists entries that the membership does not know.
    #[must_use]
    pub fn has_strangers(&self) -> bool {
        let rosters = self.rosters();
        let members = self.members();
        let seats = &rosters.record.current.seats;
        seats.iter().any(|s| members.get(&s.entry).is_none())
    }

    /// Returns the other entries that are in use.
    #[must_use]
    pub fn others(&self) -> Vec<EntryId> {
        let members = self.members();
        let me = members.local().id.clone();
        let all = members.alive().map(|m| m.id.clone());
        all.filter(|id| *id != me).collect()
    }

    /// Returns the entries as look-ups see them.
    ///
    /// An entry without a seat in the roster has no units, so callers would wait
    /// there in vain. During an outage of the store that may last long.
    #[must_use]
    pub fn candidates(&self, now: Millis) -> Vec<Candidate> {
        let rosters = self.rosters();
        let members = self.members();
        let seated = |m: &member::Member| {
            let seats = &rosters.record.current.seats;
            let holds = |s: &member::Seat| s.entry == m.id && s.incarnation == m.incarnation;
            seats.iter().any(holds)
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
        let all = members.all().filter(|(m, _)| seated(m));
        all.map(candidate).collect()
    }
}

/// Tells whether two lists name the same entries in the same states, whatever
/// the time. Only then may a view be kept.
#[must_use]
pub(super) fn same(a: &[Candidate], b: &[Candidate]) -> bool {
    let key = |c: &Candidate| (c.id.clone(), c.address, c.level, c.state);
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| key(a) == key(b))
}

/// Returns an empty view, for an entry that knows nobody yet.
pub(super) fn no_view() -> EntryView {
    EntryView::new(&[], &crate::policy::lookup::RegionDelays::default())
}

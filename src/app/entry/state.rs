//! The state of a running entry.

use std::sync::{
    Arc, Mutex, PoisonError, RwLock,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::mpsc;

use super::{
    Ports, Service, events,
    fleet::{self, Fleet, Rosters},
    keys::Claims,
    limits::{link_limit, region_limit, shift_limit, slots_limit},
    locations::Locations,
    observe::Observer,
};
use crate::{
    adapters::{ini::Settings, store::roster::RosterRecord},
    domain::{Document, Incarnation, LimitName, Revision, ServiceName, Shards, Slots, TargetId},
    policy::{
        crash::{RecentSuccesses, StrikeTable},
        document::{Adoption, Content},
        limit::{Ledger, Limit, Member, Outgoing, Roster},
        lookup::EntryView,
        member::Seat,
        once,
        timeline::Kind,
    },
    ports::Events,
};

/// The most fingerprints of requests under suspicion, about 100 bytes each.
const SUSPECTS: usize = 4_096;

/// The state of a running entry.
///
/// Each table has its own locks. Where two are needed, the order is services,
/// then limits; the others are taken alone. None is held across an await.
#[derive(Debug)]
pub struct State {
    /// The settings it was started with.
    pub settings: Settings,
    /// What it needs from outside.
    pub ports: Ports,
    /// This life of this entry.
    pub me: Member,
    /// The documents in force, with what is known of their targets. A shard's
    /// lock guards everything about its services.
    pub services: Shards<ServiceName, Service>,
    /// This entry's part of each limit.
    pub limits: Shards<LimitName, Ledger>,
    /// The other entries.
    pub fleet: Fleet,
    /// The claims of keyed requests of which this entry is a home.
    pub claims: Claims,
    /// The timeline of this entry.
    pub events: Events,
    /// What is sent to targets.
    pub observer: Observer,
    /// The entries that look-ups name.
    pub view: RwLock<Arc<EntryView>>,
    /// The sites of clients.
    pub sites: Locations,
    /// Requests that broke connections.
    pub strikes: Mutex<StrikeTable>,
    /// Requests that were executed of late.
    pub successes: Mutex<RecentSuccesses>,
    /// Whether the documents of the store or of a peer have arrived.
    informed: AtomicBool,
    /// Whether answers end their connections, shortly before a planned stop.
    closing: AtomicBool,
    outbox: mpsc::UnboundedSender<Outgoing>,
}

impl State {
    /// Returns the state of an entry that knows nothing yet, and the messages
    /// about limits that it will want to send.
    pub(super) fn open(
        settings: Settings,
        mut ports: Ports,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Outgoing>) {
        let (outbox, sent) = mpsc::unbounded_channel();
        let me = Member {
            entry: settings.name.clone(),
            // The wall clock at the start is greater in each later life, unless
            // the platform sets it back, and then the entry is refused its seat.
            incarnation: Incarnation((ports.clock.wall)().0),
        };
        let claimant = once::Member {
            entry: me.entry.clone(),
            incarnation: me.incarnation,
        };
        let events = events::open(me.entry.clone(), &ports.clock, &ports.metrics);
        let observer = Observer::new(ports.clock.clone(), ports.metrics.clone());
        ports.targets = observer.wrap(ports.targets);
        let state = Self {
            fleet: Fleet::new(&settings, me.incarnation, &events),
            claims: Claims::new(claimant.clone()),
            events,
            observer,
            sites: Locations::new(&settings.sites),
            settings,
            ports,
            me,
            services: Shards::new(),
            limits: Shards::new(),
            view: RwLock::new(Arc::new(fleet::no_view())),
            strikes: Mutex::new(StrikeTable::new(claimant, SUSPECTS)),
            successes: Mutex::default(),
            informed: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            outbox,
        };
        state.open_shared_limits();
        (Arc::new(state), sent)
    }

    /// Creates the ledgers of limits that settings define.
    fn open_shared_limits(&self) {
        for (name, region) in &self.settings.regions {
            self.set_limit(&region_limit(name), Limit::requests(region.headroom));
        }
        for link in &self.settings.links {
            for (from, to) in [(&link.from, &link.to), (&link.to, &link.from)] {
                self.set_limit(&link_limit(from, to), Limit::link(link.capacity));
            }
        }
    }

    /// Puts a document in force, unless the same or a newer revision already is.
    pub fn adopt(self: &Arc<Self>, doc: &Document, revision: Revision) -> Adoption {
        let content = Content::Document(Arc::new(doc.clone()));
        self.adopt_content(&doc.service, revision, content)
    }

    /// Puts a revision in force. This is the only way by which a document
    /// changes; the rule that no entry goes back is inside.
    pub fn adopt_content(
        self: &Arc<Self>,
        name: &ServiceName,
        revision: Revision,
        content: Content,
    ) -> Adoption {
        let now = (self.ports.clock.now)();
        let new = || Service::new(name.clone());
        let adoption = self
            .services
            .with(name.clone(), new, |s| s.adopt(revision, content, now));
        match &adoption {
            Adoption::Adopted { former, .. } => {
                let doc = self
                    .services
                    .get(name, |s| s.doc.document().cloned())
                    .flatten();
                self.size_limits(name, doc.as_deref(), former.as_deref());
                tracing::info!("document: {name} is at revision {revision}.");
                self.pump(name);
            }
            Adoption::Rejected(rejection) => tracing::warn!("{rejection}."),
            Adoption::Stale { .. } => {}
        }
        adoption
    }

    /// Sizes the ledgers that a document defines. A ledger that no document
    /// names any more has size zero and is kept, because of what it has lent.
    fn size_limits(&self, name: &ServiceName, new: Option<&Document>, old: Option<&Document>) {
        let targets = |doc: &Document| -> Vec<TargetId> {
            let all = doc.places.iter().flat_map(|p| p.targets.iter().copied());
            all.collect()
        };
        let kept = new.map(targets).unwrap_or_default();
        for target in old.map(targets).unwrap_or_default() {
            if !kept.contains(&target) {
                self.set_limit(&slots_limit(target), Limit::Slots(Slots(0)));
            }
        }
        let Some(doc) = new else {
            return;
        };
        for place in &doc.places {
            for target in &place.targets {
                self.set_limit(&slots_limit(*target), Limit::Slots(place.slots));
            }
        }
        self.set_limit(&shift_limit(name), Limit::requests(doc.shift_cap));
    }

    fn set_limit(&self, name: &LimitName, limit: Limit) {
        let now = (self.ports.clock.now)();
        let roster = self.roster();
        let new = || {
            let mut ledger = Ledger::new(name.clone(), self.me.clone(), limit);
            ledger.set_roster(roster, now);
            ledger
        };
        let out = self
            .limits
            .with(name.clone(), new, |l| l.set_limit(limit, now));
        self.post(out);
    }

    /// Creates the ledger of a limit that no document has named yet.
    pub(super) fn ensure_limit(&self, name: &LimitName) {
        if self.limits.get(name, |_| ()).is_none() {
            self.set_limit(name, Limit::unknown(name));
        }
    }

    /// Puts a roster in force if its epoch is greater.
    pub(super) fn adopt_roster(&self, record: RosterRecord) {
        let (epoch, seats) = (record.current.epoch, record.current.seats.len());
        // Only the platform's word takes a seat away, so these are gone.
        let gone = removed(&record);
        let rosters = Rosters::new(record);
        let claims = rosters.claims.clone();
        if !self.fleet.set_rosters(rosters) {
            return;
        }
        let now = (self.ports.clock.now)();
        let roster = self.roster();
        self.limits.each(|_, l| l.set_roster(roster.clone(), now));
        self.claims.adopt(&claims);
        for seat in gone {
            let mut members = self.fleet.members();
            members.remove(&seat.entry, seat.incarnation);
        }
        if let Ok(name) = fleet::ROSTER.parse() {
            self.fleet.spread().on_adopted(&name, Revision(epoch.0));
        }
        (self.events.emit)(
            Kind::RosterChanged,
            format!("epoch {epoch} with {seats} entries"),
        );
    }

    /// Notes that the documents of the store or of a peer have arrived.
    pub(super) fn set_informed(&self) {
        self.informed.store(true, Ordering::Release);
    }

    /// Makes further answers end their connections.
    pub(super) fn set_closing(&self) {
        self.closing.store(true, Ordering::Release);
    }

    /// Tells whether answers end their connections.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Tells whether the documents of the store or of a peer have arrived.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.informed.load(Ordering::Acquire)
    }

    /// Returns why this entry cannot serve yet, none if it can.
    #[must_use]
    pub fn unready(&self) -> Option<String> {
        if !self.is_informed() {
            return Some("no documents have arrived from the store or a peer".to_owned());
        }
        if self.roster().position(&self.me).is_none() {
            return Some("the roster does not list this entry yet".to_owned());
        }
        if self.is_short() {
            return Some("units of the regions' headroom have not arrived yet".to_owned());
        }
        None
    }

    /// Tells whether a region's headroom is all with other entries although some
    /// of it belongs here, as after a change of the roster.
    fn is_short(&self) -> bool {
        let short = |l: &mut Ledger| l.status().usable == 0 && l.status().missing > 0;
        let regions = self.settings.regions.keys();
        let mut shorts = regions.filter_map(|r| self.limits.get(&region_limit(r), short));
        shorts.any(|s| s)
    }

    /// Returns the roster in force, as limits need it.
    #[must_use]
    pub fn roster(&self) -> Arc<Roster> {
        self.fleet.rosters().limits.clone()
    }

    /// Returns how many requests run at targets.
    #[must_use]
    pub fn running(&self) -> u32 {
        let mut running = 0;
        self.services.each(|_, s| running += s.running());
        running
    }

    /// Returns the entries as look-ups see them.
    #[must_use]
    pub fn view(&self) -> Arc<EntryView> {
        self.view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Hands messages about limits to the task that sends them. If it is gone,
    /// the entry is stopping, and a lost message costs nothing but capacity.
    pub fn post(&self, messages: Vec<Outgoing>) {
        for message in messages {
            let _ = self.outbox.send(message);
        }
    }

    /// Takes one unit of a limit of requests a second. A limit that nobody
    /// defined does not limit.
    #[must_use]
    pub fn admit(&self, limit: &LimitName) -> bool {
        self.admit_amount(limit, 1)
    }

    /// Takes an amount of a rate limit, or asks other entries for units of it. A
    /// limit that nobody defined does not limit.
    #[must_use]
    pub fn admit_amount(&self, limit: &LimitName, amount: u64) -> bool {
        let now = (self.ports.clock.now)();
        let asked = self.limits.get(limit, |l| {
            if l.admit(amount, now) {
                return None;
            }
            Some(l.request_units(now))
        });
        match asked.flatten() {
            None => true,
            Some(out) => {
                self.post(out);
                false
            }
        }
    }
}

/// Returns the seats that a roster has lost.
fn removed(record: &RosterRecord) -> Vec<Seat> {
    let kept = &record.current.seats;
    let former = record.former.seats.iter();
    former.filter(|s| !kept.contains(s)).cloned().collect()
}

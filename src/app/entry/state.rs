//! The state of a running entry.

use std::sync::{
    Arc, Mutex, RwLock,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::mpsc;

use super::{
    Ports, Service,
    claim_tables::Claims,
    events,
    fleet::{self, Fleet, Rosters},
    limits::{link_limit, region_limit, shift_limit, slots_limit, workspace_limit},
    locations::Locations,
    observe::Observer,
};
use crate::{
    adapters::{ini::Settings, store::roster::RosterRecord},
    domain::{
        Document, Incarnation, LimitName, Quota, Revision, ServiceName, Shards, Slots, TargetId,
        read,
    },
    policy::{
        crash::{RecentSuccesses, StrikeTable},
        document::{Adoption, Content},
        limit::{Ledger, Limit, Member, Outgoing, Roster},
        lookup::EntryView,
        member::Seat,
        once,
        quota::Holder,
        timeline::Kind,
    },
    ports::Events,
};

/// The maximum number of fingerprints with strikes, about 100 bytes each.
const MAX_SUSPECTS: usize = 4_096;

/// The state of a running entry.
///
/// Each field has its own locks. Lock order: services before limits. Every
/// other lock is taken alone, and none is held across an await.
#[derive(Debug)]
pub struct State {
    /// The settings with which the entry was started.
    pub settings: Settings,
    /// The ports to the outside.
    pub ports: Ports,
    /// This entry with its current incarnation.
    pub me: Member,
    /// The services: their current documents and the state of their targets.
    /// The lock of a shard guards everything about its services.
    pub services: Shards<ServiceName, Service>,
    /// This entry's ledger of each limit.
    pub limits: Shards<LimitName, Ledger>,
    /// The requests of each workspace with a limit, and whether it is at its limit. The
    /// names are those of the service and the workspace.
    pub usage: Holder,
    /// The other entries.
    pub fleet: Fleet,
    /// The claims on keys of which this entry is a home.
    pub claims: Claims,
    /// The timeline of this entry.
    pub events: Events,
    /// The observer of requests to targets.
    pub observer: Observer,
    /// The entries among which lookups choose.
    pub view: RwLock<Arc<EntryView>>,
    /// The locations of clients.
    pub locations: Locations,
    /// The strikes against requests that broke connections.
    pub strikes: Mutex<StrikeTable>,
    /// The requests that were recently executed.
    pub successes: Mutex<RecentSuccesses>,
    /// Whether the documents have arrived from the store or from another entry.
    documents_loaded: AtomicBool,
    /// Whether answers close their connections, shortly before a planned stop.
    closing: AtomicBool,
    outbox: mpsc::UnboundedSender<Outgoing>,
}

impl State {
    /// Returns the state of an entry that has no documents yet, and the
    /// receiver of the messages about limits that it will send.
    pub(super) fn open(
        settings: Settings,
        mut ports: Ports,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Outgoing>) {
        let (outbox, outgoing) = mpsc::unbounded_channel();
        let me = Member {
            entry: settings.name.clone(),
            // The start time is greater in each later incarnation. If the
            // platform sets the clock back, the entry is refused its seat.
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
            locations: Locations::new(&settings.sites),
            settings,
            ports,
            me,
            services: Shards::new(),
            limits: Shards::new(),
            usage: Holder::default(),
            view: RwLock::new(Arc::new(fleet::empty_view())),
            strikes: Mutex::new(StrikeTable::new(claimant, MAX_SUSPECTS)),
            successes: Mutex::default(),
            documents_loaded: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            outbox,
        };
        state.open_shared_limits();
        (Arc::new(state), outgoing)
    }

    /// Creates the ledgers of the limits in the settings.
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

    /// Adopts a revision if it is newer and valid. Documents change only
    /// through this function, so an entry never returns to an older revision.
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
                self.resize_limits(name, doc.as_deref(), former.as_deref());
                tracing::info!("document: {name} is at revision {revision}.");
                self.start_queued(name);
            }
            Adoption::Rejected(rejection) => tracing::warn!("{rejection}."),
            Adoption::Stale { .. } => {}
        }
        adoption
    }

    /// Sets the sizes of the ledgers that a document defines. A ledger that no
    /// document names any more gets size zero. It is not removed, because units
    /// that it has lent may still be outstanding.
    fn resize_limits(&self, name: &ServiceName, new: Option<&Document>, old: Option<&Document>) {
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
        let quotas = |doc: &Document| -> Vec<(LimitName, Quota)> {
            let limited = doc.workspaces.iter();
            let limited = limited.filter_map(|w| Some((workspace_limit(name, &w.name), w.quota?)));
            limited.collect()
        };
        let kept = new.map(quotas).unwrap_or_default();
        for (limit, _) in old.map(quotas).unwrap_or_default() {
            if kept.iter().all(|(name, _)| *name != limit) {
                self.set_limit(&limit, Limit::unknown(&limit));
            }
        }
        for (limit, quota) in &kept {
            self.set_limit(limit, Limit::workspace(quota));
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
        let messages = self
            .limits
            .with(name.clone(), new, |l| l.set_limit(limit, now));
        self.enqueue_messages(messages);
    }

    /// Creates the ledger of a limit that no document has defined yet.
    pub(super) fn ensure_limit(&self, name: &LimitName) {
        if self.limits.get(name, |_| ()).is_none() {
            self.set_limit(name, Limit::unknown(name));
        }
    }

    /// Adopts a roster if its epoch is greater.
    pub(super) fn adopt_roster(&self, record: RosterRecord) {
        let (epoch, seats) = (record.current.epoch, record.current.seats.len());
        // A seat is removed only when the platform reports that its VM is gone
        // or leaving.
        let removed = removed_seats(&record);
        let rosters = Rosters::new(record);
        let claims = rosters.claims.clone();
        if !self.fleet.set_rosters(rosters) {
            return;
        }
        let now = (self.ports.clock.now)();
        let roster = self.roster();
        self.limits.each(|_, l| l.set_roster(roster.clone(), now));
        self.claims.adopt(&claims);
        for seat in removed {
            let mut members = self.fleet.members();
            members.remove(&seat.entry, seat.incarnation);
        }
        if let Ok(name) = fleet::ROSTER_NAME.parse() {
            self.fleet
                .dissemination()
                .on_adopted(&name, Revision(epoch.0));
        }
        (self.events.emit)(
            Kind::RosterChanged,
            format!("epoch {epoch} with {seats} entries"),
        );
    }

    /// Records that the documents have arrived from the store or from another
    /// entry.
    pub(super) fn set_documents_loaded(&self) {
        self.documents_loaded.store(true, Ordering::Release);
    }

    /// Makes further answers close their connections.
    pub(super) fn set_closing(&self) {
        self.closing.store(true, Ordering::Release);
    }

    /// Returns whether answers close their connections.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Returns whether the documents have arrived from the store or from
    /// another entry.
    #[must_use]
    pub fn has_documents(&self) -> bool {
        self.documents_loaded.load(Ordering::Acquire)
    }

    /// Returns the reason why this entry cannot serve yet, or `None` if it can.
    #[must_use]
    pub fn unready_reason(&self) -> Option<String> {
        if !self.has_documents() {
            return Some("no documents have arrived from the store or a peer".to_owned());
        }
        if self.roster().position(&self.me).is_none() {
            return Some("the roster does not list this entry yet".to_owned());
        }
        if self.lacks_headroom() {
            return Some("units of the regions' headroom have not arrived yet".to_owned());
        }
        None
    }

    /// Returns whether other entries hold all of a region's headroom although
    /// some of it belongs to this one, as after a change of the roster.
    fn lacks_headroom(&self) -> bool {
        let lacks_units = |l: &mut Ledger| l.status().usable == 0 && l.status().missing > 0;
        let regions = self.settings.regions.keys();
        let mut shortages = regions.filter_map(|r| self.limits.get(&region_limit(r), lacks_units));
        shortages.any(|s| s)
    }

    /// Returns the current roster for limits.
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

    /// Returns the entries among which lookups choose.
    #[must_use]
    pub fn view(&self) -> Arc<EntryView> {
        read(&self.view)
    }

    /// Passes messages about limits to the task that sends them. If the task
    /// has ended, the entry is stopping and the messages are dropped: a lost
    /// message only reduces the usable capacity.
    pub fn enqueue_messages(&self, messages: Vec<Outgoing>) {
        for message in messages {
            let _ = self.outbox.send(message);
        }
    }

    /// Takes one unit of a rate limit. Returns true if the limit is not
    /// defined.
    #[must_use]
    pub fn admit(&self, limit: &LimitName) -> bool {
        self.admit_amount(limit, 1)
    }

    /// Takes an amount of a rate limit, or requests units from other entries if
    /// there are too few. Returns whether the amount was taken, or true if the
    /// limit is not defined.
    #[must_use]
    pub fn admit_amount(&self, limit: &LimitName, amount: u64) -> bool {
        let now = (self.ports.clock.now)();
        let requested = self.limits.get(limit, |l| {
            if l.admit(amount, now) {
                return None;
            }
            Some(l.request_units(now))
        });
        match requested.flatten() {
            None => true,
            Some(messages) => {
                self.enqueue_messages(messages);
                false
            }
        }
    }
}

/// Returns the seats of the former roster that the current one lacks.
fn removed_seats(record: &RosterRecord) -> Vec<Seat> {
    let kept = &record.current.seats;
    let former = record.former.seats.iter();
    former.filter(|s| !kept.contains(s)).cloned().collect()
}

//! The state of an entry as operators see it.
//!
//! The administration shows it and decides nothing of it, so it needs copies of
//! a few values and not the state itself. The closures return values that
//! serialize as they are.

use std::{fmt, sync::Arc};

use serde::Serialize;

use super::{Call, EventQuery};
use crate::{domain::ServiceName, policy::timeline::Event};

/// One entry and its state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The name of the entry that answers.
    pub entry: String,
    /// Its region.
    pub region: String,
    /// Its availability zone.
    pub az: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// How long it has run, in milliseconds.
    pub uptime_ms: u64,
    /// Whether it answers `/readyz` with success.
    pub ready: bool,
    /// Whether the latest call to the store got an answer.
    pub store_up: bool,
    /// The services, in the order of their names.
    pub services: Vec<ServiceStatus>,
    /// The other entries as this one sees them, in the order of their names.
    pub members: Vec<MemberStatus>,
}

/// A service at one entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ServiceStatus {
    /// The name.
    pub service: String,
    /// The revision in effect.
    pub revision: u64,
    /// Requests that run now through this entry.
    pub running: u64,
    /// The effective weight of each place, in the order of the document.
    pub places: Vec<PlaceStatus>,
}

/// A place of a service at one entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PlaceStatus {
    /// The name.
    pub place: String,
    /// `active` or `leaving`.
    pub state: String,
    /// The weight in the document.
    pub weight: u32,
    /// The weight that steering uses now, in thousandths of the sum of the
    /// service's weights.
    pub effective: u32,
    /// How many targets take new work.
    pub targets: u32,
}

/// Another entry as one entry sees it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The name.
    pub entry: String,
    /// Its region.
    pub region: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// A place or target that leaves.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Drain {
    /// The service.
    pub service: String,
    /// The place.
    pub place: String,
    /// The target, none if the whole place leaves.
    pub target: Option<String>,
    /// The revision that made it leave or a later one.
    pub revision: u64,
    /// Whether nothing runs there and all entries have the revision in effect.
    pub complete: bool,
    /// What remains for each entry.
    pub remaining: Vec<Remaining>,
}

/// What remains of a drain at one entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Remaining {
    /// The entry.
    pub entry: String,
    /// Requests that run there, none if the entry does not answer.
    pub running: Option<u64>,
    /// The revision in effect at the entry.
    pub revision: Option<u64>,
}

/// A limit that entries share, as one entry sees it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Limit {
    /// The name, for example `slots/10.0.0.1:8080`.
    pub limit: String,
    /// The unit, for example `slot`, `rps` or `mbps`.
    pub unit: String,
    /// All units of the deployment.
    pub total: u64,
    /// Units whose home is this entry.
    pub home: u64,
    /// Units of this home that are lent to others.
    pub lent: u64,
    /// Units that this entry has borrowed.
    pub borrowed: u64,
    /// Units that requests use at this entry now.
    pub used: u64,
}

/// Where a revision is in effect.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// The entry.
    pub entry: String,
    /// The revision in effect there, none if it has none or does not answer.
    pub revision: Option<u64>,
}

/// Why a request went where it went.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// When, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The service.
    pub service: String,
    /// The method and path.
    pub request: String,
    /// The place, none if the request was refused.
    pub place: Option<String>,
    /// The target, none if the request was refused.
    pub target: Option<String>,
    /// The rule that decided, with the figures that it saw.
    pub reason: String,
    /// What became of it: a status, or a code with its outcome.
    pub result: String,
    /// How long it took until the head of the answer, in milliseconds.
    pub took_ms: u64,
}

/// Events of all entries that answered.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Gathered {
    /// The events in the order of their stamps.
    pub events: Vec<Event>,
    /// Entries that did not answer, so that a gap is not taken for silence.
    pub missing: Vec<String>,
}

type Read<T> = Arc<dyn Fn() -> T + Send + Sync>;
type Lookup<K, T> = Arc<dyn Fn(&K) -> T + Send + Sync>;

/// What the administration needs of a running entry.
#[derive(Clone)]
pub struct AdminPort {
    /// Returns why the entry is not ready, none if it is.
    pub unready: Read<Option<String>>,
    /// Returns the state of the entry.
    pub status: Read<Status>,
    /// Returns the places and targets that leave, asking other entries for what
    /// runs there.
    pub drains: Call<(), Vec<Drain>>,
    /// Returns the limits as this entry sees them.
    pub limits: Read<Vec<Limit>>,
    /// Returns the latest decisions for a service, the oldest first.
    pub explain: Lookup<ServiceName, Vec<Decision>>,
    /// Returns the revision of a service that each entry has in effect.
    pub placements: Call<ServiceName, Vec<Placement>>,
    /// Collects the events of all entries.
    pub timeline: Call<EventQuery, Gathered>,
}

impl fmt::Debug for AdminPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AdminPort")
    }
}

//! The port from the administration to the state of an entry.
//!
//! The administration shows the state to operators and makes no decisions, so
//! it gets copies of a few values and not the state itself. The closures return
//! values that are serialized without conversion.

use std::{fmt, sync::Arc};

use serde::Serialize;

use super::{Call, EventQuery};
use crate::{domain::ServiceName, policy::timeline::Event};

/// The state of one entry.
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
    /// Whether the latest call to the store was answered.
    pub store_up: bool,
    /// The services, ordered by name.
    pub services: Vec<ServiceStatus>,
    /// The other entries as this one sees them, ordered by name.
    pub members: Vec<MemberStatus>,
}

/// The state of a service at one entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ServiceStatus {
    /// The name.
    pub service: String,
    /// The revision in effect.
    pub revision: u64,
    /// The number of requests that are running through this entry.
    pub running: u64,
    /// The effective weight of each place, in the order of the document.
    pub places: Vec<PlaceStatus>,
}

/// The state of a place of a service at one entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PlaceStatus {
    /// The name.
    pub place: String,
    /// `active` or `leaving`.
    pub state: String,
    /// The weight in the document.
    pub weight: u32,
    /// The weight that is currently used to choose a place, in thousandths of
    /// the sum of the service's weights.
    pub effective: u32,
    /// The number of targets that take new requests.
    pub targets: u32,
}

/// The state of another entry as one entry sees it.
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

/// The drain of a place or target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Drain {
    /// The service.
    pub service: String,
    /// The place.
    pub place: String,
    /// The target, none if the whole place is drained.
    pub target: Option<String>,
    /// The revision that started the drain, or a later one.
    pub revision: u64,
    /// Whether no request is running there and the revision is in effect at all
    /// entries.
    pub complete: bool,
    /// What remains to be done at each entry.
    pub remaining: Vec<Remaining>,
}

/// What remains to be done for a drain at one entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Remaining {
    /// The entry.
    pub entry: String,
    /// The number of requests that are running there, none if the entry does
    /// not answer.
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
    /// The units of the whole deployment.
    pub total: u64,
    /// Units whose home is this entry.
    pub home: u64,
    /// Units of this home that are lent to others.
    pub lent: u64,
    /// Units that this entry has borrowed.
    pub borrowed: u64,
    /// Units that requests at this entry are using.
    pub used: u64,
}

/// The revision of a service that is in effect at one entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryRevision {
    /// The entry.
    pub entry: String,
    /// The revision, none if no revision is in effect or the entry does not
    /// answer.
    pub revision: Option<u64>,
}

/// The routing decision for a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// The time of the decision, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The service.
    pub service: String,
    /// The method and path.
    pub request: String,
    /// The place, none if the request was refused.
    pub place: Option<String>,
    /// The target, none if the request was refused.
    pub target: Option<String>,
    /// The rule that decided, with its input values.
    pub reason: String,
    /// The result: a status, or a code with its outcome.
    pub result: String,
    /// The time until the head of the response, in milliseconds.
    pub took_ms: u64,
}

/// The events of all entries that answered.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GatheredEvents {
    /// The events, ordered by stamp.
    pub events: Vec<Event>,
    /// The entries that did not answer, so that a missing event is not mistaken
    /// for one that did not happen.
    pub missing: Vec<String>,
}

type Read<T> = Arc<dyn Fn() -> T + Send + Sync>;
type Lookup<K, T> = Arc<dyn Fn(&K) -> T + Send + Sync>;

/// The operations that the administration calls on a running entry.
#[derive(Clone)]
pub struct AdminPort {
    /// Returns why the entry is not ready, none if it is ready.
    pub unready_reason: Read<Option<String>>,
    /// Returns the state of the entry.
    pub status: Read<Status>,
    /// Returns the drains of places and targets. Queries the other entries for
    /// their running requests.
    pub drains: Call<(), Vec<Drain>>,
    /// Returns the limits as this entry sees them.
    pub limits: Read<Vec<Limit>>,
    /// Returns the latest decisions for a service, the oldest first.
    pub explain: Lookup<ServiceName, Vec<Decision>>,
    /// Returns the revision of a service that is in effect at each entry.
    pub entry_revisions: Call<ServiceName, Vec<EntryRevision>>,
    /// Collects the events of all entries.
    pub timeline: Call<EventQuery, GatheredEvents>,
}

impl fmt::Debug for AdminPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AdminPort")
    }
}

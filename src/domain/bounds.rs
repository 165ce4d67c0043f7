//! The limits that a deployment must keep.

use super::Millis;

/// The limits that the users of a deployment set and that decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The time after which a target that is known to leave gets no more
    /// requests.
    pub drain_deadline: Millis,
    /// The time within which a configuration takes effect at every entry.
    pub config_deadline: Millis,
    /// The time between the signal to stop a process and its being killed.
    pub grace_period: Millis,
    /// The maximum number of retries that a service gets per request.
    pub retry_ratio: f64,
    /// The number of retries that a service may get in addition to
    /// `retry_ratio`.
    pub retry_slack: f64,
    /// The window over which retries are counted.
    pub retry_window: Millis,
    /// The factor by which the rate of a cold target may be exceeded.
    pub cold_factor: f64,
    /// The number of requests by which the rate of a cold target may be
    /// exceeded in addition to `cold_factor`.
    pub cold_slack: f64,
    /// The maximum time for which callers may cache the answer of a lookup.
    pub lookup_ttl: Millis,
    /// The maximum fraction of a region's requests that may move to another
    /// region from one window to the next.
    pub max_shift: f64,
    /// The window over which the requests of a workspace are counted.
    pub quota_window: Millis,
    /// The fraction by which a workspace may exceed its quota in a window.
    pub quota_overshoot: f64,
    /// The number of requests by which it may exceed it in addition.
    pub quota_slack: f64,
    /// The time without contact to the store after which an entry refuses all
    /// callers' keys, since one may have been withdrawn. None if it goes on with the
    /// keys that it knows.
    pub revocation_limit: Option<Millis>,
}

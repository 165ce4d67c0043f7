//! The table of all metrics, from which they are registered and documented.

use std::fmt;

/// A metric, as the documentation lists it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Row {
    /// The registered name, without prefix, unit and suffix.
    pub base: &'static str,
    /// The name in the output of `/metrics`.
    pub name: &'static str,
    /// The unit of the value.
    pub unit: &'static str,
    /// The names of the labels, separated by commas.
    pub labels: &'static str,
    /// The help text.
    pub help: &'static str,
}

/// Prints a row of a Markdown table.
impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let labels = if self.labels.is_empty() {
            "–".to_owned()
        } else {
            format!("`{}`", self.labels.replace(", ", "`, `"))
        };
        write!(
            f,
            "| `{}` | {} | {labels} | {} |",
            self.name, self.unit, self.help
        )
    }
}

macro_rules! rows {
    ($($var:ident = $base:literal $name:literal, $unit:literal, $labels:literal, $help:literal;)+) => {
        $(pub(super) const $var: Row = Row {
            base: $base,
            name: $name,
            unit: $unit,
            labels: $labels,
            help: $help,
        };)+

        /// All metrics, in the order of the output of `/metrics`.
        pub const TABLE: &[Row] = &[$($var),+];
    };
}

rows! {
    REQUESTS = "requests" "savorybeam_requests_total", "requests", "service, code, outcome",
        "Requests by the target's status or the code of a failure.";
    WORKSPACE_REQUESTS = "workspace_requests" "savorybeam_workspace_requests_total", "requests", "workspace, result",
        "Requests of a workspace that a target answered, or by the code of the failure; `other` for workspaces beyond the first 100.";
    LATENCY = "request_latency" "savorybeam_request_latency_seconds", "seconds", "service",
        "Time from the receipt of a request to the head of its answer.";
    RUNNING = "requests_running" "savorybeam_requests_running", "requests", "service",
        "Requests that run now, until the end of the answer's body.";
    RETRIES = "retries" "savorybeam_retries_total", "requests", "service",
        "Further attempts after a failed one.";
    HEDGES = "hedges" "savorybeam_hedges_total", "requests", "service",
        "Second attempts beside a slow first one.";
    REFUSALS = "refusals" "savorybeam_refusals_total", "requests", "service, code",
        "Requests that were refused before they ran.";
    REVISION = "document_revision" "savorybeam_document_revision", "revision", "service",
        "The revision in effect at this entry.";
    EDITS = "edits" "savorybeam_edits_total", "edits", "code",
        "Edits that were sent to this entry, by code.";
    MEMBERS = "members" "savorybeam_members", "entries", "state",
        "Entries by state, as this entry sees them.";
    UNITS = "limit_units" "savorybeam_limit_units", "units", "limit, kind",
        "Units of shared limits: home, lent, borrowed, used.";
    EVENTS = "events" "savorybeam_events_total", "events", "part, kind",
        "Events of the timeline.";
    WITHHELD = "withheld_attempts" "savorybeam_withheld_attempts_total", "attempts", "service, reason",
        "Attempts for which a target was passed over because it is leaving or paused.";
    PROBES = "probes" "savorybeam_probes_total", "requests", "service",
        "Requests that were sent to a new target of the region to find out whether it works.";
    FAR_SHARE = "far_share" "savorybeam_far_share", "0 to 1", "service",
        "Part of the requests that this entry sends to other regions.";
    UNKNOWN_KINDS = "unknown_kinds" "savorybeam_unknown_kinds", "routes", "",
        "Routes in effect whose kind this version does not know.";
    SYNCS = "syncs" "savorybeam_syncs_total", "calls", "upstream, scope, result",
        "Calls of a gateway for the platform's state, to the store or to an entry.";
    OUTDATED = "outdated" "savorybeam_outdated_total", "times", "",
        "How often the state of a gateway was older than the time within which changes take effect.";
    REGION_DEMAND_SLOTS = "region_demand_slots" "savorybeam_region_demand_slots", "slots", "service",
        "Slots that the requests of the region's callers occupy if all objects are warm.";
    REGION_DEMAND_ENTRIES = "region_demand_entries" "savorybeam_region_demand_entries", "entries", "",
        "Entries whose requests the demand of the region is known to cover.";
    LINE_RANK = "line_rank" "savorybeam_line_rank", "rank", "service",
        "The most urgent rank that is not admitted whole, -1 if all requests fit.";
    LINE_NEEDED = "line_needed_slots" "savorybeam_line_needed_slots", "slots", "service",
        "Slots that callers of the region asked for when this rank last changed.";
    LINE_ROOM = "line_room_slots" "savorybeam_line_room_slots", "slots", "service",
        "Slots that there were for them, near and far.";
    LIMIT_PART = "limit_part" "savorybeam_limit_part", "0 to 1", "service",
        "Part of their slots that targets take well, when it last changed by half.";
    STORE_ERA = "store_era" "savorybeam_store_era", "era", "",
        "The era of the store's state that a gateway has; it rises when the store comes back from an older copy.";
    QUOTA = "quota_requests" "savorybeam_quota_requests_total", "requests", "workspace, result",
        "Requests of workspaces with a quota: admitted, quota-exceeded, quota-unavailable.";
    TOKENS = "quota_tokens" "savorybeam_quota_tokens", "tokens", "workspace",
        "Tokens that this entry has at hand.";
    STORE_CALLS = "store_calls" "savorybeam_store_calls_total", "calls", "operation",
        "Calls to the store, a watch counted once.";
    STORE_FAILURES = "store_failures" "savorybeam_store_failures_total", "calls", "",
        "Calls to the store without an answer.";
    STORE_WATCHES = "store_watches" "savorybeam_store_watches", "watches", "",
        "Watches that wait at the store now.";
    STORE_UP = "store_up" "savorybeam_store_up", "0 or 1", "",
        "Whether the latest call to the store got an answer.";
}

//! The commands and their arguments. The help texts are their doc comments, also
//! that of [`Access`], which is the heading of its options.

use std::path::PathBuf;

use bpaf::Bpaf;

use super::addr::AdminAddr;
use crate::{
    adapters::platform::settings::SETTINGS_PATH_HELP,
    domain::{PlaceName, Revision, ServiceName, Size, TargetId, WorkspaceName},
    policy::timeline::{Component, Stamp},
};

/// Steers traffic between callers and targets
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub(super) struct Options {
    /// Write logs as JSON lines
    #[bpaf(long("log-json"))]
    pub json: bool,
    #[bpaf(external)]
    pub command: Command,
}

/// Access to the administration interface
#[derive(Bpaf, Clone)]
pub(super) struct Access {
    /// Administration address of an entry; if several are given, each is tried
    /// until one responds
    #[bpaf(
        long("admin"),
        argument("ADDRESS"),
        some("--admin is needed, as in --admin 10.0.0.1:7002")
    )]
    pub admins: Vec<AdminAddr>,
    /// Token of the team; the environment variable `SAVORYBEAM_TOKEN` keeps it
    /// out of the process list
    #[bpaf(argument("TOKEN"), fallback_with(token_from_env))]
    pub token: String,
}

/// Reads the token from the environment. The `env` attribute of bpaf would do the
/// same, but would print the token in the help text.
fn token_from_env() -> Result<String, &'static str> {
    std::env::var("SAVORYBEAM_TOKEN").map_err(|_| "--token or SAVORYBEAM_TOKEN is needed")
}

/// Omits the token, which must not appear in logs.
impl std::fmt::Debug for Access {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Access")
    }
}

#[derive(Bpaf, Clone, Debug)]
pub(super) enum Command {
    /// Checks settings and service documents without starting anything
    ///
    ///
    /// Example: savorybeam check entry.ini slotboard.ini
    #[bpaf(command)]
    Check {
        /// Files to check; a file with a [service] section is a document
        #[bpaf(positional("FILE"), some("a file to check is needed"))]
        files: Vec<PathBuf>,
    },
    /// Runs three entries, a store and two sample services on loopback
    ///
    ///
    /// Prints one JSON line with the addresses when ready. Example: savorybeam
    /// dev --for 60
    #[bpaf(command)]
    Dev {
        /// Stop after this many seconds
        #[bpaf(long("for"), argument("SECONDS"), optional)]
        seconds: Option<u64>,
    },
    /// Reads and edits documents
    ///
    ///
    /// Example: savorybeam documents get --admin 10.0.0.1:7002 slotboard
    #[bpaf(command)]
    Documents(#[bpaf(external(documents))] Documents),
    /// Drains a place or target, or shows the drains
    ///
    ///
    /// Example: savorybeam drain --admin 10.0.0.1:7002 --wait 60 slotboard
    /// reykjanes-1
    #[bpaf(command)]
    Drain(#[bpaf(external(drain_options))] DrainOptions),
    /// Runs the process of an entry VM
    ///
    ///
    /// Example: savorybeam entry --settings /etc/savorybeam/entry.ini
    #[bpaf(command)]
    Entry {
        /// The settings file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Shows which targets recent requests of a service were sent to, and why, or
    /// where a request would go now
    ///
    ///
    /// Example: savorybeam explain --admin 10.0.0.1:7002 slotboard
    ///
    ///
    /// Example: savorybeam explain --gateway 10.0.0.1:9464 --host kitchens.example
    /// /slots/7
    #[bpaf(command)]
    Explain(#[bpaf(external(explain))] Explain),
    /// Runs the process of an entry VM on the users' platform
    ///
    ///
    /// Example: savorybeam gateway --settings /etc/savorybeam/local.yaml
    #[bpaf(command)]
    Gateway {
        #[bpaf(long, help(SETTINGS_PATH_HELP), argument("FILE"), optional)]
        settings: Option<PathBuf>,
        /// Port on which the metrics are served
        #[bpaf(argument("PORT"), fallback(9464))]
        metrics: u16,
    },
    /// Reads a key from standard input and prints the digest of it that documents
    /// state
    ///
    ///
    /// Example: savorybeam key-digest < key.txt
    #[bpaf(command("key-digest"))]
    KeyDigest,
    /// Shows the state of an entry
    ///
    ///
    /// Example: savorybeam status --admin 10.0.0.1:7002
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        access: Access,
        /// Print the response as JSON
        json: bool,
    },
    /// Shows the events of all entries in one total order
    ///
    ///
    /// Example: savorybeam timeline --admin 10.0.0.1:7002 --admin 10.0.0.2:7002
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline_options))] TimelineOptions),
}

#[derive(Bpaf, Clone, Debug)]
pub(super) enum Explain {
    /// Recent requests, by the administration interface of an entry
    Recent {
        #[bpaf(external)]
        access: Access,
        /// Print the response as JSON
        json: bool,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: ServiceName,
    },
    /// A request that is not sent, by the metrics address of a gateway
    Request(#[bpaf(external(question))] Question),
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct Question {
    /// The metrics address of a gateway
    #[bpaf(argument("ADDRESS"))]
    pub gateway: AdminAddr,
    /// The host of the request
    #[bpaf(argument("NAME"))]
    pub host: String,
    /// The workspace of the caller, if the route needs a key
    #[bpaf(argument("NAME"), optional)]
    pub workspace: Option<WorkspaceName>,
    /// The affinity key, which identifies the object of the request
    #[bpaf(argument("KEY"), optional)]
    pub object: Option<String>,
    /// The size of the body, as in 64KiB
    #[bpaf(argument("SIZE"), optional)]
    pub bytes: Option<Size>,
    /// Print the response as JSON
    pub json: bool,
    /// The path of the request
    #[bpaf(positional("PATH"))]
    pub path: String,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) enum Documents {
    /// Prints a document, with its revision in the first line
    ///
    ///
    /// Example: savorybeam documents get --admin 10.0.0.1:7002 slotboard >
    /// slotboard.ini
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        access: Access,
        /// An earlier revision from the history, instead of the latest one
        #[bpaf(argument("REVISION"), optional)]
        revision: Option<Revision>,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: ServiceName,
    },
    /// Creates or replaces a document; the first line of the file states the
    /// revision that it replaces
    ///
    ///
    /// Example: savorybeam documents put --admin 10.0.0.1:7002 --dry-run
    /// slotboard.ini
    #[bpaf(command)]
    Put {
        #[bpaf(external)]
        access: Access,
        /// The revision that the file replaces, instead of the one in its first line
        #[bpaf(argument("REVISION"), optional)]
        base: Option<Revision>,
        /// Replace the current revision, whichever it is
        force: bool,
        /// Show what would change without changing it
        dry_run: bool,
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Lists all documents
    ///
    ///
    /// Example: savorybeam documents list --admin 10.0.0.1:7002
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        access: Access,
        /// Print the response as JSON
        json: bool,
    },
    /// Validates documents without sending them
    ///
    ///
    /// Example: savorybeam documents check slotboard.ini
    #[bpaf(command)]
    Check {
        /// Documents to check
        #[bpaf(positional("FILE"), some("a file to check is needed"))]
        files: Vec<PathBuf>,
    },
    /// Lists the latest revisions of a document and what they changed
    ///
    ///
    /// Example: savorybeam documents history --admin 10.0.0.1:7002 slotboard
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        access: Access,
        /// Print the response as JSON
        json: bool,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: ServiceName,
    },
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct DrainOptions {
    #[bpaf(external)]
    pub access: Access,
    /// Print all drains as JSON, if no place is given
    pub json: bool,
    /// Drain only this target of the place
    #[bpaf(argument("TARGET"), optional)]
    pub target: Option<TargetId>,
    /// Cancel the drain, so that the place or target gets requests again
    pub cancel: bool,
    /// Wait at most this long until no requests run there
    #[bpaf(argument("SECONDS"), optional)]
    pub wait: Option<u64>,
    /// The service; its drains are shown if no place is given
    #[bpaf(positional("SERVICE"), optional)]
    pub service: Option<ServiceName>,
    /// The place
    #[bpaf(positional("PLACE"), optional)]
    pub place: Option<PlaceName>,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct TimelineOptions {
    #[bpaf(external)]
    pub access: Access,
    /// Print events as JSON lines
    pub json: bool,
    /// Show only this many of the latest events
    #[bpaf(argument("COUNT"), fallback(200))]
    pub limit: usize,
    /// Show only events of this component, such as document or drain
    #[bpaf(argument("PART"), optional)]
    pub part: Option<Component>,
    /// Show only events after this stamp, as found in the JSON lines
    #[bpaf(argument("STAMP"), optional)]
    pub after: Option<Stamp>,
}

//! Commands and their arguments.

use std::path::PathBuf;

use bpaf::Bpaf;

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

#[derive(Bpaf, Clone, Debug)]
pub(super) enum Command {
    /// Checks settings and service documents without starting anything
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
    /// Prints one JSON line with the addresses when ready. Example: savorybeam
    /// dev --for 60
    #[bpaf(command)]
    Dev {
        /// Stop after this time
        #[bpaf(long("for"), argument("SECONDS"), optional)]
        seconds: Option<u64>,
    },
    /// Runs the process of an entry VM
    ///
    /// Example: savorybeam entry --settings /etc/savorybeam/entry.ini
    #[bpaf(command)]
    Entry {
        /// The settings
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
}

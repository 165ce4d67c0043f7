//! The command line.
//!
//! Results go to standard output and logs to standard error, so that a result
//! can be piped. The exit code is 0 for success, 1 for a failed command and 2 for
//! a usage error.

mod addr;
mod check;
mod client;
mod dev;
mod documents;
mod drain;
mod entry;
mod explain;
mod gateway;
mod key_digest;
mod options;
mod show;
mod timeline;

use std::process::ExitCode;

use self::{
    client::Client,
    options::{Command, Explain},
};

/// Parses the arguments of the process, runs the command and returns its exit
/// code.
#[must_use]
pub fn run() -> ExitCode {
    let options = match options::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(bpaf::ParseFailure::Stderr(doc)) => {
            eprintln!("{}", doc.monochrome(true));
            return ExitCode::from(2);
        }
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::SUCCESS;
        }
    };
    // The gateway sets up its own logs on standard output, where the platform
    // reads them.
    if !matches!(options.command, Command::Gateway { .. }) {
        init_logging(options.json);
    }
    let result = match options.command {
        Command::Check { files } => check::run(&files),
        Command::Dev { seconds } => block_on(dev::run(seconds)),
        Command::Documents(command) => block_on(documents::run(command)),
        Command::Drain(options) => block_on(drain::run(options)),
        Command::Entry { settings } => block_on(entry::run(settings)),
        Command::Explain(Explain::Recent {
            access,
            json,
            service,
        }) => block_on(show::explain(&Client::new(access), &service, json)),
        Command::Explain(Explain::Request(question)) => block_on(explain::run(question)),
        Command::Gateway { settings, metrics } => gateway::run(settings, metrics),
        Command::KeyDigest => key_digest::run(),
        Command::Status { access, json } => block_on(show::status(&Client::new(access), json)),
        Command::Timeline(options) => block_on(timeline::run(options)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("savorybeam: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn block_on(task: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(task)
}

/// Sets up logging to standard error, at the level that `SAVORYBEAM_LOG` states
/// and `info` otherwise.
fn init_logging(json: bool) {
    let filter = tracing_subscriber::EnvFilter::try_from_env("SAVORYBEAM_LOG");
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false);
    let builder = builder.with_writer(std::io::stderr);
    if json {
        builder.json().init();
    } else {
        builder.with_ansi(false).init();
    }
}

//! `savorybeam entry`.

use std::{fs, path::PathBuf, sync::Arc};

use eyre::{WrapErr, bail};
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    adapters::{
        clock, http,
        ini::{Fault, parse_settings},
        metrics,
        store::{Calls, etcd},
    },
    app::entry::{self, Ports},
    domain::Millis,
};

/// How long a call to the store may take. It answers in milliseconds, and 70 ms
/// more between regions.
const STORE_TIMEOUT: Millis = Millis(1_000);

/// Runs an entry until SIGTERM or SIGINT.
pub(super) async fn run(settings: PathBuf) -> eyre::Result<()> {
    let settings = read(&settings, parse_settings)?;
    let clock = clock::open();
    let targets = http::open(clock.clone(), http::PoolConfig::default());
    let calls = Arc::<Calls>::default();
    let ports = Ports {
        store: etcd::open(&settings.store, STORE_TIMEOUT, calls.clone()),
        metrics: metrics::open(calls),
        clock,
        targets,
    };
    let entry = entry::spawn(settings, ports).await?;
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    entry.stop().await;
    Ok(())
}

fn read<T>(path: &PathBuf, parse: fn(&str, &str) -> Result<T, Vec<Fault>>) -> eyre::Result<T> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).wrap_err_with(|| format!("read {name}"))?;
    let faults = match parse(&name, &text) {
        Ok(value) => return Ok(value),
        Err(faults) => faults,
    };
    let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
    bail!("{} faults:\n{}", all.len(), all.join("\n"))
}

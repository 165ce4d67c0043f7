//! `savorybeam entry`: runs the process of an entry VM.

use std::{fs, path::PathBuf, sync::Arc};

use eyre::WrapErr;
use tokio::signal::unix::{SignalKind, signal};

use super::check;
use crate::{
    adapters::{
        clock, http,
        ini::{Fault, parse_settings},
        metrics,
        store::{CallCounters, etcd},
    },
    app::entry::{self, Ports},
    domain::Millis,
};

/// The timeout of a call to the store. It responds within milliseconds, plus
/// 70 ms between regions.
const STORE_TIMEOUT: Millis = Millis(1_000);

/// Runs an entry until SIGTERM or SIGINT, then stops it gracefully.
pub(super) async fn run(settings: PathBuf) -> eyre::Result<()> {
    let settings = read(&settings, parse_settings)?;
    let clock = clock::open();
    let targets = http::open(clock.clone(), http::PoolConfig::default());
    let store_calls = Arc::<CallCounters>::default();
    let ports = Ports {
        store: etcd::open(&settings.store, STORE_TIMEOUT, store_calls.clone()),
        metrics: metrics::open(store_calls),
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

/// Reads and parses a file. The error lists all faults in it.
fn read<T>(path: &PathBuf, parse: fn(&str, &str) -> Result<T, Vec<Fault>>) -> eyre::Result<T> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).wrap_err_with(|| format!("read {name}"))?;
    parse(&name, &text).map_err(|faults| check::list_faults(&faults))
}

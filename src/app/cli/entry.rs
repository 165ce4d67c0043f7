//! `savorybeam entry`.

use std::{fs, net::SocketAddr, path::PathBuf, sync::Arc};

use eyre::{WrapErr, bail};
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    adapters::{
        clock, http,
        ini::{Fault, parse_document, parse_settings},
        metrics,
    },
    app::entry::{self, Ports},
    domain::Revision,
    ports::{Call, Store, StoreError},
};

/// Runs an entry until SIGTERM or SIGINT.
pub(super) async fn run(settings: PathBuf, documents: Vec<PathBuf>) -> eyre::Result<()> {
    let settings = read(&settings, parse_settings)?;
    let clock = clock::open();
    let targets = http::open(clock.clone());
    let calls = Arc::default();
    let ports = Ports {
        store: unreachable_store(&settings.store),
        metrics: metrics::open(calls),
        clock,
        targets,
    };
    let entry = entry::spawn(settings, ports).await?;
    for path in documents {
        let doc = read(&path, parse_document)?;
        entry.state.adopt(&doc, Revision::default());
    }
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    entry.stop().await;
    Ok(())
}

/// Returns a store that never answers, until an entry has a client for the real
/// one. Edits are refused, which is true, and documents come from files.
fn unreachable_store(endpoints: &[SocketAddr]) -> Store {
    let peer: Vec<String> = endpoints.iter().map(ToString::to_string).collect();
    let down = StoreError::Down {
        step: "connect to the store",
        peer: peer.join(", "),
        cause: "this build has no client for it".to_owned(),
    };
    Store {
        get: fail(&down),
        list: fail(&down),
        write: fail(&down),
        lease: fail(&down),
        watch: fail(&down),
    }
}

fn fail<A: 'static, T: Send + 'static>(e: &StoreError) -> Call<A, Result<T, StoreError>> {
    let e = e.clone();
    Arc::new(move |_| Box::pin(std::future::ready(Err(e.clone()))))
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

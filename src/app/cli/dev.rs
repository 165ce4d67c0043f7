//! `savorybeam dev`: runs a complete system on loopback.

use std::{io::Write, time::Duration};

use tokio::signal::unix::{SignalKind, signal};

use crate::app::dev;

/// Starts the entries and sample targets, prints how to reach them, and runs
/// until SIGTERM, SIGINT or, if `seconds` is given, that time has passed.
pub(super) async fn run(seconds: Option<u64>) -> eyre::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let dev = dev::spawn().await?;
    let mut out = std::io::stdout();
    writeln!(out, "{}", dev.describe())?;
    out.flush()?;
    let timer = async {
        match seconds {
            Some(n) => tokio::time::sleep(Duration::from_secs(n)).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        () = timer => {}
    }
    dev.stop().await;
    Ok(())
}

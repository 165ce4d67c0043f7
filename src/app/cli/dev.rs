//! `savorybeam dev`.

use std::{io::Write, time::Duration};

use tokio::signal::unix::{SignalKind, signal};

use crate::app::dev;

/// Runs until SIGTERM, SIGINT or the time is over.
pub(super) async fn run(seconds: Option<u64>) -> eyre::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let dev = dev::spawn().await?;
    let mut out = std::io::stdout();
    writeln!(out, "{}", dev.describe())?;
    out.flush()?;
    let over = async {
        match seconds {
            Some(n) => tokio::time::sleep(Duration::from_secs(n)).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        () = over => {}
    }
    dev.stop().await;
    Ok(())
}

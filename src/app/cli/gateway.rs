//! `savorybeam gateway`.

use std::{path::PathBuf, sync::Arc, time::Duration};

use eyre::{WrapErr, eyre};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
};

use crate::{
    adapters::{
        clock,
        grpc::{self, Peers},
        http, logs, metrics,
        platform::{settings, store},
        store::Calls,
    },
    app::gateway::{self, Ports, State},
    domain::Millis,
    ports::VmSettings,
};

/// The stack of a worker thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;

/// The idle connections to targets that are kept. Each costs some 17 KB, a new
/// one 1 ms of a slot; targets may forget idle ones before their time.
const KEEP: http::PoolConfig = http::PoolConfig {
    max_idle: 6,
    idle_timeout: Millis(4_000),
};

/// How long an entry may take to answer a question that it need not wait for.
const PEER_TIMEOUT: Millis = Millis(500);

/// How often the settings file is compared, since it may change without a
/// signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);

/// Runs a gateway until SIGTERM or SIGINT.
pub(super) fn run(path: Option<PathBuf>, port: u16) -> eyre::Result<()> {
    let logs = logs::open();
    let file = Source::new(path, port)?;
    let (text, settings) = file.read()?;
    let runtime = runtime(settings.cores)?;
    let result = runtime.block_on(serve(&file, text, settings));
    // What still runs must not delay the end beyond the grace time.
    runtime.shutdown_background();
    logs.flush();
    result
}

/// Returns a runtime with one worker for each core that the settings state,
/// which may be fewer than the machine shows.
fn runtime(cores: usize) -> eyre::Result<Runtime> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(cores)
        .max_blocking_threads(2)
        .thread_stack_size(STACK_BYTES)
        .enable_all()
        .build();
    runtime.wrap_err("start the runtime")
}

async fn serve(file: &Source, text: String, settings: VmSettings) -> eyre::Result<()> {
    let clock = clock::open();
    let targets = http::open(clock.clone(), KEEP);
    let peers = Arc::new(Peers::new(PEER_TIMEOUT, Arc::default()));
    let ports = Ports {
        platform: store::open(settings.store, targets.clone()),
        changes: grpc::changes(peers.clone()),
        metrics: metrics::open(Arc::<Calls>::default()),
        clock,
        targets,
    };
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let gateway = gateway::spawn(settings, ports).await?;
    let mut current = text;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => file.reload(&gateway.state, &mut current),
            () = tokio::time::sleep(RELOAD_PERIOD) => {
                peers.close_idle();
                file.reload(&gateway.state, &mut current);
            }
        }
    }
    gateway.stop().await;
    Ok(())
}

/// Where the settings come from.
struct Source {
    path: PathBuf,
    port: u16,
}

impl Source {
    fn new(path: Option<PathBuf>, port: u16) -> eyre::Result<Self> {
        let variable = || std::env::var_os(settings::SETTINGS_PATH_VARIABLE).map(PathBuf::from);
        let path = path.or_else(variable);
        let missing = || {
            eyre!(
                "--settings or {} is needed",
                settings::SETTINGS_PATH_VARIABLE
            )
        };
        let path = path.ok_or_else(missing)?;
        Ok(Self { path, port })
    }

    fn read(&self) -> eyre::Result<(String, VmSettings)> {
        let name = self.path.display();
        let text = std::fs::read_to_string(&self.path).wrap_err_with(|| format!("read {name}"))?;
        let settings = settings::parse(&text, self.port).wrap_err_with(|| format!("{name}"))?;
        Ok((text, settings))
    }

    /// Adopts a changed settings file. A file that cannot be used replaces
    /// nothing.
    fn reload(&self, state: &State, current: &mut String) {
        match self.read() {
            Ok((text, _)) if text == *current => {}
            Ok((text, settings)) => {
                *current = text;
                state.set_settings(settings);
                tracing::info!("settings: reloaded.");
            }
            Err(e) => tracing::warn!(cause = format!("{e:#}"), "settings: not reloaded."),
        }
    }
}

//! `savorybeam gateway`: runs the process of an entry VM on the users' platform.

use std::{
    path::PathBuf,
    sync::{Arc, RwLock},
    time::Duration,
};

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
        store::CallCounters,
    },
    app::gateway::{self, Ports},
    domain::{Millis, read, write},
    ports::VmSettings,
};

/// The stack size of a worker thread.
const WORKER_STACK_BYTES: usize = 512 * 1024;

/// How many idle connections to targets are kept, and for how long. An idle
/// connection costs about 17 KB of memory, and opening a new one occupies a slot
/// for 1 ms. Targets may close idle connections earlier.
const IDLE_CONNECTIONS: http::PoolConfig = http::PoolConfig {
    max_idle: 6,
    idle_timeout: Millis(4_000),
};

/// The timeout of requests to other entries that are answered immediately, without
/// waiting for an event.
const PEER_TIMEOUT: Millis = Millis(500);

/// How often the settings file is checked for changes, since it may change
/// without a SIGHUP.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);

/// Runs a gateway until SIGTERM or SIGINT, then stops it gracefully.
pub(super) fn run(path: Option<PathBuf>, port: u16) -> eyre::Result<()> {
    let logs = logs::open();
    let file = SettingsFile::new(path, port)?;
    let (text, settings) = file.read()?;
    let runtime = build_runtime(settings.cores)?;
    let result = runtime.block_on(serve(&file, text, settings));
    // Tasks that still run must not delay the exit beyond the grace period.
    runtime.shutdown_background();
    logs.flush();
    result
}

/// Returns a runtime with one worker for each core that the settings allow, which
/// may be fewer than the machine reports.
fn build_runtime(cores: usize) -> eyre::Result<Runtime> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(cores)
        .max_blocking_threads(2)
        .thread_stack_size(WORKER_STACK_BYTES)
        .enable_all()
        .build();
    runtime.wrap_err("start the runtime")
}

async fn serve(file: &SettingsFile, text: String, settings: VmSettings) -> eyre::Result<()> {
    let clock = clock::open();
    let targets = http::open(clock.clone(), IDLE_CONNECTIONS);
    let peers = Arc::new(Peers::new(PEER_TIMEOUT, Arc::default()));
    let store_addr = Arc::new(RwLock::new(settings.store));
    let current_addr = store_addr.clone();
    let ports = Ports {
        platform: store::open_movable(move || read(&current_addr), targets.clone()),
        changes: grpc::changes(peers.clone()),
        quotas: grpc::quotas(peers.clone()),
        strikes: grpc::strikes(peers.clone()),
        listeners: http::listeners(),
        metrics: metrics::open(Arc::<CallCounters>::default()),
        clock,
        targets,
    };
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let gateway = gateway::spawn(settings, ports).await?;
    // Listening addresses and limits are used at the start only.
    let apply = |settings: VmSettings| {
        *write(&store_addr) = settings.store;
        gateway.state.set_settings(settings);
    };
    let mut current = text;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => file.reload(&mut current, &apply),
            () = tokio::time::sleep(RELOAD_PERIOD) => {
                peers.close_idle();
                file.reload(&mut current, &apply);
            }
        }
    }
    gateway.stop().await;
    Ok(())
}

/// The platform's settings file.
struct SettingsFile {
    path: PathBuf,
    /// The port of the metrics, which the file does not contain.
    port: u16,
}

impl SettingsFile {
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

    /// Applies the settings file if it has changed. If it cannot be read or
    /// parsed, the current settings stay in effect.
    fn reload(&self, current: &mut String, apply: &impl Fn(VmSettings)) {
        match self.read() {
            Ok((text, _)) if text == *current => {}
            Ok((text, settings)) => {
                *current = text;
                apply(settings);
                tracing::info!("settings: reloaded.");
            }
            Err(e) => tracing::warn!(cause = format!("{e:#}"), "settings: not reloaded."),
        }
    }
}

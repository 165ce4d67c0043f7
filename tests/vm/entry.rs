//! A gateway on loopback, with a platform of fixed content.

use std::{sync::Arc, time::Duration};

use savorybeam::{
    adapters::{
        clock,
        grpc::{self, Peers},
        http::{self as web, PoolConfig},
        metrics,
        store::CallCounters,
    },
    app::gateway::{self, Gateway, Ports},
    domain::{Millis, Revision},
    ports::{Batch, Change, LeaseId, Platform, PlatformError, VmSettings},
};

/// Starts a gateway and waits until it is ready. Reading the platform fails if
/// the timeout is shorter than `read_time`.
pub async fn open(settings: VmSettings, changes: Vec<Change>, read_time: Millis) -> Gateway {
    open_with(settings, platform(changes, read_time)).await
}

/// Starts a gateway on the given platform and waits until it is ready.
pub async fn open_with(settings: VmSettings, platform: Platform) -> Gateway {
    let gateway = spawn(settings, platform).await;
    while !gateway.state.is_ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    gateway
}

/// Starts a gateway without waiting until it is ready.
pub async fn spawn(settings: VmSettings, platform: Platform) -> Gateway {
    let clock = clock::open();
    let ports = Ports {
        targets: web::open(clock.clone(), PoolConfig::default()),
        platform,
        changes: grpc::changes(Arc::new(Peers::new(Millis(500), Arc::default()))),
        metrics: metrics::open(Arc::<CallCounters>::default()),
        clock,
    };
    gateway::spawn(settings, ports).await.expect("a gateway")
}

/// Returns a platform with a fixed content. Reading it fails if the timeout is
/// shorter than `read_time`.
pub fn platform(changes: Vec<Change>, read_time: Millis) -> Platform {
    let batch = Batch {
        changes,
        revision: Revision(9),
    };
    Platform {
        read: Arc::new(move |limit| {
            let batch = batch.clone();
            Box::pin(async move {
                // Simulates a large registry that is read over a narrow link.
                if limit < read_time {
                    return Err(PlatformError::Failed {
                        step: "read keys",
                        peer: "127.0.0.1:9".parse().expect("an address"),
                        cause: "timed out".to_owned(),
                    });
                }
                Ok(batch)
            })
        }),
        poll: Arc::new(|poll| {
            Box::pin(async move {
                tokio::time::sleep(poll.wait.duration()).await;
                Ok(Batch {
                    changes: Vec::new(),
                    revision: poll.after,
                })
            })
        }),
        announce: Arc::new(|_| Box::pin(async { Ok(LeaseId(1)) })),
        renew: Arc::new(|_| Box::pin(async { Ok(()) })),
        withdraw: Arc::new(|_| Box::pin(async { Ok(()) })),
    }
}

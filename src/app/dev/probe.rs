//! Waits until an entry serves requests for a service.

use std::{net::SocketAddr, time::Duration};

use eyre::{bail, eyre};
use http::{Request, header};
use http_body_util::{BodyExt, Empty};
use tokio::time::{Instant, sleep};

use crate::{
    domain::TargetId,
    ports::{Outbound, Targets},
};

/// The timeout for an entry to serve its first request.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Sends requests for a service to an entry until one succeeds.
///
/// An entry is ready as soon as the roster lists it, but its units of shared
/// limits arrive up to a second later, and until then it refuses requests with
/// `limit-reached`. The first request of a user must not fail with this.
pub(super) async fn wait_until_served(
    targets: &Targets,
    entry: SocketAddr,
    service: &str,
) -> eyre::Result<()> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let body = Empty::new().map_err(|never| match never {}).boxed();
        let request = Request::builder()
            .uri("/health")
            .header(header::HOST, service)
            .body(body)?;
        let target = TargetId(entry);
        let resp = (targets.send)(Outbound::new(target, request)).await;
        let resp = resp.map_err(|e| eyre!(e))?;
        let status = resp.status();
        // The connection can be reused only after the body has been read.
        let _ = resp.into_body().collect().await;
        if status.is_success() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            bail!("request to {service} at {entry}: still {status} after 20 s");
        }
        sleep(RETRY_INTERVAL).await;
    }
}

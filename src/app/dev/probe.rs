//! Waits until requests are served.

use std::{net::SocketAddr, time::Duration};

use eyre::{bail, eyre};
use http::{Request, header};
use http_body_util::{BodyExt, Empty};
use tokio::time::{Instant, sleep};

use crate::{
    domain::TargetId,
    ports::{Outbound, Targets},
};

/// How long it may take until an entry serves a request.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);

/// Sends requests for a service to an entry until one is answered by a target.
///
/// An entry is ready as soon as the roster lists it, but its units of shared
/// limits arrive up to a second later, and until then it refuses requests with
/// `limit-reached`. A newcomer's first request must not meet that.
pub(super) async fn served(
    targets: &Targets,
    entry: SocketAddr,
    service: &str,
) -> eyre::Result<()> {
    let give_up = Instant::now() + TIMEOUT;
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
        // The body has to end before the connection can be used again.
        let _ = resp.into_body().collect().await;
        if status.is_success() {
            return Ok(());
        }
        if Instant::now() >= give_up {
            bail!("request to {service} at {entry}: still {status} after 20 s");
        }
        sleep(PAUSE).await;
    }
}

//! Checks whether a target still listens.

use std::{io::ErrorKind, sync::Arc};

use tokio::{net::TcpStream, time::timeout};

use crate::{
    domain::{Millis, TargetId},
    ports::{Listener, Listeners},
};

/// The timeout for opening a connection. Between regions it takes about 70 ms without
/// packet loss.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// Returns the port to the listeners of targets.
#[must_use]
pub fn listeners() -> Listeners {
    Listeners {
        check: Arc::new(|target| Box::pin(check(target))),
    }
}

async fn check(target: TargetId) -> Listener {
    match timeout(CONNECT_TIMEOUT.duration(), TcpStream::connect(target.0)).await {
        Ok(Ok(_)) => Listener::Open,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Listener::Closed,
        Ok(Err(_)) | Err(_) => Listener::Unknown,
    }
}

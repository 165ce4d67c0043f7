//! An in-memory replacement for the platform's store that tests run as a
//! separate process.
//!
//! It serves a subset of the published etcd v3 protocol (KV Range and Txn,
//! Watch, Lease grant and keep-alive) and keeps all data in memory. Requests to
//! a control port inject faults, such as delays, an outage, or a response that is
//! lost after its write took effect, and read the number of calls.
//!
//! ```text
//! store_standin --listen 127.0.0.1:2379 --control 127.0.0.1:2380 [--until-eof]
//! ```
//!
//! When it is ready, it prints one JSON line with its addresses. Port 0 picks a
//! free port. With `--until-eof` it exits when its standard input reaches
//! end-of-file, so that it does not outlive a test that is killed.

mod control;
mod faults;
mod protocol;
mod serve;
mod state;

use std::{io::Read, net::SocketAddr, sync::Arc};

use bpaf::Parser;
use tokio::net::TcpListener;

use crate::{faults::Faults, protocol::Service, state::Store};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let (listen, control, until_eof) = options().run();
    let listener = TcpListener::bind(listen).await?;
    let control_listener = TcpListener::bind(control).await?;
    let (listen, control) = (listener.local_addr()?, control_listener.local_addr()?);
    let store = Arc::new(Store::new());
    let faults = Arc::new(Faults::default());
    tokio::spawn(state::expire_leases(store.clone()));
    tokio::spawn(control::run(
        control_listener,
        store.clone(),
        faults.clone(),
    ));
    println!(
        "{}",
        serde_json::json!({ "listen": listen.to_string(), "control": control.to_string() })
    );
    if until_eof {
        std::thread::spawn(|| {
            let _ = std::io::stdin().read_to_end(&mut Vec::new());
            std::process::exit(0);
        });
    }
    serve::run(listener, Service { store, faults }).await?;
    Ok(())
}

fn options() -> bpaf::OptionParser<(SocketAddr, SocketAddr, bool)> {
    let listen = bpaf::long("listen")
        .help("Address to serve the etcd protocol on")
        .argument("ADDR");
    let control = bpaf::long("control")
        .help("Address to accept control requests on")
        .argument("ADDR");
    let until_eof = bpaf::long("until-eof")
        .help("Exit when standard input reaches end-of-file")
        .switch();
    bpaf::construct!(listen, control, until_eof)
        .to_options()
        .descr("An in-memory replacement for the platform's store")
}

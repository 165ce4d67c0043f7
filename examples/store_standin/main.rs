//! A stand-in for the platform's store, in a process of its own.
//!
//! It serves a subset of the published etcd v3 protocol (KV Range and Txn,
//! Watch, Lease grant and keep-alive) and keeps everything in memory. A control
//! port makes it slow or down, has it lose responses after a write took effect,
//! and reports how often it was called.
//!
//! ```text
//! store_standin --listen 127.0.0.1:2379 --control 127.0.0.1:2380 [--until-eof]
//! ```
//!
//! It prints one JSON line with the addresses when it is ready. Port 0 chooses a
//! free port. With `--until-eof` it exits when its standard input ends, so that
//! it does not outlive a test that is killed.

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
    let controls = TcpListener::bind(control).await?;
    let (listen, control) = (listener.local_addr()?, controls.local_addr()?);
    let store = Arc::new(Store::new());
    let faults = Arc::new(Faults::default());
    tokio::spawn(state::expire_leases(store.clone()));
    tokio::spawn(control::run(controls, store.clone(), faults.clone()));
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
        .help("Where to serve the store's protocol")
        .argument("ADDR");
    let control = bpaf::long("control")
        .help("Where to accept control requests")
        .argument("ADDR");
    let until_eof = bpaf::long("until-eof")
        .help("Exit when the standard input ends")
        .switch();
    bpaf::construct!(listen, control, until_eof)
        .to_options()
        .descr("A stand-in for the platform's store")
}

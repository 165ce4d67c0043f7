//! Runs the sample target in a separate process, for tests that kill or freeze it.
//!
//! ```text
//! cargo run --example target_standin -- --listen 127.0.0.1:9001 --name t1 --slots 3
//! ```

use std::{io::Write, net::SocketAddr};

use bpaf::Bpaf;
use savorybeam::app::dev::target;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Address to listen on; port 0 picks a free port
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Name reported in the x-target header
    #[bpaf(argument("NAME"), fallback("target".to_owned()))]
    name: String,
    /// Number of concurrent requests above which requests are shed
    #[bpaf(argument("N"), fallback(3))]
    slots: u32,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = options().run();
    let server = target::bind(options.listen, &options.name, options.slots, || {
        std::process::exit(3)
    })
    .await?;
    // Tests wait for this line and parse the port from it.
    println!("{}", server.addr());
    std::io::stdout().flush()?;
    let mut sigterm = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    sigterm.recv().await;
    server.stop().await;
    Ok(())
}

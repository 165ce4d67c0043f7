//! A sample target as a process of its own, for tests that kill and freeze it.
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
    /// The address to serve at; port 0 takes a free one
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// The name in the x-target header
    #[bpaf(argument("NAME"), fallback("target".to_owned()))]
    name: String,
    /// How many requests run at the same time
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
    // Tests wait for this line and read the port from it.
    println!("{}", server.addr());
    std::io::stdout().flush()?;
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    term.recv().await;
    server.stop().await;
    Ok(())
}

//! Measures the latency that an entry adds to a request, over real sockets on loopback.
//!
//! ```text
//! cargo run --release --example hop -- --requests 20000 --connections 8
//! ```
//!
//! It starts the deployment of `dev` and a separate target, sends the same
//! requests directly to that target and through an entry, and prints latency
//! percentiles for both paths. Client, entry and targets share one process and
//! its cores, so the absolute figures are not meaningful: only the difference
//! between the two paths is.

use std::{net::SocketAddr, time::Instant};

use bpaf::Bpaf;
use bytes::Bytes;
use eyre::{OptionExt, WrapErr};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use savorybeam::app::dev::{self, target};
use tokio::{net::TcpStream, task::JoinSet};

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Number of requests per connection
    #[bpaf(argument("N"), fallback(20_000))]
    requests: u32,
    /// Number of concurrent connections
    #[bpaf(argument("N"), fallback(4))]
    connections: u32,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = options().run();
    let dev = dev::spawn().await?;
    let direct = target::bind("127.0.0.1:0".parse()?, "direct", 1_000, || {}).await?;
    let described = dev.describe();
    let entry = described["entries"][0]
        .as_str()
        .ok_or_eyre("the description of the dev deployment lists no entry")?;
    let entry: SocketAddr = entry.trim_start_matches("http://").parse()?;
    println!("| path | requests/s | p50 µs | p99 µs | p99.9 µs | failed |");
    println!("|---|---|---|---|---|---|");
    for (name, addr) in [("direct", direct.addr()), ("through an entry", entry)] {
        // A warm-up round opens the connections and lets the estimates settle.
        measure(addr, options.connections, options.requests / 10).await?;
        let start = Instant::now();
        let (latencies, failed) = measure(addr, options.connections, options.requests).await?;
        let rate =
            f64::from(options.connections * options.requests) / start.elapsed().as_secs_f64();
        println!(
            "| {name} | {rate:.0} | {} | {} | {} | {failed} |",
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.99),
            latencies.value_at_quantile(0.999)
        );
    }
    dev.stop().await;
    direct.stop().await;
    Ok(())
}

/// Sends `requests` sequential requests on each of `connections` concurrent
/// connections. Returns the latencies in microseconds and the number of failures.
async fn measure(
    addr: SocketAddr,
    connections: u32,
    requests: u32,
) -> eyre::Result<(Histogram<u64>, u64)> {
    let mut tasks = JoinSet::new();
    for _ in 0..connections {
        tasks.spawn(measure_connection(addr, requests));
    }
    let mut all = Histogram::new(3)?;
    let mut failed = 0;
    while let Some(result) = tasks.join_next().await {
        let (latencies, failures) = result??;
        all.add(latencies)?;
        failed += failures;
    }
    Ok((all, failed))
}

/// Opens one connection and sends `requests` sequential requests on it.
async fn measure_connection(
    addr: SocketAddr,
    requests: u32,
) -> eyre::Result<(Histogram<u64>, u64)> {
    let stream = TcpStream::connect(addr).await;
    let stream = stream.wrap_err_with(|| format!("failed to connect to {addr}"))?;
    stream.set_nodelay(true)?;
    let (mut sender, conn) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(conn);
    let mut latencies = Histogram::new(3)?;
    let mut failed = 0;
    for _ in 0..requests {
        let start = Instant::now();
        let succeeded = send_echo(&mut sender).await?;
        failed += u64::from(!succeeded);
        latencies.saturating_record(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));
    }
    Ok((latencies, failed))
}

/// Returns whether the response has a success status.
async fn send_echo(sender: &mut SendRequest<Empty<Bytes>>) -> eyre::Result<bool> {
    let req = Request::builder()
        .uri("/echo")
        .header("host", "slotboard")
        .body(Empty::new())?;
    sender.ready().await?;
    let resp = sender.send_request(req).await?;
    let succeeded = resp.status().is_success();
    resp.into_body().collect().await?;
    Ok(succeeded)
}

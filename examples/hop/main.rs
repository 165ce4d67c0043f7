//! What the hop through an entry costs, over real sockets on loopback.
//!
//! ```text
//! cargo run --release --example hop -- --requests 20000 --connections 8
//! ```
//!
//! It starts the deployment of `dev` and a target of its own, sends the same
//! requests directly to a target and through an entry, and prints percentiles of
//! the latency. Everything runs in one process, so the two paths share the same
//! cores and the figures hold only as a comparison.

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
    /// How many requests each connection sends
    #[bpaf(argument("N"), fallback(20_000))]
    requests: u32,
    /// How many connections send at the same time
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
        .ok_or_eyre("dev names no entry")?;
    let entry: SocketAddr = entry.trim_start_matches("http://").parse()?;
    println!("| path | requests/s | p50 µs | p99 µs | p99.9 µs | failed |");
    println!("|---|---|---|---|---|---|");
    for (name, addr) in [("direct", direct.addr()), ("through an entry", entry)] {
        // The first round warms connections and estimates up.
        measure(addr, options.connections, options.requests / 10).await?;
        let start = Instant::now();
        let (times, failed) = measure(addr, options.connections, options.requests).await?;
        let rate =
            f64::from(options.connections * options.requests) / start.elapsed().as_secs_f64();
        println!(
            "| {name} | {rate:.0} | {} | {} | {} | {failed} |",
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            times.value_at_quantile(0.999)
        );
    }
    dev.stop().await;
    direct.stop().await;
    Ok(())
}

/// Sends requests over several connections, one after the other on each.
async fn measure(
    addr: SocketAddr,
    connections: u32,
    requests: u32,
) -> eyre::Result<(Histogram<u64>, u64)> {
    let mut tasks = JoinSet::new();
    for _ in 0..connections {
        tasks.spawn(connection(addr, requests));
    }
    let mut all = Histogram::new(3)?;
    let mut failed = 0;
    while let Some(result) = tasks.join_next().await {
        let (times, lost) = result??;
        all.add(times)?;
        failed += lost;
    }
    Ok((all, failed))
}

async fn connection(addr: SocketAddr, requests: u32) -> eyre::Result<(Histogram<u64>, u64)> {
    let stream = TcpStream::connect(addr).await;
    let stream = stream.wrap_err_with(|| format!("connect to {addr}"))?;
    stream.set_nodelay(true)?;
    let (mut sender, conn) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(conn);
    let mut times = Histogram::new(3)?;
    let mut failed = 0;
    for _ in 0..requests {
        let start = Instant::now();
        let answered = request(&mut sender).await?;
        failed += u64::from(!answered);
        times.saturating_record(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));
    }
    Ok((times, failed))
}

async fn request(sender: &mut SendRequest<Empty<Bytes>>) -> eyre::Result<bool> {
    let req = Request::builder()
        .uri("/echo")
        .header("host", "slotboard")
        .body(Empty::new())?;
    sender.ready().await?;
    let resp = sender.send_request(req).await?;
    let answered = resp.status().is_success();
    resp.into_body().collect().await?;
    Ok(answered)
}

//! Measures the bytes that HTTP/2 adds to a call, on loopback.

use std::{fmt, net::SocketAddr, sync::Arc};

use savorybeam::{
    adapters::grpc::{Peers, Probe, Routes, Sender, Traffic, bind, probe, serve_probe},
    domain::{Epoch, Incarnation, Millis},
    policy::{member::Nonce, spread::RootHash},
};

/// The bytes of a call in both directions, without its encoded messages.
pub struct Overhead {
    /// For a call that opens its connection.
    pub first: u64,
    /// For a call on an open connection.
    pub later: u64,
}

impl fmt::Display for Overhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { first, later } = self;
        write!(f, "{first} on a new connection, {later} on an open one")
    }
}

/// Calls a server on loopback and computes the overhead from the traffic counters.
pub fn measure_overhead() -> eyre::Result<Overhead> {
    tokio::runtime::Runtime::new()?.block_on(async {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let routes = serve_probe(Routes::default(), |probe| async { Ok(probe) });
        let server = bind(any, routes).await?;
        let traffic = Arc::<Traffic>::default();
        let peers = Peers::new(Millis(5_000), Arc::clone(&traffic));
        let message = Probe {
            sender: Sender {
                entry: "entry-1".parse()?,
                incarnation: Incarnation(1),
                epoch: Epoch(1),
            },
            nonce: Nonce(1),
            updates: Vec::new(),
            root: RootHash(1),
        };
        let message_bytes = 2 * u64::try_from(prost::Message::encoded_len(&message.encode()))?;
        let bytes = || traffic.counts().bytes_in + traffic.counts().bytes_out;
        probe(&peers, server.addr(), &message).await?;
        let first = bytes() - message_bytes;
        let calls = 20;
        for _ in 0..calls {
            probe(&peers, server.addr(), &message).await?;
        }
        let later = (bytes() - message_bytes - first) / calls - message_bytes;
        drop(peers);
        server.stop(Millis(1_000)).await;
        Ok(Overhead { first, later })
    })
}

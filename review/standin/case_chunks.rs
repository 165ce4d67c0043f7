//! A proper client sends safe requests with bodies in chunks.

use std::{thread, time::Duration};

use crate::{
    http,
    server::Server,
    site::{CONFIG, Gateway, Record, exchange},
    store::Store,
};

/// The sizes of the bodies, far below the limit of the configuration, 64 MiB.
const SIZES: [usize; 5] = [1_000, 60_000, 100_000, 200_000, 400_000];

/// Sends bodies in chunks; without the trouble, the same ones with a length.
/// Returns whether each server got the body that its client sent.
pub fn run(path: &str, trouble: bool) -> Result<bool, String> {
    let fail = |e: std::io::Error| e.to_string();
    let record = Record::create(path).map_err(fail)?;
    let (store, addr) = Store::bind("127.0.0.1:0").map_err(fail)?;
    store.put("op/config", CONFIG);
    let work = Duration::from_millis(20);
    for (id, zone) in [("i-1", "rvk-a"), ("i-2", "rvk-b")] {
        Server::start(&store, &record, id, "huvo11a", zone, "127.0.0.1", work).map_err(fail)?;
    }
    let mut gateway = Gateway::start("edge-rvk-a-1", addr).map_err(fail)?;
    gateway.wait_ready()?;
    // Longer than contact_s, so that the gateway is in touch.
    thread::sleep(Duration::from_secs(5));
    let mut held = true;
    for (n, size) in SIZES.into_iter().enumerate() {
        let id = format!("9c41d07be2a3{n:04x}");
        let sent: Vec<u8> = (0..size).map(|at| b'a' + (at % 23) as u8).collect();
        let (framing, body) = if trouble {
            (
                "Transfer-Encoding: chunked".to_owned(),
                http::chunked(&sent),
            )
        } else {
            (format!("Content-Length: {size}"), sent.clone())
        };
        let head = format!(
            "GET /leny950/2f HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: {id}\r\n\
             Affinity-Key: 17\r\nDeadline-Ms: 2000\r\n{framing}\r\n\r\n"
        );
        record.line(&format!(
            "client sends {id}: GET, {framing}, body of {size} bytes"
        ));
        let request = [head.as_bytes(), &body].concat();
        match exchange(gateway.front, &request, Duration::from_secs(2)) {
            Ok((head, body)) => {
                let seal = head.get("server-seal");
                let text = String::from_utf8_lossy(&body).into_owned();
                record.line(&format!(
                    "client gets for {id}: {} seal {seal:?}, {text:?}",
                    head.first
                ));
            }
            Err(e) => record.line(&format!("client gets nothing for {id}: {e}")),
        }
        for run in record
            .runs()
            .iter()
            .filter(|r| r.request == id && r.body != sent)
        {
            held = false;
            let length = run.body.len();
            record.line(&format!(
                "UNASKED: {} ran {id} with a body of {length} bytes, not the {size} that were sent",
                run.server
            ));
        }
    }
    if record.runs().is_empty() {
        return Err("no request has run".to_owned());
    }
    Ok(held)
}

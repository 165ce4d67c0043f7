//! Another writer puts an entry under the id of a server, which leaves later.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

use crate::{
    server::{HEARTBEAT, Server},
    site::{CONFIG, Gateway, Record, exchange},
    store::Store,
};

/// `drain_s` of the settings.
const DRAIN: Duration = Duration::from_millis(2_500);

/// How long the leaving server serves on after its report.
const SERVES_ON: Duration = Duration::from_millis(7_000);

/// The clients of the unsafe route, each with one request at a time.
const CLIENTS: u64 = 6;

/// Lets a server leave. With the trouble, another writer has put an entry with a
/// service that isn't named under the server's id before, and the server has
/// written its own entry since. Returns whether no request reached the server
/// later than `drain_s` after its report.
pub fn run(path: &str, trouble: bool) -> Result<bool, String> {
    let fail = |e: std::io::Error| e.to_string();
    let record = Record::create(path).map_err(fail)?;
    let (store, addr) = Store::bind("127.0.0.1:0").map_err(fail)?;
    store.put("op/config", CONFIG);
    let work = Duration::from_millis(150);
    let mut servers = Vec::new();
    for (id, zone) in [("i-1", "rvk-a"), ("i-2", "rvk-b"), ("i-3", "rvk-a")] {
        let server = Server::start(&store, &record, id, "wuno96b", zone, "127.0.0.1", work);
        servers.push(server.map_err(fail)?);
    }
    let mut gateway = Gateway::start("edge-rvk-a-1", addr).map_err(fail)?;
    gateway.wait_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    // The requests without a success.
    let cut: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, stop, cut, front) =
                (record.clone(), stop.clone(), cut.clone(), gateway.front);
            thread::spawn(move || {
                let mut n = 0;
                while !stop.load(SeqCst) {
                    n += 1;
                    let id = format!("{client:04x}d07be2a3{n:04x}");
                    let key = n % 25;
                    let request = format!(
                        "POST /puka111/2f HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: {id}\r\n\
                         Affinity-Key: {key}\r\nDeadline-Ms: 2500\r\nContent-Length: 4\r\n\r\nbook"
                    );
                    let answer = exchange(front, request.as_bytes(), Duration::from_millis(2_500));
                    let answer = answer.map_or_else(|e| e.to_string(), |(head, _)| head.first);
                    if !answer.contains(" 200 ") {
                        cut.lock().unwrap().push(id.clone());
                    }
                    record.line(&format!("client {client} sent {id} and gets: {answer}"));
                    // Differs between clients, so that their requests don't stay in step.
                    thread::sleep(Duration::from_millis(20 + 7 * client));
                }
            })
        })
        .collect();
    // Longer than contact_s, so that the gateway is in touch.
    thread::sleep(Duration::from_secs(5));
    let leaving = &servers[0];
    if trouble {
        let entry = leaving.registration("nowhere", leaving.seq() + 1_000);
        store.put(&leaving.key(), &entry);
        record.line(&format!("another writer puts {} = {entry}", leaving.key()));
    }
    // The server's own heartbeats follow; each replaces the entry in the store.
    thread::sleep(HEARTBEAT * 3);
    leaving.drain(&store);
    let acknowledged = record.now();
    record.line(&format!(
        "the store has acknowledged that {} is draining",
        leaving.id()
    ));
    thread::sleep(SERVES_ON);
    leaving.exit(&store);
    record.line(&format!("{} has ended", leaving.id()));
    thread::sleep(Duration::from_secs(2));
    stop.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let runs = record.runs();
    let at_leaving = runs.iter().filter(|r| r.server == leaving.id());
    if at_leaving.clone().all(|r| r.at > acknowledged) {
        return Err("the server got no request before it left".to_owned());
    }
    let late = at_leaving.filter(|r| r.at > acknowledged + DRAIN);
    let late: Vec<_> = late.collect();
    for run in &late {
        let after = (run.at - acknowledged).as_secs_f64();
        record.line(&format!(
            "DRAIN: {} ran {} {after:.3} s after the acknowledgement",
            run.server, run.request
        ));
    }
    record.line(&format!(
        "{} requests reached {} too late",
        late.len(),
        leaving.id()
    ));
    for id in cut
        .lock()
        .unwrap()
        .iter()
        .filter(|id| late.iter().any(|run| run.request == **id))
    {
        record.line(&format!(
            "{id} was at work at {} when it ended, and its client got no answer of a server",
            leaving.id()
        ));
    }
    Ok(late.is_empty())
}

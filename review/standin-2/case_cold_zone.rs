//! The store turns the machines of one region away while a zone of that region is emptied
//! and taken back. Its servers are cold then, which those machines don't know. Counts the
//! requests that a cold server gets in one second.

mod kit;

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    path::Path,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use kit::{Gateway, Record, Store, configuration, read_message, registration, unix_millis};

const HOST: &str = "hulo84.example";
const SERVICE: &str = "svc1";

/// The machines of the site by zone and region. The store turns the first three away,
/// which are a third of all.
const MACHINES: [(&str, &str); 9] = [
    ("rvk-a", "reykjanes"),
    ("rvk-a", "reykjanes"),
    ("rvk-b", "reykjanes"),
    ("aku-a", "nordurland"),
    ("aku-a", "nordurland"),
    ("aku-b", "nordurland"),
    ("egs-a", "austurland"),
    ("egs-a", "austurland"),
    ("egs-b", "austurland"),
];
const TURNED_AWAY: usize = 3;

/// The zones of the servers of `slotboard`, as many as the site has in these zones.
const SERVERS: [&str; 10] = [
    "rvk-a", "rvk-a", "rvk-a", "rvk-b", "rvk-b", "rvk-b", "aku-a", "aku-a", "aku-b", "aku-b",
];
const EMPTIED_ZONE: &str = "rvk-a";
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(50);
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Requests of the region's callers, at its three machines.
const REQUESTS_PER_S: u64 = 240;
const CLIENTS: u64 = 48;

/// Calm traffic, until the machines know each other.
const CALM: Duration = Duration::from_secs(8);

/// From the begin of the outage to that of the emptying, how long that lasts, and when the
/// outage ends, all as the site's days have them at most.
const BEFORE_EMPTYING: Duration = Duration::from_millis(500);
const EMPTYING: Duration = Duration::from_secs(6);
const AFTER_EMPTYING: Duration = Duration::from_millis(2_500);

/// The figures of the site: how long a server stays cold, and what it may get meanwhile
/// (`cold_per_s` x `cold_overshoot` + `cold_slack`).
const COLD: Duration = Duration::from_secs(3);
const COLD_RATE_MAX: usize = 26;

/// The servers, with the arrivals at each.
struct Servers {
    store: Store,
    addrs: Vec<SocketAddr>,
    arrivals: Vec<Arc<Mutex<Vec<Instant>>>>,
    born: u128,
    seq: AtomicU64,
    /// When the servers of the emptied zone became cold.
    cold_since: Arc<Mutex<Option<Instant>>>,
}

impl Servers {
    /// Writes the entries of all servers.
    fn register(&self) {
        let seq = self.seq.fetch_add(1, SeqCst) + 1;
        for (n, (zone, addr)) in SERVERS.iter().zip(&self.addrs).enumerate() {
            let left = cold_left(zone, &self.cold_since).as_secs_f64();
            let text = registration(SERVICE, *addr, zone, SLOTS, seq, self.born);
            let text = text.replace("\"cold_left_s\":0", &format!("\"cold_left_s\":{left:.3}"));
            self.store.put(&format!("servers/i-{n:08x}"), &text);
        }
    }
}

/// Returns how much longer the servers of a zone stay cold.
fn cold_left(zone: &str, cold_since: &Mutex<Option<Instant>>) -> Duration {
    let since = cold_since
        .lock()
        .expect("an instant")
        .filter(|_| zone == EMPTIED_ZONE);
    since.map_or(Duration::ZERO, |since| COLD.saturating_sub(since.elapsed()))
}

/// Returns the answer of a server's health path.
fn servers_health(n: usize, cold_since: &Mutex<Option<Instant>>) -> String {
    let cold_ms = cold_left(SERVERS[n], cold_since).as_millis();
    format!(
        "HTTP/1.1 200 OK\r\nInstance-Id: i-{n:08x}\r\nServer-Load: 2,0,{SLOTS}\r\nCold-Ms: {cold_ms}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Serves a connection of a server, and records when requests arrive.
fn serve(
    stream: TcpStream,
    n: usize,
    arrivals: &Mutex<Vec<Instant>>,
    cold_since: &Mutex<Option<Instant>>,
) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let (mut reader, mut stream) = (BufReader::new(reading), stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        if request.path() == "/health" {
            if stream
                .write_all(servers_health(n, cold_since).as_bytes())
                .is_err()
            {
                return;
            }
            continue;
        }
        arrivals.lock().expect("arrivals").push(Instant::now());
        thread::sleep(WORK);
        let id = request.header("request-id").unwrap_or("");
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\nServer-Load: 2,0,{SLOTS}\r\nContent-Length: 2\r\n\r\nok"
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends requests at a steady rate until `stop`, and counts the statuses.
fn send_all(k: u64, front: SocketAddr, stop: &AtomicBool, counts: &Mutex<BTreeMap<u16, u64>>) {
    let mut conn: Option<BufReader<TcpStream>> = None;
    let period = Duration::from_secs_f64(CLIENTS as f64 / REQUESTS_PER_S as f64);
    let mut next = Instant::now() + period.mul_f64(k as f64 / CLIENTS as f64);
    for n in 0_u64.. {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += period;
        if stop.load(SeqCst) {
            return;
        }
        let status = send(&mut conn, front, k, n).unwrap_or_else(|_| {
            conn = None;
            0
        });
        *counts.lock().expect("counts").entry(status).or_default() += 1;
    }
}

fn send(
    conn: &mut Option<BufReader<TcpStream>>,
    front: SocketAddr,
    k: u64,
    n: u64,
) -> io::Result<u16> {
    if conn.is_none() {
        let stream = TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        *conn = Some(BufReader::new(stream));
    }
    let reader = conn.as_mut().ok_or(io::ErrorKind::NotConnected)?;
    let key = (n * 7 + k) % 97;
    let text = format!(
        "GET /leny950/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: q-{k}-{n}\r\nAffinity-Key: {key}\r\nDeadline-Ms: 2000\r\n\r\n"
    );
    reader.get_mut().write_all(text.as_bytes())?;
    let answer = read_message(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(answer.status())
}

fn run(dir: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(&dir.join("record.txt"))?;
    let net = kit::free_network()?;
    let ip = |last: u8| Ipv4Addr::new(127, net.0, net.1, last);
    let temp = kit::temp_dir()?;
    let store = Store::bind(ip(1))?;
    // The machines that are turned away have an address of their own, by which the
    // stand-in tells them from the others.
    let store_of_region = store.at_address(ip(2))?;
    let (mut addrs, mut arrivals) = (Vec::new(), Vec::new());
    let cold_since: Arc<Mutex<Option<Instant>>> = Arc::default();
    for n in 0..SERVERS.len() {
        let own: Arc<Mutex<Vec<Instant>>> = Arc::default();
        arrivals.push(own.clone());
        let cold = cold_since.clone();
        addrs.push(kit::serve(ip(100 + n as u8), move |stream| {
            serve(stream, n, &own, &cold)
        })?);
    }
    let servers = Arc::new(Servers {
        store: store.clone(),
        addrs,
        arrivals,
        born: unix_millis(),
        seq: AtomicU64::new(0),
        cold_since: cold_since.clone(),
    });
    servers.register();
    let beating = servers.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(HEARTBEAT);
            beating.register();
        }
    });
    let routes = [("r-leny950", "safe", "/leny950/", SERVICE, 0.8, 2)];
    store.put("op/config", &configuration(7, HOST, &routes, &[SERVICE]));
    let ips: Vec<Ipv4Addr> = (0..MACHINES.len()).map(|k| ip(10 + k as u8)).collect();
    let seeds = [ips[0], ips[3], ips[6]];
    let mut gateways = Vec::new();
    for (k, (zone, region)) in MACHINES.iter().enumerate() {
        let addr = if k < TURNED_AWAY {
            store_of_region.addr
        } else {
            store.addr
        };
        let place = (ips[k], *zone, *region);
        gateways.push(Gateway::spawn(
            &temp,
            &format!("edge-{k}"),
            place,
            addr,
            &seeds,
        )?);
    }
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    record.line("machines are ready");
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::default());
    for k in 0..CLIENTS {
        let front = gateways[k as usize % TURNED_AWAY].front();
        let (stop, counts) = (stop.clone(), Arc::clone(&counts));
        thread::spawn(move || send_all(k, front, &stop, &counts));
    }
    thread::sleep(CALM);

    store_of_region.set_busy(trouble);
    record.line(&format!(
        "the store turns {} of {} machines away",
        if trouble { TURNED_AWAY } else { 0 },
        MACHINES.len()
    ));
    thread::sleep(BEFORE_EMPTYING);
    let key = format!("op/evacuate/{EMPTIED_ZONE}");
    store.put(&key, "{}");
    record.line(&format!(
        "{EMPTIED_ZONE} is to be emptied, which is acknowledged"
    ));
    thread::sleep(EMPTYING);
    let cold_at = Instant::now();
    *cold_since.lock().expect("an instant") = Some(cold_at);
    servers.register();
    store.delete(&key);
    record.line(&format!(
        "{EMPTIED_ZONE} is taken back, its servers are cold and have said so"
    ));
    thread::sleep(AFTER_EMPTYING);
    store_of_region.set_busy(false);
    record.line("the store answers all machines");
    thread::sleep(Duration::from_secs(3));
    stop.store(true, SeqCst);
    thread::sleep(Duration::from_secs(1));
    for gateway in &mut gateways {
        if !gateway.is_running() {
            record.line(&format!(
                "the gateway at {} has ended by itself",
                gateway.ip
            ));
        }
    }
    drop(gateways);
    let _ = std::fs::remove_dir_all(&temp);
    for (status, count) in counts.lock().expect("counts").iter() {
        record.line(&format!("{count} answers with {status}"));
    }
    Ok(judge(&record, &servers, cold_at))
}

/// Returns whether no cold server got too many requests in one second.
fn judge(record: &Record, servers: &Servers, cold_since: Instant) -> bool {
    let mut held = true;
    for (n, zone) in SERVERS
        .iter()
        .enumerate()
        .filter(|(_, zone)| **zone == EMPTIED_ZONE)
    {
        let arrivals = servers.arrivals[n].lock().expect("arrivals");
        let is_cold = |at: &&Instant| **at >= cold_since && **at < cold_since + COLD;
        let cold: Vec<Instant> = arrivals.iter().filter(is_cold).copied().collect();
        for at in &cold {
            let after = (*at - cold_since).as_secs_f64();
            record.line(&format!(
                "server {n} got a request {after:.3} s after it became cold"
            ));
        }
        let in_second = |from: &Instant| {
            cold.iter()
                .filter(|at| *at >= from && **at < *from + Duration::from_secs(1))
                .count()
        };
        let most = cold.iter().map(in_second).max().unwrap_or(0);
        record.line(&format!("server {n} of {zone} got at most {most} requests in one second while it was cold, {COLD_RATE_MAX} are allowed"));
        held &= most <= COLD_RATE_MAX;
    }
    held
}

fn main() -> ExitCode {
    kit::exit_code(run)
}

//! The settings files change: the store has a new address, beside which it serves the old
//! one for a time. After that a version moves a route to another service. Counts the
//! requests that are still run by the former service later than `config_apply_s` after the
//! store has acknowledged that version.

mod kit;

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    path::Path,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use kit::{Gateway, Record, Store, configuration, read_message, registration, unix_millis};

const HOST: &str = "hulo84.example";
const PATH: &str = "/leny950/2f";
const FORMER: &str = "former";
const LATTER: &str = "latter";
const ZONES: [&str; 2] = ["rvk-a", "rvk-b"];

const GATEWAYS: u8 = 2;
const SERVERS_EACH: u8 = 4;
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const REQUESTS_PER_S: u64 = 60;
const CLIENTS: u64 = 12;

/// How long the store serves the old address after the settings have changed.
const OVERLAP: Duration = Duration::from_secs(15);

/// The bounds of the site.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
const DRAIN: Duration = Duration::from_millis(2_500);

const CONTACT: Duration = Duration::from_secs(4);

const FIRST_VERSION: u32 = 7;

/// A request that a server has run.
struct Run {
    service: &'static str,
    at: Instant,
}

/// Returns a configuration whose first route goes to a service.
fn version(number: u32, service: &str) -> String {
    let routes = [("r-leny950", "safe", "/leny950/", service, 0.8, 2)];
    configuration(number, HOST, &routes, &[FORMER, LATTER])
}

/// Starts a server that answers all requests with its service's name.
fn start_server(ip: Ipv4Addr, service: &'static str, runs: &Arc<Mutex<Vec<Run>>>) -> io::Result<SocketAddr> {
    let runs = runs.clone();
    kit::serve(ip, move |stream| {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let (mut reader, mut stream) = (BufReader::new(reading), stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            runs.lock().expect("runs").push(Run { service, at: Instant::now() });
            thread::sleep(WORK);
            let id = request.header("request-id").unwrap_or("");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s.{service}\r\nServer-Load: 1,0,{SLOTS}\r\nContent-Length: {}\r\n\r\n{service}",
                service.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// What a client sent and got.
struct Answer {
    sent: Instant,
    gateway: usize,
    /// The status and the body, which names the service.
    result: (u16, String),
}

fn send(conn: &mut Option<BufReader<TcpStream>>, front: SocketAddr, id: &str) -> io::Result<(u16, String)> {
    if conn.is_none() {
        let stream = TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        *conn = Some(BufReader::new(stream));
    }
    let reader = conn.as_mut().ok_or(io::ErrorKind::NotConnected)?;
    let text = format!("GET {PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\r\n");
    reader.get_mut().write_all(text.as_bytes())?;
    let answer = read_message(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let service = if answer.status() == 200 { String::from_utf8_lossy(&answer.body).into_owned() } else { String::new() };
    Ok((answer.status(), service))
}

fn start_clients(fronts: &[SocketAddr], stop: &Arc<AtomicBool>, answers: &Arc<Mutex<Vec<Answer>>>) {
    for k in 0..CLIENTS {
        let gateway = k as usize % fronts.len();
        let front = fronts[gateway];
        let (stop, answers) = (stop.clone(), answers.clone());
        thread::spawn(move || {
            let mut conn = None;
            let period = Duration::from_secs_f64(CLIENTS as f64 / REQUESTS_PER_S as f64);
            let mut next = Instant::now() + period.mul_f64(k as f64 / CLIENTS as f64);
            for n in 0_u64.. {
                thread::sleep(next.saturating_duration_since(Instant::now()));
                next += period;
                if stop.load(SeqCst) {
                    return;
                }
                let sent = Instant::now();
                let result = send(&mut conn, front, &format!("q-{k}-{n}"));
                let result = result.unwrap_or_else(|_| {
                    conn = None;
                    (0, String::new())
                });
                answers.lock().expect("answers").push(Answer { sent, gateway, result });
            }
        });
    }
}

fn run(dir: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(&dir.join("record.txt"))?;
    let net = kit::free_network()?;
    let ip = |last: u8| Ipv4Addr::new(127, net.0, net.1, last);
    let temp = kit::temp_dir()?;
    let store = Store::bind(ip(1))?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let born = unix_millis();
    let mut servers = Vec::new();
    for (offset, service) in [(100, FORMER), (150, LATTER)] {
        for n in 0..SERVERS_EACH {
            let addr = start_server(ip(offset + n), service, &runs)?;
            let key = format!("servers/i-{:08x}", offset + n);
            let zone = ZONES[usize::from(n) % 2];
            servers.push((key, service, addr, zone));
        }
    }
    // The former servers leave at the end.
    let leaving = Arc::new(AtomicBool::new(false));
    let beat = {
        let (store, leaving, servers) = (store.clone(), leaving.clone(), servers.clone());
        move |seq: u64, only: Option<&str>| {
            for (key, service, addr, zone) in &servers {
                let text = registration(service, *addr, zone, SLOTS, seq, born);
                let leaves = leaving.load(SeqCst) && *service == FORMER;
                let text = if leaves { text.replace("\"ready\"", "\"draining\"") } else { text };
                if only.is_none_or(|only| only == *service) {
                    store.put(key, &text);
                }
            }
        }
    };
    beat(1, None);
    let beating = beat.clone();
    thread::spawn(move || {
        for seq in 1.. {
            thread::sleep(HEARTBEAT);
            beating(seq * 10, None);
        }
    });
    let first = version(FIRST_VERSION, FORMER);
    store.put("op/config", &first);
    let seeds: Vec<Ipv4Addr> = (0..GATEWAYS).map(|k| ip(10 + k)).collect();
    let mut gateways = Vec::new();
    for k in 0..GATEWAYS {
        let (name, zone) = (format!("edge-{k}"), ZONES[usize::from(k) % 2]);
        gateways.push(Gateway::spawn(&temp, &name, ip(10 + k), store.addr, &seeds, &[("zone", zone)])?);
    }
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    record.line("gateways are ready");
    let fronts: Vec<SocketAddr> = gateways.iter().map(Gateway::front).collect();
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::default());
    start_clients(&fronts, &stop, &answers);
    thread::sleep(Duration::from_secs(8));

    if trouble {
        let moved_store = store.at_address(ip(2))?;
        for (k, gateway) in gateways.iter().enumerate() {
            let path = temp.join(format!("edge-{k}.yaml"));
            let text = std::fs::read_to_string(&path)?;
            let text = text.replace(&store.addr.to_string(), &moved_store.addr.to_string());
            let new_path = path.with_extension("new");
            std::fs::write(&new_path, text)?;
            std::fs::rename(&new_path, &path)?;
            gateway.signal("HUP");
        }
        record.line(&format!("the settings name the store's new address, {}, and the machines got SIGHUP", moved_store.addr));
        thread::sleep(OVERLAP);
        store.close();
        record.line(&format!("the store no longer serves its old address, {}", store.addr));
    } else {
        thread::sleep(OVERLAP);
    }
    thread::sleep(CONTACT + Duration::from_secs(1));
    store.put("op/config", &version(FIRST_VERSION + 1, LATTER));
    let moved = Instant::now();
    record.line(&format!("version {} is acknowledged, it moves the route to {LATTER}", FIRST_VERSION + 1));
    thread::sleep(CONFIG_APPLY);
    leaving.store(true, SeqCst);
    beat(1_000_000, Some(FORMER));
    let left = Instant::now();
    record.line("the servers of the former service report that they are leaving, which is acknowledged");
    thread::sleep(Duration::from_secs(12));
    stop.store(true, SeqCst);
    thread::sleep(Duration::from_millis(2_500));
    for gateway in &mut gateways {
        if !gateway.is_running() {
            record.line(&format!("gateway at {} has ended by itself", gateway.ip));
        }
    }
    drop(gateways);
    let _ = std::fs::remove_dir_all(&temp);

    let answers = answers.lock().expect("answers");
    let mut counts: BTreeMap<(u16, &str), u64> = BTreeMap::new();
    for answer in answers.iter() {
        *counts.entry((answer.result.0, &answer.result.1)).or_default() += 1;
    }
    for ((status, service), count) in counts {
        record.line(&format!("{count} answers with {status} {service}"));
    }
    let is_late = |a: &&Answer| a.sent > moved + CONFIG_APPLY && a.result.1 == FORMER;
    let late: Vec<&Answer> = answers.iter().filter(is_late).collect();
    for gateway in 0..usize::from(GATEWAYS) {
        let own = late.iter().filter(|a| a.gateway == gateway);
        let last = own.clone().map(|a| (a.sent - moved).as_secs_f64()).fold(0.0, f64::max);
        record.line(&format!("gateway {gateway}: {} requests sent too late and run by the former service, the last {last:.2} s after the acknowledgement", own.count()));
    }
    let drained = runs.lock().expect("runs").iter().filter(|r| r.service == FORMER && r.at > left + DRAIN).count();
    record.line(&format!("{drained} requests reached servers later than drain_s after these were acknowledged as leaving"));
    record.line(&format!("{} requests sent later than config_apply_s were run by the former service, 0 are allowed", late.len()));
    Ok(late.is_empty())
}

fn main() -> ExitCode {
    kit::exit_code(run)
}

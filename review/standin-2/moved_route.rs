//! What the cases share in which a version of the configuration moves a route to another
//! service: two services, machines, callers, and the check that the version takes effect.

#![allow(dead_code, reason = "each case uses only some of it")]

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use super::kit::{
    self, Gateway, Record, Store, configuration, read_message, registration, unix_millis,
};

/// The service that the route goes to at first, and the one that it is moved to.
pub const FORMER: &str = "former";
pub const LATTER: &str = "latter";

/// The version that is in force at the start.
pub const FIRST_VERSION: u32 = 7;

const HOST: &str = "hulo84.example";
const PATH: &str = "/leny950/2f";
const ZONES: [&str; 2] = ["rvk-a", "rvk-b"];
const REGION: &str = "reykjanes";
const SERVERS_EACH: u8 = 4;
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const REQUESTS_PER_S: u64 = 60;
const CLIENTS: u64 = 12;

/// Traffic before the first change, until the machines know each other.
const CALM: Duration = Duration::from_secs(8);

/// The bounds of the site.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
const DRAIN: Duration = Duration::from_millis(2_500);

/// The last octets of the addresses of the store, the machines and the servers.
const STORE_IP: u8 = 1;
const FIRST_MACHINE_IP: u8 = 10;
const FORMER_IP: u8 = 100;
const LATTER_IP: u8 = 150;

/// A registered server.
struct Server {
    key: String,
    service: &'static str,
    addr: SocketAddr,
    zone: &'static str,
}

/// The servers of both services, and the times at which the former ones got requests.
struct Servers {
    store: Store,
    servers: Vec<Server>,
    former_runs: Arc<Mutex<Vec<Instant>>>,
    born: u128,
    /// Whether the former servers report that they are leaving.
    leaving: AtomicBool,
}

impl Servers {
    fn start(store: &Store, ip: impl Fn(u8) -> Ipv4Addr) -> io::Result<Arc<Self>> {
        let former_runs: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let mut servers = Vec::new();
        for (first, service) in [(FORMER_IP, FORMER), (LATTER_IP, LATTER)] {
            for n in 0..SERVERS_EACH {
                let runs = former_runs.clone();
                servers.push(Server {
                    key: format!("servers/i-{:08x}", first + n),
                    service,
                    addr: kit::serve(ip(first + n), move |stream| answer(stream, service, &runs))?,
                    zone: ZONES[usize::from(n) % 2],
                });
            }
        }
        let all = Arc::new(Self {
            store: store.clone(),
            servers,
            former_runs,
            born: unix_millis(),
            leaving: AtomicBool::new(false),
        });
        all.register(1);
        let beating = all.clone();
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(HEARTBEAT);
                beating.register(seq);
            }
        });
        Ok(all)
    }

    /// Writes the entries of all servers with a sequence number.
    fn register(&self, seq: u64) {
        for Server {
            key,
            service,
            addr,
            zone,
        } in &self.servers
        {
            let text = registration(service, *addr, zone, SLOTS, seq, self.born);
            let leaves = self.leaving.load(SeqCst) && *service == FORMER;
            let text = if leaves {
                text.replace("\"ready\"", "\"draining\"")
            } else {
                text
            };
            self.store.put(key, &text);
        }
    }

    /// Returns how many requests reached the former servers after an instant.
    fn former_runs_after(&self, at: Instant) -> usize {
        let runs = self.former_runs.lock().expect("runs");
        runs.iter().filter(|run| **run > at).count()
    }
}

/// Answers all requests on a connection with the name of the service.
fn answer(stream: TcpStream, service: &'static str, former_runs: &Mutex<Vec<Instant>>) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let (mut reader, mut stream) = (BufReader::new(reading), stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        if service == FORMER {
            former_runs.lock().expect("runs").push(Instant::now());
        }
        thread::sleep(WORK);
        let id = request.header("request-id").unwrap_or("");
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s.{service}\r\nServer-Load: 1,0,{SLOTS}\r\nContent-Length: {}\r\n\r\n{service}",
            service.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// What a client sent to one of the machines, and the status and the body of the answer.
struct Answer {
    sent: Instant,
    machine: usize,
    status: u16,
    service: String,
}

/// The clients, which send at a steady rate on kept connections.
#[derive(Clone, Default)]
struct Clients {
    stop: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<Answer>>>,
}

impl Clients {
    fn start(fronts: &[SocketAddr]) -> Self {
        let clients = Self::default();
        for k in 0..CLIENTS {
            let machine = k as usize % fronts.len();
            let (front, clients) = (fronts[machine], clients.clone());
            thread::spawn(move || clients.run(k, machine, front));
        }
        clients
    }

    fn run(&self, k: u64, machine: usize, front: SocketAddr) {
        let mut conn = None;
        let period = Duration::from_secs_f64(CLIENTS as f64 / REQUESTS_PER_S as f64);
        let mut next = Instant::now() + period.mul_f64(k as f64 / CLIENTS as f64);
        for n in 0_u64.. {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += period;
            if self.stop.load(SeqCst) {
                return;
            }
            let sent = Instant::now();
            let result = send(&mut conn, front, &format!("q-{k}-{n}"));
            let (status, service) = result.unwrap_or_else(|_| {
                conn = None;
                (0, String::new())
            });
            let answer = Answer {
                sent,
                machine,
                status,
                service,
            };
            self.answers.lock().expect("answers").push(answer);
        }
    }
}

fn send(
    conn: &mut Option<BufReader<TcpStream>>,
    front: SocketAddr,
    id: &str,
) -> io::Result<(u16, String)> {
    if conn.is_none() {
        let stream = TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        *conn = Some(BufReader::new(stream));
    }
    let reader = conn.as_mut().ok_or(io::ErrorKind::NotConnected)?;
    let text = format!(
        "GET {PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\r\n"
    );
    reader.get_mut().write_all(text.as_bytes())?;
    let answer = read_message(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let is_success = answer.status() == 200;
    let service = if is_success {
        String::from_utf8_lossy(&answer.body).into_owned()
    } else {
        String::new()
    };
    Ok((answer.status(), service))
}

/// Returns a configuration whose first route goes to a service, beside other routes.
pub fn version(number: u32, service: &str, other_routes: usize) -> String {
    let names: Vec<(String, String)> = (0..other_routes)
        .map(|n| (format!("r-team{n:05}"), format!("/team{n:05}/")))
        .collect();
    let mut routes = vec![("r-leny950", "safe", "/leny950/", service, 0.8, 2)];
    let others = names.iter();
    routes.extend(
        others.map(|(name, prefix)| (name.as_str(), "safe", prefix.as_str(), LATTER, 0.8, 2)),
    );
    configuration(number, HOST, &routes, &[FORMER, LATTER])
}

/// Running machines with traffic.
pub struct Scene {
    pub record: Record,
    pub store: Store,
    pub gateways: Vec<Gateway>,
    /// The folder of the machines' settings and logs.
    pub temp: PathBuf,
    net: (u8, u8),
    servers: Arc<Servers>,
    clients: Clients,
}

impl Scene {
    /// Starts everything with the first version, and returns after some calm traffic.
    pub fn start(dir: &Path, machines: u8, first: &str) -> io::Result<Self> {
        let record = Record::create(&dir.join("record.txt"))?;
        let net = kit::free_network()?;
        let ip = |last: u8| Ipv4Addr::new(127, net.0, net.1, last);
        let temp = kit::temp_dir()?;
        let store = Store::bind(ip(STORE_IP))?;
        let servers = Servers::start(&store, ip)?;
        store.put("op/config", first);
        let ips: Vec<Ipv4Addr> = (0..machines).map(|k| ip(FIRST_MACHINE_IP + k)).collect();
        let mut gateways = Vec::new();
        for (k, own) in ips.iter().enumerate() {
            let (name, zone) = (format!("edge-{k}"), ZONES[k % 2]);
            gateways.push(Gateway::spawn(
                &temp,
                &name,
                (*own, zone, REGION),
                store.addr,
                &ips,
            )?);
        }
        for gateway in &gateways {
            gateway.wait_ready()?;
        }
        record.line("machines are ready");
        let fronts: Vec<SocketAddr> = gateways.iter().map(Gateway::front).collect();
        let clients = Clients::start(&fronts);
        thread::sleep(CALM);
        Ok(Self {
            record,
            store,
            gateways,
            temp,
            net,
            servers,
            clients,
        })
    }

    /// Returns a further address of the network.
    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, last)
    }

    /// Writes the version that moves the route. The former servers leave once it has to be
    /// in effect. Watches for some time, ends all processes and returns whether no request
    /// was late.
    pub fn move_route(mut self, number: u32, text: &str, watched: Duration) -> bool {
        self.store.put("op/config", text);
        let moved = Instant::now();
        let line = |text: &str| self.record.line(text);
        line(&format!(
            "version {number} is acknowledged, it moves the route to {LATTER}"
        ));
        thread::sleep(CONFIG_APPLY);
        self.servers.leaving.store(true, SeqCst);
        self.servers.register(1_000_000);
        let left = Instant::now();
        line("the former servers report that they are leaving, which is acknowledged");
        thread::sleep(watched);
        self.clients.stop.store(true, SeqCst);
        thread::sleep(Duration::from_millis(2_500));
        for gateway in &mut self.gateways {
            if !gateway.is_running() {
                line(&format!(
                    "the gateway at {} has ended by itself",
                    gateway.ip
                ));
            }
        }
        let machines = self.gateways.len();
        self.gateways.clear();
        let _ = std::fs::remove_dir_all(&self.temp);
        let drained = self.servers.former_runs_after(left + DRAIN);
        line(&format!(
            "{drained} requests reached servers later than drain_s after these were acknowledged as leaving"
        ));
        self.judge(moved, machines)
    }

    fn judge(&self, moved: Instant, machines: usize) -> bool {
        let answers = self.clients.answers.lock().expect("answers");
        let mut counts: BTreeMap<(u16, &str), u64> = BTreeMap::new();
        for answer in answers.iter() {
            *counts.entry((answer.status, &answer.service)).or_default() += 1;
        }
        for ((status, service), count) in counts {
            self.record
                .line(&format!("{count} answers with {status} {service}"));
        }
        let is_late = |a: &&Answer| a.sent > moved + CONFIG_APPLY && a.service == FORMER;
        for Answer { sent, machine, .. } in answers.iter().filter(is_late) {
            let after = (*sent - moved).as_secs_f64();
            self.record.line(&format!(
                "a request sent {after:.3} s after the acknowledgement to machine {machine} was run by the former service"
            ));
        }
        for machine in 0..machines {
            let late = answers
                .iter()
                .filter(is_late)
                .filter(|a| a.machine == machine);
            let after = late.clone().map(|a| (a.sent - moved).as_secs_f64());
            let (count, last) = (late.count(), after.fold(0.0, f64::max));
            self.record.line(&format!("machine {machine}: {count} requests sent too late and run by the former service, the last {last:.2} s after the acknowledgement"));
        }
        let late = answers.iter().filter(is_late).count();
        self.record.line(&format!("{late} requests sent later than config_apply_s were run by the former service, 0 are allowed"));
        late == 0
    }
}

//! A request that crashes each server that begins to run it comes again and again.
//! Counts how often gateways pass it on to a further server, later than `contact_s`
//! after it has crashed the third one.

mod kit;

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, BufReader, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use kit::{
    Gateway, Message, Record, Store, configuration, read_message, registration, unix_millis,
};

const HOST: &str = "hulo84.example";
const SERVICE: &str = "svc1";
const ZONES: [&str; 2] = ["rvk-a", "rvk-b"];
const REGION: &str = "reykjanes";

/// `tackjalisti` of the site has so many servers with so many slots.
const SERVERS: u8 = 12;
const SLOTS: u32 = 3;
const GATEWAYS: u8 = 2;

/// Idempotent requests to the service, as many a second as the site's `kit-lookup`.
const LOOKUPS_PER_S: u64 = 75;
const LOOKUP_CLIENTS: u64 = 25;
const LOOKUP_WORK: Duration = Duration::from_millis(60);

/// Requests of another route to the service that run once at most.
const BOOKINGS_PER_S: u64 = 12;
const BOOKING_CLIENTS: u64 = 12;
const BOOKING_WORK: Duration = Duration::from_millis(300);

/// A server that has crashed is back after this time, under a new id, and cold for
/// `cold_s` of the site.
const DOWN_TIME: Duration = Duration::from_secs(3);
const COLD_S: f64 = 3.0;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How often the request that crashes servers comes.
const CRASHING_PERIOD: Duration = Duration::from_millis(1_500);

/// The bound of the site after which the rule counts, and its limit.
const CONTACT: Duration = Duration::from_secs(4);
const RETRIES_MAX: usize = 3;

/// Traffic before the first crash, until the gateways know each other and the servers.
const CALM: Duration = Duration::from_secs(8);
const DURATION: Duration = Duration::from_secs(60);

const CRASHING_PATH: &str = "/leny950/kill";

/// One arrival of the request that crashes servers.
struct Arrival {
    at: Instant,
    id: String,
    crashed: bool,
}

#[derive(Default)]
struct Seen {
    arrivals: Mutex<Vec<Arrival>>,
    /// The ids of requests that were at work when their server crashed.
    interrupted: Mutex<BTreeSet<String>>,
}

/// One server: its address, and the run that serves there now.
struct Server {
    number: u8,
    addr: SocketAddr,
    zone: &'static str,
    crashes: bool,
    store: Store,
    record: Record,
    seen: Arc<Seen>,
    /// None while it is down.
    run: Mutex<Option<Arc<Run>>>,
    starts: AtomicU64,
}

/// One run of a server, from its start to its crash.
struct Run {
    id: String,
    born: u128,
    started: Instant,
    is_cold: bool,
    seq: AtomicU64,
    up: AtomicBool,
    conns: Mutex<Vec<TcpStream>>,
    /// The ids of the requests at work.
    at_work: Mutex<BTreeSet<String>>,
}

impl Server {
    /// Starts a run: opens the listener and registers.
    fn start(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.addr) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).expect("a listener");
        let start = self.starts.fetch_add(1, SeqCst);
        let run = Arc::new(Run {
            id: format!("i-{:02x}{start:06x}", self.number),
            born: unix_millis(),
            started: Instant::now(),
            is_cold: start > 0,
            seq: AtomicU64::new(0),
            up: AtomicBool::new(true),
            conns: Mutex::default(),
            at_work: Mutex::default(),
        });
        *self.run.lock().expect("a run") = Some(run.clone());
        self.register(&run);
        let server = self.clone();
        thread::spawn(move || {
            while run.up.load(SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => server.accept(&run, stream),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn register(&self, run: &Run) {
        let seq = run.seq.fetch_add(1, SeqCst) + 1;
        let cold = (COLD_S - run.started.elapsed().as_secs_f64()).max(0.0);
        let cold = if run.is_cold { cold } else { 0.0 };
        let text = registration(SERVICE, self.addr, self.zone, SLOTS, seq, run.born);
        let text = text.replace("\"cold_left_s\":0", &format!("\"cold_left_s\":{cold:.3}"));
        self.store.put(&format!("servers/{}", run.id), &text);
    }

    fn accept(self: &Arc<Self>, run: &Arc<Run>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        run.conns
            .lock()
            .expect("connections")
            .extend(stream.try_clone());
        let (server, run) = (self.clone(), run.clone());
        thread::spawn(move || {
            let Ok(reading) = stream.try_clone() else {
                return;
            };
            let (mut reader, mut stream) = (BufReader::new(reading), stream);
            while let Ok(Some(request)) = read_message(&mut reader) {
                if !run.up.load(SeqCst) {
                    return;
                }
                let Some(answer) = server.answer(&run, &request) else {
                    return;
                };
                if !run.up.load(SeqCst) || stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }

    /// Runs a request. Returns none if the server has crashed.
    fn answer(self: &Arc<Self>, run: &Arc<Run>, request: &Message) -> Option<String> {
        let id = request.header("request-id").unwrap_or("").to_owned();
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != run.id)
        {
            return Some(format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                run.id
            ));
        }
        if request.path() == CRASHING_PATH {
            let arrival = Arrival {
                at: Instant::now(),
                id: id.clone(),
                crashed: self.crashes,
            };
            self.seen.arrivals.lock().expect("arrivals").push(arrival);
            self.record.line(&format!(
                "server {} gets the crashing request, id {id}",
                run.id
            ));
            if self.crashes {
                self.crash(run);
                return None;
            }
        }
        let running = {
            let mut at_work = run.at_work.lock().expect("requests");
            at_work.insert(id.clone());
            at_work.len()
        };
        let work = if request.start.starts_with("POST") {
            BOOKING_WORK
        } else {
            LOOKUP_WORK
        };
        thread::sleep(work);
        run.at_work.lock().expect("requests").remove(&id);
        Some(format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s.{id}\r\nServer-Load: {running},0,{SLOTS}\r\nContent-Length: 2\r\n\r\nok"
        ))
    }

    /// Ends a run without a word to anyone, and starts the next one later. The
    /// registration is removed after three heartbeats of silence.
    fn crash(self: &Arc<Self>, run: &Arc<Run>) {
        run.up.store(false, SeqCst);
        *self.run.lock().expect("a run") = None;
        let interrupted = std::mem::take(&mut *run.at_work.lock().expect("requests"));
        self.record.line(&format!(
            "server {} crashes, {} requests were at work",
            run.id,
            interrupted.len()
        ));
        self.seen
            .interrupted
            .lock()
            .expect("requests")
            .extend(interrupted);
        for conn in run.conns.lock().expect("connections").drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
        let (server, run) = (self.clone(), run.clone());
        thread::spawn(move || {
            thread::sleep(DOWN_TIME);
            server.start();
            thread::sleep(3 * HEARTBEAT - DOWN_TIME);
            server.store.delete(&format!("servers/{}", run.id));
        });
    }
}

/// A client that keeps a connection to one gateway.
struct Client {
    front: SocketAddr,
    conn: Option<BufReader<TcpStream>>,
}

impl Client {
    fn new(front: SocketAddr) -> Self {
        Self { front, conn: None }
    }

    /// Sends a request and returns the status of its answer, 0 without one.
    fn send(&mut self, method: &str, path: &str, id: &str, key: u64) -> u16 {
        match self.try_send(method, path, id, key) {
            Ok(answer) => answer.status(),
            Err(_) => {
                self.conn = None;
                0
            }
        }
    }

    fn try_send(&mut self, method: &str, path: &str, id: &str, key: u64) -> io::Result<Message> {
        if self.conn.is_none() {
            let stream = TcpStream::connect(self.front)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            self.conn = Some(BufReader::new(stream));
        }
        let conn = self.conn.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        let length = if method == "POST" {
            "Content-Length: 4\r\n"
        } else {
            ""
        };
        let body = if method == "POST" { "book" } else { "" };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nAffinity-Key: {key}\r\nDeadline-Ms: 2000\r\n{length}\r\n{body}"
        );
        conn.get_mut().write_all(text.as_bytes())?;
        let answer = read_message(conn)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if answer
            .header("connection")
            .is_some_and(|c| c.contains("close"))
        {
            self.conn = None;
        }
        Ok(answer)
    }
}

/// What clients were answered, by the name of their kind and the status.
type Answers = Arc<Mutex<BTreeMap<(&'static str, u16), u64>>>;

/// Starts clients that send requests at a steady rate until `stop`.
fn start_clients(
    kind: &'static str,
    (method, path): (&'static str, &'static str),
    (count, rate): (u64, u64),
    fronts: &[SocketAddr],
    stop: &Arc<AtomicBool>,
    answers: &Answers,
) {
    for k in 0..count {
        let front = fronts[k as usize % fronts.len()];
        let (stop, answers) = (stop.clone(), answers.clone());
        thread::spawn(move || {
            let mut client = Client::new(front);
            let period = Duration::from_secs_f64(count as f64 / rate as f64);
            let mut next = Instant::now() + period.mul_f64(k as f64 / count as f64);
            for n in 0_u64.. {
                thread::sleep(next.saturating_duration_since(Instant::now()));
                next += period;
                if stop.load(SeqCst) {
                    return;
                }
                let status =
                    client.send(method, path, &format!("{kind}-{k}-{n}"), (n * 7 + k) % 97);
                *answers
                    .lock()
                    .expect("answers")
                    .entry((kind, status))
                    .or_default() += 1;
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
    let seen: Arc<Seen> = Arc::default();
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = Arc::new(Server {
            number,
            addr: SocketAddr::from((ip(100 + number), 8080)),
            zone: ZONES[usize::from(number) % 2],
            crashes: trouble,
            store: store.clone(),
            record: record.clone(),
            seen: seen.clone(),
            run: Mutex::default(),
            starts: AtomicU64::new(0),
        });
        server.start();
        servers.push(server);
    }
    let beating = servers.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(HEARTBEAT);
            for server in &beating {
                let run = server.run.lock().expect("a run").clone();
                if let Some(run) = run {
                    server.register(&run);
                }
            }
        }
    });
    let routes = [
        ("r-lookup", "safe", "/leny950/", SERVICE, 1.0, 2),
        ("r-book", "unsafe", "/puka111/", SERVICE, 1.0, 2),
    ];
    store.put("op/config", &configuration(7, HOST, &routes, &[SERVICE]));
    let seeds: Vec<Ipv4Addr> = (0..GATEWAYS).map(|k| ip(10 + k)).collect();
    let mut gateways = Vec::new();
    for k in 0..GATEWAYS {
        let (name, zone) = (format!("edge-{k}"), ZONES[usize::from(k) % 2]);
        gateways.push(Gateway::spawn(
            &temp,
            &name,
            (ip(10 + k), zone, REGION),
            store.addr,
            &seeds,
        )?);
    }
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    record.line("gateways are ready");
    let fronts: Vec<SocketAddr> = gateways.iter().map(Gateway::front).collect();
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Answers::default());
    start_clients(
        "lookup",
        ("GET", "/leny950/2f"),
        (LOOKUP_CLIENTS, LOOKUPS_PER_S),
        &fronts,
        &stop,
        &answers,
    );
    start_clients(
        "booking",
        ("POST", "/puka111/2f"),
        (BOOKING_CLIENTS, BOOKINGS_PER_S),
        &fronts,
        &stop,
        &answers,
    );
    thread::sleep(CALM);

    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < DURATION {
        let front = fronts[sent % fronts.len()];
        let id = format!("crashing-{sent}");
        // The client takes a new connection each time, as for a retry.
        let status = Client::new(front).send("GET", CRASHING_PATH, &id, 5);
        record.line(&format!(
            "client gets {status} for the crashing request, id {id}"
        ));
        sent += 1;
        thread::sleep(CRASHING_PERIOD);
    }
    stop.store(true, SeqCst);
    thread::sleep(Duration::from_millis(2_500));
    for gateway in &mut gateways {
        if !gateway.is_running() {
            record.line(&format!("gateway at {} has ended by itself", gateway.ip));
        }
    }
    drop(gateways);
    let _ = std::fs::remove_dir_all(&temp);
    Ok(judge(&record, &seen, &answers))
}

/// Returns whether the rule held.
fn judge(record: &Record, seen: &Seen, answers: &Answers) -> bool {
    let arrivals = seen.arrivals.lock().expect("arrivals");
    let crashes: Vec<Instant> = arrivals
        .iter()
        .filter(|a| a.crashed)
        .map(|a| a.at)
        .collect();
    let counts_from = crashes.get(2).map(|third| *third + CONTACT);
    let mut known = BTreeSet::new();
    let mut retries = 0;
    for arrival in arrivals.iter() {
        let is_retry = !known.insert(arrival.id.as_str());
        if is_retry && counts_from.is_some_and(|from| arrival.at > from) {
            retries += 1;
        }
    }
    for ((kind, status), count) in answers.lock().expect("answers").iter() {
        record.line(&format!("{kind}: {count} answered with {status}"));
    }
    let interrupted = seen.interrupted.lock().expect("requests");
    let bookings = interrupted
        .iter()
        .filter(|id| id.starts_with("booking"))
        .count();
    record.line(&format!(
        "{} crashes; {} requests of others were at work on the servers that crashed, {bookings} of them bookings",
        crashes.len(),
        interrupted.len()
    ));
    record.line(&format!(
        "{retries} retries later than contact_s after the third crash, {RETRIES_MAX} are allowed"
    ));
    retries <= RETRIES_MAX
}

fn main() -> ExitCode {
    kit::exit_code(run)
}

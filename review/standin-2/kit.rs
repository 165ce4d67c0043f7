//! Stand-ins for the platform's store, for servers and for clients, and a handle
//! of a gateway process. Only the standard library is used.

#![allow(dead_code, reason = "each case uses only some of them")]

use std::{
    collections::BTreeMap,
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// How long a stand-in waits for bytes of its peer.
const IO_TIMEOUT: Duration = Duration::from_secs(30);

/// The store puts at most so much into one answer, but at least one item.
const ANSWER_MAX_ITEMS: usize = 500;
const ANSWER_MAX_BYTES: usize = 1_000_000;

/// How often the store looks for expired leases.
const LEASE_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// How long a gateway may take until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// The head of a request or a response, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        let coding = self.header("transfer-encoding").unwrap_or("");
        coding.to_ascii_lowercase().contains("chunked")
    }
}

/// Reads the head of a message. Returns none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message as its head frames it (RFC 9112, section 6.3): chunked
/// coding first, then the length. Without either a request has no body, and that of a
/// response ends with the connection.
pub fn read_body(reader: &mut impl BufRead, head: &Message) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            line.clear();
            reader.read_line(&mut line)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    if let Some(length) = head.header("content-length") {
        let length = length
            .parse()
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if head.start.starts_with("HTTP/") && head.status() != 204 {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Reads a whole message. Returns none at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    message.body = read_body(reader, &message)?;
    Ok(Some(message))
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |i: usize| u32::from(part.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            if i <= part.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * i)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Returns the text after `"name":` in a JSON object, up to the next comma or brace.
fn json_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = text[start..].trim_start();
    if let Some(quoted) = rest.strip_prefix('"') {
        return quoted.split('"').next();
    }
    rest.split([',', '}', ']']).next().map(str::trim)
}

/// Writes lines with the time since the start to a file.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<fs::File>)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((
            Instant::now(),
            Mutex::new(fs::File::create(path)?),
        ))))
    }

    pub fn line(&self, text: &str) {
        let (start, file) = &*self.0;
        let at = start.elapsed().as_secs_f64();
        let mut file = file.lock().expect("the record");
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

#[derive(Clone)]
struct StoredItem {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    /// Revision, key and the event as JSON.
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = StoredItem {
            value,
            revision,
            created,
            lease,
        };
        self.events
            .push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
        revision
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                "{{\"key\":\"{key}\",\"revision\":{},\"deleted\":true}}",
                self.revision
            );
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == lease)
            .map(|(k, _)| k.clone())
            .collect();
        if known {
            keys.iter().for_each(|key| self.delete(key));
        }
        known
    }
}

fn item_json(key: &str, item: &StoredItem) -> String {
    let StoredItem {
        value,
        revision,
        created,
        lease,
    } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
    )
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    open: Arc<AtomicBool>,
    /// Whether calls to this address are refused.
    busy: Arc<AtomicBool>,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn bind(ip: Ipv4Addr) -> io::Result<Self> {
        let (state, listener) = (Arc::default(), TcpListener::bind((ip, 0))?);
        let store = Self {
            addr: listener.local_addr()?,
            open: Arc::new(AtomicBool::new(true)),
            busy: Arc::default(),
            shared: state,
        };
        store.with(|state| (state.revision, state.next_lease) = (100, 7_000));
        store.accept(listener);
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK_PERIOD);
                expiring.with(|state| {
                    let now = Instant::now();
                    let ended: Vec<u64> = state
                        .leases
                        .iter()
                        .filter(|(_, (_, end))| *end < now)
                        .map(|(id, _)| *id)
                        .collect();
                    ended.into_iter().for_each(|id| {
                        state.end_lease(id);
                    });
                });
            }
        });
        Ok(store)
    }

    /// Serves the same store at a further address.
    pub fn at_address(&self, ip: Ipv4Addr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            addr: listener.local_addr()?,
            open: Arc::new(AtomicBool::new(true)),
            busy: Arc::default(),
            shared: self.shared.clone(),
        };
        store.accept(listener);
        Ok(store)
    }

    /// Stops to serve at this address. Calls to it are reset from now on.
    pub fn close(&self) {
        self.open.store(false, SeqCst);
        let _ = TcpStream::connect(self.addr);
    }

    /// Begins or ends to refuse all calls to this address with 503.
    pub fn set_busy(&self, busy: bool) {
        self.busy.store(busy, SeqCst);
    }

    fn accept(&self, listener: TcpListener) {
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !store.open.load(SeqCst) {
                    return;
                }
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
    }

    fn with<T>(&self, f: impl FnOnce(&mut StoreState) -> T) -> T {
        let result = f(&mut self.shared.0.lock().expect("the store"));
        self.shared.1.notify_all();
        result
    }

    /// Writes a value for the operator or a server. Returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.with(|state| state.put(key, base64(value.as_bytes()), 0))
    }

    pub fn delete(&self, key: &str) {
        self.with(|state| state.delete(key));
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut stream = stream;
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (status, body) = if self.busy.load(SeqCst) {
                (503, "{}".to_owned())
            } else {
                self.answer(&request)
            };
            if !self.open.load(SeqCst) {
                return None;
            }
            let text = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(text.as_bytes()).ok()?;
        }
        Some(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .find(|(n, _)| *n == name)
                .map(|(_, v)| v.replace("%2F", "/").replace("%2f", "/"))
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match path {
            "/kv-key" => self.with(|state| {
                let key = param("key").unwrap_or_default();
                let at = state.revision;
                state
                    .items
                    .get(&key)
                    .map_or((404, "{}".to_owned()), |item| {
                        let text = item_json(&key, item);
                        (
                            200,
                            format!("{},\"at_rev\":{at}}}", &text[..text.len() - 1]),
                        )
                    })
            }),
            "/kv-range" => self.with(|state| {
                let (prefix, after) = (
                    param("prefix").unwrap_or_default(),
                    param("after").unwrap_or_default(),
                );
                let found = state
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let mut items: Vec<String> = Vec::new();
                let (mut bytes, mut has_more) = (0, false);
                for text in found.map(|(k, i)| item_json(k, i)) {
                    let is_full =
                        bytes + text.len() > ANSWER_MAX_BYTES || items.len() == ANSWER_MAX_ITEMS;
                    if is_full && !items.is_empty() {
                        has_more = true;
                        break;
                    }
                    bytes += text.len();
                    items.push(text);
                }
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"has_more\":{has_more},\"at_rev\":{}}}",
                        items.join(","),
                        state.revision
                    ),
                )
            }),
            "/kv-watch" => {
                let after = param("after").and_then(|a| a.parse().ok()).unwrap_or(0);
                let wait = param("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                self.watch(
                    &param("prefix").unwrap_or_default(),
                    after,
                    Duration::from_millis(wait),
                )
            }
            "/kv-txn" => self.transact(&body),
            "/kv-lease" => self.with(|state| {
                let ttl: f64 = json_field(&body, "ttl_s_time")
                    .and_then(|t| t.parse().ok())
                    .unwrap_or(1.0);
                let ttl = Duration::from_secs_f64(ttl.max(1.0));
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (
                    200,
                    format!("{{\"lease\":{lease},\"ttl_s_time\":{}}}", ttl.as_secs_f64()),
                )
            }),
            _ => self.renew_or_end(path),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let (lock, changed) = &*self.shared;
        let end = Instant::now() + wait;
        let mut state = lock.lock().expect("the store");
        loop {
            let mut events = Vec::new();
            let (mut bytes, mut at) = (0, state.revision);
            for (revision, key, event) in state.events.iter().filter(|(r, ..)| *r > after) {
                if key.starts_with(prefix) {
                    let is_full =
                        bytes + event.len() > ANSWER_MAX_BYTES || events.len() == ANSWER_MAX_ITEMS;
                    if is_full && !events.is_empty() {
                        break;
                    }
                    bytes += event.len();
                    events.push(event.as_str());
                }
                at = *revision;
            }
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                return (
                    200,
                    format!("{{\"events\":[{}],\"at_rev\":{at}}}", events.join(",")),
                );
            }
            state = changed.wait_timeout(state, end - now).expect("the store").0;
        }
    }

    /// Carries out a transaction without a condition, as the gateways send them.
    fn transact(&self, body: &str) -> (u16, String) {
        self.with(|state| {
            let writes = body.split("\"writes\":").nth(1).unwrap_or("");
            for write in writes
                .split("\"deletes\":")
                .next()
                .unwrap_or("")
                .split('{')
                .skip(1)
            {
                let key = json_field(write, "key").unwrap_or_default();
                let value = json_field(write, "value").unwrap_or_default();
                let lease = json_field(write, "lease")
                    .and_then(|l| l.parse().ok())
                    .unwrap_or(0);
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return (404, "{}".to_owned());
                }
                state.put(key, value.to_owned(), lease);
            }
            (200, format!("{{\"revision\":{}}}", state.revision))
        })
    }

    fn renew_or_end(&self, path: &str) -> (u16, String) {
        let lease = path
            .rsplit('/')
            .next()
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        self.with(|state| {
            if path.starts_with("/kv-lease-end/") {
                return (
                    if state.end_lease(lease) { 200 } else { 404 },
                    "{}".to_owned(),
                );
            }
            match state.leases.get_mut(&lease) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    (200, format!("{{\"ttl_s_time\":{}}}", ttl.as_secs_f64()))
                }
                None => (404, "{}".to_owned()),
            }
        })
    }
}

/// Starts a server that calls `handle` with each connection, on a thread of its own.
pub fn serve(
    ip: Ipv4Addr,
    handle: impl Fn(TcpStream) + Clone + Send + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(IO_TIMEOUT));
            let builder = thread::Builder::new().stack_size(128 * 1024);
            let _ = builder.spawn(move || handle(stream));
        }
    });
    Ok(addr)
}

pub fn unix_millis() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis())
}

/// A registration of a server.
pub fn registration(
    service: &str,
    addr: SocketAddr,
    zone: &str,
    slots: u32,
    seq: u64,
    born: u128,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_s\":0,\"seq\":{seq},\"born\":{born}}}"
    )
}

/// A gateway process on an address of its own, which ends with this value.
pub struct Gateway {
    pub ip: Ipv4Addr,
    pub child: Child,
}

/// The settings of a machine, with words for what differs.
const SETTINGS: &str = include_str!("machine.yaml");

/// The ports that all machines share, as in the settings.
pub const FRONT: u16 = 8641;
const READINESS: u16 = 8640;
const CONTROL: u16 = 8649;

impl Gateway {
    /// Starts the command of the deploy file with the settings of a machine.
    pub fn spawn(
        dir: &Path,
        name: &str,
        (ip, zone, region): (Ipv4Addr, &str, &str),
        store: SocketAddr,
        seeds: &[Ipv4Addr],
    ) -> io::Result<Self> {
        let path: PathBuf = dir.join(format!("{name}.yaml"));
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}:{CONTROL}\"")).collect();
        let text = SETTINGS
            .replace("@NAME", name)
            .replace("@IP", &ip.to_string())
            .replace("@ZONE", zone)
            .replace("@REGION", region)
            .replace("@STORE", &store.to_string())
            .replace("@SEEDS", &seeds.join(", "));
        fs::write(&path, text)?;
        let log = fs::File::create(dir.join(format!("{name}.log")))?;
        let child = Command::new("target/release/savorybeam")
            .args(["gateway", "--metrics", "9464"])
            .env("SAVORYBEAM_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { ip, child })
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT))
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the platform's check says that the gateway is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if let Ok(mut stream) = TcpStream::connect((self.ip, READINESS)) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let _ = stream
                    .write_all(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                let mut text = String::new();
                let _ = stream.read_to_string(&mut text);
                if text.starts_with("HTTP/1.1 200") {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the gateway is not ready"))
    }

    /// Sends a signal with the shell's `kill`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A configuration with one host. Each route is its name, kind, prefix, service,
/// time-out in seconds and attempts.
pub fn configuration(
    version: u32,
    host: &str,
    routes: &[(&str, &str, &str, &str, f64, u32)],
    services: &[&str],
) -> String {
    let route = |r: &(&str, &str, &str, &str, f64, u32)| {
        let (name, kind, prefix, service, timeout, attempts) = r;
        format!(
            "{{\"name\":\"{name}\",\"kind\":\"{kind}\",\"slo_s\":0.3,\"priority\":1,\"sticky\":true,\"match\":{{\"prefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\"timeout_s\":{timeout},\"max_attempts\":{attempts},\"home_regions\":[]}}}}"
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let cluster = |s: &&str| {
        format!(
            "{{\"name\":\"{s}\",\"health_path\":\"/health\",\"max_conns\":3300,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":3.0,\"cold_per_s\":14.0}}"
        )
    };
    let clusters: Vec<String> = services.iter().map(cluster).collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"limits\":{{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\"base_version\":\"{:08x}\",\"listeners\":[{{\"host\":\"{host}\",\"policy\":[{}]}}],\"clusters\":[{}]}}",
        version.saturating_sub(1),
        routes.join(","),
        clusters.join(",")
    )
}

/// Returns the second and third byte of a loopback network in which nothing listens
/// at the addresses of the stand-ins yet.
pub fn free_network() -> io::Result<(u8, u8)> {
    let seed = std::process::id();
    for step in 0..100 {
        let n = seed.wrapping_mul(7).wrapping_add(step * 131);
        let (second, third) = (20 + n % 200, 1 + n / 200 % 250);
        let ip = Ipv4Addr::new(127, second as u8, third as u8, 10);
        if TcpListener::bind((ip, FRONT)).is_ok() {
            return Ok((second as u8, third as u8));
        }
    }
    Err(io::Error::other("no free loopback network"))
}

/// Creates a temporary folder for the settings and logs of the gateways.
pub fn temp_dir() -> io::Result<PathBuf> {
    let dir = std::env::temp_dir().join(format!("savorybeam-review-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    Ok(dir)
}

/// Runs a case in the folder that the first argument names, with its disruption unless
/// `TROUBLE` is 0. Returns 1 if the rule was broken and 2 if the case could not run.
pub fn exit_code(run: impl FnOnce(&Path, bool) -> io::Result<bool>) -> std::process::ExitCode {
    let dir = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    std::process::ExitCode::from(match run(Path::new(&dir), trouble) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            2
        }
    })
}

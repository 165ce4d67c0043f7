//! The platform's store: items, watches, transactions and leases.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// How many items a page has.
const PAGE: usize = 50;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

/// A running store.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Inner>, Condvar)>);

fn render(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}

impl Inner {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.events.push((revision, render(key, &item)));
        self.items.insert(key.to_owned(), item);
        revision
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#);
            self.events.push((revision, event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let keys = self
            .items
            .iter()
            .filter(|(_, i)| lease != 0 && i.lease == lease);
        let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|k| self.delete(k));
        known
    }
}

impl Store {
    /// Binds the store to an address and serves it until the process ends.
    pub fn bind(addr: &str) -> std::io::Result<(Self, SocketAddr)> {
        let store = Self::default();
        store.0.0.lock().unwrap().revision = 10;
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.change(|inner| {
                    let now = Instant::now();
                    let ended = inner.leases.iter().filter(|(_, (end, _))| *end < now);
                    let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
                    for lease in ended {
                        inner.end_lease(lease);
                    }
                });
            }
        });
        Ok((store, addr))
    }

    fn change<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        let result = f(&mut self.0.0.lock().unwrap());
        self.0.1.notify_all();
        result
    }

    /// Writes an item, as the operator or a server does. Returns when the store
    /// has acknowledged it.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|inner| inner.put(key, base64(value.as_bytes()), 0));
    }

    /// Removes an item.
    pub fn delete(&self, key: &str) {
        self.change(|inner| inner.delete(key));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head) else {
                return;
            };
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.answer(head.word(0), head.word(1), &body);
            if http::write_json(&mut writer, status, &answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let get = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let value = pairs
                .filter(|(n, _)| *n == name)
                .map(|(_, v)| decode(v))
                .next();
            value.unwrap_or_default()
        };
        match (method, path) {
            ("GET", "/kv-range") => self.range(&get("prefix"), &get("after")),
            ("GET", "/kv-key") => {
                let inner = self.0.0.lock().unwrap();
                let key = get("key");
                match inner.items.get(&key) {
                    Some(item) => (200, render(&key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/kv-watch") => {
                let wait = Duration::from_millis(get("wait_ms").parse().unwrap_or(0));
                self.watch(&get("prefix"), get("after").parse().unwrap_or(0), wait)
            }
            ("POST", "/kv-txn") => self.transact(body),
            ("POST", "/kv-lease") => {
                let ttl: f64 = number(body, "ttl_s_time").parse().unwrap_or(1.0);
                let lease = self.change(|inner| {
                    inner.last_lease += 1;
                    let ttl = Duration::from_secs_f64(ttl);
                    inner
                        .leases
                        .insert(inner.last_lease, (Instant::now() + ttl, ttl));
                    inner.last_lease
                });
                (200, format!(r#"{{"lease":{lease},"ttl_s_time":{ttl}}}"#))
            }
            _ => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                let found = self.change(|inner| {
                    if path.starts_with("/kv-lease-end/") {
                        return inner.end_lease(id);
                    }
                    let lease = inner.leases.get_mut(&id);
                    lease
                        .map(|(end, ttl)| *end = Instant::now() + *ttl)
                        .is_some()
                });
                (if found { 200 } else { 404 }, "{}".to_owned())
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let inner = self.0.0.lock().unwrap();
        let matching = inner.items.iter().filter(|(k, _)| k.starts_with(prefix));
        let matching: Vec<_> = matching
            .filter(|(k, _)| after.is_empty() || k.as_str() > after)
            .collect();
        let has_more = matching.len() > PAGE;
        let items: Vec<String> = matching
            .iter()
            .take(PAGE)
            .map(|(k, i)| render(k, i))
            .collect();
        let (items, revision) = (items.join(","), inner.revision);
        (
            200,
            format!(r#"{{"items":[{items}],"has_more":{has_more},"at_rev":{revision}}}"#),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let (lock, changed) = &*self.0;
        let mut inner = lock.lock().unwrap();
        loop {
            let start = format!(r#"{{"key":"{prefix}"#);
            let events = inner
                .events
                .iter()
                .filter(|(r, e)| *r > after && e.starts_with(&start));
            let events: Vec<&str> = events.map(|(_, e)| e.as_str()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let (events, revision) = (events.join(","), inner.revision);
                return (
                    200,
                    format!(r#"{{"events":[{events}],"at_rev":{revision}}}"#),
                );
            }
            inner = changed.wait_timeout(inner, end - now).unwrap().0;
        }
    }

    /// Carries out a transaction with one write and no condition, which is all
    /// that the gateway sends.
    fn transact(&self, body: &str) -> (u16, String) {
        let (key, value) = (text(body, "key"), text(body, "value"));
        let lease: u64 = number(body, "lease").parse().unwrap_or(0);
        self.change(|inner| {
            if !inner.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            let revision = inner.put(&key, value, lease);
            (200, format!(r#"{{"revision":{revision}}}"#))
        })
    }
}

fn text(body: &str, field: &str) -> String {
    let rest = body
        .split_once(&format!(r#""{field}":""#))
        .map_or("", |(_, r)| r);
    rest.split('"').next().unwrap_or_default().to_owned()
}

fn number(body: &str, field: &str) -> String {
    let rest = body
        .split_once(&format!(r#""{field}":"#))
        .map_or("", |(_, r)| r);
    rest.chars()
        .take_while(|c| c.is_ascii_digit() || *c == '.')
        .collect()
}

/// Decodes the percent signs of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let byte = |at: usize| u32::from(part.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            out.push(if digit <= part.len() {
                DIGITS[index as usize] as char
            } else {
                '='
            });
        }
    }
    out
}

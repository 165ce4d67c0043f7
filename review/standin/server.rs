//! A server of a service.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Head},
    site::Record,
    store::Store,
};

/// How often a server writes its registration.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The slots of a server.
const SLOTS: usize = 6;

struct Shared {
    id: String,
    service: String,
    zone: String,
    addr: SocketAddr,
    born: u128,
    work: Duration,
    seq: AtomicU64,
    draining: AtomicBool,
    ended: AtomicBool,
    running: AtomicUsize,
    /// The connections, which an exit resets.
    open: Mutex<Vec<TcpStream>>,
    record: Record,
}

/// A running server.
#[derive(Clone)]
pub struct Server(Arc<Shared>);

impl Server {
    /// Starts a server that registers itself and serves until [`Server::exit`].
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        ip: &str,
        work: Duration,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis());
        let server = Self(Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr()?,
            born,
            work,
            seq: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            open: Mutex::default(),
            record: record.clone(),
        }));
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.0.ended.load(SeqCst) {
                    return;
                }
                let server = accepting.clone();
                if let Ok(clone) = stream.try_clone() {
                    server.0.open.lock().unwrap().push(clone);
                }
                thread::spawn(move || server.serve(stream));
            }
        });
        let (beating, store) = (server.clone(), store.clone());
        thread::spawn(move || {
            while !beating.0.ended.load(SeqCst) {
                beating.report(&store);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(server)
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.0.id)
    }

    pub fn seq(&self) -> u64 {
        self.0.seq.load(SeqCst)
    }

    /// Returns the registration with the given service and sequence number.
    pub fn registration(&self, service: &str, seq: u64) -> String {
        let Shared {
            addr, zone, born, ..
        } = &*self.0;
        let state = if self.0.draining.load(SeqCst) {
            "draining"
        } else {
            "ready"
        };
        format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"{state}","cold_left_s":0,"seq":{seq},"born":{born}}}"#
        )
    }

    /// Writes the registration, with a new sequence number.
    fn report(&self, store: &Store) {
        let seq = self.0.seq.fetch_add(1, SeqCst) + 1;
        store.put(&self.key(), &self.registration(&self.0.service, seq));
    }

    /// Reports that the server is draining. It serves on until [`Server::exit`].
    pub fn drain(&self, store: &Store) {
        self.0.draining.store(true, SeqCst);
        self.report(store);
    }

    /// Ends the server: removes its registration and resets its connections.
    pub fn exit(&self, store: &Store) {
        self.0.ended.store(true, SeqCst);
        store.delete(&self.key());
        for stream in self.0.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener, which ends and closes.
        let _ = TcpStream::connect(self.0.addr);
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
            if self.0.ended.load(SeqCst) || self.answer(&mut writer, &head, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, head: &Head, body: &[u8]) -> std::io::Result<()> {
        let Shared { id, record, .. } = &*self.0;
        if head.word(1) == "/health" {
            let status = if self.0.draining.load(SeqCst) {
                "503 X"
            } else {
                "200 OK"
            };
            let load = self.load();
            return write!(
                writer,
                "HTTP/1.1 {status}\r\nInstance-Id: {id}\r\nServer-Load: {load}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let request = head.get("request-id");
        if head.get("expect-instance") != id {
            record.line(&format!("{id} answers {request} with 421"));
            return write!(
                writer,
                "HTTP/1.1 421 X\r\nRequest-Id: {request}\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let running = self.0.running.fetch_add(1, SeqCst);
        if running >= SLOTS * 4 {
            self.0.running.fetch_sub(1, SeqCst);
            return write!(
                writer,
                "HTTP/1.1 503 X\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\nServer-Load: {}\r\nContent-Length: 0\r\n\r\n",
                self.load()
            );
        }
        record.run(id, head, body);
        thread::sleep(self.0.work);
        self.0.running.fetch_sub(1, SeqCst);
        let answer = format!("{request} {} bytes", body.len());
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Seal: {id}.{request}\r\nServer-Load: {}\r\nContent-Length: {}\r\n\r\n{answer}",
            self.load(),
            answer.len()
        )
    }

    fn load(&self) -> String {
        let running = self.0.running.load(SeqCst);
        format!(
            "{},{},{SLOTS}",
            running.min(SLOTS),
            running.saturating_sub(SLOTS)
        )
    }
}

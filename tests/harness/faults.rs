//! What tests with real failures share: waiting with a guard, restarting an
//! entry, calling with an id, and asking a target what it has seen.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request};
use http_body_util::Full;

use super::{Answer, Proc, Site, pause, request, send, spawn_entry};

/// The time after which a wait fails. It is no bound of the system, and only
/// ends a test that would hang.
const GUARD: Duration = Duration::from_secs(75);

/// Waits until a condition holds, and fails with what was seen last.
pub async fn until<F, T>(what: &str, mut look: F)
where
    F: FnMut() -> T,
    T: Future<Output = Result<(), String>>,
{
    let mut seen = String::from("nothing");
    let wait = async {
        while let Err(e) = look().await {
            seen = e;
            pause().await;
        }
    };
    let done = tokio::time::timeout(GUARD, wait).await;
    assert!(done.is_ok(), "{what}: last seen: {seen}");
}

/// Runs a test's step under the guard.
pub async fn guarded<T>(what: &str, step: impl Future<Output = T>) -> T {
    let done = tokio::time::timeout(GUARD, step).await;
    done.unwrap_or_else(|_| panic!("{what}: not done within {GUARD:?}"))
}

/// What a caller got.
#[derive(Debug)]
pub enum Got {
    /// A target's answer.
    Answer(Answer),
    /// A refusal of the system: code, outcome and detail.
    Refused(String, String, String),
    /// The connection could not be opened.
    Unreachable(String),
    /// The connection broke, or the caller gave up.
    Lost(String),
}

impl Got {
    /// Returns the outcome that the system stated, empty if it stated none.
    pub fn outcome(&self) -> &str {
        match self {
            Self::Refused(_, outcome, _) => outcome,
            _ => "",
        }
    }

    /// Returns whether it is a whole answer with success.
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Answer(a) if a.head.status.is_success() && a.body.is_ok())
    }
}

/// Sends a request and waits for at most `patience`.
pub async fn call(addr: SocketAddr, req: Request<Full<Bytes>>, patience: Duration) -> Got {
    let connect = tokio::net::TcpStream::connect(addr);
    let answer = async {
        let stream = match connect.await {
            Ok(stream) => stream,
            Err(e) => return Got::Unreachable(e.to_string()),
        };
        match super::send_over(stream, req).await {
            Ok(answer) => told(answer),
            Err(e) => Got::Lost(e),
        }
    };
    let answer = tokio::time::timeout(patience, answer).await;
    answer.unwrap_or_else(|_| Got::Lost("the caller gave up".to_owned()))
}

fn told(answer: Answer) -> Got {
    let code = answer.header("x-savorybeam-code").to_owned();
    if code.is_empty() {
        return match &answer.body {
            Ok(_) => Got::Answer(answer),
            Err(e) => Got::Lost(e.clone()),
        };
    }
    let outcome = answer.header("x-savorybeam-outcome").to_owned();
    Got::Refused(code, outcome, answer.text())
}

/// Returns a request with an id under which targets count it.
pub fn numbered(method: &str, path: &str, body: &str, id: &str) -> Request<Full<Bytes>> {
    let mut req = request(method, "slotboard", path, body);
    set(&mut req, "x-call-id", id);
    req
}

/// Sets a header.
pub fn set(req: &mut Request<Full<Bytes>>, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value).expect("the value is ASCII");
    req.headers_mut().insert(name, value);
}

impl Proc {
    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Asks a stand-in for a number, zero if it is down.
    pub async fn number(&self, path: &str) -> u64 {
        let answer = send(self.addr, request("GET", "target", path, "")).await;
        answer.map_or(0, |a| a.text().trim().parse().unwrap_or(0))
    }

    /// Sets a control of a target.
    pub async fn control(&self, query: &str) {
        let path = format!("/control?{query}");
        let answer = send(self.addr, request("GET", "target", &path, "")).await;
        assert!(answer.is_ok_and(|a| a.head.status.is_success()), "{query}");
    }
}

impl Site {
    /// Returns how often targets have run what counts under a name.
    pub async fn runs(&self, name: &str) -> u64 {
        let mut runs = 0;
        for target in &self.targets {
            runs += target.number(&format!("/runs/{name}")).await;
        }
        runs
    }

    /// Starts an entry's next life at its old addresses. The former one is
    /// killed if it still runs.
    pub fn restart(&mut self, n: usize) {
        let peers: Vec<SocketAddr> = self.entries.iter().map(|e| e.peers).collect();
        let old = &mut self.entries[n];
        let (callers, admin) = (old.proc.addr, old.admin);
        old.proc.signal("KILL");
        old.proc.wait();
        self.entries[n] = spawn_entry(n, self.store.proc.addr, &peers, callers, admin);
    }
}

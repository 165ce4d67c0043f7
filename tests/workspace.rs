//! Tests whose request it is: the key in a request decides on its workspace, which
//! targets are told and whose homes and rank apply.

mod vm;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, LazyLock, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::BodyExt;
use savorybeam::{
    adapters::{
        http::{self as web, Limits, Server, full_body},
        metrics,
        platform::store,
    },
    app::gateway::Gateway,
    domain::{
        CallerKey, Configuration, Era, Millis, Position, RegionName, RequestKind, Revision,
        RouteRule, Workspace,
    },
    policy::route::Table,
    ports::{Batch, Change, Platform, Poll, Targets, VmSettings},
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
};
use tracing::Subscriber;
use volo_http::{body::Body, server::Router};

use vm::entry::{self, Updates};

/// Part of every key in these tests, which must not appear in any output.
const SECRET: &str = "secret";

/// What the process has logged.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Log {
    /// Returns what all threads log from the first call on.
    fn of_process() -> Self {
        static LOG: LazyLock<Log> = LazyLock::new(|| {
            let log = Log::default();
            tracing::subscriber::set_global_default(log.subscriber()).expect("no other subscriber");
            log
        });
        LOG.clone()
    }

    /// Returns a subscriber that writes to this log.
    fn subscriber(&self) -> impl Subscriber + Send + Sync + 'static {
        let writer = self.clone();
        let subscriber = tracing_subscriber::fmt().with_ansi(false).without_time();
        subscriber.with_writer(move || writer.clone()).finish()
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().expect("a log")).into_owned()
    }
}

impl io::Write for Log {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("a log").extend(text);
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts a target that answers with what it is told of the caller.
async fn spawn_target() -> Server {
    let handler = async |req: Request<Body>| {
        let (head, body) = req.into_parts();
        let body = body.collect().await.expect("a body");
        let mut told: Vec<String> = Vec::new();
        for headers in [Some(&head.headers), body.trailers()].into_iter().flatten() {
            let callers = headers
                .iter()
                .filter(|(name, _)| ["key", "tenant"].contains(&name.as_str()));
            told.extend(callers.map(|(name, value)| format!("{name} {value:?}")));
        }
        let mut resp = Response::new(Body::from(told.join(", ")));
        let id = head.headers.get("request-id").cloned();
        let id = id.unwrap_or(HeaderValue::from_static("none"));
        resp.headers_mut().insert("request-id", id);
        let seal = HeaderValue::from_static("seal");
        resp.headers_mut().insert("server-seal", seal);
        resp
    };
    let router = Router::new().fallback(handler);
    let server = web::bind(vm::ANY_PORT, Limits::default(), router).await;
    server.expect("a port")
}

/// A caller that writes its requests itself, all on one connection.
struct Caller(BufReader<TcpStream>);

impl Caller {
    async fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).await;
        Self(BufReader::new(stream.expect("a connection")))
    }

    /// Sends a request with the given header lines and a chunked body with the given
    /// trailers. Returns the status, the code of a refusal and what the target was told.
    async fn send(&mut self, path: &str, headers: &[&str], trailers: &[&str]) -> String {
        let lines = |lines: &[&str]| {
            let ended = lines.iter().flat_map(|line| [*line, "\r\n"]);
            ended.collect::<String>()
        };
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: kitchens.example\r\nrequest-id: r-1\r\n\
             transfer-encoding: chunked\r\n{}\r\n5\r\ndough\r\n0\r\n{}\r\n",
            lines(headers),
            lines(trailers)
        );
        let stream = self.0.get_mut();
        stream.write_all(text.as_bytes()).await.expect("a request");
        let (mut status, mut code, mut length) = (String::new(), String::new(), 0);
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).await.expect("a line");
            let line = line.trim_end();
            if let Some(rest) = line.strip_prefix("HTTP/1.1 ") {
                rest[..3].clone_into(&mut status);
            }
            match line.split_once(": ") {
                Some(("x-savorybeam-code", value)) => value.clone_into(&mut code),
                Some(("content-length", value)) => length = value.parse().expect("a length"),
                _ if line.is_empty() => break,
                _ => {}
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).await.expect("a body");
        let body = String::from_utf8_lossy(&body);
        format!("{path} {headers:?} {trailers:?}: {status} {code} {body}")
    }

    /// Sends a request with the given key.
    async fn send_key(&mut self, path: &str, key: &str) -> String {
        self.send(path, &[&format!("key: {key}")], &[]).await
    }
}

fn regions(names: &[&str]) -> Vec<RegionName> {
    names.iter().map(|n| n.parse().expect("a name")).collect()
}

/// Returns a configuration in which `acme` has the given keys.
fn configuration(version: u64, keys: &[&str]) -> Configuration {
    let rule = |prefix| vm::rule(RequestKind::Idempotent, prefix);
    let south = Workspace {
        home_regions: regions(&["south"]),
        ..vm::workspace("south", &["secret-south"])
    };
    let public = RouteRule {
        public: true,
        ..rule("/public/")
    };
    let north = RouteRule {
        home_regions: regions(&["north"]),
        ..rule("/north/")
    };
    Configuration {
        workspaces: vec![vm::workspace("acme", keys), south],
        ..vm::configuration(version, vec![rule("/all/"), public, north], 10.0)
    }
}

fn configured(configuration: Configuration) -> Change {
    Change::Configured(Box::new(configuration))
}

fn scrape(gateway: &Gateway) -> String {
    let settings = gateway.state.settings();
    format!(
        "{}\n{:?}\n{settings:?}",
        gateway.state.ports.metrics.encode(),
        gateway.state
    )
}

/// Returns the counters of workspaces in an output of the metrics.
fn counts_of_workspaces(output: &str) -> Vec<String> {
    let lines = output
        .lines()
        .filter(|l| l.starts_with("savorybeam_workspace_requests_total"));
    let mut counts: Vec<String> = lines.map(str::to_owned).collect();
    counts.sort();
    counts
}

/// Fails if a request runs without the key of a workspace, if a target is told another
/// workspace or the key, if a key that was taken away works on a kept connection, if
/// a home is left, or if a key gets into the log, the metrics or a dump of the state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_run_for_the_workspace_of_their_key() {
    let log = Log::of_process();
    let target = spawn_target().await;
    let updates = Updates::default();
    let changes = vec![
        configured(configuration(1, &["secret-1"])),
        Change::Registered(vm::instance("i-1", target.addr())),
    ];
    let gateway = entry::open_with_updates(vm::settings("edge-1"), changes, &updates).await;
    let mut caller = Caller::connect(gateway.front_addr()).await;
    let mut lines = Vec::new();
    let key = "key: secret-1";
    for (path, headers, trailers) in [
        ("/all/1", &[key][..], &[][..]),
        ("/all/1", &["KEY: secret-1", "tEnAnT: south"], &[]),
        ("/all/1", &["tenant: south", key, "tenant: acme"], &[]),
        (
            "/all/1",
            &["connection: tenant, key", "tenant: south", key],
            &[],
        ),
        (
            "/all/1",
            &["trailer: key, tenant", key],
            &["key: secret-south", "tenant: south"],
        ),
        ("/all/1", &[], &[]),
        ("/all/1", &["tenant: acme"], &[]),
        ("/all/1", &[], &[key]),
        ("/all/1", &[key, key], &[]),
        ("/all/1", &["key:"], &[]),
        ("/all/1", &["key: secret-0"], &[]),
        ("/none/1", &["key: secret-0"], &[]),
        ("/public/1", &["key: secret-0", "tenant: acme"], &[]),
        ("/north/1", &[key], &[]),
        ("/north/1", &["key: secret-south"], &[]),
        ("/all/1", &["key: secret-south"], &[]),
    ] {
        lines.push(caller.send(path, headers, trailers).await);
    }
    for (step, configuration) in [
        ("key replaced", configuration(2, &["secret-2"])),
        ("last key removed", configuration(3, &[])),
        ("older version", configuration(2, &["secret-2"])),
        (
            "no workspaces",
            Configuration {
                workspaces: Vec::new(),
                ..configuration(4, &[])
            },
        ),
    ] {
        updates.apply(vec![configured(configuration)]).await;
        lines.push(step.to_owned());
        lines.push(caller.send_key("/all/1", "secret-1").await);
        lines.push(caller.send_key("/all/1", "secret-2").await);
    }
    let metrics = gateway.state.ports.metrics.encode();
    lines.extend(counts_of_workspaces(&metrics));
    let outputs = [log.text(), scrape(&gateway)];
    assert!(
        outputs[0].contains("workspace=\"acme\""),
        "requests are logged"
    );
    for output in outputs {
        assert!(!output.contains(SECRET), "a key is shown");
    }
    gateway.stop().await;
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if an entry that cannot know whether a key was taken away admits its callers
/// although the settings forbid it, or refuses them after it has current state again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_refused_while_the_state_is_too_old() {
    let log = Log::of_process();
    let target = spawn_target().await;
    let changes = vec![
        configured(configuration(1, &["secret-1"])),
        Change::Registered(vm::instance("i-1", target.addr())),
    ];
    let is_down = Arc::new(AtomicBool::new(false));
    let (down, up) = (is_down.clone(), entry::platform(changes, Millis(0)));
    let poll = up.poll.clone();
    let platform = Platform {
        poll: Arc::new(move |asked: Poll| {
            if down.load(SeqCst) {
                return Box::pin(async { Err(entry::store_failure("poll")) });
            }
            poll(Poll {
                wait: Millis(100),
                ..asked
            })
        }),
        ..up
    };
    let mut settings: VmSettings = vm::settings("edge-1");
    settings.bounds.revocation_limit = Some(Millis(1_500));
    let gateway = entry::open_with(settings, platform).await;
    let mut caller = Caller::connect(gateway.front_addr()).await;
    let mut lines = vec![caller.send_key("/all/1", "secret-1").await];
    is_down.store(true, SeqCst);
    tokio::time::sleep(Millis(2_500).duration()).await;
    lines.push(caller.send_key("/all/1", "secret-1").await);
    lines.push(caller.send_key("/all/1", "secret-1").await);
    lines.push(caller.send("/public/1", &[], &[]).await);
    is_down.store(false, SeqCst);
    tokio::time::sleep(Millis(2_500).duration()).await;
    lines.push(caller.send_key("/all/1", "secret-1").await);
    let log = log.text();
    let changes = log
        .lines()
        .filter(|l| l.contains("all keys") || l.contains("keys again"));
    assert_eq!(changes.count(), 2, "one line for each change");
    gateway.stop().await;
    // The detail states the age, which varies.
    let results = lines
        .iter()
        .map(|l| l.split('{').next().unwrap_or_default());
    insta::assert_snapshot!(results.collect::<Vec<_>>().join("\n"));
}

/// Decodes a configuration with the given tenants. Returns its workspaces, and what is
/// logged.
fn decode_tenants(tenants: &str) -> String {
    let config = format!(
        r#"{{"version":"00000001","limits":{{"header_bytes":1,"body_bytes":1,"idle_timeout_s":1}},
            "tenants":{tenants},"clusters":[],"listeners":[{{"host":"a","policy":[
            {{"name":"r","kind":"safe","slo_s":1,"priority":2,"public":"odd","match":{{"prefix":"/"}},
            "action":{{"timeout_s":1,"max_attempts":1}}}}]}}]}}"#
    );
    let value = STANDARD.encode(config);
    let events = format!(r#"{{"events":[{{"key":"op/config","value":"{value}"}}],"at_rev":20}}"#);
    let targets = Targets {
        send: Arc::new(move |_| {
            let body = full_body(Bytes::from(events.clone()));
            Box::pin(async { Ok(Response::new(body)) })
        }),
    };
    let log = Log::default();
    let _guard = tracing::subscriber::set_default(log.subscriber());
    let platform = store::open(vm::ANY_PORT, targets);
    let poll = Poll {
        after: Position::new(Era(0), Revision(3)),
        wait: Millis(0),
        timeout: Millis(4_000),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let polled = runtime.expect("a runtime").block_on((platform.poll)(poll));
    let Batch { changes, .. } = polled.expect("a batch").batch;
    let decoded = match &changes[..] {
        [Change::Configured(config)] => {
            assert!(!config.rules[0].public, "an odd word makes no route public");
            format!("{:#?}", config.workspaces)
        }
        other => format!("{other:?}"),
    };
    format!("{tenants}\n{decoded}\n{}", log.text())
}

/// Fails if an odd word of a tenant costs more than that word, opens the entry to
/// callers without keys or to regions that are no home, or if a key is logged.
#[test]
fn odd_words_of_a_tenant_cost_only_themselves() {
    let all = [
        r#"[{"name":"acme","api_keys":["secret-1","secret-2"],"priority":1,"rate_per_s":950,
            "burst":40.5,"home_regions":["north"],"new":"word"}]"#,
        r#"[{"name":"acme"},{"name":"zero","api_keys":null,"rate_per_s":0,"burst":9}]"#,
        r#"[{"name":"acme","api_keys":["secret-1","",7],"priority":-1,"rate_per_s":"fast",
            "home_regions":["north","A B"]},{"name":"b","rate_per_s":5,"burst":-1,"api_keys":"secret-3"}]"#,
        r#"[{"name":"a b","api_keys":["secret-1"]},{"name":"acme","home_regions":[7]},"secret",{"name":"c"}]"#,
        r#"[{"api_keys":["secret-1"]}]"#,
        r#"{"acme":{"api_keys":["secret-1"]}}"#,
        "null",
    ];
    let text = all.map(decode_tenants).join("\n");
    let outputs = text.lines().filter(|l| !l.contains("\"api_keys\":"));
    assert!(
        outputs.clone().all(|l| !l.contains(SECRET)),
        "a key is shown"
    );
    insta::assert_snapshot!(text);
}

/// Fails if a key that two workspaces state has no owner or the wrong one, if a name
/// has two quotas, or if compiling what a table passes on gives another table.
#[test]
fn each_key_and_each_name_has_one_workspace() {
    let workspaces = vec![
        vm::workspace("a", &["1", "2", "2"]),
        vm::workspace("b", &["2", "3"]),
        vm::workspace("a", &["4", "3"]),
    ];
    let config = Configuration {
        workspaces,
        ..configuration(1, &[])
    };
    let table = Table::compile(config, 0).expect("a table");
    let again = Table::compile(table.configuration(), 0).expect("a table");
    let owner = |table: &Table, key: &str| {
        let digest = vm::workspace("x", &[key]).keys[0];
        let owner = table.workspace(&digest);
        owner.map_or("nobody".to_owned(), |w| w.name.to_string())
    };
    let owners = |table: &Table| ["1", "2", "3", "4", "5"].map(|key| owner(table, key));
    assert_eq!(owners(&table), owners(&again));
    let named = table.workspace_named(&"a".parse().expect("a name"));
    let keys = named.map(|w| w.keys.len());
    insta::assert_debug_snapshot!((
        owners(&table),
        table.shared_keys(),
        keys,
        again.shared_keys()
    ));
}

/// Fails if an entry keeps a configuration without workspaces, which one of an earlier
/// version has passed on, or takes an older one.
#[test]
fn a_configuration_is_replaced_by_a_complete_or_newer_one() {
    let open = |version| Configuration {
        workspaces: Vec::new(),
        ..configuration(version, &[])
    };
    let (keyed, unkeyed) = (configuration(5, &[]), open(5));
    let mut lines = Vec::new();
    for (name, current) in [("keyed", keyed), ("open", unkeyed)] {
        let table = Table::compile(current, 0).expect("a table");
        for version in [4, 5, 6] {
            let replaced =
                [configuration(version, &[]), open(version)].map(|c| table.is_replaced_by(&c));
            lines.push(format!(
                "{name} 5 by keyed {version}, open {version}: {replaced:?}"
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if the metrics of workspaces grow without bound.
#[test]
fn workspaces_beyond_a_number_are_counted_together() {
    let metrics = metrics::open(Arc::default());
    for n in 0..150 {
        metrics.count_workspace(&format!("w-{n}"), None);
        metrics.count_workspace(&format!("w-{n}"), Some("unknown-key"));
    }
    let counts = counts_of_workspaces(&metrics.encode());
    let others = counts.iter().filter(|l| l.contains("\"other\""));
    let others: Vec<&str> = others.map(String::as_str).collect();
    let summary = format!("{} counters\n{}", counts.len(), others.join("\n"));
    insta::assert_snapshot!(summary);
}

/// Fails if a key can be printed.
#[test]
fn a_key_prints_as_redacted() {
    let key = CallerKey::new(Bytes::from_static(b"secret"));
    insta::assert_snapshot!(format!("{key} {key:?}"), @"(redacted) (redacted)");
}

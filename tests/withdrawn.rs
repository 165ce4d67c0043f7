//! Tests that a request is not sent to a target that is withdrawn after it was
//! chosen. Opening a connection takes up to 300 ms, which would add to the age of
//! what the choice was based on.

mod vm;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use savorybeam::{
    domain::{Instance, InstanceState, Millis, RequestKind, TargetId},
    ports::{Change, Targets},
};
use tokio::io::{AsyncWriteExt, BufReader};

use self::vm::{
    caller,
    entry::{self, Updates},
    raw,
};

/// The targets that have received a request, in order.
type Log = Arc<Mutex<Vec<&'static str>>>;

/// Starts a target that answers each request. It ends with the runtime.
async fn target(name: &'static str, log: &Log) -> SocketAddr {
    let log = log.clone();
    raw::listen(move |_, stream| {
        let log = log.clone();
        async move {
            let mut stream = BufReader::new(stream);
            while let Some(head) = raw::read_request(&mut stream).await {
                log.lock().expect("a log").push(name);
                let text = format!(
                    "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nserver-seal: seal\r\ncontent-length: 2\r\n\r\nok",
                    head.id
                );
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    })
    .await
}

/// Returns targets at which the first request is held until `withdraw` of its
/// target is applied, as if opening the connection took that long.
fn slow_targets(
    updates: &Updates,
    withdraw: impl Fn(TargetId) -> Change + 'static + Send + Sync,
) -> Targets {
    let real = caller::client();
    let pending = Arc::new(Mutex::new(Some(withdraw)));
    let updates = updates.clone();
    Targets {
        send: Arc::new(move |out| {
            let withdraw = pending.lock().expect("a change").take();
            let (real, updates) = (real.clone(), updates.clone());
            Box::pin(async move {
                if let Some(withdraw) = withdraw {
                    updates.apply(vec![withdraw(out.target)]).await;
                }
                (real.send)(out).await
            })
        }),
    }
}

/// Sends one request through a gateway with two targets. The one that is chosen
/// first is withdrawn meanwhile. Returns the status and how many requests the
/// targets got, the withdrawn one first.
async fn send_during(withdraw: fn(&Instance) -> Change) -> String {
    let log = Log::default();
    let mut instances = Vec::new();
    for (name, az) in [("i-1", "a-1"), ("i-2", "a-2")] {
        let addr = target(name, &log).await;
        let az = az.parse().expect("a name");
        instances.push(Instance {
            az,
            ..vm::instance(name, addr)
        });
    }
    let rules = vec![vm::rule(RequestKind::Once, "/browse/")];
    let mut changes = vec![vm::configured(3, rules)];
    changes.extend(instances.iter().cloned().map(Change::Registered));
    let mut settings = vm::settings("edge-1");
    let region = settings.region.clone();
    settings
        .zones
        .insert("a-2".parse().expect("a name"), region);
    settings.bounds.drain_deadline = Millis(300);
    let updates = Updates::default();
    let withdrawn: Arc<Mutex<Option<Instance>>> = Arc::default();
    let chosen = withdrawn.clone();
    let targets = slow_targets(&updates, move |addr| {
        let mut all = instances.iter();
        let instance = all.find(|i| i.addr == addr).expect("a known target");
        *chosen.lock().expect("a target") = Some(instance.clone());
        withdraw(instance)
    });
    let gateway = entry::open_with_targets(settings, changes, &updates, targets).await;
    let request = caller::request("GET", "/browse/slots", &[("request-id", "r-1")], "");
    let answer = caller::send(&caller::client(), gateway.front_addr(), request).await;
    let status = answer.status();
    gateway.stop().await;
    let withdrawn = withdrawn.lock().expect("a target").clone();
    let id = withdrawn.expect("a withdrawn target").id;
    let log = log.lock().expect("a log");
    let late = log.iter().filter(|name| **name == id.as_str()).count();
    format!(
        "{status}, {late} to the withdrawn target, {} to the other",
        log.len() - late
    )
}

/// Fails if a request is sent to a target of which the entry has learned, since it
/// chose it, that it is gone, leaves or is evacuated, or if the request is not sent
/// to another target instead, which is allowed also if it may run only once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_is_withdrawn_while_a_connection_opens_gets_no_request() {
    let removed = send_during(|i| Change::Unregistered(i.id.clone())).await;
    let draining = send_during(|i| {
        let mut instance = i.clone();
        (instance.seq, instance.state) = (i.seq + 1, InstanceState::Draining);
        Change::Registered(instance)
    })
    .await;
    let evacuated = send_during(|i| Change::Evacuated(i.az.clone())).await;
    let lines = format!("removed: {removed}\ndraining: {draining}\nevacuated: {evacuated}");
    insta::assert_snapshot!(lines);
}

//! Entries that use the stand-in of the platform's store, and what the operator and
//! the servers write there.

#[path = "../harness/addr.rs"]
mod addr;

use savorybeam::{app::gateway::Gateway, ports::VmSettings};

use super::PlatformStore;
use crate::vm::{
    self,
    entry::{describe_items, relay_settings, wait_for_peers},
};

const REGISTRATION: &str = r#"{"service":"slots","address":"10.0.0.1:PORT","zone":"a-1",
    "version":"v1","slots":4,"state":"STATE","cold_left_s":0,"seq":SEQ,"born":1}"#;

const CONFIG: &str = r#"{"version":"VERSION",
    "limits":{"header_bytes":16384,"body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},
    "listeners":[{"host":"kitchens.example","policy":[
      {"name":"browse","kind":"safe","slo_s":0.3,"priority":1,"match":{"prefix":"/browse/"},
       "action":{"service":"slots","timeout_s":1,"max_attempts":2}}]}],
    "clusters":[{"name":"slots"}]}"#;

/// Writes a registration as its server does.
pub fn register(store: &PlatformStore, n: u16, seq: u64, state: &str) {
    let value = REGISTRATION
        .replace("PORT", &(9_000 + n).to_string())
        .replace("STATE", state)
        .replace("SEQ", &seq.to_string());
    store.put(&format!("servers/i-{n}"), &value);
}

pub fn configure(store: &PlatformStore, version: u64) {
    let value = CONFIG.replace("VERSION", &format!("{version:08x}"));
    store.put("op/config", &value);
}

/// Returns a store in its first era with a configuration and four targets.
pub fn new_store() -> PlatformStore {
    let store = PlatformStore::with_era("3");
    configure(&store, 1);
    for n in 1..=4 {
        register(&store, n, 1, "ready");
    }
    store
}

/// Starts an entry in one of several regions.
async fn start(store: &PlatformStore, n: usize, regions: usize) -> Gateway {
    let name = format!("edge-{n}");
    let region = ["north", "south", "west"][n % regions];
    let settings = VmSettings {
        // Announcements name the addresses of the settings, so these need a port.
        front: addr::unused(),
        control: Some(addr::unused()),
        region: region.parse().expect("a name"),
        ..relay_settings(&name, Vec::new())
    };
    vm::entry::open_with(settings, store.platform(&name)).await
}

/// Starts entries and waits until they know each other.
pub async fn start_all(store: &PlatformStore, count: usize) -> Vec<Gateway> {
    start_regions(store, count, 1).await
}

pub async fn start_regions(store: &PlatformStore, count: usize, regions: usize) -> Vec<Gateway> {
    let entries = (1..=count).map(|n| start(store, n, regions));
    let entries = futures::future::join_all(entries).await;
    wait_for_peers(&entries, count).await;
    entries
}

/// Returns what an entry knows of the platform, as it passes it on. A reply may take
/// longer than the timeout of a call on a busy machine, so that it is asked again.
pub async fn describe(gateway: &Gateway) -> Vec<String> {
    let mut replies = Vec::new();
    while replies.last().is_none_or(Result::is_err) && replies.len() < 10 {
        replies.push(vm::entry::fetch(gateway).await);
    }
    let reply = replies.pop().expect("a reply").expect("a state");
    describe_items(&reply.batch)
}

//! Tests of `savorybeam dev`: it prints one line, serves at the addresses in this
//! line, and exits cleanly.

mod devel;
mod harness;

use std::net::SocketAddr;

use devel::Dev;
use harness::{request, send};

/// Returns the address in a URL.
fn addr(url: &str) -> SocketAddr {
    let rest = url.strip_prefix("http://").expect("a URL");
    let addr = rest.split('/').next().expect("an address");
    addr.parse().expect("an address")
}

#[tokio::test]
async fn every_printed_address_and_service_is_served() {
    let dev = Dev::spawn(&["--for", "60"]);
    let keys: Vec<&String> = dev.line.as_object().expect("an object").keys().collect();
    let mut results = vec![format!("{keys:?}")];
    let entries = dev.line["entries"].as_array().expect("a list");
    let services = dev.line["services"].as_array().expect("a list");
    for service in services {
        let service = service.as_str().expect("a name");
        let lookup = dev.text("lookup");
        let path = format!("/v1/entries?service={service}");
        let response = send(addr(&lookup), request("GET", "any", &path, "")).await;
        let response = response.expect("a response");
        results.push(format!("look-up of {service}: {}", response.head.status));
        for entry in entries {
            let entry = addr(entry.as_str().expect("a URL"));
            let response = send(entry, request("POST", service, "/echo", "hello")).await;
            let response = response.expect("a response");
            let text = response.text();
            results.push(format!("{service}: {} {text}", response.head.status));
        }
    }
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn dev_exits_with_0_on_signals_and_after_its_time() {
    let mut results = Vec::new();
    for signal in ["TERM", "INT"] {
        let dev = Dev::spawn(&[]);
        dev.signal(signal);
        results.push(format!("{signal}: {:?}", dev.wait()));
    }
    let dev = Dev::spawn(&["--for", "1"]);
    results.push(format!("--for 1: {:?}", dev.wait()));
    insta::assert_snapshot!(results.join("\n"), @r#"
    TERM: (Some(0), "")
    INT: (Some(0), "")
    --for 1: (Some(0), "")
    "#);
}

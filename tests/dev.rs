//! Guards the first minutes of a newcomer: `dev` prints one line, serves what
//! the line names, and stops cleanly.

mod devel;
mod harness;

use std::net::SocketAddr;

use devel::Dev;
use harness::{request, send};

fn addr(url: &str) -> SocketAddr {
    let rest = url.strip_prefix("http://").expect("a URL");
    let addr = rest.split('/').next().expect("an address");
    addr.parse().expect("an address")
}

#[tokio::test]
async fn what_the_line_names_is_served() {
    let dev = Dev::spawn(&["--for", "60"]);
    let keys: Vec<&String> = dev.line.as_object().expect("an object").keys().collect();
    let mut seen = vec![format!("{keys:?}")];
    let entries = dev.line["entries"].as_array().expect("a list");
    let services = dev.line["services"].as_array().expect("a list");
    for service in services {
        let service = service.as_str().expect("a name");
        let lookup = dev.text("lookup");
        let path = format!("/v1/entries?service={service}");
        let answer = send(addr(&lookup), request("GET", "any", &path, "")).await;
        let answer = answer.expect("an answer");
        seen.push(format!("look-up of {service}: {}", answer.head.status));
        for entry in entries {
            let entry = addr(entry.as_str().expect("a URL"));
            let answer = send(entry, request("POST", service, "/echo", "hello")).await;
            let answer = answer.expect("an answer");
            let text = answer.text();
            seen.push(format!("{service}: {} {text}", answer.head.status));
        }
    }
    insta::assert_snapshot!(seen.join("\n"));
}

#[test]
fn it_stops_cleanly() {
    let mut seen = Vec::new();
    for signal in ["TERM", "INT"] {
        let dev = Dev::spawn(&[]);
        dev.signal(signal);
        seen.push(format!("{signal}: {:?}", dev.wait()));
    }
    let dev = Dev::spawn(&["--for", "1"]);
    seen.push(format!("--for 1: {:?}", dev.wait()));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    TERM: (Some(0), "")
    INT: (Some(0), "")
    --for 1: (Some(0), "")
    "#);
}

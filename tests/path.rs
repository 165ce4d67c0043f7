//! Guards the whole path in separate processes: caller, entry, target.

mod harness;

use std::{fs, net::SocketAddr, path::PathBuf};

use harness::{Proc, request, send};

struct Site {
    entry: Proc,
    targets: Vec<Proc>,
}

fn write(name: &str, text: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("savorybeam-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("the folder can be made");
    let path = dir.join(name);
    fs::write(&path, text).expect("the file can be written");
    path
}

async fn site(name: &str, targets: usize) -> Site {
    let targets: Vec<Proc> = (0..targets)
        .map(|n| harness::target(&format!("t{n}"), 3))
        .collect();
    let list: Vec<String> = targets.iter().map(|t| t.addr.to_string()).collect();
    let addrs: [SocketAddr; 3] = std::array::from_fn(|_| harness::free_addr());
    let settings = format!(
        "[entry]\nname = e1\nregion = r1\naz = r1-a\ncallers = {}\nadmin = {}\npeers = {}\nlinger = 0 ms\n\
         [store]\nendpoints = 127.0.0.1:1\n",
        addrs[0], addrs[1], addrs[2]
    );
    let doc = format!(
        "[service]\nname = slotboard\nteam = kitchens\ndeadline = 2 s\n\
         [place r1-a]\nregion = r1\naz = r1-a\nweight = 100\nslots = 3\ntargets = {}\n",
        list.join(", ")
    );
    let settings = write(&format!("{name}-entry.ini"), &settings);
    let doc = write(&format!("{name}-doc.ini"), &doc);
    let args = [
        "--settings",
        settings.to_str().expect("the path is text"),
        "--document",
        doc.to_str().expect("the path is text"),
    ];
    let entry = harness::entry(addrs[0], &args).await;
    Site { entry, targets }
}

#[tokio::test]
async fn a_request_is_served_end_to_end() {
    let site = site("end", 2).await;
    let answer = send(
        site.entry.addr,
        request("POST", "slotboard", "/echo", "dough"),
    )
    .await
    .expect("an answer");
    assert!(["t0", "t1"].contains(&answer.header("x-target")));
    insta::assert_snapshot!(format!("{} {}", answer.head.status, answer.text()), @"200 OK dough");
}

#[tokio::test]
async fn a_refusal_says_whether_the_request_ran() {
    let mut site = site("refusal", 1).await;
    let mut seen = Vec::new();
    for service in ["nobody", "slotboard"] {
        site.targets.clear();
        let answer = send(site.entry.addr, request("GET", service, "/echo", ""))
            .await
            .expect("an answer");
        let outcome = answer.header("x-savorybeam-outcome");
        seen.push(format!(
            "{} {} {outcome}",
            answer.head.status,
            answer.header("x-savorybeam-code")
        ));
    }
    insta::assert_snapshot!(seen.join("\n"));
}

#[tokio::test]
async fn a_planned_stop_cuts_off_no_download() {
    let mut site = site("stop", 1).await;
    let req = request("GET", "slotboard", "/bytes/50000000", "");
    let resp = harness::open(site.entry.addr, req)
        .await
        .expect("an answer");
    site.entry.signal("TERM");
    // The stop is under way before the body is read: the listener is closed.
    while tokio::net::TcpStream::connect(site.entry.addr)
        .await
        .is_ok()
    {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let body = http_body_util::BodyExt::collect(resp.into_body())
        .await
        .expect("the whole body");
    assert_eq!(body.to_bytes().len(), 50_000_000);
    assert!(site.entry.wait(), "the entry ends with success");
}

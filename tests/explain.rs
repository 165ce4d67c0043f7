//! Tests of `savorybeam explain --gateway`, which says where a request would go
//! without sending it.

mod vm;

use std::process::Command;

use savorybeam::{
    domain::{
        Configuration, Instance, InstanceState, Millis, Quota, Rank, Rate, RequestKind, RouteRule,
        Workspace,
    },
    ports::Change,
};

/// Returns a configuration with a public route, and one for callers of a workspace that
/// may run in one region.
fn configuration() -> Configuration {
    let open = RouteRule {
        public: true,
        ..vm::rule(RequestKind::Idempotent, "/browse/")
    };
    let workspace = Workspace {
        rank: Some(Rank(0)),
        quota: Some(Quota {
            rate: Rate(12.5),
            burst: 10.0,
        }),
        home_regions: vec!["north".parse().expect("a name")],
        ..vm::workspace("kitchens", &["k-1"])
    };
    Configuration {
        workspaces: vec![workspace],
        ..vm::configuration(3, vec![open, vm::rule(RequestKind::Once, "/pay/")], 10.0)
    }
}

fn targets() -> Vec<Change> {
    let base = |id| vm::instance(id, vm::ANY_PORT);
    let targets = [
        base("i-1"),
        Instance {
            state: InstanceState::Draining,
            ..base("i-2")
        },
        Instance {
            cold: Millis(60_000),
            ..base("i-3")
        },
        Instance {
            az: "unknown-1".parse().expect("a name"),
            ..base("i-4")
        },
    ];
    targets.map(Change::Registered).into()
}

/// Runs the command and returns what it prints, without the age of the state.
fn explain(gateway: &str, args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_savorybeam"))
        .args([
            "explain",
            "--gateway",
            gateway,
            "--host",
            "kitchens.example",
        ])
        .args(args)
        .output()
        .expect("the command runs");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text).replace(gateway, "ADDRESS");
    let line = |line: &str| match line.split_once(", state ") {
        Some((before, _)) => format!("{before}, state AGE\n"),
        None => format!("{line}\n"),
    };
    let lines: String = text.lines().map(line).collect();
    format!("{}: {}\n{lines}", args.join(" "), output.status)
}

/// Fails if the command does not say where a request would go and why each other target
/// was left out, or if asking changes the answer, counts as a request or is answered for
/// a caller without a workspace.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_explained_without_being_sent() {
    let mut changes = vec![Change::Configured(Box::new(configuration()))];
    changes.extend(targets());
    let gateway = vm::entry::open(vm::settings("entry-1"), changes, Millis(0)).await;
    let addr = gateway.auxiliary_addrs().next().expect("an address");
    let questions = [
        &["--object", "17", "/browse/7"][..],
        &["--workspace", "kitchens", "--bytes", "64KiB", "/pay/7"],
        &["/pay/7"],
        &["--workspace", "bakers", "/pay/7"],
        &["/unknown/7"],
    ];
    let addr = addr.to_string();
    let ask = move || questions.map(|args| explain(&addr, args));
    let (first, second) = tokio::task::spawn_blocking(move || (ask(), ask()))
        .await
        .expect("the questions are asked");
    assert_eq!(first, second);
    let metrics = gateway.state.ports.metrics.encode();
    let counted = metrics.lines().filter(|l| l.contains("requests_total{"));
    assert_eq!(counted.count(), 0, "{metrics}");
    insta::assert_snapshot!(first.join("\n"));
}

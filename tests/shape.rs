//! Guards the layering: a decision that reached for a socket or an encoding
//! could no longer be replayed from a seed.

use std::{fs, path::Path};

fn sources(dir: &Path, out: &mut Vec<(String, String)>) {
    for entry in fs::read_dir(dir).expect("the folder is there") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            sources(&path, out);
        } else {
            let text = fs::read_to_string(&path).expect("sources are text");
            out.push((path.display().to_string(), text));
        }
    }
}

fn offenders(dir: &str, banned: &[&str]) -> Vec<String> {
    let mut files = Vec::new();
    sources(Path::new(dir), &mut files);
    let mut found = Vec::new();
    for (path, text) in files {
        let code = text.lines().filter(|l| !l.trim_start().starts_with("//"));
        for line in code.filter(|l| banned.iter().any(|b| l.contains(b))) {
            found.push(format!("{path}: {}", line.trim()));
        }
    }
    found
}

#[test]
fn decisions_import_no_adapter_and_no_runtime() {
    let banned = [
        "adapters::",
        "app::",
        "ports::",
        "tokio::",
        "tonic::",
        "volo::",
        "volo_http",
        "prost::",
        "hyper::",
        "std::net::Tcp",
        "Instant::now",
        "SystemTime",
    ];
    insta::assert_debug_snapshot!(offenders("src/policy", &banned), @"[]");
}

#[test]
fn values_import_no_other_part() {
    let banned = ["adapters::", "app::", "ports::", "policy::", "tokio::"];
    insta::assert_debug_snapshot!(offenders("src/domain", &banned), @"[]");
}

#[test]
fn the_project_declares_no_trait() {
    insta::assert_debug_snapshot!(offenders("src", &["pub trait ", "  trait "]), @"[]");
}

//! Tests the layering of the modules. A decision that used a socket, a clock or
//! an encoding could not be replayed from a seed.

use std::{fs, path::Path};

fn read_sources(dir: &Path, out: &mut Vec<(String, String)>) {
    for entry in fs::read_dir(dir).expect("the folder exists") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            read_sources(&path, out);
        } else {
            let text = fs::read_to_string(&path).expect("sources are text");
            out.push((path.display().to_string(), text));
        }
    }
}

/// Returns the lines of code under `dir` that contain one of `banned`.
fn find_banned(dir: &str, banned: &[&str]) -> Vec<String> {
    let mut files = Vec::new();
    read_sources(Path::new(dir), &mut files);
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
    insta::assert_debug_snapshot!(find_banned("src/policy", &banned), @"[]");
}

#[test]
fn values_import_no_other_module() {
    let banned = ["adapters::", "app::", "ports::", "policy::", "tokio::"];
    insta::assert_debug_snapshot!(find_banned("src/domain", &banned), @"[]");
}

#[test]
fn the_project_declares_no_trait() {
    insta::assert_debug_snapshot!(find_banned("src", &["pub trait ", "  trait "]), @"[]");
}

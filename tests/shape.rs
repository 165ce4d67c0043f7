//! Tests the layering of the modules. A decision that used a socket, a clock or
//! an encoding could not be replayed from a seed.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

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

/// Returns the names of the sibling modules that a module imports by `super::`.
fn sibling_imports(text: &str, siblings: &[String]) -> Vec<String> {
    let code = text.lines().filter(|l| !l.trim_start().starts_with("//"));
    let code: String = code.collect::<Vec<_>>().join("\n");
    let mut found = Vec::new();
    for use_item in code.split("use super::").skip(1) {
        let item = use_item.split(';').next().unwrap_or_default();
        let words = item.split(|c: char| !(c.is_alphanumeric() || c == '_'));
        found.extend(words.filter(|w| siblings.iter().any(|s| s == w)));
    }
    found.into_iter().map(str::to_owned).collect()
}

/// Returns the modules of a folder that can reach themselves through the imports
/// of their siblings.
fn import_cycles(dir: &str) -> Vec<String> {
    let mut files = Vec::new();
    read_sources(Path::new(dir), &mut files);
    let name = |path: &str| {
        let file = Path::new(path).file_stem().expect("a file name");
        file.to_string_lossy().into_owned()
    };
    let siblings: Vec<String> = files.iter().map(|(path, _)| name(path)).collect();
    let imports: BTreeMap<String, Vec<String>> = files
        .iter()
        .map(|(path, text)| (name(path), sibling_imports(text, &siblings)))
        .collect();
    let reaches_itself = |start: &String| {
        let (mut seen, mut open) = (BTreeSet::new(), vec![start]);
        while let Some(module) = open.pop() {
            for next in &imports[module] {
                if next == start {
                    return true;
                }
                if seen.insert(next) {
                    open.push(next);
                }
            }
        }
        false
    };
    siblings
        .iter()
        .filter(|s| reaches_itself(s))
        .cloned()
        .collect()
}

/// Fails if modules of the load balancing import each other in a circle, so that
/// none of them can be read or tested without the others.
#[test]
fn load_balancing_has_no_import_circle() {
    insta::assert_debug_snapshot!(import_cycles("src/policy/balance"), @"[]");
}

//! Tests of the commands that operators use in scripts: their exit codes, their
//! output, and that an edit neither overwrites a concurrent one nor changes other
//! parts of the text.

mod devel;

use std::{fmt::Write, fs, path::PathBuf};

use devel::{Dev, run};
use savorybeam::adapters::ini::{parse_document, set_key};

const TOKEN: &str = "token-of-the-kitchens";

/// Replaces what differs from run to run: addresses, times and edit ids.
fn normalize(text: &str) -> String {
    let mut out = String::new();
    for line in text.lines() {
        let words: Vec<String> = line.split(' ').map(normalize_word).collect();
        out.push_str(&words.join(" "));
        out.push('\n');
    }
    out
}

fn normalize_word(word: &str) -> String {
    let value = word.trim_end_matches([',', ':', ';']);
    let tail = &word[value.len()..];
    let hex = value.len() == 32 && value.bytes().all(|b| b.is_ascii_hexdigit());
    let date = value.len() == 24 && value.ends_with('Z') && value.contains('T');
    let name = if hex {
        "EDIT"
    } else if date {
        "TIME"
    } else if value.contains("127.0.0.1:") {
        "ADDRESS"
    } else {
        value
    };
    format!("{name}{tail}")
}

/// Replaces revisions by numbers in the order of their first appearance, since
/// they depend on what else the entries write into the store.
fn number_revisions(text: &str) -> String {
    let mut revisions: Vec<String> = Vec::new();
    let mut out = Vec::new();
    for line in text.lines() {
        let mut words: Vec<String> = Vec::new();
        for word in line.split(' ') {
            let value = word.trim_end_matches([',', ':']);
            let before = words.last().map(String::as_str);
            let labelled = matches!(before, Some("revision" | "at" | "--base"));
            if !labelled || value.parse::<u64>().is_err() {
                words.push(word.to_owned());
                continue;
            }
            let known = revisions.iter().position(|s| s == value);
            let n = known.unwrap_or(revisions.len());
            if known.is_none() {
                revisions.push(value.to_owned());
            }
            words.push(format!("R{n}{}", &word[value.len()..]));
        }
        out.push(words.join(" "));
    }
    out.join("\n")
}

/// Writes a file into a temporary folder of this process and returns its path.
fn temp_file(name: &str, text: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("savorybeam-cli-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("the folder can be created");
    let path = dir.join(name);
    fs::write(&path, text).expect("the file can be written");
    path
}

#[test]
fn documents_and_drain_commands_report_their_results() {
    let dev = Dev::spawn(&["--for", "120"]);
    let got = dev.run(&["documents", "get", "bokun"]);
    let text = got.strip_prefix("exit 0\n").expect("a document");
    let bare = text.split_once('\n').expect("the line of the revision").1;
    let bare = temp_file("bare.ini", bare);
    let bare = bare.to_str().expect("the path is text");
    let path = temp_file(
        "bokun.ini",
        &text.replacen("weight = 100", "weight = 40", 1),
    );
    let path = path.to_str().expect("the path is text");
    let steps: Vec<Vec<&str>> = vec![
        vec!["documents", "put", "--dry-run", path],
        vec!["documents", "put", path],
        vec!["documents", "put", path],
        vec!["documents", "put", "--base", "1", path],
        vec!["documents", "put", bare],
        vec!["drain", "--wait", "30", "bokun", "reykjanes-1"],
        vec!["drain", "bokun", "reykjanes-1"],
        vec!["drain", "bokun", "atlantis-1"],
        vec!["drain", "--cancel", "bokun", "reykjanes-1"],
        vec!["documents", "history", "bokun"],
        vec!["explain", "nobody"],
        vec!["documents", "get", "nobody"],
    ];
    let mut outputs = Vec::new();
    for step in &steps {
        let words = step.iter().filter(|w| **w != path && **w != bare);
        let name: Vec<&str> = words.copied().collect();
        // The number of lines about a running drain depends on timing.
        let lines = dev.run(step);
        let lines = lines
            .lines()
            .filter(|l| !l.starts_with("  e") && !l.ends_with(": running"));
        let text: Vec<&str> = lines.collect();
        outputs.push(normalize(&format!(
            "> {}\n{}",
            name.join(" "),
            text.join("\n")
        )));
    }
    // The entry adopts the last edit some time after the store has accepted it.
    let ended = (0..100).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(50));
        dev.run(&["drain", "bokun"]) == "exit 0\nnothing leaves\n"
    });
    assert!(ended, "the drain is cancelled");
    insta::assert_snapshot!(number_revisions(&outputs.join("\n")));
}

#[test]
fn timeline_merges_events_of_several_entries_in_order() {
    let dev = Dev::spawn(&["--for", "60"]);
    let mut args = vec!["timeline", "--part", "document", "--json"];
    let admins = dev.line["admins"].as_array().expect("a list");
    for admin in &admins[1..] {
        args.extend(["--admin", admin.as_str().expect("a URL")]);
    }
    let out = dev.run(&args);
    let mut stamps = Vec::new();
    for line in out.lines().skip(1) {
        let value: serde_json::Value = serde_json::from_str(line).expect("a JSON line");
        stamps.push(
            value["stamp"]
                .as_str()
                .expect("a stamp")
                .parse()
                .expect("a stamp"),
        );
    }
    let all: &[savorybeam::policy::timeline::Stamp] = &stamps;
    assert!(
        all.windows(2).all(|p| p[0] < p[1]),
        "in order, each once: {out}"
    );
    let mut entries: Vec<&str> = all.iter().map(|s| s.entry.as_str()).collect();
    entries.sort_unstable();
    entries.dedup();
    assert_eq!(entries, ["e0", "e1", "e2"], "{out}");
}

#[test]
fn usage_errors_and_failures_have_different_exit_codes() {
    let closed = "127.0.0.1:1";
    let bad = temp_file("bad.ini", "[service]\nname = Slot Board\n");
    let bad = bad.to_str().expect("the path is text");
    let runs: Vec<(Vec<&str>, Option<&str>)> = vec![
        (vec![], None),
        (vec!["status"], Some(TOKEN)),
        (vec!["status", "--admin", closed], None),
        (vec!["status", "--admin", "here"], Some(TOKEN)),
        (vec!["status", "--admin", closed], Some(TOKEN)),
        (vec!["timeline", "--admin", closed], Some(TOKEN)),
        (
            vec!["timeline", "--admin", closed, "--after", "now"],
            Some(TOKEN),
        ),
        (vec!["documents", "check", "missing.ini"], None),
        (
            vec!["documents", "put", "--admin", closed, "missing.ini"],
            Some(TOKEN),
        ),
        (
            vec!["drain", "--admin", closed, "--wait", "soon", "a", "b"],
            Some(TOKEN),
        ),
        (
            vec!["explain", "--admin", closed, "Slot Board"],
            Some(TOKEN),
        ),
    ];
    let mut outputs = Vec::new();
    for (args, token) in &runs {
        outputs.push(format!("> {}\n{}", args.join(" "), run(args, *token)));
    }
    let checked = run(&["documents", "check", bad], None);
    outputs.push(checked.replace(bad, "bad.ini"));
    insta::assert_snapshot!(outputs.join("\n"));
}

#[test]
fn every_command_has_help_with_an_example() {
    let commands = [
        vec!["check"],
        vec!["dev"],
        vec!["documents"],
        vec!["documents", "check"],
        vec!["documents", "get"],
        vec!["documents", "history"],
        vec!["documents", "list"],
        vec!["documents", "put"],
        vec!["drain"],
        vec!["entry"],
        vec!["explain"],
        vec!["gateway"],
        vec!["key-digest"],
        vec!["status"],
        vec!["timeline"],
    ];
    let mut outputs = Vec::new();
    for mut args in commands {
        args.push("--help");
        let text = run(&args, Some(TOKEN));
        assert!(
            !text.contains(TOKEN),
            "the help text shows the token: {text}"
        );
        let example = text.lines().find(|l| l.contains("Example: savorybeam"));
        let code = text.lines().next().unwrap_or_default();
        outputs.push(format!("{code} {}", example.unwrap_or("no example")));
    }
    insta::assert_snapshot!(outputs.join("\n"));
}

quickcheck::quickcheck! {
    fn set_key_changes_only_the_given_key(weight: u8, comments: Vec<bool>) -> bool {
        let mut text = String::from("[service]\nname = a\nteam = t\n");
        for (n, is_comment) in comments.iter().take(4).enumerate() {
            let state = if *is_comment { "; state = no\n" } else { "state = active\n" };
            let _ = write!(
                text,
                "[place p{n}]\nregion = r\naz = r-1\nweight = 9\n{state}slots = 1\ntargets = 10.0.0.{n}:1\n"
            );
        }
        text.push_str("# the last place\n[place z]\nregion = r\naz = r-1\nweight = 9\nslots = 1\ntargets = 10.0.1.1:1\n");
        let set = set_key(&text, "place z", "weight", Some(&weight.to_string()));
        let set = set_key(&set, "place z", "state", Some("leaving"));
        let mut expected = parse_document("a", &text).expect("it is valid");
        let last = expected.places.last_mut().expect("there is a place");
        last.weight = savorybeam::domain::Weight(weight.into());
        last.state = savorybeam::domain::PlaceState::Leaving;
        let restored = set_key(&set, "place z", "state", None);
        let restored = set_key(&restored, "place z", "weight", Some("9"));
        parse_document("a", &set) == Ok(expected) && restored == text
    }
}

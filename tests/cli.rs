//! Guards the commands that operators script: exit codes, output, and an edit
//! that must neither overwrite another one nor touch the rest of the text.

mod devel;

use std::{fmt::Write, fs, path::PathBuf};

use devel::{Dev, run};
use savorybeam::adapters::ini::{parse_document, set_key};

const TOKEN: &str = "token-of-the-kitchens";

/// Replaces what differs between two runs: addresses, times, edit ids and the
/// revisions, which depend on what else the entries write into the store.
fn stable(text: &str) -> String {
    let mut out = String::new();
    for line in text.lines() {
        let words: Vec<String> = line.split(' ').map(stable_word).collect();
        out.push_str(&words.join(" "));
        out.push('\n');
    }
    out
}

fn stable_word(word: &str) -> String {
    let core = word.trim_end_matches([',', ':', ';']);
    let tail = &word[core.len()..];
    let hex = core.len() == 32 && core.bytes().all(|b| b.is_ascii_hexdigit());
    let date = core.len() == 24 && core.ends_with('Z') && core.contains('T');
    let name = if hex {
        "EDIT"
    } else if date {
        "TIME"
    } else if core.contains("127.0.0.1:") {
        "ADDRESS"
    } else {
        core
    };
    format!("{name}{tail}")
}

/// Numbers the revisions in the order in which they appear.
fn number(text: &str) -> String {
    let mut seen: Vec<String> = Vec::new();
    let mut out = Vec::new();
    for line in text.lines() {
        let mut words: Vec<String> = Vec::new();
        for word in line.split(' ') {
            let core = word.trim_end_matches([',', ':']);
            let before = words.last().map(String::as_str);
            let follows = matches!(before, Some("revision" | "at" | "--base"));
            if !follows || core.parse::<u64>().is_err() {
                words.push(word.to_owned());
                continue;
            }
            let known = seen.iter().position(|s| s == core);
            let n = known.unwrap_or(seen.len());
            if known.is_none() {
                seen.push(core.to_owned());
            }
            words.push(format!("R{n}{}", &word[core.len()..]));
        }
        out.push(words.join(" "));
    }
    out.join("\n")
}

fn file(name: &str, text: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("savorybeam-cli-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("the folder can be made");
    let path = dir.join(name);
    fs::write(&path, text).expect("the file can be written");
    path
}

#[test]
fn an_operator_edits_drains_and_looks_back() {
    let dev = Dev::spawn(&["--for", "120"]);
    let got = dev.run(&["documents", "get", "bokun"]);
    let text = got.strip_prefix("exit 0\n").expect("a document");
    let bare = text.split_once('\n').expect("the line of the revision").1;
    let bare = file("bare.ini", bare);
    let bare = bare.to_str().expect("the path is text");
    let path = file(
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
    let mut seen = Vec::new();
    for step in &steps {
        let words = step.iter().filter(|w| **w != path && **w != bare);
        let name: Vec<&str> = words.copied().collect();
        // How often a drain is seen running is a matter of time.
        let lines = dev.run(step);
        let lines = lines
            .lines()
            .filter(|l| !l.starts_with("  e") && !l.ends_with(": running"));
        let text: Vec<&str> = lines.collect();
        seen.push(stable(&format!(
            "> {}\n{}",
            name.join(" "),
            text.join("\n")
        )));
    }
    // The entry adopts the last edit a moment after the store has accepted it.
    let ended = (0..100).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(50));
        dev.run(&["drain", "bokun"]) == "exit 0\nnothing leaves\n"
    });
    assert!(ended, "the drain is cancelled");
    insta::assert_snapshot!(number(&seen.join("\n")));
}

#[test]
fn one_timeline_comes_from_several_entries() {
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
fn wrong_use_and_failures_have_different_codes() {
    let closed = "127.0.0.1:1";
    let bad = file("bad.ini", "[service]\nname = Slot Board\n");
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
    let mut seen = Vec::new();
    for (args, token) in &runs {
        seen.push(format!("> {}\n{}", args.join(" "), run(args, *token)));
    }
    let checked = run(&["documents", "check", bad], None);
    seen.push(checked.replace(bad, "bad.ini"));
    insta::assert_snapshot!(seen.join("\n"));
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
        vec!["status"],
        vec!["timeline"],
    ];
    let mut seen = Vec::new();
    for mut args in commands {
        args.push("--help");
        let text = run(&args, Some(TOKEN));
        assert!(
            !text.contains(TOKEN),
            "the help text shows the token: {text}"
        );
        let example = text.lines().find(|l| l.contains("Example: savorybeam"));
        let code = text.lines().next().unwrap_or_default();
        seen.push(format!("{code} {}", example.unwrap_or("no example")));
    }
    insta::assert_snapshot!(seen.join("\n"));
}

quickcheck::quickcheck! {
    fn a_key_is_set_and_the_rest_stays(weight: u8, noise: Vec<bool>) -> bool {
        let mut text = String::from("[service]\nname = a\nteam = t\n");
        for (n, comment) in noise.iter().take(4).enumerate() {
            let extra = if *comment { "; state = no\n" } else { "state = active\n" };
            let _ = write!(
                text,
                "[place p{n}]\nregion = r\naz = r-1\nweight = 9\n{extra}slots = 1\ntargets = 10.0.0.{n}:1\n"
            );
        }
        text.push_str("# the last place\n[place z]\nregion = r\naz = r-1\nweight = 9\nslots = 1\ntargets = 10.0.1.1:1\n");
        let set = set_key(&text, "place z", "weight", Some(&weight.to_string()));
        let set = set_key(&set, "place z", "state", Some("leaving"));
        let mut expected = parse_document("a", &text).expect("it is valid");
        let last = expected.places.last_mut().expect("there is a place");
        last.weight = savorybeam::domain::Weight(weight.into());
        last.state = savorybeam::domain::PlaceState::Leaving;
        let back = set_key(&set, "place z", "state", None);
        let back = set_key(&back, "place z", "weight", Some("9"));
        parse_document("a", &set) == Ok(expected) && back == text
    }
}

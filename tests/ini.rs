//! Tests the validation of settings and documents. It must report all faults of a
//! file in one run, each with its line, and a printed document must parse to the
//! same document.

use savorybeam::{
    adapters::ini::{parse_document, parse_settings, print_document},
    domain::{KeyDigest, Priority},
};

const VALID_DOCUMENT: &str = "\
[service]
name = slotboard
team = kitchens
deadline = 5 s
shift-cap = 40 rps

[place reykjanes-1]
region = reykjanes
az = reykjanes-1
weight = 60
targets = 10.0.0.1:8080, 10.0.0.2:8080
leaving = 10.0.0.2:8080
slots = 5

[route /certificates]
lane = long
priority = bulk
";

const INVALID_DOCUMENT: &str = "\
[service]
name = Slot Board
deadline = soon
colour = red

[place a]
region = reykjanes
az = reykjanes-1
weight = heavy
targets = 10.0.0.1:8080, nowhere
leaving = 10.0.0.9:8080
slots = 0

[place a]
weight = 5

[route certificates]
lane = medium
idempotent = perhaps

[plan]
";

fn join_lines<T: std::fmt::Display>(faults: &[T]) -> String {
    let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
    all.join("\n")
}

#[test]
fn a_printed_document_parses_to_the_same_document() {
    let doc = parse_document("slotboard.ini", VALID_DOCUMENT).expect("a valid document");
    let text = print_document(&doc);
    insta::assert_snapshot!(text);
    assert_eq!(parse_document("printed", &text), Ok(doc));
}

#[test]
fn all_faults_of_a_document_are_listed() {
    let faults =
        parse_document("slotboard.ini", INVALID_DOCUMENT).expect_err("an invalid document");
    insta::assert_snapshot!(join_lines(&faults));
}

const WORKSPACES: &str = "
[workspace bakers]
keys = K1, K2
priority = bulk
homes = reykjanes
rate = 12.5 rps
burst = 3

[workspace closed]

[route /menu]
public = true
";

/// The text that stands for a key in a document where a digest is expected.
const KEY: &str = "key-of-the-cooks";

const INVALID_WORKSPACES: &str = "
[workspace bakers]
keys = K1, KEY
colour = red
rate = fast
burst = -1
homes = reykjanes, mars

[workspace Cooks]
keys = K1
rate = 0 rps
priority = 3
homes =

[workspace  bakers]
burst = 2

[route /menu]
public = perhaps
";

/// Returns a document with workspaces whose keys are replaced by their digests.
fn with_workspaces(text: &str) -> String {
    let digest = |key: &str| KeyDigest::of(key.as_bytes()).to_string();
    let text = text.replace("K1", &digest("k-1"));
    let text = text.replace("K2", &digest("k-2"));
    format!("{VALID_DOCUMENT}{}", text.replace("KEY", KEY))
}

/// Fails if an entry that gets a document from another one has other workspaces than it,
/// which would admit callers without keys.
#[test]
fn workspaces_are_printed_as_they_are_parsed() {
    let doc = parse_document("slotboard.ini", &with_workspaces(WORKSPACES)).expect("valid");
    let text = print_document(&doc);
    insta::assert_snapshot!(text);
    assert_eq!(parse_document("printed", &text), Ok(doc));
}

/// Fails if a route or a caller raises the priority that the document gives a workspace.
#[test]
fn the_priority_of_a_workspace_goes_before_that_of_a_route() {
    let text = with_workspaces(WORKSPACES);
    let doc = parse_document("slotboard.ini", &text).expect("valid");
    let [bakers, closed] = [&doc.workspaces[0], &doc.workspaces[1]];
    let mut lines = Vec::new();
    for (path, workspace) in [
        ("/menu", bakers),
        ("/menu", closed),
        ("/certificates", closed),
    ] {
        for caller in [None, Some(Priority::Bulk), Some(Priority::Critical)] {
            let priority = Priority::of_request(doc.route(path), workspace.rank, caller);
            lines.push(format!("{path} {} {caller:?}: {priority}", workspace.name));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if a document with a word that cannot be read is put in force without it, which
/// would open a service or lift a limit, or if a key that stands in place of its digest is
/// repeated in the report.
#[test]
fn all_faults_of_workspaces_are_listed() {
    let text = with_workspaces(INVALID_WORKSPACES);
    let faults = parse_document("slotboard.ini", &text).expect_err("an invalid document");
    let faults = join_lines(&faults);
    assert!(!faults.contains(KEY), "{faults}");
    insta::assert_snapshot!(faults);
}

#[test]
fn all_faults_of_settings_are_listed() {
    let text = "[entry]\nname = e1\nregion = r1\ncallers = here\nadmin = 127.0.0.1:1\nconnections = none\n\
        [region r1]\nheadroom = 5\n[link r1 r2]\ncapacity = 280 mbps\ndelay = 35 ms\n[team t]\ntoken = short\n";
    let faults = parse_settings("entry.ini", text).expect_err("invalid settings");
    insta::assert_snapshot!(join_lines(&faults));
}

quickcheck::quickcheck! {
    fn arbitrary_text_is_rejected_without_a_panic(text: String) -> bool {
        let _ = parse_settings("any", &text);
        parse_document("any", &text).is_err()
    }
}

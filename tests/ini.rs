//! Tests the validation of settings and documents. It must report all faults of a
//! file in one run, each with its line, and a printed document must parse to the
//! same document.

use savorybeam::adapters::ini::{parse_document, parse_settings, print_document};

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

//! Guards the checks of settings and documents: every fault is listed at once,
//! with its line, and a good document reads back as printed.

use savorybeam::adapters::ini::{parse_document, parse_settings, print_document};

const GOOD: &str = "\
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

const BAD: &str = "\
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

fn lines<T: std::fmt::Display>(faults: &[T]) -> String {
    let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
    all.join("\n")
}

#[test]
fn a_good_document_reads_back() {
    let doc = parse_document("slotboard.ini", GOOD).expect("the document is good");
    let text = print_document(&doc);
    insta::assert_snapshot!(text);
    assert_eq!(parse_document("printed", &text), Ok(doc));
}

#[test]
fn a_bad_document_lists_every_fault() {
    let faults = parse_document("slotboard.ini", BAD).expect_err("the document is bad");
    insta::assert_snapshot!(lines(&faults));
}

#[test]
fn bad_settings_list_every_fault() {
    let text = "[entry]\nname = e1\nregion = r1\ncallers = here\nadmin = 127.0.0.1:1\nconnections = none\n\
        [region r1]\nheadroom = 5\n[link r1 r2]\ncapacity = 280 mbps\ndelay = 35 ms\n[team t]\ntoken = short\n";
    let faults = parse_settings("entry.ini", text).expect_err("the settings are bad");
    insta::assert_snapshot!(lines(&faults));
}

quickcheck::quickcheck! {
    fn any_text_is_read_or_refused(text: String) -> bool {
        let _ = parse_settings("any", &text);
        parse_document("any", &text).is_err()
    }
}

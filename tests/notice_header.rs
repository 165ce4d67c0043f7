//! Tests how notices of targets are read from the heads of their responses.

use http::{HeaderMap, HeaderValue, StatusCode};
use quickcheck::quickcheck;
use savorybeam::{
    adapters::platform::headers,
    domain::Millis,
    policy::balance::{PauseRequest, TargetNotice},
};

/// Fails if a notice is read from a response that does not say it about the
/// instance that was asked: one that belongs to another request, or 421.
#[test]
fn notices_count_only_if_they_belong_to_the_request() {
    let id = HeaderValue::from_static("r-1");
    let other = HeaderValue::from_static("r-2");
    let mut lines = Vec::new();
    for status in [200, 404, 421, 429, 500, 503] {
        for (name, asked) in [("own", Some(&id)), ("other", Some(&other)), ("no id", None)] {
            let mut head = HeaderMap::new();
            head.insert("request-id", id.clone());
            head.insert("server-leaving", HeaderValue::from_static("1"));
            head.insert("retry-after", HeaderValue::from_static("2"));
            let code = StatusCode::from_u16(status).expect("a status");
            let TargetNotice { leaving, pause } = headers::read_notice(code, &head, asked);
            lines.push(format!(
                "{status} {name}: leaving {leaving}, pause {pause:?}"
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if a mark or a pause is read wrongly, overflows, or is read from an
/// invalid value.
#[test]
fn unusual_notices_have_a_defined_meaning() {
    let read = |name: &'static str, values: &[&str]| {
        let mut head = HeaderMap::new();
        for value in values {
            let value = HeaderValue::from_bytes(value.as_bytes()).expect("a value");
            head.append(name, value);
        }
        headers::read_notice(StatusCode::SERVICE_UNAVAILABLE, &head, None)
    };
    let mut lines = Vec::new();
    for values in [&["1"][..], &[" 1 "], &["0"], &["true"], &[""], &["0", "1"]] {
        let leaving = read("server-leaving", values).leaving;
        lines.push(format!("leaving {values:?}: {leaving}"));
    }
    let long = "9".repeat(400);
    let date = "Fri, 31 Dec 1999 23:59:59 GMT";
    let pauses: [&[&str]; 21] = [
        &["0"],
        &["0.0"],
        &["1"],
        &[" 5 "],
        &["0.25"],
        &["1.0001"],
        &["007"],
        &["3600"],
        &["3601"],
        &["18446744073709551616"],
        &[&long],
        &["-1"],
        &["+1"],
        &["1e3"],
        &["inf"],
        &["1."],
        &[".5"],
        &["1, 2"],
        &[date],
        &["1", "3", "2"],
        &["soon", "2"],
    ];
    for values in pauses {
        let pause = read("retry-after", values).pause;
        let name: Vec<String> = values
            .iter()
            .map(|v| v.chars().take(30).collect())
            .collect();
        lines.push(format!("pause {name:?}: {pause:?}"));
    }
    for value in ["", "\u{fc}", &"x".repeat(400)] {
        lines.push(format!("{:?}", read("retry-after", &[value]).pause));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

quickcheck! {
    /// Fails if some value of a header panics or requests a pause of more than
    /// an hour.
    fn any_pause_is_bounded(values: Vec<Vec<u8>>) -> bool {
        let mut head = HeaderMap::new();
        for value in values {
            if let Ok(value) = HeaderValue::from_bytes(&value) {
                head.append("retry-after", value);
            }
        }
        let notice = headers::read_notice(StatusCode::SERVICE_UNAVAILABLE, &head, None);
        match notice.pause {
            PauseRequest::None => head.is_empty(),
            PauseRequest::For(pause) => pause <= Millis(3_600_000),
            PauseRequest::Unreadable(text) => text.len() <= 160,
        }
    }
}

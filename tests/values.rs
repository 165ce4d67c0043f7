//! Guards the text forms of values: settings, documents, logs and the API share
//! them, so a value that does not read back would change its meaning on the way.

use std::{fmt::Display, str::FromStr};

use quickcheck::quickcheck;
use savorybeam::domain::{
    EntryId, LimitName, Mbps, Millis, Revision, Rps, ServiceName, Size, Slots, TargetId, Weight,
};

fn reads_back<T: Display + Eq + FromStr>(value: &T) -> bool {
    value.to_string().parse().is_ok_and(|v: T| v == *value)
}

quickcheck! {
    fn numbers_read_back(n: u32) -> bool {
        reads_back(&Rps(n))
            && reads_back(&Mbps(n))
            && reads_back(&Millis(u64::from(n)))
            && reads_back(&Size(u64::from(n)))
            && reads_back(&Revision(u64::from(n)))
            && reads_back(&Weight(n % 1001))
            && reads_back(&Slots(n.max(1)))
    }

    fn targets_read_back(ip: u32, port: u16) -> bool {
        reads_back(&TargetId((std::net::Ipv4Addr::from(ip), port).into()))
    }

    fn parsers_accept_only_what_reads_back(text: String) -> bool {
        ServiceName::from_str(&text).map_or(true, |n| reads_back(&n))
            && EntryId::from_str(&text).map_or(true, |n| reads_back(&n))
            && LimitName::from_str(&text).map_or(true, |n| reads_back(&n))
            && Millis::from_str(&text).map_or(true, |n| reads_back(&n))
            && Size::from_str(&text).map_or(true, |n| reads_back(&n))
    }
}

#[test]
fn faulty_values_say_what_is_allowed() {
    let errors = [
        Rps::from_str("40")
            .expect_err("the unit is missing")
            .to_string(),
        Millis::from_str("5 min")
            .expect_err("no such unit")
            .to_string(),
        Slots::from_str("0").expect_err("zero slots").to_string(),
        Weight::from_str("1001").expect_err("too great").to_string(),
        ServiceName::from_str("Slot Board")
            .expect_err("not a name")
            .to_string(),
        TargetId::from_str("localhost:80")
            .expect_err("not an IP number")
            .to_string(),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}

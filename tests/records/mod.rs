//! Records of members for tests.

use savorybeam::{
    domain::{EntryId, Incarnation},
    policy::member::{Load, Member, State, Version},
};

pub fn member(n: usize) -> Member {
    let port = |kind: usize| {
        let port = u16::try_from(kind * 1000 + n).expect("few members");
        ([10, 0, 0, 1], port).into()
    };
    let region = ["austurland", "nordurland", "reykjanes"][n % 3];
    Member {
        id: format!("entry-{n}").parse().expect("a name"),
        incarnation: Incarnation(1),
        version: Version(0),
        state: State::Alive,
        region: region.parse().expect("a name"),
        az: format!("{region}-{}", n / 3 % 2).parse().expect("a name"),
        callers: port(1),
        admin: port(2),
        peers: port(3),
        load: Load::Normal,
    }
}

pub fn id(n: usize) -> EntryId {
    member(n).id
}

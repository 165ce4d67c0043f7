//! Builders of membership records.

use savorybeam::{
    domain::{EntryId, Incarnation},
    policy::member::{Load, Member, State, Version},
};

/// Returns the record of the `n`th member. The members are distributed evenly
/// over three regions with two zones each.
pub fn member(n: usize) -> Member {
    let port = |kind: usize| {
        let port = u16::try_from(kind * 1000 + n).expect("a port below 65536");
        ([10, 0, 0, 1], port).into()
    };
    let region = ["austurland", "nordurland", "reykjanes"][n % 3];
    Member {
        id: format!("entry-{n}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
        version: Version(0),
        state: State::Alive,
        region: region.parse().expect("a valid name"),
        az: format!("{region}-{}", n / 3 % 2)
            .parse()
            .expect("a valid name"),
        callers: port(1),
        admin: port(2),
        peers: port(3),
        load: Load::Normal,
    }
}

/// Returns the id of the `n`th member.
pub fn id(n: usize) -> EntryId {
    member(n).id
}

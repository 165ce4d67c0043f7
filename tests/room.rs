//! Tests the line between ranks that are admitted and those that wait, and the table of
//! refused requests, without a network.

use quickcheck::quickcheck;
use savorybeam::{
    domain::{Millis, Rank},
    policy::{
        demand::{RANKS, RankSlots, WorkspaceKey, WorkspaceNeed, WorkspaceSlots},
        room::{Account, Division, FarRoom, Line, Returns},
    },
};

fn account(needed: [f64; RANKS], near: f64) -> Account {
    Account::new(RankSlots(needed), near, FarRoom::default())
}

quickcheck! {
    /// Fails if a less urgent rank gets a larger fraction than a more urgent one, if a
    /// rank gets less than a quarter of the mean, or if anything is refused that fits.
    fn ranks_are_admitted_in_order(needed: Vec<u16>, near: u16) -> bool {
        let mut slots = [0.0; RANKS];
        for (slot, n) in slots.iter_mut().zip(&needed) {
            *slot = f64::from(*n);
        }
        let account = account(slots, f64::from(near));
        let fractions = account.fractions();
        let mean = (account.room / account.needed.total().max(1.0)).min(1.0);
        let ordered = fractions.windows(2).all(|pair| pair[1] <= pair[0]);
        let fed = fractions.iter().all(|f| (mean / 4.0 - 1e-9..=1.0 + 1e-9).contains(f));
        ordered && fed && (account.is_short() || fractions.iter().all(|f| *f >= 1.0))
    }

    /// Fails if workspaces of one rank together get more or less than its room, if one that
    /// asks for less per weight gets a smaller fraction, or if one that asks for less than
    /// its equal part is held back.
    fn a_rank_is_divided_by_weight(asked: Vec<(u8, u8)>, others: u8, admitted: u8) -> bool {
        let mut needs = WorkspaceSlots::default();
        for (n, (slots, weight)) in (0..20).zip(&asked) {
            let key = WorkspaceKey(n * 4);
            let (slots, weight) = (f32::from(*slots) + 1.0, f32::from(*weight) + 1.0);
            needs.add(WorkspaceNeed { key, weight, slots });
        }
        let others = f64::from(others);
        let sum = |value: fn(&WorkspaceNeed) -> f32| -> f64 {
            needs.needs().iter().map(value).map(f64::from).sum()
        };
        let (slots, weights) = (sum(|n| n.slots), sum(|n| n.weight));
        let division = Division {
            needs: &needs,
            needed: slots + others,
            admitted: f64::from(admitted) / 255.0,
        };
        let room = division.needed * division.admitted;
        let mut got: Vec<_> = needs
            .needs()
            .iter()
            .map(|n| (n.ratio(), division.fraction(n.key), f64::from(n.slots)))
            .collect();
        got.sort_by(|a, b| a.0.total_cmp(&b.0));
        let taken = got.iter().map(|(_, fraction, slots)| fraction * slots).sum::<f64>()
            + others * division.fraction(WorkspaceKey(4_000));
        let ordered = got.windows(2).all(|pair| pair[1].1 <= pair[0].1 + 1e-6);
        let equal_part = (room - others) / weights;
        let small_whole = got
            .iter()
            .all(|(ratio, fraction, _)| f64::from(*ratio) > equal_part || *fraction > 1.0 - 1e-6);
        (taken - room).abs() < 0.01 * room + 0.01 && ordered && small_whole
    }

    /// Fails if refusals are remembered without bound, for longer than they count, or for
    /// more requests than were refused.
    fn refusals_count_once_and_expire(requests: Vec<u8>) -> bool {
        let mut returns = Returns::default();
        let record = |returns: &mut Returns, at| {
            for request in &requests {
                returns.record(Millis(at), u64::from(*request));
            }
        };
        record(&mut returns, 1_000);
        let known = requests.iter().all(|r| returns.take(Millis(1_001), u64::from(*r)));
        let once = !requests.iter().any(|r| returns.take(Millis(1_002), u64::from(*r)));
        record(&mut returns, 2_000);
        known && once && !requests.iter().any(|r| returns.take(Millis(6_001), u64::from(*r)))
    }
}

/// Fails if a faulty caller makes the table of refusals grow without bound.
#[test]
fn the_table_of_refusals_is_bounded() {
    let mut returns = Returns::default();
    for request in 0..10_000 {
        returns.record(Millis(1_000), request);
    }
    let known = (0..10_000).filter(|request| returns.take(Millis(1_000), *request));
    insta::assert_snapshot!(known.count(), @"4096");
}

/// Fails if the line jumps when the need does, if it stays after the account is lost, if
/// its changes are not reported, or if callers are told to return before there is room.
#[test]
fn the_line_follows_the_account() {
    let mut line = Line::default();
    let mut lines = Vec::new();
    let phases = [
        ("fits", Some(account([10.0, 10.0, 10.0, 0.0], 40.0)), 2),
        (
            "surge of rank 1",
            Some(account([10.0, 40.0, 10.0, 0.0], 40.0)),
            3,
        ),
        ("falling", Some(account([10.0, 25.0, 10.0, 0.0], 40.0)), 2),
        (
            "fits again",
            Some(account([10.0, 10.0, 10.0, 0.0], 40.0)),
            2,
        ),
        ("surge", Some(account([10.0, 40.0, 10.0, 0.0], 40.0)), 1),
        ("account lost", None, 1),
    ];
    let mut now = Millis(10_000);
    for (name, account, steps) in phases {
        for _ in 0..steps * 2 {
            now = now + Millis(500);
            let change = line.update(now, account);
            let change = change.map(|c| c.rank.map_or("none".to_owned(), |r| r.to_string()));
            let admitted = [0, 1, 2].map(|r| format!("{:.2}", line.admitted(Rank(r))));
            lines.push(format!(
                "{name}: {}, returns in {}{}",
                admitted.join(" "),
                line.return_time(0.5),
                change.map_or(String::new(), |rank| format!(", rank on the line: {rank}"))
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

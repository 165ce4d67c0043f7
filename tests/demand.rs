//! Tests the account of a region's demand against sums that depend on how callers
//! divide their requests among the entries, and against values of a faulty entry.

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use savorybeam::{
    domain::{EntryId, Millis, Rank, ServiceName},
    policy::demand::{
        Asked, Demand, DemandAccount, DemandMeter, DemandReport, REPORT_VALIDITY, REPORTS_MAX,
        RegionDemand, SERVICES_MAX, WORKSPACES_MAX, WorkspaceKey,
    },
};

fn entry(n: usize) -> EntryId {
    format!("edge-{n}").parse().expect("a name")
}

fn service(n: usize) -> ServiceName {
    format!("service-{n:03}").parse().expect("a name")
}

fn demand(requests: f64, slots: f64) -> Demand {
    Demand {
        requests,
        slots,
        ..Demand::default()
    }
}

fn asked(workspace: Option<(WorkspaceKey, f32)>, duration_ms: f64) -> Asked {
    Asked {
        rank: Rank(0),
        workspace,
        duration_ms,
    }
}

/// Returns a demand of which the share is known for a part.
fn stated(requests: f64, stated: f64, stated_far: f64) -> Demand {
    Demand {
        stated,
        stated_far,
        ..demand(requests, 1.0)
    }
}

fn report(services: &[(usize, Demand)]) -> DemandReport {
    let services = services.iter().map(|(n, demand)| (service(*n), *demand));
    DemandReport {
        services: services.collect(),
    }
}

fn describe(total: &RegionDemand) -> String {
    let services = total.services.iter().map(|(s, d)| format!("; {s}: {d}"));
    format!("{} entries{}", total.entries, services.collect::<String>())
}

/// Fails if the measured demand exceeds the rate of requests in the first seconds, which
/// is added up over all entries, if it stays below the rate later, or if it stays after
/// the requests have ended.
#[test]
fn the_demand_follows_the_requests() {
    let mut meter = DemandMeter::default();
    let mut lines = vec![format!("before: {}", meter.demand(Millis(1_000)))];
    let start = 100_000;
    for at in (0..20_000).step_by(50) {
        let now = Millis(start + at);
        meter.record(now, asked(None, 200.0));
        if [0, 250, 500, 1_000, 2_000, 4_000, 8_000, 19_950].contains(&at) {
            lines.push(format!("after {at} ms: {}", meter.demand(now)));
        }
    }
    for pause in [1_000, 4_000, 20_000] {
        let demand = meter.demand(Millis(start + 20_000 + pause));
        lines.push(format!("after a pause of {pause} ms: {demand}"));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if an entry that has not reported counts as one without requests, if an old
/// report or sum still counts, or if a sum over fewer entries replaces the own one.
#[test]
fn reports_add_up_until_they_expire() {
    let own = report(&[(1, demand(10.0, 2.0))]);
    let mut account = DemandAccount::default();
    let mut lines = Vec::new();
    let mut show = |account: &DemandAccount, now, step: &str| {
        let region = account.region(Millis(now), &own);
        let of = |n| {
            let demand = region.of(&service(n), 4);
            demand.map_or("nothing".to_owned(), |d| d.to_string())
        };
        lines.push(format!(
            "{now} ms, {step}: {}\n  total: {}\n  of 4 entries: {}, and {}",
            describe(&region),
            describe(&account.total(Millis(now), &own)),
            of(1),
            of(2),
        ));
    };
    show(&account, 1_000, "alone");
    let second = report(&[(1, demand(4.0, 1.0)), (2, demand(1.0, 0.5))]);
    account.record_report(Millis(1_000), entry(2), second);
    show(&account, 1_000, "one report");
    account.record_report(Millis(3_000), entry(3), DemandReport::default());
    show(&account, 3_000, "an entry without requests");
    let second = report(&[(1, demand(6.0, 1.5))]);
    account.record_report(Millis(4_000), entry(2), second);
    show(&account, 4_000, "a later report");
    let received = |entries, requests| RegionDemand {
        entries,
        services: report(&[(1, demand(requests, 5.0))]).services,
    };
    account.record_total(Millis(4_500), received(2, 99.0));
    show(&account, 4_500, "a sum over fewer entries");
    account.record_total(Millis(5_000), received(4, 30.0));
    show(&account, 5_000, "a sum over more entries");
    show(&account, 8_001, "a report has expired");
    show(&account, 10_001, "all have expired");
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if a region knows only a part of its demand while its entries change to another
/// source, or if it keeps a sum over an entry that is gone.
#[test]
fn a_recent_sum_over_more_entries_is_kept() {
    let own = report(&[(1, demand(1.0, 1.0))]);
    let mut account = DemandAccount::default();
    let mut lines = Vec::new();
    for (now, entries, requests) in [
        (1_000, 8, 80.0),
        (2_000, 2, 30.0),
        (3_000, 7, 72.0),
        (3_500, 7, 73.0),
        (3_501, 7, 74.0),
        (4_000, 9, 90.0),
        (5_000, 9, 91.0),
    ] {
        let services = report(&[(1, demand(requests, 1.0))]).services;
        let now = Millis(now);
        account.record_total(now, RegionDemand { entries, services });
        let known = describe(&account.region(now, &own));
        lines.push(format!("{now}, {requests} at {entries}: {known}"));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if values that cannot be true, or too many of them, get into the account.
#[test]
fn implausible_values_are_dropped() {
    let now = Millis(1_000);
    let own = DemandReport::default();
    let values = [
        demand(f64::NAN, 1.0),
        demand(1.0, f64::INFINITY),
        demand(-1.0, 1.0),
        demand(1.0, -1.0),
        demand(1e10, 1.0),
        demand(1.0, 1e10),
        demand(2.0, 1.0),
        stated(1.0, f64::NAN, 0.0),
        stated(1.0, 1.0, -1.0),
    ];
    let odd = report(&values.into_iter().enumerate().collect::<Vec<_>>());
    let mut account = DemandAccount::default();
    account.record_report(now, entry(1), odd.clone());
    let mut lines = vec![format!("report: {}", describe(&account.total(now, &own)))];
    for entries in [5, 0, usize::MAX] {
        let mut account = DemandAccount::default();
        let services = odd.services.clone();
        account.record_total(now, RegionDemand { entries, services });
        let region = account.region(now, &own);
        lines.push(format!("sum of {entries}: {}", describe(&region)));
    }
    let many = |from| {
        let services: Vec<_> = (from..from + 300).map(|n| (n, demand(1.0, 1.0))).collect();
        report(&services)
    };
    let mut account = DemandAccount::default();
    account.record_report(now, entry(1), many(0));
    account.record_report(now, entry(2), many(200));
    let services = account.total(now, &own).services.len();
    lines.push(format!("{services} services"));
    let mut account = DemandAccount::default();
    for n in 0..REPORTS_MAX + 10 {
        account.record_report(now, entry(n), DemandReport::default());
    }
    lines.push(format!("{} entries", account.total(now, &own).entries));
    let later = now + REPORT_VALIDITY + Millis(1);
    account.record_report(later, entry(REPORTS_MAX + 1), DemandReport::default());
    lines.push(format!("{} later", account.total(later, &own).entries));
    assert_eq!(services, SERVICES_MAX);
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if an entry takes over the share of a few others of its region, which may have
/// started with it, or one that is none.
#[test]
fn the_share_of_a_region_is_that_of_many_entries() {
    let cases = [(0.0, 0.0), (2.0, 1.0), (2.5, 1.0), (9.0, 9.0), (9.0, 99.0)];
    let shares = cases.map(|(known, far)| {
        let share = stated(10.0, known, far).share();
        share.map_or("none".to_owned(), |share| format!("{share:.2}"))
    });
    insta::assert_snapshot!(shares.join(" "), @"none none 0.40 1.00 1.00");
}

/// Returns the demand for the given requests, each of one service, with integral
/// numbers, so that sums do not depend on their order.
fn demand_of(requests: impl Iterator<Item = (usize, u16)>) -> DemandReport {
    let mut services = BTreeMap::<ServiceName, Demand>::new();
    for (n, slots) in requests {
        *services.entry(service(n)).or_default() += demand(1.0, slots.into());
    }
    DemandReport { services }
}

quickcheck! {
    /// Fails if the demand of a region depends on how its requests are divided among
    /// its entries, or if an entry's source knows another one than its followers.
    fn every_division_has_the_same_sum(requests: Vec<(u8, u16, u8)>, entries: u8) -> bool {
        let entries = usize::from(entries % 20) + 1;
        let now = Millis(1_000);
        let items = || requests.iter().map(|(s, slots, e)| (usize::from(s % 5), *slots, usize::from(*e)));
        let whole = demand_of(items().map(|(s, slots, _)| (s, slots)));
        let part = |n| {
            let items = items().filter(|(_, _, e)| e % entries == n);
            demand_of(items.map(|(s, slots, _)| (s, slots)))
        };
        let mut source = DemandAccount::default();
        (1..entries).for_each(|n| source.record_report(now, entry(n), part(n)));
        let total = source.total(now, &part(0));
        let mut follower = DemandAccount::default();
        follower.record_total(now, total.clone());
        total == RegionDemand { entries, services: whole.services }
            && source.region(now, &part(0)) == total
            && follower.region(now, &part(entries - 1)) == total
    }

    /// Fails if the demand for one service, which is looked up for each request, is
    /// another one than that of the whole account.
    fn the_demand_of_one_service_is_that_of_the_account(
        reports: Vec<(u16, Vec<(u8, u16)>)>,
        received: (u16, u8, Vec<(u8, u16)>),
        region_entries: u8
    ) -> bool {
        let requests = |items: &[(u8, u16)]| {
            demand_of(items.iter().map(|(s, slots)| (usize::from(s % 5), *slots)))
        };
        let mut account = DemandAccount::default();
        let mut now = Millis(0);
        for (n, (at, items)) in reports.iter().enumerate() {
            now = Millis(u64::from(*at) % 10_000);
            account.record_report(now, entry(n % 8), requests(items));
        }
        let (at, entries, items) = received;
        let total = RegionDemand { entries: entries.into(), services: requests(&items).services };
        account.record_total(Millis(u64::from(at) % 10_000), total);
        let own = reports.first().map_or_else(DemandReport::default, |(_, items)| requests(items));
        // Reports end at different times, also if none comes in between.
        let times = (0..4).map(|n| now + Millis(n * 2_000));
        times.flat_map(|now| (0..5).map(move |s| (now, service(s)))).all(|(now, s)| {
            let region = account.region(now, &own);
            let one = account.service(now, &s, own.services.get(&s).copied(), region_entries.into());
            one == region.of(&s, region_entries.into())
        })
    }
}

/// Fails if a region's sum misses a workspace that asks for six times what others do, or
/// grows with their number. Each of 20 entries sees a few requests of 76 workspaces.
#[test]
fn the_largest_workspaces_of_a_region_are_known() {
    let mut meters = vec![DemandMeter::default(); 20];
    for n in 0..81 * 10 {
        let number = (n % 81_u32).saturating_sub(5);
        let key = WorkspaceKey(number << 2);
        let asked = asked(Some((key, 1.0)), 100.0);
        meters[(n * 7 % 20) as usize].record(Millis(1_000 + u64::from(n)), asked);
    }
    let mut sum = Demand::default();
    for meter in &meters {
        sum += meter.demand(Millis(2_000));
    }
    let needs = sum.by_workspace.needs();
    assert!(needs.len() <= WORKSPACES_MAX);
    let mut largest: Vec<_> = needs.iter().map(|n| (n.slots, n.key.0 >> 2)).collect();
    largest.sort_by(|a, b| b.0.total_cmp(&a.0));
    let lines = largest[..3]
        .iter()
        .map(|(slots, n)| format!("{n}: {slots:.2}"));
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join(", "), @"0: 3.24, 66: 0.54, 46: 0.53");
}

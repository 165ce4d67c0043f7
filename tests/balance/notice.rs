//! Tests of targets that announce that they are leaving or that want a pause.

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use savorybeam::{
    domain::{Instance, InstanceId, InstanceState, Millis},
    policy::balance::{
        Choice, ChooseError, Ending, PauseRequest, TargetNotice, Withheld, WithheldCounts,
    },
};

use super::{
    simulation::{instance, zones},
    targets::Fixture,
};

const LEAVING: TargetNotice = TargetNotice {
    leaving: true,
    pause: PauseRequest::None,
};

fn pause(ms: u64) -> TargetNotice {
    TargetNotice {
        leaving: false,
        pause: PauseRequest::For(Millis(ms)),
    }
}

fn id(n: usize) -> InstanceId {
    instance(n, 0, 1).id
}

fn start(n: usize, started: u64) -> Instance {
    Instance {
        started_at: Some(Millis(started)),
        ..instance(n, n / 2, 2)
    }
}

/// Sends a request to the target with the given number.
fn send_to(fixture: &mut Fixture, n: usize) -> Choice {
    let others: Vec<InstanceId> = (0..3).filter(|other| *other != n).map(id).collect();
    fixture.choose(&others).expect("the target")
}

/// Lets the target with the given number answer a request with a notice.
fn notify(fixture: &mut Fixture, n: usize, notice: &TargetNotice) {
    let choice = send_to(fixture, n);
    let now = fixture.now;
    fixture.pool.record_notice(now, &choice.ticket, notice);
    let ending = Ending::Answered;
    fixture.pool.finish(now, &choice.ticket, ending, None);
}

/// The state of an instance in a naive model.
#[derive(Clone, Copy, Default)]
struct Known {
    leaving: bool,
    /// The last instant of a pause. A pause of zero is none.
    paused_until: Option<Millis>,
}

quickcheck! {
    /// Guards against a request to an instance that is leaving or paused, after
    /// any sequence of responses, late responses, registrations and restarts. A
    /// model keeps the notices of each start of each target forever.
    fn no_instance_gets_requests_against_its_notice(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut fixture = Fixture::new();
        let mut started = [1_u64; 3];
        let mut known: BTreeMap<(usize, u64), Known> = BTreeMap::new();
        let mut open: Vec<(usize, u64, Choice)> = Vec::new();
        for (action, n, wait) in steps {
            let n = usize::from(n % 3);
            // A run of 100 steps stays below the retention of notices.
            fixture.now = fixture.now + Millis(u64::from(wait % 500));
            let now = fixture.now;
            match action % 8 {
                0 => {
                    started[n] += 1;
                    fixture.pool.put(now, start(n, started[n]), &zones());
                }
                1 => fixture.pool.remove(now, &id(n)),
                2 => {
                    fixture.pool.put(now, start(n, started[n]), &zones());
                }
                3 | 4 if !open.is_empty() => {
                    let (n, start, choice) = open.swap_remove(usize::from(wait) % open.len());
                    let notice = match action % 3 {
                        0 => LEAVING,
                        _ => pause(u64::from(wait)),
                    };
                    fixture.pool.record_notice(now, &choice.ticket, &notice);
                    fixture.pool.finish(now, &choice.ticket, Ending::Answered, None);
                    let state = known.entry((n, start)).or_default();
                    state.leaving |= notice.leaving;
                    if let PauseRequest::For(time) = notice.pause && time > Millis(0) {
                        state.paused_until = state.paused_until.max(Some(now + time));
                    }
                }
                _ => {
                    let Ok(choice) = fixture.choose(&[]) else {
                        continue;
                    };
                    let n = (0..3).find(|n| id(*n) == choice.ticket.id).expect("known");
                    let state = known.get(&(n, started[n])).copied().unwrap_or_default();
                    if state.leaving || Some(now) <= state.paused_until {
                        return false;
                    }
                    open.push((n, started[n], choice));
                }
            }
        }
        true
    }
}

/// Guards against a registration that brings a leaving instance back: one that
/// still shows it as ready, one with another address, one after its removal, or
/// one of an earlier start. A later start is another instance.
#[test]
fn a_notice_holds_for_one_start_of_a_target() {
    let registrations = [
        ("again", false, start(0, 5)),
        (
            "another address",
            false,
            Instance {
                addr: instance(9, 0, 2).addr,
                ..start(0, 5)
            },
        ),
        ("removed, again", true, start(0, 5)),
        ("removed, earlier start", true, start(0, 4)),
        ("later start", false, start(0, 6)),
        ("removed, later start", true, start(0, 6)),
    ];
    let lines = registrations.map(|(name, removed, registration)| {
        let mut fixture = Fixture::new();
        fixture.pool.put(fixture.now, start(0, 5), &zones());
        notify(&mut fixture, 0, &LEAVING);
        if removed {
            fixture.pool.remove(fixture.now, &id(0));
        }
        fixture.pool.put(fixture.now, registration, &zones());
        let used = fixture.choose(&[id(1), id(2)]).is_ok();
        format!("{name}: used {used}")
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a late response of an instance that has restarted since, and
/// against the loss of a notice that arrives after the removal of its instance.
#[test]
fn late_notices_concern_the_instance_that_was_asked() {
    let mut lines = Vec::new();
    for (name, registration) in [("the same", start(0, 1)), ("a later", start(0, 2))] {
        for removed_first in [false, true] {
            let mut fixture = Fixture::new();
            let choice = send_to(&mut fixture, 0);
            let now = fixture.now;
            if removed_first {
                fixture.pool.remove(now, &id(0));
            } else {
                fixture.pool.put(now, registration.clone(), &zones());
            }
            fixture.pool.record_notice(now, &choice.ticket, &LEAVING);
            fixture.pool.put(now, registration.clone(), &zones());
            let used = fixture.choose(&[id(1), id(2)]).is_ok();
            lines.push(format!(
                "{name} start, removed first {removed_first}: used {used}"
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a memory that grows with each instance that has left.
#[test]
fn notices_of_departed_instances_expire() {
    let mut fixture = Fixture::new();
    notify(&mut fixture, 0, &LEAVING);
    fixture.pool.remove(fixture.now, &id(0));
    fixture.now = fixture.now + Millis(60_000);
    fixture.pool.put(fixture.now, start(0, 1), &zones());
    assert!(fixture.choose(&[id(1), id(2)]).is_ok());
}

/// Tests how notices change a pause, with the effects that are logged: only a
/// later end changes it.
#[test]
fn a_pause_can_only_be_extended() {
    let unreadable = TargetNotice {
        leaving: false,
        pause: PauseRequest::Unreadable("soon".to_owned()),
    };
    let notices = [
        pause(0),
        pause(1_000),
        pause(400),
        pause(3_000),
        TargetNotice::default(),
        LEAVING,
        LEAVING,
        unreadable.clone(),
        unreadable,
    ];
    let mut fixture = Fixture::new();
    let choice = send_to(&mut fixture, 0);
    let lines = notices.map(|notice| {
        fixture.now = fixture.now + Millis(100);
        let effect = fixture
            .pool
            .record_notice(fixture.now, &choice.ticket, &notice);
        format!("{} {notice:?}: {effect:?}", fixture.now)
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a return of all requests at the end of a pause: the number of
/// concurrent requests rises over the slow start.
#[test]
fn a_target_is_loaded_gradually_after_a_pause() {
    let lines = [0, 1, 500, 1_000, 1_500, 2_000].map(|after| {
        let mut fixture = Fixture::new();
        let wide = Instance {
            slots: savorybeam::domain::Slots(8),
            ..start(0, 1)
        };
        fixture.pool.put(fixture.now, wide, &zones());
        notify(&mut fixture, 0, &pause(1_000));
        fixture.now = fixture.now + Millis(1_000 + after);
        let others = [id(1), id(2)];
        let concurrent = (0..200).filter(|_| fixture.choose(&others).is_ok()).count();
        format!(
            "{after} ms after the pause: {} requests",
            concurrent.min(20)
        )
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// Tests the refusal while all targets are withheld, also for a request that
/// has tried them: it names the first end of a pause.
#[test]
fn a_request_is_refused_until_the_first_pause_ends() {
    let mut fixture = Fixture::new();
    fixture.pool.put(fixture.now, instance(2, 0, 2), &zones());
    let mut lines = Vec::new();
    let notices = [(0, pause(4_000)), (1, LEAVING), (2, pause(2_500))];
    for (n, notice) in notices {
        notify(&mut fixture, n, &notice);
        let result = fixture.choose(&[]).map(|_| "a target");
        lines.push(format!("{result:?}"));
    }
    let tried = fixture.choose(&[id(0), id(1), id(2)]).map(|_| "a target");
    lines.push(format!("tried all: {tried:?}"));
    lines.push(format!("{:?}", fixture.pool.take_withheld()));
    assert_eq!(fixture.pool.take_withheld(), WithheldCounts::default());
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a refusal that waits for a target that has drained as well.
#[test]
fn draining_targets_do_not_count_as_paused() {
    let mut fixture = Fixture::new();
    notify(&mut fixture, 0, &LEAVING);
    for n in [1, 2] {
        let draining = Instance {
            state: InstanceState::Draining,
            ..start(n, 1)
        };
        fixture.pool.put(fixture.now, draining, &zones());
    }
    let resume_in = None;
    let expected = ChooseError::Withheld(Withheld { resume_in });
    assert_eq!(fixture.choose(&[]), Err(expected));
}

/// Guards against callers that all return at the end of a pause.
#[test]
fn retries_are_spread_over_the_slow_start() {
    let withheld = Withheld {
        resume_in: Some(Millis(1_000)),
    };
    let times: Vec<Millis> = (0..4_000)
        .filter_map(|hash| withheld.retry_after(hash))
        .collect();
    let [first, last] = [times.iter().min(), times.iter().max()];
    insta::assert_snapshot!(format!("{first:?} to {last:?}"), @"Some(Millis(1000)) to Some(Millis(2999))");
    assert_eq!(Withheld { resume_in: None }.retry_after(7), None);
}

/// Guards the cap on shifts between regions: targets that are paused or leaving
/// are no lost targets, so that their requests do not all change region at
/// once. Targets that drain are lost.
#[test]
fn withheld_targets_do_not_lift_the_limit_on_shifts() {
    let lines = ["paused", "leaving", "draining"].map(|name| {
        let mut fixture = Fixture::new();
        fixture.distribution(None);
        for n in [0, 1] {
            match name {
                "paused" => notify(&mut fixture, n, &pause(20_000)),
                "leaving" => notify(&mut fixture, n, &LEAVING),
                _ => {
                    let draining = Instance {
                        state: InstanceState::Draining,
                        ..instance(n, 0, 2)
                    };
                    fixture.pool.put(fixture.now, draining, &zones());
                }
            }
        }
        let [_, _, remote] = fixture.distribution(None);
        format!("{name}: {remote} of 10 requests in another region")
    });
    insta::assert_snapshot!(lines.join("\n"));
}

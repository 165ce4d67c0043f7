//! A few entries that exchange messages without delay, and a trace of the messages.

use std::{collections::VecDeque, fmt::Write, sync::Arc};

use savorybeam::domain::{Epoch, Millis};
use savorybeam::policy::limit::{
    HeldUnits, Ledger, Limit, Member, Message, Outgoing, Permit, Roster, RosterMember,
    TICK_INTERVAL,
};

use super::world::member;

/// Ledgers by entry number, and the trace of their messages.
pub struct Scenario {
    pub ledgers: Vec<Ledger>,
    pub now: Millis,
    pub trace: String,
    /// The entry that the next roster marks as leaving.
    pub leaving: Option<usize>,
    /// Whether messages are left out of the trace.
    pub quiet: bool,
    limit: Limit,
    /// Entries from this number on are partitioned from the others.
    pub isolated_from: usize,
    incarnations: Vec<u64>,
}

fn units(units: &[u32]) -> String {
    match units.len() {
        0..=5 => format!("{units:?}"),
        n => format!("{n} units"),
    }
}

fn describe(message: &Message) -> String {
    match message {
        Message::Borrow { want, renew, .. } if renew.is_empty() => format!("borrow {want}"),
        Message::Borrow { renew, .. } => format!("renew {}", units(renew)),
        Message::Grant { units: u, .. } => format!("grant {}", units(u)),
        Message::Decline { queued: true, .. } => "decline, queued".to_owned(),
        Message::Decline { .. } => "decline".to_owned(),
        Message::Return(HeldUnits { units: u, .. }) => format!("return {}", units(u)),
        Message::Recall(HeldUnits { units: u, .. }) => format!("recall {}", units(u)),
        Message::Audit => "audit".to_owned(),
        Message::Reconcile { loans, .. } => {
            let held: Vec<u32> = loans.iter().flat_map(|h| h.units.clone()).collect();
            format!("reconcile, holding {}", units(&held))
        }
        Message::Survey { units: u, .. } => format!("survey of {}", units(u)),
        Message::Handover { units: u, kept, .. } => {
            format!("hand over {}, keeping {}", units(u), units(kept))
        }
    }
}

impl Scenario {
    /// Returns entries that share a limit and have completed their first surveys.
    pub fn new(count: usize, limit: Limit) -> Self {
        let mut scenario = Self {
            ledgers: Vec::new(),
            now: Millis(1_000),
            trace: String::new(),
            leaving: None,
            quiet: false,
            limit,
            isolated_from: usize::MAX,
            incarnations: Vec::new(),
        };
        for index in 0..count {
            scenario.start(index, 1);
        }
        scenario.adopt_roster(1, count);
        scenario.run(Millis(300));
        scenario.trace.clear();
        scenario.record_holdings();
        scenario
    }

    /// Starts an entry, which replaces its former incarnation.
    pub fn start(&mut self, index: usize, incarnation: u64) {
        let name = "slots/10.0.0.1:80".parse().expect("a valid name");
        let ledger = Ledger::new(name, member(index, incarnation), self.limit);
        if index < self.ledgers.len() {
            self.ledgers[index] = ledger;
            self.incarnations[index] = incarnation;
        } else {
            self.ledgers.push(ledger);
            self.incarnations.push(incarnation);
        }
    }

    /// Makes every entry adopt a roster of the first `count` entries.
    pub fn adopt_roster(&mut self, epoch: u64, count: usize) {
        let roster_member = |i: usize| RosterMember {
            member: member(i, self.incarnations[i]),
            leaving: self.leaving == Some(i),
        };
        let members = (0..count).map(roster_member).collect();
        let roster = Arc::new(Roster::new(Epoch(epoch), members));
        for ledger in &mut self.ledgers {
            ledger.set_roster(roster.clone(), self.now);
        }
        self.note(&format!("roster {epoch} with {count} entries"));
    }

    /// Adds a comment to the trace.
    pub fn note(&mut self, text: &str) {
        let _ = writeln!(self.trace, "# {text}");
    }

    /// Records the units that each entry may use.
    pub fn record_holdings(&mut self) {
        let mut line = String::from("=");
        for (index, ledger) in self.ledgers.iter().enumerate() {
            let held = units(&ledger.units(self.now));
            let busy = ledger.status().busy;
            let _ = write!(line, " e{index}: {held}");
            if busy > 0 {
                let _ = write!(line, " ({busy} busy)");
            }
            line.push(';');
        }
        let _ = writeln!(self.trace, "{}", line.trim_end_matches(';'));
    }

    /// Takes slots, after requesting those that are missing from other entries.
    pub fn acquire(&mut self, index: usize, count: usize) -> Vec<Permit> {
        let mut permits = Vec::new();
        for _ in 0..count * 4 {
            if permits.len() == count {
                break;
            }
            if let Some(permit) = self.ledgers[index].acquire() {
                permits.push(permit);
            } else {
                let out = self.ledgers[index].request_units(self.now);
                self.exchange(index, out);
            }
        }
        self.note(&format!(
            "e{index} has taken {} of {count} slots",
            permits.len()
        ));
        permits
    }

    pub fn release(&mut self, index: usize, permits: Vec<Permit>) {
        self.note(&format!("e{index} releases {} slots", permits.len()));
        for permit in permits {
            let out = self.ledgers[index].release(permit, self.now);
            self.exchange(index, out);
        }
    }

    /// Advances the time with the ticks of all entries.
    pub fn run(&mut self, time: Millis) {
        self.run_with(time, |_, _| {});
    }

    /// Like [`Scenario::run`], and calls `before_tick` before the ticks.
    pub fn run_with(&mut self, time: Millis, mut before_tick: impl FnMut(&mut [Ledger], Millis)) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            before_tick(&mut self.ledgers, self.now);
            for index in 0..self.ledgers.len() {
                let out = self.ledgers[index].tick(self.now);
                self.exchange(index, out);
            }
        }
    }

    /// Delivers messages and all answers to them.
    fn exchange(&mut self, index: usize, out: Vec<Outgoing>) {
        let mut queue: VecDeque<(usize, Outgoing)> = out.into_iter().map(|o| (index, o)).collect();
        while let Some((from, sent)) = queue.pop_front() {
            let index_of = |m: &Member| (0..9).find(|i| member(*i, 0).entry == m.entry);
            let to = index_of(&sent.to).expect("a known entry");
            if (from < self.isolated_from) != (to < self.isolated_from) {
                continue;
            }
            let text = describe(&sent.envelope.message);
            if !self.quiet {
                let _ = writeln!(self.trace, "e{from} -> e{to}: {text}");
            }
            let sender = member(from, self.incarnations[from]);
            let answer = self.ledgers[to].on_message(&sender, &sent.to, sent.envelope, self.now);
            queue.extend(answer.into_iter().map(|o| (to, o)));
        }
    }
}

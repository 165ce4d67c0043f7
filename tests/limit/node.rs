//! The entries under test: the ledger, and two naive ways to share a limit.

use std::sync::Arc;

use savorybeam::domain::Millis;
use savorybeam::policy::limit::{Envelope, Ledger, Member, Permit, Roster};

/// How long a naive lease lasts.
const LEASE: Millis = Millis(2_000);

/// What nodes send to each other.
#[derive(Clone, Debug)]
pub enum Packet {
    Envelope(Envelope),
    LeaseAsk { want: u32 },
    LeaseGrant { units: Vec<u32> },
}

/// A naive lease of units from one allocator.
///
/// Its faults: the lease counts from when the grant arrives, it is checked only
/// by the tick, and the allocator reclaims without a margin.
#[derive(Debug, Default)]
pub struct Lease {
    is_allocator: bool,
    /// At the allocator: who has each unit until when.
    lent: Vec<Option<Millis>>,
    /// At a borrower: its units and when it believes they expire.
    held: Vec<(u32, Millis)>,
    busy: Vec<u32>,
}

/// One way to share a limit, as the entry that uses it.
#[derive(Debug)]
pub enum Node {
    /// The ledger under test.
    Escrow(Box<Ledger>),
    /// Each entry has a fixed part.
    Split { units: Vec<u32>, free: Vec<u32> },
    /// Leased shares without a margin.
    Lease(Lease),
}

/// A message with its recipient.
pub type Sent = (Member, Packet);

fn wrap(out: Vec<savorybeam::policy::limit::Outgoing>) -> Vec<Sent> {
    let wrap = |o: savorybeam::policy::limit::Outgoing| (o.to, Packet::Envelope(o.envelope));
    out.into_iter().map(wrap).collect()
}

impl Node {
    pub fn split(index: usize, count: usize, size: u32) -> Self {
        let part = |u: &u32| *u as usize % count == index;
        let units: Vec<u32> = (0..size).filter(part).collect();
        let free = units.clone();
        Self::Split { units, free }
    }

    pub fn lease(index: usize, size: u32) -> Self {
        Self::Lease(Lease {
            is_allocator: index == 0,
            lent: vec![None; size as usize],
            ..Lease::default()
        })
    }

    pub fn ledger(&mut self) -> Option<&mut Ledger> {
        match self {
            Self::Escrow(ledger) => Some(ledger),
            Self::Split { .. } | Self::Lease(_) => None,
        }
    }

    pub fn set_roster(&mut self, roster: &Arc<Roster>, now: Millis) {
        if let Some(ledger) = self.ledger() {
            ledger.set_roster(roster.clone(), now);
        }
    }

    /// Takes a slot and returns its unit.
    pub fn acquire(&mut self, now: Millis) -> (Option<Unit>, Vec<Sent>) {
        match self {
            Self::Escrow(ledger) => match ledger.acquire() {
                Some(permit) => (Some(Unit::Permit(permit)), Vec::new()),
                None => (None, wrap(ledger.request_units(now))),
            },
            Self::Split { free, .. } => (free.pop().map(Unit::Plain), Vec::new()),
            Self::Lease(lease) => {
                let free = lease.held.iter().find(|(u, _)| !lease.busy.contains(u));
                let unit = free.map(|(u, _)| *u);
                lease.busy.extend(unit);
                (unit.map(Unit::Plain), Vec::new())
            }
        }
    }

    pub fn release(&mut self, unit: Unit, now: Millis) -> Vec<Sent> {
        match (self, unit) {
            (Self::Escrow(ledger), Unit::Permit(permit)) => wrap(ledger.release(permit, now)),
            (Self::Split { free, .. }, Unit::Plain(unit)) => {
                free.push(unit);
                Vec::new()
            }
            (Self::Lease(lease), Unit::Plain(unit)) => {
                lease.busy.retain(|u| *u != unit);
                Vec::new()
            }
            _ => unreachable!("a node gets only its own units back"),
        }
    }

    pub fn tick(&mut self, allocator: &Member, now: Millis) -> Vec<Sent> {
        match self {
            Self::Escrow(ledger) => wrap(ledger.tick(now)),
            Self::Split { .. } => Vec::new(),
            Self::Lease(lease) => {
                lease.held.retain(|(_, until)| now < *until);
                if lease.is_allocator {
                    return Vec::new();
                }
                vec![(allocator.clone(), Packet::LeaseAsk { want: 2 })]
            }
        }
    }

    pub fn receive(
        &mut self,
        from: &Member,
        to: &Member,
        packet: Packet,
        now: Millis,
    ) -> Vec<Sent> {
        match (self, packet) {
            (Self::Escrow(ledger), Packet::Envelope(envelope)) => {
                wrap(ledger.on_message(from, to, envelope, now))
            }
            (Self::Lease(lease), Packet::LeaseAsk { want }) => {
                let mut units = Vec::new();
                for (index, lent) in (0..).zip(&mut lease.lent) {
                    if units.len() < want as usize && lent.is_none_or(|until| until <= now) {
                        *lent = Some(now + LEASE);
                        units.push(index);
                    }
                }
                vec![(from.clone(), Packet::LeaseGrant { units })]
            }
            (Self::Lease(lease), Packet::LeaseGrant { units }) => {
                let leased = units.into_iter().map(|u| (u, now + LEASE));
                lease.held.extend(leased);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Returns the units that may be used or are in use.
    pub fn units(&self, now: Millis) -> Vec<u32> {
        match self {
            Self::Escrow(ledger) => ledger.units(now),
            Self::Split { units, .. } => units.clone(),
            Self::Lease(lease) => {
                let held = lease.held.iter().map(|(u, _)| *u);
                held.chain(lease.busy.iter().copied()).collect()
            }
        }
    }
}

/// A slot in use.
#[derive(Debug)]
pub enum Unit {
    Permit(Permit),
    Plain(u32),
}

impl Unit {
    pub fn number(&self) -> u32 {
        match self {
            Self::Permit(permit) => permit.unit(),
            Self::Plain(unit) => *unit,
        }
    }
}

//! The schemes to share a limit: the ledger under test, and two naive ones.

use std::sync::Arc;

use savorybeam::domain::Millis;
use savorybeam::policy::limit::{Envelope, Ledger, Member, Permit, Roster};

/// How long a lease of [`Lease`] lasts.
const LEASE_TTL: Millis = Millis(2_000);

/// A message between nodes.
#[derive(Clone, Debug)]
pub enum Packet {
    Envelope(Envelope),
    LeaseRequest { want: u32 },
    LeaseGrant { units: Vec<u32> },
}

/// A naive scheme in which one allocator leases units to the other entries.
///
/// It has three faults: the borrower counts the lease from the arrival of the grant,
/// the lease is checked only by the tick, and the allocator reclaims units without a
/// safety margin.
#[derive(Debug, Default)]
pub struct Lease {
    is_allocator: bool,
    /// At the allocator: when the lease of each unit expires.
    lent: Vec<Option<Millis>>,
    /// At a borrower: its units, and when their leases expire by its own clock.
    held: Vec<(u32, Millis)>,
    busy: Vec<u32>,
}

/// The state of one entry under one of the schemes.
#[derive(Debug)]
pub enum Node {
    /// The ledger under test.
    Escrow(Box<Ledger>),
    /// Each entry has a fixed share of the units.
    Split { units: Vec<u32>, free: Vec<u32> },
    /// Leases without a safety margin.
    Lease(Lease),
}

/// A recipient and a message.
pub type OutgoingPacket = (Member, Packet);

fn to_packets(out: Vec<savorybeam::policy::limit::Outgoing>) -> Vec<OutgoingPacket> {
    let to_packet = |o: savorybeam::policy::limit::Outgoing| (o.to, Packet::Envelope(o.envelope));
    out.into_iter().map(to_packet).collect()
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

    /// Takes a slot if one is available, and returns it with the messages to send.
    pub fn acquire(&mut self, now: Millis) -> (Option<Unit>, Vec<OutgoingPacket>) {
        match self {
            Self::Escrow(ledger) => match ledger.acquire() {
                Some(permit) => (Some(Unit::Permit(permit)), Vec::new()),
                None => (None, to_packets(ledger.request_units(now))),
            },
            Self::Split { free, .. } => (free.pop().map(Unit::Number), Vec::new()),
            Self::Lease(lease) => {
                let free = lease.held.iter().find(|(u, _)| !lease.busy.contains(u));
                let unit = free.map(|(u, _)| *u);
                lease.busy.extend(unit);
                (unit.map(Unit::Number), Vec::new())
            }
        }
    }

    pub fn release(&mut self, unit: Unit, now: Millis) -> Vec<OutgoingPacket> {
        match (self, unit) {
            (Self::Escrow(ledger), Unit::Permit(permit)) => to_packets(ledger.release(permit, now)),
            (Self::Split { free, .. }, Unit::Number(unit)) => {
                free.push(unit);
                Vec::new()
            }
            (Self::Lease(lease), Unit::Number(unit)) => {
                lease.busy.retain(|u| *u != unit);
                Vec::new()
            }
            _ => unreachable!("a node releases only units that it acquired"),
        }
    }

    pub fn tick(&mut self, allocator: &Member, now: Millis) -> Vec<OutgoingPacket> {
        match self {
            Self::Escrow(ledger) => to_packets(ledger.tick(now)),
            Self::Split { .. } => Vec::new(),
            Self::Lease(lease) => {
                lease.held.retain(|(_, until)| now < *until);
                if lease.is_allocator {
                    return Vec::new();
                }
                vec![(allocator.clone(), Packet::LeaseRequest { want: 2 })]
            }
        }
    }

    pub fn receive(
        &mut self,
        from: &Member,
        to: &Member,
        packet: Packet,
        now: Millis,
    ) -> Vec<OutgoingPacket> {
        match (self, packet) {
            (Self::Escrow(ledger), Packet::Envelope(envelope)) => {
                to_packets(ledger.on_message(from, to, envelope, now))
            }
            (Self::Lease(lease), Packet::LeaseRequest { want }) => {
                let mut units = Vec::new();
                for (index, lent) in (0..).zip(&mut lease.lent) {
                    if units.len() < want as usize && lent.is_none_or(|until| until <= now) {
                        *lent = Some(now + LEASE_TTL);
                        units.push(index);
                    }
                }
                vec![(from.clone(), Packet::LeaseGrant { units })]
            }
            (Self::Lease(lease), Packet::LeaseGrant { units }) => {
                let leased = units.into_iter().map(|u| (u, now + LEASE_TTL));
                lease.held.extend(leased);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Returns the units that this entry may use or is using.
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
    Number(u32),
}

impl Unit {
    pub fn number(&self) -> u32 {
        match self {
            Self::Permit(permit) => permit.unit(),
            Self::Number(unit) => *unit,
        }
    }
}

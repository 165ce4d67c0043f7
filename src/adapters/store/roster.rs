//! The encoding of the roster of entries in the store.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::record::RecordError;
use crate::{
    domain::{EntryId, Epoch, Incarnation, ParseError},
    policy::member::{Roster, Seat},
};

/// The key of the roster in the store.
pub const KEY: Bytes = Bytes::from_static(b"roster");

/// The current roster and the previous one.
///
/// A new home of a claim has to read from the previous homes, so an entry that
/// learns of an epoch must learn of the previous epoch at the same time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RosterRecord {
    /// The roster of the previous epoch.
    pub former: Roster,
    /// The roster of the current epoch.
    pub current: Roster,
    /// The addresses at which the entries of the current roster accept messages
    /// from other entries. The membership protocol distributes them as well,
    /// but takes seconds to converge after a start, and limits and claims need
    /// them before that.
    pub addresses: BTreeMap<EntryId, SocketAddr>,
}

#[derive(Deserialize, Serialize)]
struct RosterJson {
    epoch: u64,
    seats: Vec<SeatJson>,
}

#[derive(Deserialize, Serialize)]
struct SeatJson {
    entry: String,
    incarnation: u64,
    region: String,
    az: String,
}

#[derive(Deserialize, Serialize)]
struct RecordJson {
    former: RosterJson,
    current: RosterJson,
    #[serde(default)]
    addresses: BTreeMap<String, SocketAddr>,
}

/// Encodes a roster record.
///
/// # Errors
///
/// Returns [`RecordError::Malformed`] if the record cannot be encoded.
pub fn encode(record: &RosterRecord) -> Result<Bytes, RecordError> {
    let addresses = record.addresses.iter();
    let json = RecordJson {
        addresses: addresses.map(|(e, a)| (e.to_string(), *a)).collect(),
        former: roster_to_json(&record.former),
        current: roster_to_json(&record.current),
    };
    let bytes = serde_json::to_vec(&json).map_err(|e| RecordError::Malformed(e.to_string()))?;
    Ok(bytes.into())
}

/// Decodes a roster record.
///
/// # Errors
///
/// Returns [`RecordError::Malformed`] if the value is not a valid record.
pub fn decode(value: &[u8]) -> Result<RosterRecord, RecordError> {
    let malformed = |e: &dyn std::fmt::Display| RecordError::Malformed(e.to_string());
    let json: RecordJson = serde_json::from_slice(value).map_err(|e| malformed(&e))?;
    let addresses = json.addresses.into_iter();
    let addresses = addresses.map(|(e, a)| Ok((e.parse()?, a)));
    let addresses: Result<_, ParseError> = addresses.collect();
    Ok(RosterRecord {
        addresses: addresses.map_err(|e| malformed(&e))?,
        former: roster_from_json(json.former).map_err(|e| malformed(&e))?,
        current: roster_from_json(json.current).map_err(|e| malformed(&e))?,
    })
}

fn roster_to_json(roster: &Roster) -> RosterJson {
    let seat = |s: &Seat| SeatJson {
        entry: s.entry.to_string(),
        incarnation: s.incarnation.0,
        region: s.region.to_string(),
        az: s.az.to_string(),
    };
    RosterJson {
        epoch: roster.epoch.0,
        seats: roster.seats.iter().map(seat).collect(),
    }
}

fn roster_from_json(json: RosterJson) -> Result<Roster, ParseError> {
    let seat = |s: SeatJson| {
        Ok(Seat {
            entry: s.entry.parse()?,
            incarnation: Incarnation(s.incarnation),
            region: s.region.parse()?,
            az: s.az.parse()?,
        })
    };
    let seats: Result<Vec<Seat>, _> = json.seats.into_iter().map(seat).collect();
    Ok(Roster {
        epoch: Epoch(json.epoch),
        seats: seats?,
    })
}

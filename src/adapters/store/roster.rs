//! The encoding of the roster in the store.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::record::RecordError;
use crate::{
    domain::{EntryId, Epoch, Incarnation, ParseError},
    policy::member::{Roster, Seat},
};

/// The key of the roster.
pub const KEY: Bytes = Bytes::from_static(b"roster");

/// The roster with the one before it.
///
/// A new home of a claim has to read from the former homes, so whoever learns of
/// an epoch must learn of the former one at the same time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RosterRecord {
    /// The roster of the epoch before.
    pub former: Roster,
    /// The roster in force.
    pub current: Roster,
    /// Where the entries of the roster in force take messages of others. The
    /// membership knows this too, but takes seconds to form, and until then
    /// limits and claims could reach nobody.
    pub addresses: BTreeMap<EntryId, SocketAddr>,
}

#[derive(Deserialize, Serialize)]
struct RosterImage {
    epoch: u64,
    seats: Vec<SeatImage>,
}

#[derive(Deserialize, Serialize)]
struct SeatImage {
    entry: String,
    incarnation: u64,
    region: String,
    az: String,
}

#[derive(Deserialize, Serialize)]
struct Image {
    former: RosterImage,
    current: RosterImage,
    #[serde(default)]
    addresses: BTreeMap<String, SocketAddr>,
}

/// Encodes a roster.
///
/// # Errors
///
/// Returns [`RecordError::Malformed`] if the values cannot be encoded.
pub fn encode(record: &RosterRecord) -> Result<Bytes, RecordError> {
    let named = record.addresses.iter();
    let image = Image {
        addresses: named.map(|(e, a)| (e.to_string(), *a)).collect(),
        former: image(&record.former),
        current: image(&record.current),
    };
    let bytes = serde_json::to_vec(&image).map_err(|e| RecordError::Malformed(e.to_string()))?;
    Ok(bytes.into())
}

/// Decodes a roster.
///
/// # Errors
///
/// Returns [`RecordError::Malformed`] if the value is not a roster.
pub fn decode(value: &[u8]) -> Result<RosterRecord, RecordError> {
    let malformed = |e: &dyn std::fmt::Display| RecordError::Malformed(e.to_string());
    let image: Image = serde_json::from_slice(value).map_err(|e| malformed(&e))?;
    let named = image.addresses.into_iter();
    let addresses = named.map(|(e, a)| Ok((e.parse()?, a)));
    let addresses: Result<_, ParseError> = addresses.collect();
    Ok(RosterRecord {
        addresses: addresses.map_err(|e| malformed(&e))?,
        former: roster(image.former).map_err(|e| malformed(&e))?,
        current: roster(image.current).map_err(|e| malformed(&e))?,
    })
}

fn image(roster: &Roster) -> RosterImage {
    let seat = |s: &Seat| SeatImage {
        entry: s.entry.to_string(),
        incarnation: s.incarnation.0,
        region: s.region.to_string(),
        az: s.az.to_string(),
    };
    RosterImage {
        epoch: roster.epoch.0,
        seats: roster.seats.iter().map(seat).collect(),
    }
}

fn roster(image: RosterImage) -> Result<Roster, ParseError> {
    let seat = |s: SeatImage| {
        Ok(Seat {
            entry: s.entry.parse()?,
            incarnation: Incarnation(s.incarnation),
            region: s.region.parse()?,
            az: s.az.parse()?,
        })
    };
    let seats: Result<Vec<Seat>, _> = image.seats.into_iter().map(seat).collect();
    Ok(Roster {
        epoch: Epoch(image.epoch),
        seats: seats?,
    })
}

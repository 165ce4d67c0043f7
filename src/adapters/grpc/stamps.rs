//! The stamp that travels with every message.
//!
//! An effect at one entry must come after its cause at another in the timeline,
//! whatever their wall clocks say. So each call and each reply carries the
//! sender's stamp as metadata, outside the messages, which therefore need not
//! know of it. It costs about 40 bytes a message.

use tonic::metadata::{Ascii, MetadataMap, MetadataValue};

use crate::{policy::timeline::Stamp, ports::Events};

const STAMP: &str = "x-stamp";

/// Adds the present stamp to a message.
pub(super) fn put(events: Option<&Events>, metadata: &mut MetadataMap) {
    let stamp = events.map(|e| (e.stamp)().to_string());
    let value = stamp.and_then(|s| MetadataValue::<Ascii>::try_from(s).ok());
    if let Some(value) = value {
        metadata.insert(STAMP, value);
    }
}

/// Adopts the stamp of a message. One that cannot be read is ignored.
pub(super) fn take(events: Option<&Events>, metadata: &MetadataMap) {
    let text = metadata.get(STAMP).and_then(|v| v.to_str().ok());
    let stamp: Option<Stamp> = text.and_then(|t| t.parse().ok());
    if let (Some(events), Some(stamp)) = (events, stamp) {
        (events.receive)(&stamp);
    }
}

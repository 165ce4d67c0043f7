//! Propagates the stamps of hybrid logical clocks.
//!
//! In the timeline, an effect at one entry must come after its cause at
//! another, even if their wall clocks differ. Each request and reply therefore
//! carries the sender's stamp as gRPC metadata, so that no message needs a
//! field for it. The stamp takes about 40 bytes per message.

use tonic::metadata::{Ascii, MetadataMap, MetadataValue};

use crate::{policy::timeline::Stamp, ports::Events};

const STAMP: &str = "x-stamp";

/// Adds the current stamp to the metadata of a message.
pub(super) fn inject(events: Option<&Events>, metadata: &mut MetadataMap) {
    let stamp = events.map(|e| (e.stamp)().to_string());
    let value = stamp.and_then(|s| MetadataValue::<Ascii>::try_from(s).ok());
    if let Some(value) = value {
        metadata.insert(STAMP, value);
    }
}

/// Advances the local clock to the stamp of a received message. A stamp that
/// cannot be parsed is ignored.
pub(super) fn extract(events: Option<&Events>, metadata: &MetadataMap) {
    let text = metadata.get(STAMP).and_then(|v| v.to_str().ok());
    let stamp: Option<Stamp> = text.and_then(|t| t.parse().ok());
    if let (Some(events), Some(stamp)) = (events, stamp) {
        (events.receive)(&stamp);
    }
}

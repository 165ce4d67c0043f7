//! The platform's list of VMs, which it keeps in the store.
//!
//! Each VM has a key `platform/vms/NAME`. A VM without a key is gone. The value
//! is JSON: `{"incarnation": 0, "leaving": false}`, both optional.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;

use crate::{
    domain::{EntryId, Incarnation},
    policy::member::Vm,
    ports::Record,
};

/// The prefix of the list.
pub const PREFIX: Bytes = Bytes::from_static(b"platform/vms/");

#[derive(Default, Deserialize)]
#[serde(default)]
struct Image {
    incarnation: u64,
    leaving: bool,
}

/// Reads the list. A key that is not a name is skipped, and a value that cannot
/// be read counts as a live VM, because the key alone says that it is not gone.
#[must_use]
pub fn read(records: &[Record]) -> BTreeMap<EntryId, Vm> {
    let vm = |record: &Record| {
        let name = record.key.strip_prefix(&PREFIX[..])?;
        let name = std::str::from_utf8(name).ok()?.parse().ok()?;
        let image: Image = serde_json::from_slice(&record.value).unwrap_or_default();
        let vm = Vm {
            incarnation: Incarnation(image.incarnation),
            leaving: image.leaving,
        };
        Some((name, vm))
    };
    records.iter().filter_map(vm).collect()
}

//! The platform's list of VMs, which the platform keeps in the store.
//!
//! Each VM has a key `platform/vms/NAME`. A VM without a key no longer exists.
//! The value is JSON, `{"incarnation": 0, "leaving": false}`; both fields are
//! optional.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;

use crate::{
    domain::{EntryId, Incarnation},
    policy::member::Vm,
    ports::Record,
};

/// The key prefix of the list.
pub const KEY_PREFIX: Bytes = Bytes::from_static(b"platform/vms/");

#[derive(Default, Deserialize)]
#[serde(default)]
struct VmJson {
    incarnation: u64,
    leaving: bool,
}

/// Decodes the list. A key without a valid name is skipped. A value that cannot
/// be decoded counts as a live VM, because the key alone shows that it exists.
#[must_use]
pub fn read(records: &[Record]) -> BTreeMap<EntryId, Vm> {
    let vm = |record: &Record| {
        let name = record.key.strip_prefix(&KEY_PREFIX[..])?;
        let name = std::str::from_utf8(name).ok()?.parse().ok()?;
        let json: VmJson = serde_json::from_slice(&record.value).unwrap_or_default();
        let vm = Vm {
            incarnation: Incarnation(json.incarnation),
            leaving: json.leaving,
        };
        Some((name, vm))
    };
    records.iter().filter_map(vm).collect()
}

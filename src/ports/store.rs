//! The platform's key-value service.

use std::fmt;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::Call;
use crate::domain::{Millis, Revision};

/// One key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The key.
    pub key: Bytes,
    /// The value, at most 1 MB.
    pub value: Bytes,
    /// The store's revision at which the key was last changed.
    pub revision: Revision,
}

/// A change that a watch reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Update {
    /// The key has a new value.
    Put(Record),
    /// The key is gone since the revision.
    Delete(Bytes, Revision),
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// Another write came first. It holds the revision that was found, zero if
    /// there is no such key. Nothing was written.
    Conflict(Revision),
    /// The store could not be reached, so nothing was written.
    Down {
        /// The step that failed.
        step: &'static str,
        /// The store's address.
        peer: String,
        /// The cause.
        cause: String,
    },
    /// The answer was lost. The write may have taken effect or not.
    Unknown {
        /// The step that failed.
        step: &'static str,
        /// The store's address.
        peer: String,
        /// The cause.
        cause: String,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(found) => write!(f, "revision conflict: the store is at {found}"),
            Self::Down { step, peer, cause } => write!(f, "{step} at {peer}: {cause}"),
            Self::Unknown { step, peer, cause } => {
                write!(f, "{step} at {peer}: {cause}; it may have taken effect")
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// All keys with a prefix at one moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// The keys, in their order.
    pub records: Vec<Record>,
    /// The store's revision at that moment, from which a watch may go on.
    pub revision: Revision,
}

/// A conditional write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The key.
    pub key: Bytes,
    /// The new value, or none to delete the key.
    pub value: Option<Bytes>,
    /// The revision that the key must still have, zero for a new key.
    pub expected: Revision,
}

type Answer<T> = Result<T, StoreError>;

/// The store's operations. See [docs/design.md](../../docs/design.md),
/// section 7.
#[derive(Clone)]
pub struct Store {
    /// Reads one key.
    pub get: Call<Bytes, Answer<Option<Record>>>,
    /// Reads all keys with a prefix.
    pub list: Call<Bytes, Answer<Snapshot>>,
    /// Writes if nobody else wrote first, and returns the new revision.
    pub write: Call<Write, Answer<Revision>>,
    /// Writes a key that vanishes unless the call is repeated within the time.
    pub lease: Call<(Record, Millis), Answer<()>>,
    /// Reports changes of keys with a prefix after a revision. The stream ends
    /// when the connection breaks; the caller then lists again.
    pub watch: Call<(Bytes, Revision), Answer<mpsc::Receiver<Update>>>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Store")
    }
}

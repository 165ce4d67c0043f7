//! The port to the platform's key-value store.

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
    /// The key was deleted at the revision.
    Delete(Bytes, Revision),
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The key is not at the expected revision. Holds its actual revision,
    /// which is zero if the key does not exist. Nothing was written.
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
    /// The response was lost. The write may have taken effect.
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

/// All records with a prefix at one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// The records, ordered by key.
    pub records: Vec<Record>,
    /// The store's revision, from which a watch can continue.
    pub revision: Revision,
}

/// A conditional write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The key.
    pub key: Bytes,
    /// The new value, or none to delete the key.
    pub value: Option<Bytes>,
    /// The revision that the key must have, zero if it must not exist.
    pub expected: Revision,
}

type StoreResult<T> = Result<T, StoreError>;

/// The store's operations. See [docs/design.md](../../docs/design.md),
/// section 7.
#[derive(Clone)]
pub struct Store {
    /// Reads one key.
    pub get: Call<Bytes, StoreResult<Option<Record>>>,
    /// Reads all keys with a prefix.
    pub list: Call<Bytes, StoreResult<Snapshot>>,
    /// Writes a key if it has the expected revision, and returns the new
    /// revision.
    pub write: Call<Write, StoreResult<Revision>>,
    /// Writes a key with a time to live. The key is deleted unless the call is
    /// repeated within this time.
    pub lease: Call<(Record, Millis), StoreResult<()>>,
    /// Reports the changes of keys with a prefix after a revision. The channel
    /// closes when the connection breaks. The receiver then has to list the
    /// keys again.
    pub watch: Call<(Bytes, Revision), StoreResult<mpsc::Receiver<Update>>>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Store")
    }
}

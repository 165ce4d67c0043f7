//! The headers that tell the workspace of a caller.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::domain::{CallerKey, Workspace};

/// The names of these headers on one interface.
#[derive(Clone, Debug)]
pub struct CallerHeaders {
    /// The key of the caller. Targets never get it.
    pub key: HeaderName,
    /// The name of the workspace, for targets.
    pub workspace: HeaderName,
}

impl CallerHeaders {
    /// Removes the caller's key from a request, with all that the caller states about its
    /// workspace. Returns the key if there is exactly one.
    pub fn take_key(&self, headers: &mut HeaderMap) -> Option<CallerKey> {
        let mut keys = headers.get_all(&self.key).iter();
        let key = match (keys.next(), keys.next()) {
            (Some(key), None) => Some(CallerKey::new(Bytes::copy_from_slice(key.as_bytes()))),
            _ => None,
        };
        headers.remove(&self.key);
        headers.remove(&self.workspace);
        key
    }

    /// Sets the name of the workspace to which a request belongs.
    pub fn write_workspace(&self, headers: &mut HeaderMap, workspace: &Workspace) {
        // A name is printable ASCII and thus always a valid header value.
        if let Ok(value) = HeaderValue::from_str(workspace.name.as_str()) {
            headers.insert(&self.workspace, value);
        }
    }
}

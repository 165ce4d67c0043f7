//! The part of a target's answer that the homes of a key record and replay.

use bytes::Bytes;

use crate::domain::Size;

/// The headers that are recorded with an answer. A client needs them to
/// interpret the body or to find the created resource. All other headers
/// describe only the original response.
const RECORDED_HEADERS: [&str; 6] = [
    "content-encoding",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "location",
];

/// The longest recorded header value, in bytes. Six such values and a body of
/// 16 KiB fit in one message.
const HEADER_VALUE_MAX: usize = 1024;

/// The recorded answer of a target to an executed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The recorded headers, with lower-case names.
    pub headers: Vec<(Bytes, Bytes)>,
    /// The complete body, or none if it was not recorded.
    pub body: Option<Bytes>,
}

impl Answer {
    /// The largest body that is recorded.
    pub const MAX_BODY: Size = Size::kib(16);

    /// Returns the part of a target's answer that is recorded.
    ///
    /// `body` is the complete body. Pass `None` if it was truncated. The body is
    /// left out if it is larger than [`Self::MAX_BODY`], or if one of its headers
    /// was left out because of its length: without that header a client could
    /// misinterpret the body.
    pub fn record<'a>(
        status: u16,
        headers: impl IntoIterator<Item = (&'a str, &'a [u8])>,
        body: Option<Bytes>,
    ) -> Self {
        let mut recorded = Vec::new();
        let mut complete = true;
        for (name, value) in headers {
            let Some(name) = RECORDED_HEADERS
                .iter()
                .find(|h| name.eq_ignore_ascii_case(h))
            else {
                continue;
            };
            if value.len() > HEADER_VALUE_MAX || recorded.len() == RECORDED_HEADERS.len() {
                complete = false;
                continue;
            }
            let name = Bytes::from_static(name.as_bytes());
            recorded.push((name, Bytes::copy_from_slice(value)));
        }
        let fits = |b: &Bytes| complete && b.len() as u64 <= Self::MAX_BODY.0;
        Self {
            status,
            headers: recorded,
            body: body.filter(fits).map(|b| Bytes::copy_from_slice(&b)),
        }
    }

    /// Returns the size of the headers and the body in memory.
    #[must_use]
    pub fn size(&self) -> Size {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        let body = self.body.as_ref().map_or(0, Bytes::len);
        Size((headers + body) as u64)
    }
}

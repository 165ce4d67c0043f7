//! Recorded answers.

use bytes::Bytes;

use crate::domain::Size;

/// The headers that are recorded with an answer: those that a client needs to
/// use the body or to find the created resource. All others describe the first
/// transfer only.
const HEADERS: [&str; 6] = [
    "content-encoding",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "location",
];

/// The longest recorded header value, in bytes. Six of them and a body of 16 KB
/// fit in one message.
const VALUE_MAX: usize = 1024;

/// What a target answered to an executed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// Some of the headers, with lower-case names.
    pub headers: Vec<(Bytes, Bytes)>,
    /// The complete body, or none if it was not kept.
    pub body: Option<Bytes>,
}

impl Answer {
    /// The longest body that is recorded.
    pub const BODY: Size = Size::kib(16);

    /// Returns the part of a target's answer that is recorded.
    ///
    /// `body` is the complete body; a truncated one must be passed as none. A
    /// body longer than [`Self::BODY`] is left out, and so is one with a header
    /// that was too long to keep, because a client could misread it.
    pub fn record<'a>(
        status: u16,
        headers: impl IntoIterator<Item = (&'a str, &'a [u8])>,
        body: Option<Bytes>,
    ) -> Self {
        let mut kept = Vec::new();
        let mut whole = true;
        for (name, value) in headers {
            let Some(name) = HEADERS.iter().find(|h| name.eq_ignore_ascii_case(h)) else {
                continue;
            };
            if value.len() > VALUE_MAX || kept.len() == HEADERS.len() {
                whole = false;
                continue;
            }
            let name = Bytes::from_static(name.as_bytes());
            kept.push((name, Bytes::copy_from_slice(value)));
        }
        let fits = |b: &Bytes| whole && b.len() as u64 <= Self::BODY.0;
        Self {
            status,
            headers: kept,
            body: body.filter(fits).map(|b| Bytes::copy_from_slice(&b)),
        }
    }

    /// Returns the memory that the content takes.
    #[must_use]
    pub fn size(&self) -> Size {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        let body = self.body.as_ref().map_or(0, Bytes::len);
        Size((headers + body) as u64)
    }
}

//! Message bodies, buffered up to a limit so that a request can be retried.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, header};
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, Full};

use crate::{domain::Size, policy::replay::Share, ports::Body};

type Error = Box<dyn std::error::Error + Send + Sync>;

/// Hop-by-hop headers, which apply to one connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the hop-by-hop headers, including those that the `Connection` header
/// names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// The body of a message, buffered whole if it is short enough.
#[derive(Debug)]
pub enum Content {
    /// The whole body, which can be sent any number of times.
    Whole(Bytes),
    /// The buffered prefix and the unread rest, which can be sent once. None
    /// after it was sent.
    Stream(Option<(Bytes, Body)>),
}

impl Content {
    /// Reads a body until it ends or more than `max_bytes` are buffered.
    ///
    /// # Errors
    ///
    /// Returns the error with which reading the body failed.
    pub async fn read(body: Body, max_bytes: usize) -> Result<Self, Error> {
        Self::read_while(body, |_, total| total <= max_bytes).await
    }

    /// Reads a body until it ends or `may_keep` returns false for the next part,
    /// which is called with the size of the part and that of the prefix with it.
    ///
    /// # Errors
    ///
    /// Returns the error with which reading the body failed.
    pub async fn read_while(
        mut body: Body,
        mut may_keep: impl FnMut(usize, usize) -> bool,
    ) -> Result<Self, Error> {
        let mut prefix = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                // Trailers are not forwarded; both sides get a body without them.
                continue;
            };
            prefix.extend_from_slice(&data);
            if !may_keep(data.len(), prefix.len()) {
                return Ok(Self::Stream(Some((prefix.freeze(), body))));
            }
        }
        Ok(Self::Whole(prefix.freeze()))
    }

    /// Releases `share` when the buffered bytes are dropped, which is when the last
    /// of them are written.
    #[must_use]
    pub fn with_share(self, share: Share) -> Self {
        let hold = |bytes| {
            Bytes::from_owner(KeptBytes {
                bytes,
                _share: share,
            })
        };
        match self {
            Self::Whole(bytes) => Self::Whole(hold(bytes)),
            Self::Stream(stream) => Self::Stream(stream.map(|(b, rest)| (hold(b), rest))),
        }
    }

    /// Returns the buffered bytes, which are none once a stream was sent.
    #[must_use]
    pub fn prefix(&self) -> &[u8] {
        match self {
            Self::Whole(bytes) | Self::Stream(Some((bytes, _))) => bytes,
            Self::Stream(None) => &[],
        }
    }

    /// Returns the size of the body, if it is known.
    #[must_use]
    pub fn size(&self) -> Option<Size> {
        let (prefix, rest) = match self {
            Self::Whole(bytes) => (bytes, 0),
            Self::Stream(stream) => {
                let (prefix, rest) = stream.as_ref()?;
                (prefix, rest.size_hint().exact()?)
            }
        };
        Some(Size(prefix.len() as u64 + rest))
    }

    /// Tells whether the body can be sent again.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Returns a body to send, or none if it is a stream that was sent already.
    pub fn take_body(&mut self) -> Option<Body> {
        Some(match self {
            Self::Whole(bytes) => full_body(bytes.clone()),
            Self::Stream(rest) => {
                let (prefix, rest) = rest.take()?;
                let prefix = Some(prefix);
                PrefixedBody { prefix, rest }.boxed()
            }
        })
    }
}

/// Bytes with the memory that is reserved for them.
struct KeptBytes {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns a body that consists of `bytes`.
#[must_use]
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// A body that yields the buffered prefix before the unread rest.
struct PrefixedBody {
    prefix: Option<Bytes>,
    rest: Body,
}

impl http_body::Body for PrefixedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.is_end_stream()
    }
}

//! Bodies that are kept so that they can be sent more than once.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, header};
use http_body::Frame;
use http_body_util::{BodyExt, Full};

use crate::ports::Body;

type Error = Box<dyn std::error::Error + Send + Sync>;

/// Headers that concern one connection only, and therefore stay there.
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

/// Removes the headers that concern one connection only, those that the
/// connection header names included.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// The body of a message.
#[derive(Debug)]
pub enum Content {
    /// The whole body, which can be sent again.
    Whole(Bytes),
    /// The beginning and the rest, which can be sent once.
    Stream(Option<(Bytes, Body)>),
}

impl Content {
    /// Reads a body, and stops once its beginning is longer than `kept`.
    ///
    /// # Errors
    ///
    /// Returns the error of the body.
    pub async fn read(mut body: Body, kept: usize) -> Result<Self, Error> {
        let mut start = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                // Trailers are not passed on; both sides get a plain body.
                continue;
            };
            start.extend_from_slice(&data);
            if start.len() > kept {
                return Ok(Self::Stream(Some((start.freeze(), body))));
            }
        }
        Ok(Self::Whole(start.freeze()))
    }

    /// Returns what has been read.
    #[must_use]
    pub fn start(&self) -> &[u8] {
        match self {
            Self::Whole(bytes) | Self::Stream(Some((bytes, _))) => bytes,
            Self::Stream(None) => &[],
        }
    }

    /// Tells whether the body can be sent again.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Returns the body for sending, or none if it was sent already and not
    /// kept.
    pub fn send(&mut self) -> Option<Body> {
        Some(match self {
            Self::Whole(bytes) => full(bytes.clone()),
            Self::Stream(rest) => {
                let (start, rest) = rest.take()?;
                let start = Some(start);
                Joined { start, rest }.boxed()
            }
        })
    }
}

/// Returns a body of bytes that are all there.
#[must_use]
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// A body whose beginning was read already.
struct Joined {
    start: Option<Bytes>,
    rest: Body,
}

impl http_body::Body for Joined {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(start) = self.start.take() {
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_none() && self.rest.is_end_stream()
    }
}

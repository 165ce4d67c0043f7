//! A request body that is kept while it is passed on, so that it can be sent
//! again.
//!
//! [`replay`](crate::policy::replay) decides how much is kept. Each attempt
//! reads the kept part first and then takes what arrives from the caller, so
//! that back pressure reaches the caller and a long body need not arrive whole
//! before an attempt begins.

use std::{
    future::poll_fn,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, Waker, ready},
};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;

use crate::{domain::lock, policy::replay::Share, ports::Body};

type Error = Box<dyn std::error::Error + Send + Sync>;

/// The body of a request, for all of its attempts.
#[derive(Debug)]
pub struct ReplayBody(Arc<Mutex<Source>>);

/// The part of a body that has not been read.
#[derive(Debug)]
enum Rest {
    Arriving(Body),
    /// The body has been read to its end.
    Ended,
    /// Reading the body has failed.
    Failed,
}

/// What has arrived of a body, and the rest.
#[derive(Debug)]
struct Source {
    /// The kept parts from the start, none once a part was passed on without
    /// being kept.
    kept: Vec<Bytes>,
    share: Share,
    /// Whether a part was passed on without being kept.
    discarded: bool,
    rest: Rest,
    /// The number of the latest attempt. Only that one may read.
    attempt: u32,
    /// Wakes the latest attempt.
    waker: Option<Waker>,
}

impl Source {
    /// Reads the next part from the caller.
    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        loop {
            let rest = match &mut self.rest {
                Rest::Arriving(rest) => rest,
                Rest::Ended => return Poll::Ready(None),
                Rest::Failed => {
                    let cause = "an earlier read of the body failed";
                    return Poll::Ready(Some(Err(cause.into())));
                }
            };
            let frame = ready!(Pin::new(rest).poll_frame(cx));
            match frame.map(|f| f.map(Frame::into_data)) {
                Some(Ok(Ok(data))) => return Poll::Ready(Some(Ok(data))),
                // Trailers are not forwarded; targets get a body without them.
                Some(Ok(Err(_))) => {}
                Some(Err(e)) => {
                    self.rest = Rest::Failed;
                    return Poll::Ready(Some(Err(e)));
                }
                None => self.rest = Rest::Ended,
            }
        }
    }

    /// Returns whether an attempt can send the whole body.
    fn is_replayable(&self) -> bool {
        !self.discarded && !matches!(self.rest, Rest::Failed)
    }

    /// Gives up on keeping the body.
    fn discard(&mut self) {
        self.discarded = true;
        self.kept.clear();
        self.share.release();
    }

    fn kept_bytes(&self) -> u64 {
        self.kept.iter().map(|part| part.len() as u64).sum()
    }
}

impl ReplayBody {
    /// Returns a body of which nothing has been read. `share` bounds how much of
    /// it is kept.
    #[must_use]
    pub fn new(body: Body, share: Share) -> Self {
        let rest = if body.is_end_stream() {
            Rest::Ended
        } else {
            Rest::Arriving(body)
        };
        Self(Arc::new(Mutex::new(Source {
            kept: Vec::new(),
            share,
            discarded: false,
            rest,
            attempt: 0,
            waker: None,
        })))
    }

    /// Reads until the body ends, until `max_bytes` have arrived or until no
    /// more can be kept. It must not be called after [`ReplayBody::attempt`].
    ///
    /// # Errors
    ///
    /// Returns the error with which reading the body failed.
    pub async fn prefetch(&self, max_bytes: u64) -> Result<(), Error> {
        let mut bytes = 0;
        while bytes < max_bytes {
            let Some(part) = poll_fn(|cx| lock(&self.0).poll_rest(cx)).await else {
                break;
            };
            let part = part?;
            let mut source = lock(&self.0);
            bytes += part.len() as u64;
            let reserved = source.share.grow(part.len());
            // The part has been read, so it is needed in any case.
            source.kept.push(part);
            if !reserved {
                break;
            }
        }
        Ok(())
    }

    /// Returns whether the whole body can still be sent.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        lock(&self.0).is_replayable()
    }

    /// Returns the number of bytes of the body, as far as it is known.
    #[must_use]
    pub fn known_bytes(&self) -> u64 {
        let source = lock(&self.0);
        let rest = match &source.rest {
            Rest::Arriving(rest) => rest.size_hint().lower(),
            Rest::Ended | Rest::Failed => 0,
        };
        source.kept_bytes() + rest
    }

    /// Returns the part of the body that is kept now.
    #[must_use]
    pub fn kept(&self) -> Bytes {
        let source = lock(&self.0);
        match source.kept.as_slice() {
            [] => Bytes::new(),
            [part] => part.clone(),
            parts => parts.concat().into(),
        }
    }

    /// Returns the whole body for the next attempt, or none if it cannot be sent
    /// again. Reading the body of the attempt before fails from now on, which
    /// closes the connection of that attempt.
    #[must_use]
    pub fn attempt(&self) -> Option<Body> {
        let mut source = lock(&self.0);
        if !source.is_replayable() {
            return None;
        }
        source.attempt += 1;
        if let Some(waker) = source.waker.take() {
            waker.wake();
        }
        let body = AttemptBody {
            source: self.0.clone(),
            attempt: source.attempt,
            next: 0,
        };
        Some(body.boxed())
    }
}

/// The body of one attempt.
struct AttemptBody {
    source: Arc<Mutex<Source>>,
    attempt: u32,
    /// The index of the next kept part.
    next: usize,
}

impl http_body::Body for AttemptBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let shared = self.source.clone();
        let mut source = lock(&shared);
        if source.attempt != self.attempt {
            return Poll::Ready(Some(Err("another attempt sends the body".into())));
        }
        if let Some(part) = source.kept.get(self.next) {
            self.next += 1;
            return Poll::Ready(Some(Ok(Frame::data(part.clone()))));
        }
        source.waker = Some(cx.waker().clone());
        let part = match ready!(source.poll_rest(cx)) {
            Some(Ok(part)) => part,
            Some(Err(e)) => return Poll::Ready(Some(Err(e))),
            None => return Poll::Ready(None),
        };
        if !source.discarded && source.share.grow(part.len()) {
            source.kept.push(part.clone());
            self.next += 1;
        } else {
            source.discard();
            self.next = 0;
        }
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        let source = lock(&self.source);
        matches!(source.rest, Rest::Ended) && self.next >= source.kept.len()
    }

    fn size_hint(&self) -> SizeHint {
        let source = lock(&self.source);
        let unread = source.kept.iter().skip(self.next);
        let unread: u64 = unread.map(|part| part.len() as u64).sum();
        let mut hint = match &source.rest {
            Rest::Arriving(rest) => rest.size_hint(),
            Rest::Ended | Rest::Failed => SizeHint::with_exact(0),
        };
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + unread);
        }
        hint.set_lower(hint.lower() + unread);
        hint
    }
}

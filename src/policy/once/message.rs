//! What entries ask the homes of a key.

use super::{Bucket, Finish, Page, Read, Reason, Register, Release, Reply, Vote};
use crate::domain::{Epoch, Millis, Size};

/// The size of a page. Together with the longest answer it stays below the
/// limit of 256 KB for a message.
const PAGE: Size = Size::kib(200);

/// A request to a home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Request {
    /// Asks for a vote.
    Vote(Vote),
    /// Removes a vote.
    Release(Release),
    /// Records an answer.
    Finish(Finish),
    /// Asks for claims.
    Read(Read),
}

impl Request {
    /// Returns the bucket whose register handles the request.
    #[must_use]
    pub fn bucket(&self) -> Bucket {
        match self {
            Self::Vote(vote) => vote.key.bucket(),
            Self::Release(release) => release.key.bucket(),
            Self::Finish(finish) => finish.key.bucket(),
            Self::Read(read) => read.bucket,
        }
    }
}

impl From<Release> for Request {
    fn from(release: Release) -> Self {
        Self::Release(release)
    }
}

impl From<Finish> for Request {
    fn from(finish: Finish) -> Self {
        Self::Finish(finish)
    }
}

/// A home's response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Response {
    /// The reply to a vote of an epoch.
    Vote(Epoch, Reply),
    /// A release or an answer was noted. False means that the home has no room
    /// to keep the answer.
    Noted(bool),
    /// A page of claims, or why there is none.
    Page(Result<Page, Reason>),
}

impl Register {
    /// Handles a request of an entry.
    pub fn handle(&mut self, request: &Request, now: Millis) -> Response {
        match request {
            Request::Vote(vote) => Response::Vote(vote.epoch, self.vote(vote, now)),
            Request::Release(release) => {
                self.release(release, now);
                Response::Noted(true)
            }
            Request::Finish(finish) => Response::Noted(self.finish(finish, now)),
            Request::Read(read) => Response::Page(self.read(read, now, PAGE)),
        }
    }
}

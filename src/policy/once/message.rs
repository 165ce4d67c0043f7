//! The requests to the homes of a key, and their responses.

use super::{
    Bucket, ClaimTable, Finish, RefusalReason, Release, TransferPage, TransferRequest, VoteReply,
    VoteRequest,
};
use crate::domain::{Epoch, Millis, Size};

/// The size of a page, which may be exceeded by one claim. With the largest
/// answer in that claim, the page is still below the limit of 256 KiB for a
/// message.
const PAGE_SIZE: Size = Size::kib(200);

/// A request to a home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HomeRequest {
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Removes the vote for an attempt.
    Release(Release),
    /// Records the answer of an executed attempt.
    Finish(Finish),
    /// Asks a former home for the claims of a bucket.
    Transfer(TransferRequest),
}

impl HomeRequest {
    /// Returns the bucket whose claim table handles the request.
    #[must_use]
    pub fn bucket(&self) -> Bucket {
        match self {
            Self::Vote(vote) => vote.key.bucket(),
            Self::Release(release) => release.key.bucket(),
            Self::Finish(finish) => finish.key.bucket(),
            Self::Transfer(request) => request.bucket,
        }
    }
}

impl From<Release> for HomeRequest {
    fn from(release: Release) -> Self {
        Self::Release(release)
    }
}

impl From<Finish> for HomeRequest {
    fn from(finish: Finish) -> Self {
        Self::Finish(finish)
    }
}

/// A home's response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HomeResponse {
    /// The reply to a vote request of this epoch.
    Vote(Epoch, VoteReply),
    /// A release or an answer was handled. False means that the home has no space
    /// for the claim and did not record the answer.
    Acknowledged(bool),
    /// A page of claims, or why the home cannot provide one.
    Page(Result<TransferPage, RefusalReason>),
}

impl ClaimTable {
    /// Handles a request from an entry.
    pub fn handle(&mut self, request: &HomeRequest, now: Millis) -> HomeResponse {
        match request {
            HomeRequest::Vote(vote) => HomeResponse::Vote(vote.epoch, self.vote(vote, now)),
            HomeRequest::Release(release) => {
                self.release(release, now);
                HomeResponse::Acknowledged(true)
            }
            HomeRequest::Finish(finish) => HomeResponse::Acknowledged(self.finish(finish, now)),
            HomeRequest::Transfer(request) => {
                HomeResponse::Page(self.transfer_page(request, now, PAGE_SIZE))
            }
        }
    }
}

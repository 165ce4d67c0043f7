//! One attempt at one target.

use http::{Response, response::Parts};
use tokio::time::timeout;

use super::{State, job::Job, now, slot::Slot};
use crate::{
    adapters::{
        http::Content,
        platform::headers::{self, Verdict},
    },
    domain::Millis,
    policy::balance::{Ending, LoadReport},
    ports::{Body, Outbound, SendError},
};

/// The longest answer that is read whole before the caller gets any of it. A
/// shorter one that breaks off can still be replaced by another attempt.
const WHOLE_BYTES: usize = 128 * 1024;

/// How long a connection to a target may take to open. It takes 75 ms at most
/// where nothing is lost; another target is tried after that.
const CONNECT: Millis = Millis(300);

/// What became of an attempt.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The target answered.
    Answer(Box<Answer>),
    /// The target rejected it without running it.
    Rejected,
    /// Nothing of it was sent.
    Unsent(String),
    /// It was sent, and what became of it is not known.
    Unknown(String),
    /// There was no answer in time.
    Late,
}

/// A target's answer, with the place that it holds until its last byte.
#[derive(Debug)]
pub(super) struct Answer {
    pub head: Parts,
    pub content: Content,
    pub slot: Slot,
    pub report: Option<LoadReport>,
}

/// Sends a request to the target of a slot and reads the answer.
pub(super) async fn exchange(state: &State, job: &mut Job, mut slot: Slot) -> Outcome {
    let left = job.end - now(state);
    let ticket = slot.ticket();
    let Some(request) = job.request(&ticket.id, left) else {
        return Outcome::Unknown("the body cannot be sent again".to_owned());
    };
    let out = Outbound {
        connect: CONNECT,
        ..Outbound::new(slot.choice.addr, request)
    };
    let begun = out.begun.clone();
    let attempt = async {
        let resp = (state.ports.targets.send)(out).await?;
        Ok::<_, SendError>(read(job, resp).await)
    };
    let (ending, report, outcome) = match timeout(left.duration(), attempt).await {
        Err(_) if begun.get() => return Outcome::Late,
        Err(_) => (
            Ending::Unreachable,
            None,
            Outcome::Unsent("no connection in time".to_owned()),
        ),
        Ok(Err(e @ SendError::Unsent { .. })) => {
            (Ending::Unreachable, None, Outcome::Unsent(e.to_string()))
        }
        Ok(Err(e @ SendError::Unknown { .. })) => {
            (Ending::Broken, None, Outcome::Unknown(e.to_string()))
        }
        Ok(Ok(Read::Rejected(report))) => (Ending::Rejected, report, Outcome::Rejected),
        Ok(Ok(Read::Misdirected)) => (Ending::Misdirected, None, Outcome::Rejected),
        Ok(Ok(Read::Spoiled(cause))) => (Ending::Broken, None, Outcome::Unknown(cause)),
        Ok(Ok(Read::Answer(head, content, report))) => {
            return Outcome::Answer(Box::new(Answer {
                head,
                content,
                slot,
                report,
            }));
        }
    };
    slot.finish(ending, report);
    outcome
}

enum Read {
    Answer(Parts, Content, Option<LoadReport>),
    Rejected(Option<LoadReport>),
    Misdirected,
    Spoiled(String),
}

async fn read(job: &Job, resp: Response<Body>) -> Read {
    let (head, body) = resp.into_parts();
    let report = headers::read_load(&head.headers);
    match headers::read_answer(head.status, &head.headers, job.id.as_ref()) {
        Verdict::Rejected => Read::Rejected(report),
        Verdict::Misdirected => Read::Misdirected,
        Verdict::Spoiled(cause) => Read::Spoiled(cause.to_owned()),
        Verdict::Answered => match Content::read(body, WHOLE_BYTES).await {
            Ok(content) => Read::Answer(head, content, report),
            Err(e) => Read::Spoiled(format!("read answer: {e}")),
        },
    }
}

//! Links between regions.
//!
//! A link is a FIFO queue of chunks. Without pacing, a response keeps four chunks
//! of 64 KB in the queue, as a connection with a window of 256 KB does. With
//! pacing, the chunks of large responses are enqueued at 85% of the link's rate in
//! total, so that the queue stays short. The pace applies to the whole link, which
//! models the shared units of `link/A/B`.

use std::collections::HashMap;

use crate::world::{Micros, REGIONS};

/// Size of a chunk in bytes.
const CHUNK: u64 = 64_000;

/// Chunks of a response in the queue at the same time, without pacing.
const WINDOW: u64 = 4;

/// Responses of at least this number of bytes are paced.
const LARGE: u64 = 64_000;

/// Rate of large responses, in percent of the link's rate.
const PACE: u64 = 85;

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    /// When the queue is empty.
    idle_at: Micros,
    /// When the pace permits the next chunk.
    paced_until: Micros,
}

/// The state of a response that is being sent.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    sent: u64,
    /// Whether the pace permits its next chunk.
    cleared: bool,
}

/// The outcome of sending the next chunk of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The pace permits the chunk at this instant.
    Wait(Micros),
    /// The chunk will have been sent at this instant.
    Sent(Micros),
    /// The chunk is the last one and will have been sent at this instant.
    Last(Micros),
    /// All chunks are in the queue, or the response was cancelled.
    End,
}

/// All the links of a deployment.
#[derive(Debug)]
pub struct Net {
    mbps: u64,
    pacing: bool,
    links: [[Link; REGIONS]; REGIONS],
    flows: HashMap<usize, Flow>,
}

impl Net {
    pub fn new(mbps: u64, pacing: bool) -> Self {
        Self {
            mbps,
            pacing,
            links: Default::default(),
            flows: HashMap::new(),
        }
    }

    pub fn begin(&mut self, attempt: usize) {
        self.flows.insert(attempt, Flow::default());
    }

    /// Returns the maximum number of chunks of a response in the queue.
    pub fn window(&self, bytes: u64) -> u64 {
        let window = if self.pacing { 1 } else { WINDOW };
        bytes.div_ceil(CHUNK).clamp(1, window)
    }

    /// Enqueues the next chunk of a response on the link between two regions.
    pub fn chunk(&mut self, now: Micros, attempt: usize, bytes: u64, pair: (usize, usize)) -> Step {
        let Some(flow) = self.flows.get_mut(&attempt) else {
            return Step::End;
        };
        let chunk = CHUNK.min(bytes - flow.sent);
        let time = chunk * 8 / self.mbps;
        let link = &mut self.links[pair.0][pair.1];
        if self.pacing && bytes >= LARGE && !flow.cleared {
            let pace = now.max(link.paced_until);
            link.paced_until = pace + time * 100 / PACE;
            flow.cleared = true;
            if pace > now {
                return Step::Wait(pace);
            }
        }
        flow.cleared = false;
        flow.sent += chunk;
        link.idle_at = now.max(link.idle_at) + time;
        if flow.sent < bytes {
            return Step::Sent(link.idle_at);
        }
        let end = link.idle_at;
        self.flows.remove(&attempt);
        Step::Last(end)
    }

    /// Drops the remaining chunks of a cancelled response.
    pub fn cancel(&mut self, attempt: usize) {
        self.flows.remove(&attempt);
    }
}

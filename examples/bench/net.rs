//! Links between regions.
//!
//! A link sends one part after another in the order in which they are handed
//! over. Without pacing, an answer keeps four parts of 64 KB in the link's queue,
//! as a connection with a window of 256 KB does. With pacing, the parts of large
//! answers are handed over at 85% of the link's rate in total, so that the queue
//! stays short. The pace is kept for the whole link, which stands for shared
//! units of `link/A/B`.

use std::collections::HashMap;

use crate::world::{Micros, REGIONS};

const PART: u64 = 64_000;

const WINDOW: u64 = 4;

/// Answers from this size on are paced.
const LARGE: u64 = 64_000;

/// The pace of large answers, in percent of the link's rate.
const PACE: u64 = 85;

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    free: Micros,
    paced: Micros,
}

/// The state of one large answer.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    sent: u64,
    /// Whether the pace lets its next part go.
    cleared: bool,
}

/// What becomes of the next part of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The pace lets it go at the instant.
    Wait(Micros),
    /// It will have been sent at the instant.
    Sent(Micros),
    /// It is the last part and will have been sent at the instant.
    Last(Micros),
    /// All parts are handed over.
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

    /// Returns how many parts of an answer may be under way at the same time.
    pub fn window(&self, bytes: u64) -> u64 {
        let window = if self.pacing { 1 } else { WINDOW };
        bytes.div_ceil(PART).clamp(1, window)
    }

    /// Hands the next part of an answer to the link between two regions.
    pub fn chunk(&mut self, now: Micros, attempt: usize, bytes: u64, pair: (usize, usize)) -> Step {
        let Some(flow) = self.flows.get_mut(&attempt) else {
            return Step::End;
        };
        let part = PART.min(bytes - flow.sent);
        let time = part * 8 / self.mbps;
        let link = &mut self.links[pair.0][pair.1];
        if self.pacing && bytes >= LARGE && !flow.cleared {
            let pace = now.max(link.paced);
            link.paced = pace + time * 100 / PACE;
            flow.cleared = true;
            if pace > now {
                return Step::Wait(pace);
            }
        }
        flow.cleared = false;
        flow.sent += part;
        link.free = now.max(link.free) + time;
        if flow.sent < bytes {
            return Step::Sent(link.free);
        }
        let end = link.free;
        self.flows.remove(&attempt);
        Step::Last(end)
    }

    /// Forgets an answer that is not wanted any more.
    pub fn forget(&mut self, attempt: usize) {
        self.flows.remove(&attempt);
    }
}

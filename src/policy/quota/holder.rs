//! The tokens that an entry holds.

use std::collections::VecDeque;

use super::{ASK_PERIOD, Answer, NEEDS_MAX, Need, Room, TOKEN_VALIDITY, usage::Usage};
use crate::domain::{Millis, Shards, WorkspaceName};

/// The minimum time for which an answer without tokens is remembered.
const EXHAUSTION_MIN: Millis = Millis(50);

/// Tokens that are valid for less time are given back with the next ask. Those of the
/// last period are.
const RETURN_MARGIN: Millis = Millis(150);

/// The time without a request after which a workspace is forgotten.
const IDLE_TIMEOUT: Millis = Millis(10_000);

/// The time without a refusal after which a workspace counts as below its limit.
const BELOW_AFTER: Millis = Millis(5_000);

/// The right to send one request of a workspace to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Token {
    /// The time from which the token can no longer be used.
    until: Millis,
    /// The run of the granter, 0 if the token is of the parts that this entry holds.
    life: u64,
}

impl Token {
    /// Returns a token of the parts that this entry holds, which is used now.
    #[must_use]
    pub fn own(now: Millis) -> Self {
        Self {
            until: now + TOKEN_VALIDITY,
            life: 0,
        }
    }
}

/// Why a workspace has no token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// Its quota is used up until there is room again.
    Exhausted(Room),
    /// Its granter asks others for tokens.
    Pending,
    /// Its granter has not said anything about it, or holds no part.
    Unknown,
}

/// Tokens that are valid equally long.
#[derive(Clone, Copy, Debug)]
struct Tokens {
    until: Millis,
    /// The run of the granter.
    life: u64,
    count: u32,
}

/// What an entry knows of one workspace.
#[derive(Debug, Default)]
struct Hand {
    /// The tokens, by the time until which they are valid.
    tokens: VecDeque<Tokens>,
    usage: Usage,
    /// The number of requests since the last ask.
    used: u32,
    last_request: Millis,
    waiting: u32,
    is_pending: bool,
    /// The latest statement that the quota is used up, and until when it counts.
    exhausted: Option<(Millis, Room)>,
    /// The time of the latest recorded refusal while the workspace counts as at its limit.
    refused_at: Option<Millis>,
}

impl Hand {
    fn expire(&mut self, now: Millis) {
        while self.tokens.front().is_some_and(|t| t.until <= now) {
            self.tokens.pop_front();
        }
    }

    /// Returns the number of tokens.
    fn held(&self) -> u32 {
        self.tokens.iter().map(|t| t.count).sum()
    }

    fn take(&mut self) -> Option<Token> {
        let tokens = self.tokens.front_mut()?;
        let (until, life) = (tokens.until, tokens.life);
        tokens.count -= 1;
        if tokens.count == 0 {
            self.tokens.pop_front();
        }
        Some(Token { until, life })
    }

    /// Removes the tokens that are not valid after `at`, and returns the number of those
    /// that a granter has given.
    fn remove_until(&mut self, at: Millis, life: Option<u64>) -> u32 {
        let is_old = |t: &Tokens| t.until <= at && Some(t.life) == life;
        let old = self.tokens.iter().filter(|t| is_old(t));
        let count = old.map(|t| t.count).sum();
        self.tokens.retain(|t| !is_old(t));
        count
    }

    fn add(&mut self, tokens: Tokens) {
        if tokens.count > 0 {
            let index = self.tokens.partition_point(|t| t.until <= tokens.until);
            self.tokens.insert(index, tokens);
        }
    }
}

/// What an entry knows of the usage of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HandStatus {
    /// The rate of its requests at this entry, in requests per second.
    pub rate: f64,
    /// The tokens at hand.
    pub tokens: u32,
    /// Whether requests were refused here lately because the limit is used up.
    pub at_limit: bool,
}

/// The tokens of all workspaces at one entry.
#[derive(Debug, Default)]
pub struct Holder {
    hands: Shards<WorkspaceName, Hand>,
}

impl Holder {
    /// Records a request, which needs a token.
    pub fn record(&self, now: Millis, name: &WorkspaceName) {
        self.hands.with(name.clone(), Hand::default, |hand| {
            hand.usage.record(now, 1);
            hand.used = hand.used.saturating_add(1);
            hand.last_request = now;
        });
    }

    /// Takes a token, if there is a valid one.
    #[must_use]
    pub fn take(&self, now: Millis, name: &WorkspaceName) -> Option<Token> {
        let taken = self.hands.get(name, |hand| {
            hand.expire(now);
            hand.take()
        });
        taken.flatten()
    }

    /// Takes back a token of a request that has not run. It stays valid no longer than
    /// it was.
    pub fn give_back(&self, now: Millis, name: &WorkspaceName, token: Token) {
        let Token { until, life } = token;
        if now < until {
            let count = 1;
            let tokens = Tokens { until, life, count };
            self.hands.get(name, |hand| hand.add(tokens));
        }
    }

    /// Records that one more or one less request waits for a token.
    pub fn set_waiting(&self, name: &WorkspaceName, is_waiting: bool) {
        self.hands.with(name.clone(), Hand::default, |hand| {
            hand.waiting = if is_waiting {
                hand.waiting.saturating_add(1)
            } else {
                hand.waiting.saturating_sub(1)
            };
        });
    }

    /// Returns why a workspace without tokens has none.
    #[must_use]
    pub fn shortage(&self, now: Millis, name: &WorkspaceName) -> Shortage {
        let shortage = self.hands.get(name, |hand| match hand.exhausted {
            Some((until, room)) if now < until => Shortage::Exhausted(room),
            _ if hand.is_pending => Shortage::Pending,
            _ => Shortage::Unknown,
        });
        shortage.unwrap_or(Shortage::Unknown)
    }

    /// Returns the usage of a workspace. One that has sent nothing lately has none.
    #[must_use]
    pub fn status(&self, now: Millis, name: &WorkspaceName) -> HandStatus {
        let status = self.hands.get(name, |hand| {
            hand.expire(now);
            HandStatus {
                rate: hand.usage.rate(now),
                tokens: hand.held(),
                at_limit: hand.refused_at.is_some_and(|at| now < at + BELOW_AFTER),
            }
        });
        status.unwrap_or_default()
    }

    /// Returns what to ask a granter for, and removes what is given back to it: the
    /// tokens of its run `life` that will hardly be used any more.
    #[must_use]
    pub fn needs(&self, now: Millis, life: Option<u64>) -> Vec<Need> {
        let mut needs = Vec::new();
        self.hands.each(|name, hand| {
            hand.expire(now);
            let returned = hand.remove_until(now + RETURN_MARGIN, life);
            let expected = rounded(hand.usage.expected(now, ASK_PERIOD));
            let expected = expected.saturating_sub(hand.held());
            let is_empty = hand.waiting + expected + returned + hand.used == 0;
            if !is_empty {
                needs.push(Need {
                    workspace: name.clone(),
                    waiting: hand.waiting,
                    expected,
                    returned,
                    used: std::mem::take(&mut hand.used),
                });
            }
        });
        needs.sort_by_key(|need| std::cmp::Reverse((need.waiting, need.expected)));
        needs.truncate(NEEDS_MAX);
        needs
    }

    /// Adds the tokens of an answer to an ask that was sent at `sent`, at most as many
    /// as were asked for. Returns whether the granter still looks for some.
    pub fn add(&self, now: Millis, sent: Millis, needs: &[Need], answer: &Answer) -> bool {
        let mut pending = false;
        for grant in &answer.grants {
            let Some(need) = needs.iter().find(|n| n.workspace == grant.workspace) else {
                continue;
            };
            pending |= grant.pending;
            self.hands.get(&grant.workspace, |hand| {
                hand.add(Tokens {
                    until: sent + TOKEN_VALIDITY,
                    life: answer.echo.life,
                    count: grant.tokens.min(need.asked()),
                });
                hand.is_pending = grant.pending;
                hand.exhausted = grant.room.map(|room| {
                    let after = room.after.max(EXHAUSTION_MIN).min(ASK_PERIOD);
                    (now + after, room)
                });
            });
        }
        pending
    }

    /// Records that a request was refused because the limit is used up. Returns the rate of the workspace's requests at this entry if it was
    /// below its limit until now.
    #[must_use]
    pub fn record_refusal(&self, now: Millis, name: &WorkspaceName) -> Option<f64> {
        let rate = self.hands.get(name, |hand| {
            let was_below = hand.refused_at.replace(now).is_none();
            was_below.then(|| hand.usage.rate(now))
        });
        rate.flatten()
    }

    /// Returns the workspaces that are below their limits again, with the rates of their
    /// requests.
    #[must_use]
    pub fn take_below(&self, now: Millis) -> Vec<(WorkspaceName, f64)> {
        let mut below = Vec::new();
        self.hands.each(|name, hand| {
            if hand.refused_at.is_some_and(|at| at + BELOW_AFTER <= now) {
                hand.refused_at = None;
                below.push((name.clone(), hand.usage.rate(now)));
            }
        });
        below
    }

    /// Forgets idle workspaces. Calls `held` with the number of tokens of each workspace.
    pub fn tidy(&self, now: Millis, mut held: impl FnMut(&WorkspaceName, u32)) {
        let mut idle = Vec::new();
        self.hands.each(|name, hand| {
            hand.expire(now);
            held(name, hand.held());
            if hand.waiting == 0 && hand.last_request + IDLE_TIMEOUT <= now {
                idle.push(name.clone());
            }
        });
        for name in idle {
            self.hands.remove(&name);
        }
    }
}

/// Returns the nearest number of requests.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn rounded(requests: f64) -> u32 {
    requests.max(0.0).round() as u32
}

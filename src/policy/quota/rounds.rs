//! What an entry asks others for, and when.

use std::{collections::BTreeMap, sync::Arc};

use super::{
    ASK_PERIOD, Answer, Ask, CALL_TIMEOUT, Delegating, Granter, GranterSelector, Holder, Need,
    PENDING_PERIOD, TRANSFER_VALIDITY,
};
use crate::domain::{EntryId, Millis, Presence, RegionName};

/// What an entry knows of the others.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The announced entries of each region.
    pub regions: BTreeMap<RegionName, Vec<Presence>>,
    /// The hashed names of the entries that share limits, none until all are known.
    pub sharers: Arc<Vec<u64>>,
}

/// A call that an entry makes in a round.
#[derive(Clone, Debug)]
pub struct Call {
    /// The entry that is called.
    pub to: Presence,
    /// What it is asked.
    pub ask: Ask,
    /// How long to wait for the answer.
    pub timeout: Millis,
    /// The time at which the call was made.
    pub sent: Millis,
}

/// The rounds in which one entry delegates its part and asks for tokens.
#[derive(Clone, Debug)]
pub struct Rounds {
    me: EntryId,
    region: RegionName,
    selector: GranterSelector,
    delegating: Delegating,
    exchanged_at: Millis,
    /// Whether the granter of the region answered last, or is this entry.
    is_reached: bool,
}

impl Rounds {
    /// Returns the rounds of an entry that has not made any.
    #[must_use]
    pub fn new(me: EntryId, region: RegionName) -> Self {
        Self {
            me,
            region,
            selector: GranterSelector::default(),
            delegating: Delegating::default(),
            exchanged_at: Millis(0),
            is_reached: false,
        }
    }

    /// Begins a round. `needs` are those of the requests of this entry. Returns the calls
    /// to make side by side: to the granter of the region, and to those of the other
    /// regions if this entry is a granter.
    pub fn begin(
        &mut self,
        now: Millis,
        view: &View,
        needs: Vec<Need>,
        granter: &mut Granter,
    ) -> Vec<Call> {
        let local = view.regions.get(&self.region);
        let local = local.map(Vec::as_slice).unwrap_or_default();
        let first = self.selector.choose(now, local.iter());
        let mut calls = Vec::new();
        if let Some(first) = first.filter(|p| p.name != self.me) {
            calls.push(self.ask(now, first, view, needs));
        } else {
            // If others come first that failed, this one cannot know what they hold.
            let fresh = GranterSelector::default().choose(now, local.iter());
            self.is_reached = fresh == first;
        }
        // The part is given up before the call that delegates it is sent.
        let is_own = self.delegating.is_own(now);
        granter.set_own(now, &view.sharers, is_own);
        let period = if granter.is_short(now) {
            PENDING_PERIOD
        } else {
            ASK_PERIOD
        };
        if granter.part(now) > 0.0 && self.exchanged_at + period <= now {
            self.exchanged_at = now;
            calls.extend(self.exchange(now, view, granter));
        }
        calls
    }

    /// Returns the call to the granter of the region, which delegates the own part.
    fn ask(&mut self, now: Millis, granter: &Presence, view: &View, needs: Vec<Need>) -> Call {
        let is_known = !view.sharers.is_empty();
        let echo = is_known.then(|| self.delegating.delegate(now, &granter.name));
        let echo = echo.flatten();
        let sharers = u32::try_from(view.sharers.len()).unwrap_or(u32::MAX);
        Call {
            to: granter.clone(),
            ask: Ask {
                entry: self.me.clone(),
                sharers: echo.map_or(0, |_| sharers),
                echo,
                for_others: false,
                needs,
            },
            timeout: CALL_TIMEOUT,
            sent: now,
        }
    }

    /// Returns the calls for the tokens that lack here. Each of the other granters is
    /// asked for an equal share of them.
    fn exchange(&mut self, now: Millis, view: &View, granter: &mut Granter) -> Vec<Call> {
        let mut others = Vec::new();
        for region in view.regions.values() {
            let first = self.selector.choose(now, region.iter());
            others.extend(first.filter(|p| p.name != self.me));
        }
        let count = u32::try_from(others.len()).unwrap_or(u32::MAX).max(1);
        let mut needs = granter.needs(now);
        for need in &mut needs {
            need.waiting = need.waiting.div_ceil(count);
            need.expected = need.expected.div_ceil(count);
        }
        if needs.is_empty() || others.is_empty() {
            granter.record_exchange(now);
            return Vec::new();
        }
        let call = |to: &Presence| Call {
            to: to.clone(),
            ask: Ask {
                entry: self.me.clone(),
                sharers: 0,
                echo: None,
                for_others: true,
                needs: needs.clone(),
            },
            timeout: TRANSFER_VALIDITY,
            sent: now,
        };
        others.into_iter().map(call).collect()
    }

    /// Records the answer to a call, or that there is none. Returns whether the granter
    /// still asks others for tokens.
    pub fn record(
        &mut self,
        now: Millis,
        call: &Call,
        answer: Option<&Answer>,
        holder: &Holder,
    ) -> bool {
        match answer {
            Some(_) => self.selector.record_answer(&call.to.name),
            None => self.selector.record_failure(now, &call.to.name),
        }
        if call.ask.for_others {
            return false;
        }
        self.is_reached = answer.is_some();
        let Some(answer) = answer else {
            return false;
        };
        self.delegating.record_echo(now, &call.to.name, answer.echo);
        holder.add(now, call.sent, &call.ask.needs, answer)
    }

    /// Returns the run of the granter to which tokens can be given back.
    #[must_use]
    pub fn life(&self) -> Option<u64> {
        self.delegating.life()
    }

    /// Returns whether what is known of the quotas comes from the granter of the region.
    #[must_use]
    pub fn is_reached(&self) -> bool {
        self.is_reached
    }
}

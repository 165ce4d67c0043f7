//! Which members are probed, and with which records.

use std::collections::BTreeSet;

use rand::{Rng, seq::IndexedRandom};

use super::{
    event::EventKind,
    members::{Action, Entry, Members, Nonce, PAUSE_GAP, PUSH_PEERS, RECHECKS, Round},
    queue::UPDATE_BYTES,
    record::{Member, State},
};
use crate::domain::{EntryId, Millis};

impl Members {
    /// Detects that this process was not scheduled. Its peers' answers may be
    /// waiting unread, so the pause must not count against them.
    pub(super) fn notice_pause(&mut self, now: Millis, rng: &mut impl Rng) {
        let last = self.ticked.replace(now);
        let Some(last) = last else {
            // A random phase keeps entries that start together from probing
            // dead members and comparing views together.
            self.revisit_at = now + Millis(rng.random_range(0..=self.tuning.revisit.0));
            self.sync_at = now + Millis(rng.random_range(0..=self.tuning.sync.0));
            return;
        };
        let gap = now - last;
        if gap < PAUSE_GAP {
            return;
        }
        self.round = None;
        self.sync_at = now;
        for entry in self.others.values_mut() {
            entry.deadline = entry.deadline.map(|at| at + gap);
        }
        let id = self.me.id.clone();
        self.note(now, &id, EventKind::Paused(gap));
    }

    /// Asks peers to relay the current probe if it was not answered in time.
    pub(super) fn relay(&mut self, now: Millis, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let timeout = self.tuning.timeout;
        let late = |r: &&mut Round| !r.relayed && now - r.sent >= timeout;
        let Some(round) = self.round.as_mut().filter(late) else {
            return;
        };
        round.relayed = true;
        let (target, nonce) = (round.target.clone(), round.nonce);
        self.relay_through_peers(&target, nonce, rng, out);
    }

    /// Suspects the target of the last probe if it was not answered.
    pub(super) fn end_round(&mut self, now: Millis) {
        if let Some(round) = self.round.take() {
            self.suspect(now, &round.target);
        }
    }

    /// Probes the next member in random order, or a seed if there is none.
    pub(super) fn start_round(&mut self, now: Millis, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let Some(target) = self.next_target(rng) else {
            self.probe_seed(rng, out);
            return;
        };
        if let Some(nonce) = self.probe(&target, out) {
            self.round = Some(Round {
                target,
                nonce,
                sent: now,
                relayed: false,
            });
        }
    }

    /// Probes again the members that this entry suspects, also through peers, and
    /// those that it holds as dead and a peer does not. These probes carry the
    /// suspicion, which otherwise takes longer to reach a member of a large fleet
    /// than it lasts.
    pub(super) fn probe_again(&mut self, now: Millis, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let recent = |e: &Entry| e.mine && e.deadline.is_some_and(|at| at > now);
        let suspects = self.others.iter().filter(|(_, e)| recent(e));
        let suspects: Vec<EntryId> = suspects.map(|(id, _)| id.clone()).collect();
        for target in suspects {
            if let Some(nonce) = self.probe(&target, out) {
                self.relay_through_peers(&target, nonce, rng, out);
            }
        }
        self.check_dead(rng, out);
    }

    /// Probes some of the members that are live for a peer and dead for this
    /// entry, drawn at random: others have the same list and would otherwise
    /// probe the same ones at the same time.
    fn check_dead(&mut self, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let others = &self.others;
        self.rechecks
            .retain(|id| others.get(id).is_some_and(|e| e.view == State::Dead));
        let all: Vec<&EntryId> = self.rechecks.iter().collect();
        let chosen = all.choose_multiple(rng, RECHECKS);
        let chosen: Vec<EntryId> = chosen.map(|id| (*id).clone()).collect();
        for target in chosen {
            self.rechecks.remove(&target);
            self.probe(&target, out);
        }
    }

    /// Probes a random dead member and a random seed that is not a live member.
    /// One each per period and entry is enough, since contact of any two entries
    /// lets both sides compare views. The seed joins fleets that formed apart.
    pub(super) fn revisit(&mut self, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let dead = self.others.iter().filter(|(_, e)| e.view == State::Dead);
        let dead: Vec<EntryId> = dead.map(|(id, _)| id.clone()).collect();
        if let Some(target) = dead.choose(rng) {
            self.probe(target, out);
        }
        self.probe_seed(rng, out);
    }

    /// Sends the queue to a few peers at once, if that is due and within the
    /// budget.
    pub(super) fn push_to_peers(&mut self, rng: &mut impl Rng, out: &mut Vec<Action>) {
        if !self.push || self.credit == 0 {
            return;
        }
        self.push = false;
        self.credit -= 1;
        for peer in self.random_peers(rng, PUSH_PEERS, None) {
            self.probe(&peer.id, out);
        }
    }

    /// Compares views with peers where that is due.
    pub(super) fn compare_views(&mut self, now: Millis, rng: &mut impl Rng, out: &mut Vec<Action>) {
        if now >= self.sync_at {
            self.sync_at = now + self.tuning.sync;
            let peers = self.random_peers(rng, 1, None);
            self.syncs.extend(peers.into_iter().map(|p| p.id));
        }
        if now < self.synced + self.tuning.period {
            return;
        }
        // After a partition every contact asks for a comparison. One a second is
        // enough, and bounds the replies to 64 KB/s.
        let waiting = std::mem::take(&mut self.syncs);
        let known = waiting.iter().filter_map(|id| self.others.get(id));
        let known: Vec<_> = known.map(|e| e.record.peers).collect();
        if let Some(to) = known.choose(rng).copied() {
            let digest = super::ViewDigest::of(self.not_dead());
            out.push(Action::Sync { to, digest });
            self.synced = now;
        }
    }

    /// Returns the records for a message: that of this entry, that of the
    /// receiver if it may have to refute it, and the queue.
    pub(super) fn outgoing(&mut self, peer: Option<&EntryId>) -> Vec<Member> {
        let theirs = peer.and_then(|id| self.others.get(id)).map(|e| &e.record);
        let doubted = theirs.filter(|m| matches!(m.state, State::Suspect | State::Dead));
        let first = doubted.cloned().into_iter().collect();
        self.fill(first)
    }

    /// Returns the records for a reply: as [`outgoing`](Self::outgoing), and
    /// before the queue those in which the peer is behind. Without them a peer
    /// that missed a refutation would hold on to the suspicion, since a record
    /// leaves the queue after a number of messages.
    pub(super) fn reply(&mut self, peer: &EntryId, stale: &[EntryId]) -> Vec<Member> {
        let held = |id: &EntryId| self.others.get(id).map(|e| e.record.clone());
        let doubted = |m: &Member| matches!(m.state, State::Suspect | State::Dead);
        let mut first: Vec<Member> = held(peer).filter(doubted).into_iter().collect();
        first.extend(stale.iter().filter(|id| *id != peer).filter_map(held));
        self.fill(first)
    }

    /// Puts this entry's record before `first` and the queue after it, as much
    /// as one message holds.
    fn fill(&mut self, first: Vec<Member>) -> Vec<Member> {
        let mut out = vec![self.me.clone()];
        let mut used = self.me.size();
        for member in first {
            used += member.size();
            if used <= UPDATE_BYTES {
                out.push(member);
            }
        }
        let (me, others) = (&self.me, &self.others);
        self.queue.fill(&mut out, others.len() + 1, |id| {
            let other = others.get(id).map(|e| &e.record);
            other.or_else(|| (*id == me.id).then_some(me))
        });
        out
    }

    fn probe(&mut self, target: &EntryId, out: &mut Vec<Action>) -> Option<Nonce> {
        let to = self.others.get(target)?.record.peers;
        let nonce = self.next_nonce();
        let updates = self.outgoing(Some(target));
        out.push(Action::Probe { to, nonce, updates });
        Some(nonce)
    }

    fn relay_through_peers(
        &mut self,
        target: &EntryId,
        nonce: Nonce,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        let Some(to) = self.others.get(target).map(|e| e.record.peers) else {
            return;
        };
        for peer in self.random_peers(rng, self.tuning.relays, Some(target)) {
            let updates = self.outgoing(Some(target));
            out.push(Action::Relay {
                via: peer.peers,
                target: target.clone(),
                to,
                nonce,
                updates,
            });
        }
    }

    fn probe_seed(&mut self, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let known: BTreeSet<_> = self.not_dead().map(|m| m.peers).collect();
        let seeds = self.seeds.iter().filter(|s| !known.contains(s));
        let Some(to) = seeds.copied().collect::<Vec<_>>().choose(rng).copied() else {
            return;
        };
        let nonce = self.next_nonce();
        let updates = self.outgoing(None);
        out.push(Action::Probe { to, nonce, updates });
    }

    fn next_nonce(&mut self) -> Nonce {
        self.nonce += 1;
        Nonce(self.nonce)
    }

    /// Returns the next member that is not dead. Each is probed once before any
    /// is probed twice, which bounds the time to detect a failure.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<EntryId> {
        for _ in 0..2 {
            while !self.order.is_empty() {
                let at = rng.random_range(0..self.order.len());
                let id = self.order.swap_remove(at);
                if self.others.get(&id).is_some_and(|e| e.view != State::Dead) {
                    return Some(id);
                }
            }
            let usable = self.others.iter().filter(|(_, e)| e.view != State::Dead);
            self.order = usable.map(|(id, _)| id.clone()).collect();
        }
        None
    }

    fn random_peers(&self, rng: &mut impl Rng, count: usize, but: Option<&EntryId>) -> Vec<Member> {
        let usable = |e: &&Entry| matches!(e.view, State::Alive | State::Leaving);
        let others = self.others.values().filter(usable).map(|e| &e.record);
        let peers: Vec<&Member> = others.filter(|m| Some(&m.id) != but).collect();
        let chosen = peers.choose_multiple(rng, count);
        chosen.map(|m| (*m).clone()).collect()
    }
}

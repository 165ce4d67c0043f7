//! Chooses the members to probe and the records that each message carries.

use std::collections::BTreeSet;

use rand::{Rng, seq::IndexedRandom};

use super::{
    event::EventKind,
    members::{
        Action, Members, Nonce, PAUSE_THRESHOLD, PEERS_PER_PUSH, PendingProbe, RECHECKS_PER_PERIOD,
        TrackedMember,
    },
    queue::UPDATE_BYTES_MAX,
    record::{Member, State},
};
use crate::domain::{EntryId, Millis};

impl Members {
    /// Detects that this process was not scheduled. Answers of its peers may be
    /// unread, so the pause must not count towards their timeouts.
    pub(super) fn detect_pause(&mut self, now: Millis, rng: &mut impl Rng) {
        let last = self.last_tick.replace(now);
        let Some(last) = last else {
            // A random phase prevents entries that start together from probing
            // dead members and comparing views at the same time.
            self.next_reconnect =
                now + Millis(rng.random_range(0..=self.tuning.reconnect_period.0));
            self.next_sync = now + Millis(rng.random_range(0..=self.tuning.sync_period.0));
            return;
        };
        let gap = now - last;
        if gap < PAUSE_THRESHOLD {
            return;
        }
        self.pending = None;
        self.next_sync = now;
        for tracked in self.others.values_mut() {
            tracked.deadline = tracked.deadline.map(|at| at + gap);
        }
        let id = self.local.id.clone();
        self.record_event(now, &id, EventKind::Paused(gap));
    }

    /// Asks peers to relay the pending probe if it was not answered in time.
    pub(super) fn relay_overdue(&mut self, now: Millis, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let timeout = self.tuning.ack_timeout;
        let late = |p: &&mut PendingProbe| !p.relayed && now - p.sent_at >= timeout;
        let Some(pending) = self.pending.as_mut().filter(late) else {
            return;
        };
        pending.relayed = true;
        let (target, nonce) = (pending.target.clone(), pending.nonce);
        self.relay_through_peers(&target, nonce, rng, out);
    }

    /// Suspects the target of the pending probe, which remained unanswered for
    /// the whole period.
    pub(super) fn end_probe(&mut self, now: Millis) {
        if let Some(pending) = self.pending.take() {
            self.suspect(now, &pending.target);
        }
    }

    /// Probes the next member in random order, or a seed if no member is known.
    pub(super) fn start_probe(&mut self, now: Millis, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let Some(target) = self.next_target(rng) else {
            self.probe_seed(rng, out);
            return;
        };
        if let Some(nonce) = self.probe(&target, out) {
            self.pending = Some(PendingProbe {
                target,
                nonce,
                sent_at: now,
                relayed: false,
            });
        }
    }

    /// Probes the members that this entry suspects again, directly and through
    /// peers, and those that it considers dead and a peer reports as live.
    /// These probes carry the suspicion; in a large fleet it would otherwise
    /// expire before piggybacked records deliver it to the member.
    pub(super) fn reprobe_suspects(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        let recent = |t: &TrackedMember| t.suspected_here && t.deadline.is_some_and(|at| at > now);
        let suspects = self.others.iter().filter(|(_, t)| recent(t));
        let suspects: Vec<EntryId> = suspects.map(|(id, _)| id.clone()).collect();
        for target in suspects {
            if let Some(nonce) = self.probe(&target, out) {
                self.relay_through_peers(&target, nonce, rng, out);
            }
        }
        self.recheck_dead(rng, out);
    }

    /// Probes some of the members that this entry considers dead and a peer
    /// reports as live. They are chosen at random, because other entries have
    /// the same list and would otherwise probe the same members at the same
    /// time.
    fn recheck_dead(&mut self, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let others = &self.others;
        self.rechecks.retain(|id| {
            others
                .get(id)
                .is_some_and(|t| t.effective_state == State::Dead)
        });
        let all: Vec<&EntryId> = self.rechecks.iter().collect();
        let chosen = all.choose_multiple(rng, RECHECKS_PER_PERIOD);
        let chosen: Vec<EntryId> = chosen.map(|id| (*id).clone()).collect();
        for target in chosen {
            self.rechecks.remove(&target);
            self.probe(&target, out);
        }
    }

    /// Probes a random dead member and a random seed that is not a live member.
    /// One of each per period and entry suffices, since one contact between two
    /// sides of a partition makes them compare views. Probing the seed merges
    /// fleets that formed separately.
    pub(super) fn reconnect(&mut self, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let dead = self
            .others
            .iter()
            .filter(|(_, t)| t.effective_state == State::Dead);
        let dead: Vec<EntryId> = dead.map(|(id, _)| id.clone()).collect();
        if let Some(target) = dead.choose(rng) {
            self.probe(target, out);
        }
        self.probe_seed(rng, out);
    }

    /// Sends queued records to a few peers at once if one of them must be
    /// pushed and the push allowance is not used up.
    pub(super) fn push_to_peers(&mut self, rng: &mut impl Rng, out: &mut Vec<Action>) {
        if !self.push || self.push_credit == 0 {
            return;
        }
        self.push = false;
        self.push_credit -= 1;
        for peer in self.random_peers(rng, PEERS_PER_PUSH, None) {
            self.probe(&peer.id, out);
        }
    }

    /// Asks a peer to compare views if a comparison is due.
    pub(super) fn compare_views(&mut self, now: Millis, rng: &mut impl Rng, out: &mut Vec<Action>) {
        if now >= self.next_sync {
            self.next_sync = now + self.tuning.sync_period;
            let peers = self.random_peers(rng, 1, None);
            self.sync_peers.extend(peers.into_iter().map(|p| p.id));
        }
        if now < self.last_sync + self.tuning.probe_period {
            return;
        }
        // After a partition every contact schedules a comparison. One per
        // second is enough, and limits the replies to 64 KB/s.
        let waiting = std::mem::take(&mut self.sync_peers);
        let known = waiting.iter().filter_map(|id| self.others.get(id));
        let known: Vec<_> = known.map(|t| t.record.peers).collect();
        if let Some(to) = known.choose(rng).copied() {
            let digest = super::ViewDigest::of(self.not_dead());
            out.push(Action::Sync { to, digest });
            self.last_sync = now;
        }
    }

    /// Returns the records for a message: this entry's own, the receiver's if
    /// it is suspected or dead, so that the receiver can refute it, and the
    /// queued ones.
    pub(super) fn outgoing_records(&mut self, peer: Option<&EntryId>) -> Vec<Member> {
        let held = peer.and_then(|id| self.others.get(id)).map(|t| &t.record);
        let suspected = held.filter(|m| matches!(m.state, State::Suspect | State::Dead));
        let first = suspected.cloned().into_iter().collect();
        self.fill(first)
    }

    /// Returns the records for a reply: those of
    /// [`outgoing_records`](Self::outgoing_records) and, before the queued
    /// ones, those of which the peer has an older version. A record leaves the
    /// queue after a number of messages, so a peer that missed a refutation
    /// would otherwise keep the suspicion.
    pub(super) fn reply_records(&mut self, peer: &EntryId, stale: &[EntryId]) -> Vec<Member> {
        let held = |id: &EntryId| self.others.get(id).map(|t| t.record.clone());
        let suspected = |m: &Member| matches!(m.state, State::Suspect | State::Dead);
        let mut first: Vec<Member> = held(peer).filter(suspected).into_iter().collect();
        first.extend(stale.iter().filter(|id| *id != peer).filter_map(held));
        self.fill(first)
    }

    /// Returns this entry's record, then `first`, then queued records, up to
    /// the size of one message.
    fn fill(&mut self, first: Vec<Member>) -> Vec<Member> {
        let mut out = vec![self.local.clone()];
        let mut used = self.local.size_bound();
        for member in first {
            used += member.size_bound();
            if used <= UPDATE_BYTES_MAX {
                out.push(member);
            }
        }
        let (local, others) = (&self.local, &self.others);
        self.queue.fill(&mut out, others.len() + 1, |id| {
            let other = others.get(id).map(|t| &t.record);
            other.or_else(|| (*id == local.id).then_some(local))
        });
        out
    }

    fn probe(&mut self, target: &EntryId, out: &mut Vec<Action>) -> Option<Nonce> {
        let to = self.others.get(target)?.record.peers;
        let nonce = self.next_nonce();
        let updates = self.outgoing_records(Some(target));
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
        let Some(to) = self.others.get(target).map(|t| t.record.peers) else {
            return;
        };
        for peer in self.random_peers(rng, self.tuning.relay_count, Some(target)) {
            let updates = self.outgoing_records(Some(target));
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
        let updates = self.outgoing_records(None);
        out.push(Action::Probe { to, nonce, updates });
    }

    fn next_nonce(&mut self) -> Nonce {
        self.last_nonce += 1;
        Nonce(self.last_nonce)
    }

    /// Returns the next member to probe, which is not dead. Each is probed once
    /// before any is probed twice, which bounds the time to detect a failure.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<EntryId> {
        for _ in 0..2 {
            while !self.probe_order.is_empty() {
                let at = rng.random_range(0..self.probe_order.len());
                let id = self.probe_order.swap_remove(at);
                if self
                    .others
                    .get(&id)
                    .is_some_and(|t| t.effective_state != State::Dead)
                {
                    return Some(id);
                }
            }
            let usable = self
                .others
                .iter()
                .filter(|(_, t)| t.effective_state != State::Dead);
            self.probe_order = usable.map(|(id, _)| id.clone()).collect();
        }
        None
    }

    fn random_peers(
        &self,
        rng: &mut impl Rng,
        count: usize,
        except: Option<&EntryId>,
    ) -> Vec<Member> {
        let usable =
            |t: &&TrackedMember| matches!(t.effective_state, State::Alive | State::Leaving);
        let others = self.others.values().filter(usable).map(|t| &t.record);
        let peers: Vec<&Member> = others.filter(|m| Some(&m.id) != except).collect();
        let chosen = peers.choose_multiple(rng, count);
        chosen.map(|m| (*m).clone()).collect()
    }
}

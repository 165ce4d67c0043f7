//! A simulated entry, which decodes the messages that it receives and encodes
//! those that it sends.

use bytes::Bytes;
use prost::Message;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{
    adapters::grpc::{
        DocumentBody, Fetch, FetchMessage, FetchReply, FetchReplyMessage, Probe, ProbeMessage,
        Sender, Sync, SyncMessage, SyncReply, SyncReplyMessage,
    },
    domain::{EntryId, Epoch, Incarnation, Millis, Revision},
    policy::{
        member::{self, Load, Member, Members, State, Version},
        spread::{self, Announcement, Dissemination},
    },
};

/// The number of services expected in two years.
pub const SERVICE_COUNT: u64 = 1_900;
/// The body of every document.
const DOCUMENT_BODY: [u8; 2_048] = [b'x'; 2_048];

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    Probe,
    Sync,
    Fetch,
}

/// An encoded request or reply.
#[derive(Clone)]
pub struct Call {
    pub kind: Kind,
    pub bytes: Bytes,
}

/// Requests, each with the index of the entry that receives it.
pub type Calls = Vec<(usize, Call)>;

fn encode_call(kind: Kind, message: &impl Message) -> Call {
    let bytes = message.encode_to_vec().into();
    Call { kind, bytes }
}

fn decode<T: Default + Message>(call: &Call) -> T {
    T::decode(call.bytes.clone()).expect("a message encoded by an entry")
}

/// A simulated entry.
pub struct Node {
    pub members: Members,
    /// The revisions adopted since the simulation last took them.
    pub adopted: Vec<Revision>,
    spread: Dissemination,
    peers: Vec<EntryId>,
    /// When `peers` is next updated from the membership.
    refresh_at: Millis,
}

fn entry_id(n: usize) -> EntryId {
    format!("entry-{n:04}").parse().expect("a valid name")
}

/// Returns the index of the entry with this ID.
pub fn entry_index(id: &EntryId) -> usize {
    let digits = id.as_str().trim_start_matches("entry-");
    digits.parse().expect("a valid index")
}

/// Returns the announcement of the edit with this revision. Each revision belongs
/// to another service.
pub fn announcement(revision: u64) -> Announcement {
    Announcement {
        service: format!("service-{revision:04}")
            .parse()
            .expect("a valid name"),
        revision: Revision(revision),
    }
}

/// Returns the membership record of an entry.
fn member_record(n: usize) -> Member {
    let high = u8::try_from(n / 250).expect("at most 64,000 entries");
    let low = u8::try_from(n % 250).expect("a remainder below 250");
    let at = |port| ([10, 0, high, low], port).into();
    let region = format!("region-{}", n % 3);
    Member {
        id: entry_id(n),
        // Milliseconds since 1970, so that the encoded value is as long as that of a
        // real process.
        incarnation: Incarnation(1_800_000_000_000),
        version: Version(0),
        state: State::Alive,
        az: format!("{region}-a").parse().expect("a valid name"),
        region: region.parse().expect("a valid name"),
        callers: at(8_080),
        admin: at(8_081),
        peers: at(8_082),
        load: Load::Normal,
    }
}

/// Returns the index of the entry with this address.
fn index_of(addr: std::net::SocketAddr) -> usize {
    let std::net::IpAddr::V4(ip) = addr.ip() else {
        unreachable!("all addresses are IPv4");
    };
    let [_, _, high, low] = ip.octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Node {
    pub fn new(n: usize) -> Self {
        let mut spread = Dissemination::new(spread::Tuning::default());
        for service in 0..SERVICE_COUNT {
            spread.on_adopted(&announcement(service).service, Revision(1));
        }
        // The first tick has no peers, so the initial documents are announced to
        // nobody.
        let mut rng = SmallRng::seed_from_u64(0);
        spread.tick(Millis(0), &[], &mut rng);
        let seeds = vec![member_record(0).peers];
        Self {
            members: Members::new(member_record(n), seeds, member::Tuning::default()),
            adopted: Vec::new(),
            spread,
            peers: Vec::new(),
            refresh_at: Millis(0),
        }
    }

    fn sender(&self) -> Sender {
        Sender {
            entry: self.members.local().id.clone(),
            incarnation: self.members.local().incarnation,
            epoch: Epoch(1),
        }
    }

    /// Advances the entry to `now` and returns the resulting requests.
    pub fn tick(&mut self, now: Millis, rng: &mut impl Rng) -> Calls {
        if now >= self.refresh_at {
            let local = &self.members.local().id;
            let others = self.members.alive().filter(|m| m.id != *local);
            self.peers = others.map(|m| m.id.clone()).collect();
            self.refresh_at = now + Millis(1_000);
        }
        let actions = self.members.tick(now, rng);
        let mut calls: Calls = actions
            .into_iter()
            .filter_map(|a| self.membership_call(a))
            .collect();
        calls.extend(self.dissemination_calls(now, rng));
        calls
    }

    /// Encodes the request of a membership action.
    fn membership_call(&self, action: member::Action) -> Option<(usize, Call)> {
        let sender = self.sender();
        match action {
            member::Action::Probe { to, nonce, updates } => {
                let root = self.spread.root();
                let probe = Probe {
                    sender,
                    nonce,
                    updates,
                    root,
                };
                Some((index_of(to), encode_call(Kind::Probe, &probe.encode())))
            }
            member::Action::Sync { to, digest } => {
                let sync = Sync { sender, digest };
                Some((index_of(to), encode_call(Kind::Sync, &sync.encode())))
            }
            // The simulation loses no messages, so no probe needs to be relayed.
            member::Action::Relay { .. } => None,
        }
    }

    /// Returns the requests that are due for the dissemination of documents.
    fn dissemination_calls(&mut self, now: Millis, rng: &mut impl Rng) -> Calls {
        let actions = self.spread.tick(now, &self.peers, rng);
        let mut calls = Calls::new();
        for action in actions {
            let mut fetch = Fetch::new(self.sender());
            let to = match action {
                spread::Action::Announce { to, announcements } => {
                    fetch.announced = announcements;
                    to
                }
                spread::Action::Pull { from, services } => {
                    fetch.services = services;
                    from
                }
                spread::Action::Compare { with, summary } => {
                    fetch.summary = Some(summary);
                    with
                }
            };
            calls.push((entry_index(&to), encode_call(Kind::Fetch, &fetch.encode())));
        }
        calls
    }

    /// Adopts an edit that the watch reported, and returns the resulting requests.
    pub fn on_watch(&mut self, now: Millis, edit: &Announcement, rng: &mut impl Rng) -> Calls {
        self.adopt(edit);
        self.dissemination_calls(now, rng)
    }

    /// Adopts an edit if it is newer than the known revision of its service.
    fn adopt(&mut self, edit: &Announcement) {
        if self.spread.revision(&edit.service) < edit.revision {
            self.spread.on_adopted(&edit.service, edit.revision);
            self.adopted.push(edit.revision);
        }
    }

    /// Handles a request. Returns the reply and the resulting requests.
    pub fn on_request(
        &mut self,
        now: Millis,
        from: usize,
        request: &Call,
        rng: &mut impl Rng,
    ) -> (Call, Calls) {
        let (sender, root) = (self.sender(), self.spread.root());
        match request.kind {
            Kind::Probe => {
                let probe =
                    Probe::decode(decode::<ProbeMessage>(request)).expect("a valid message");
                self.spread.on_root(&entry_id(from), probe.root);
                let nonce = probe.nonce;
                let updates = self.members.on_probe(now, &entry_id(from), probe.updates);
                let ack = Probe {
                    sender,
                    nonce,
                    updates,
                    root,
                };
                (encode_call(Kind::Probe, &ack.encode()), Calls::new())
            }
            Kind::Sync => {
                let sync = Sync::decode(decode::<SyncMessage>(request)).expect("a valid message");
                let (records, more) = self.members.on_digest(&sync.digest);
                let reply = SyncReply {
                    sender,
                    records,
                    more,
                };
                (encode_call(Kind::Sync, &reply.encode()), Calls::new())
            }
            Kind::Fetch => {
                let fetch =
                    Fetch::decode(decode::<FetchMessage>(request)).expect("a valid message");
                self.spread.on_announce(&entry_id(from), &fetch.announced);
                let body = |service| DocumentBody {
                    revision: self.spread.revision(&service),
                    service,
                    text: Some(Bytes::from_static(&DOCUMENT_BODY)),
                };
                let summary = fetch.summary.as_ref();
                let reply = FetchReply {
                    sender,
                    revisions: summary.map_or_else(Vec::new, |s| self.spread.on_compare(s, rng)),
                    bodies: fetch.services.into_iter().map(body).collect(),
                    root,
                };
                (
                    encode_call(Kind::Fetch, &reply.encode()),
                    self.dissemination_calls(now, rng),
                )
            }
        }
    }

    /// Handles a reply and returns the resulting requests.
    pub fn on_reply(
        &mut self,
        now: Millis,
        from: usize,
        request: &Call,
        reply: &Call,
        rng: &mut impl Rng,
    ) -> Calls {
        let peer = entry_id(from);
        match reply.kind {
            Kind::Probe => {
                let ack = Probe::decode(decode::<ProbeMessage>(reply)).expect("a valid message");
                self.spread.on_root(&peer, ack.root);
                self.members.on_ack(now, &peer, ack.nonce, ack.updates);
                Calls::new()
            }
            Kind::Sync => {
                let reply =
                    SyncReply::decode(decode::<SyncReplyMessage>(reply)).expect("a valid message");
                self.members
                    .on_records(now, &peer, reply.records, reply.more);
                Calls::new()
            }
            Kind::Fetch => {
                let fetch =
                    Fetch::decode(decode::<FetchMessage>(request)).expect("a valid message");
                let reply = FetchReply::decode(decode::<FetchReplyMessage>(reply))
                    .expect("a valid message");
                for body in &reply.bodies {
                    let (service, revision) = (body.service.clone(), body.revision);
                    self.adopt(&Announcement { service, revision });
                }
                if !fetch.services.is_empty() {
                    self.spread
                        .on_pulled(&peer, &fetch.services, reply.bodies.len());
                }
                self.spread.on_announce(&peer, &reply.revisions);
                self.dissemination_calls(now, rng)
            }
        }
    }
}

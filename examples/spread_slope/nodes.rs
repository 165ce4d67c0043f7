//! One entry: it decodes what it receives and encodes what it sends.

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

/// The number of services at the two-year size.
pub const SERVICES: u64 = 1_900;
/// The size of a document.
const BODY: [u8; 2_048] = [b'x'; 2_048];

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

/// Requests with the numbers of the entries that they go to.
pub type Calls = Vec<(usize, Call)>;

fn call(kind: Kind, message: &impl Message) -> Call {
    let bytes = message.encode_to_vec().into();
    Call { kind, bytes }
}

fn decode<T: Default + Message>(call: &Call) -> T {
    T::decode(call.bytes.clone()).expect("an entry encoded it")
}

pub struct Node {
    pub members: Members,
    /// The revisions adopted since the caller last looked.
    pub adopted: Vec<Revision>,
    spread: Dissemination,
    peers: Vec<EntryId>,
    refresh: Millis,
}

fn id(n: usize) -> EntryId {
    format!("entry-{n:04}").parse().expect("a name")
}

pub fn number(id: &EntryId) -> usize {
    let digits = id.as_str().trim_start_matches("entry-");
    digits.parse().expect("a number")
}

/// Returns the edit with this revision, each of another service.
pub fn item(revision: u64) -> Announcement {
    Announcement {
        service: format!("service-{revision:04}").parse().expect("a name"),
        revision: Revision(revision),
    }
}

fn record(n: usize) -> Member {
    let high = u8::try_from(n / 250).expect("few entries");
    let low = u8::try_from(n % 250).expect("it is less than 250");
    let at = |port| ([10, 0, high, low], port).into();
    let region = format!("region-{}", n % 3);
    Member {
        id: id(n),
        // Milliseconds since 1970, as long as those of a real process.
        incarnation: Incarnation(1_800_000_000_000),
        version: Version(0),
        state: State::Alive,
        az: format!("{region}-a").parse().expect("a name"),
        region: region.parse().expect("a name"),
        callers: at(8_080),
        admin: at(8_081),
        peers: at(8_082),
        load: Load::Normal,
    }
}

fn entry(addr: std::net::SocketAddr) -> usize {
    let std::net::IpAddr::V4(ip) = addr.ip() else {
        unreachable!("all addresses are IPv4");
    };
    let [_, _, high, low] = ip.octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Node {
    pub fn new(n: usize) -> Self {
        let mut spread = Dissemination::new(spread::Tuning::default());
        for service in 0..SERVICES {
            spread.on_adopted(&item(service).service, Revision(1));
        }
        // Without peers the announcements of these go nowhere.
        let mut rng = SmallRng::seed_from_u64(0);
        spread.tick(Millis(0), &[], &mut rng);
        let seeds = vec![record(0).peers];
        Self {
            members: Members::new(record(n), seeds, member::Tuning::default()),
            adopted: Vec::new(),
            spread,
            peers: Vec::new(),
            refresh: Millis(0),
        }
    }

    fn sender(&self) -> Sender {
        Sender {
            entry: self.members.local().id.clone(),
            incarnation: self.members.local().incarnation,
            epoch: Epoch(1),
        }
    }

    pub fn tick(&mut self, now: Millis, rng: &mut impl Rng) -> Calls {
        if now >= self.refresh {
            let me = &self.members.local().id;
            let others = self.members.alive().filter(|m| m.id != *me);
            self.peers = others.map(|m| m.id.clone()).collect();
            self.refresh = now + Millis(1_000);
        }
        let actions = self.members.tick(now, rng);
        let mut calls: Calls = actions.into_iter().filter_map(|a| self.member(a)).collect();
        calls.extend(self.spread(now, rng));
        calls
    }

    fn member(&self, action: member::Action) -> Option<(usize, Call)> {
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
                Some((entry(to), call(Kind::Probe, &probe.encode())))
            }
            member::Action::Sync { to, digest } => {
                let sync = Sync { sender, digest };
                Some((entry(to), call(Kind::Sync, &sync.encode())))
            }
            // No message is lost here, so there is nothing to relay.
            member::Action::Relay { .. } => None,
        }
    }

    fn spread(&mut self, now: Millis, rng: &mut impl Rng) -> Calls {
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
            calls.push((number(&to), call(Kind::Fetch, &fetch.encode())));
        }
        calls
    }

    pub fn watched(&mut self, now: Millis, edit: &Announcement, rng: &mut impl Rng) -> Calls {
        self.adopt(edit);
        self.spread(now, rng)
    }

    fn adopt(&mut self, edit: &Announcement) {
        if self.spread.revision(&edit.service) < edit.revision {
            self.spread.on_adopted(&edit.service, edit.revision);
            self.adopted.push(edit.revision);
        }
    }

    /// Answers a request, and returns what follows from it.
    pub fn serve(
        &mut self,
        now: Millis,
        from: usize,
        request: &Call,
        rng: &mut impl Rng,
    ) -> (Call, Calls) {
        let (sender, root) = (self.sender(), self.spread.root());
        match request.kind {
            Kind::Probe => {
                let probe = Probe::decode(decode::<ProbeMessage>(request)).expect("valid");
                self.spread.on_root(&id(from), probe.root);
                let nonce = probe.nonce;
                let updates = self.members.on_probe(now, &id(from), probe.updates);
                let ack = Probe {
                    sender,
                    nonce,
                    updates,
                    root,
                };
                (call(Kind::Probe, &ack.encode()), Calls::new())
            }
            Kind::Sync => {
                let sync = Sync::decode(decode::<SyncMessage>(request)).expect("valid");
                let (records, more) = self.members.on_digest(&sync.digest);
                let reply = SyncReply {
                    sender,
                    records,
                    more,
                };
                (call(Kind::Sync, &reply.encode()), Calls::new())
            }
            Kind::Fetch => {
                let fetch = Fetch::decode(decode::<FetchMessage>(request)).expect("valid");
                self.spread.on_announce(&id(from), &fetch.announced);
                let body = |service| DocumentBody {
                    revision: self.spread.revision(&service),
                    service,
                    text: Some(Bytes::from_static(&BODY)),
                };
                let summary = fetch.summary.as_ref();
                let reply = FetchReply {
                    sender,
                    revisions: summary.map_or_else(Vec::new, |s| self.spread.on_compare(s, rng)),
                    bodies: fetch.services.into_iter().map(body).collect(),
                    root,
                };
                (call(Kind::Fetch, &reply.encode()), self.spread(now, rng))
            }
        }
    }

    /// Takes a reply, and returns what follows from it.
    pub fn finish(
        &mut self,
        now: Millis,
        from: usize,
        request: &Call,
        reply: &Call,
        rng: &mut impl Rng,
    ) -> Calls {
        let peer = id(from);
        match reply.kind {
            Kind::Probe => {
                let ack = Probe::decode(decode::<ProbeMessage>(reply)).expect("valid");
                self.spread.on_root(&peer, ack.root);
                self.members.on_ack(now, &peer, ack.nonce, ack.updates);
                Calls::new()
            }
            Kind::Sync => {
                let reply = SyncReply::decode(decode::<SyncReplyMessage>(reply)).expect("valid");
                self.members
                    .on_records(now, &peer, reply.records, reply.more);
                Calls::new()
            }
            Kind::Fetch => {
                let asked = Fetch::decode(decode::<FetchMessage>(request)).expect("valid");
                let reply = FetchReply::decode(decode::<FetchReplyMessage>(reply)).expect("valid");
                for body in &reply.bodies {
                    let (service, revision) = (body.service.clone(), body.revision);
                    self.adopt(&Announcement { service, revision });
                }
                if !asked.services.is_empty() {
                    self.spread
                        .on_pulled(&peer, &asked.services, reply.bodies.len());
                }
                self.spread.on_announce(&peer, &reply.revisions);
                self.spread(now, rng)
            }
        }
    }
}

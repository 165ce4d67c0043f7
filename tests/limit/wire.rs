//! Tests the encoding of the messages. A message that is decoded differently could
//! transfer units that were never granted.

use prost::Message as _;
use quickcheck::{Arbitrary, Gen, quickcheck};
use savorybeam::adapters::grpc::limit::{LimitBatch, MAX_BATCH_SIZE, pack, unpack};
use savorybeam::domain::Epoch;
use savorybeam::policy::limit::{Envelope, HeldUnits, MAX_UNITS, Message, Outgoing};

use super::world::member;

/// An arbitrary message to one of three entries.
#[derive(Clone, Debug)]
struct AnyMessage(Outgoing);

fn units(g: &mut Gen) -> Vec<u32> {
    let mut units: Vec<u32> = Vec::arbitrary(g);
    for unit in &mut units {
        *unit %= 600;
    }
    units.sort_unstable();
    units.dedup();
    units
}

fn held(g: &mut Gen) -> HeldUnits {
    HeldUnits {
        request_id: u64::arbitrary(g),
        units: units(g),
    }
}

impl Arbitrary for AnyMessage {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u64::arbitrary(g);
        let message = match u8::arbitrary(g) % 9 {
            0 => Message::Borrow {
                request_id: number,
                want: u32::arbitrary(g),
                held: u32::arbitrary(g),
                renew: units(g),
            },
            1 => Message::Grant {
                request_id: number,
                units: units(g),
                idle: u32::arbitrary(g),
            },
            2 => Message::Decline {
                request_id: number,
                queued: bool::arbitrary(g),
            },
            3 => Message::Return(held(g)),
            4 => Message::Recall(held(g)),
            5 => Message::Audit,
            6 => Message::Reconcile {
                floor: number,
                loans: (0..u8::arbitrary(g) % 4).map(|_| held(g)).collect(),
            },
            7 => Message::Survey {
                round: number,
                units: units(g),
            },
            _ => Message::Handover {
                round: number,
                units: units(g),
                kept: units(g),
            },
        };
        let envelope = Envelope {
            limit: "link/nairobi/coast".parse().expect("a valid name"),
            epoch: Epoch(u64::arbitrary(g)),
            message,
        };
        let to = member(usize::from(u8::arbitrary(g) % 3), u64::arbitrary(g) % 2);
        Self(Outgoing { to, envelope })
    }
}

quickcheck! {
    fn messages_round_trip(sent: Vec<AnyMessage>) -> bool {
        let sent: Vec<Outgoing> = sent.into_iter().map(|a| a.0).collect();
        let mut read = Vec::new();
        for batch in pack(&member(7, 3), &sent) {
            let bytes = batch.encode_to_vec();
            let batch = LimitBatch::decode(bytes.as_slice()).expect("our own encoding");
            let batch = unpack(&batch).expect("valid names");
            assert_eq!(batch.from, member(7, 3));
            read.extend(batch.items.into_iter().map(|envelope| Outgoing { to: batch.to.clone(), envelope }));
        }
        // Only the order of the messages to the same recipient is kept.
        let mut expected = sent;
        expected.sort_by_key(|o| o.to.clone());
        read.sort_by_key(|o| o.to.clone());
        read == expected
    }
}

/// Guards against batches that exceed the recipient's limit on the message size.
#[test]
fn batches_stay_within_the_size_limit() {
    let one = Outgoing {
        to: member(1, 1),
        envelope: Envelope {
            limit: "link/nairobi/coast".parse().expect("a valid name"),
            epoch: Epoch(1),
            message: Message::Survey {
                round: 1,
                units: (0..MAX_UNITS).collect(),
            },
        },
    };
    let sent = vec![one; 2_000];
    let batches = pack(&member(0, 1), &sent);
    let sizes: Vec<usize> = batches.iter().map(prost::Message::encoded_len).collect();
    assert!(sizes.iter().all(|s| *s as u64 <= MAX_BATCH_SIZE.0));
    let read: Vec<Envelope> = batches
        .iter()
        .flat_map(|b| unpack(b).expect("valid names").items)
        .collect();
    assert_eq!(read[0], sent[0].envelope);
    let count: usize = batches.iter().map(|b| b.items.len()).sum();
    insta::assert_snapshot!(format!("{count} messages in {} batches", sizes.len()), @"2000 messages in 32 batches");
}

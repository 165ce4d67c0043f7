//! Tests the encoding of the messages for claims and strikes. A field that is lost
//! in the encoding could allow a second execution of a key.

use std::sync::Arc;

use bytes::Bytes;
use prost::Message;
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{
    adapters::grpc::claim::{ClaimReply, ClaimRequest, CopiedClaim, Strikes, Vote},
    domain::{Epoch, Incarnation, Millis, Size},
    policy::{
        crash::{self, MemberCount},
        once::{
            self, Answer, AttemptId, Bucket, ClaimKey, ClaimLimits, ClaimState, ClaimTable,
            Fingerprint, Holder, HomeRequest, HomeResponse, HomeSet, Member, RefusalReason,
            Release, TransferPage, TransferRequest, VoteReply,
        },
    },
};

/// The maximum size of a message between entries, in bytes.
const MESSAGE_MAX: usize = 256 * 1024;

/// Generates random values of the message types.
struct Random(SmallRng);

impl Random {
    fn number(&mut self) -> u64 {
        self.0.random()
    }

    fn key(&mut self) -> ClaimKey {
        ClaimKey {
            service: format!("s{}", self.number()).parse().expect("a name"),
            key: format!("k{}", self.number()).parse().expect("a key"),
        }
    }

    fn member(&mut self) -> Member {
        Member {
            entry: format!("e{}", self.number()).parse().expect("a name"),
            incarnation: Incarnation(self.number()),
        }
    }

    fn fingerprint(&mut self) -> Fingerprint {
        Fingerprint(self.0.random())
    }

    fn holders(&mut self) -> Vec<Holder> {
        let count = self.0.random_range(1..4);
        let one = |_| Holder {
            attempt: AttemptId(self.number()),
            fingerprint: self.fingerprint(),
            claimant: self.member(),
            epoch: Epoch(self.number()),
        };
        (0..count).map(one).collect()
    }

    fn answer(&mut self) -> Option<Arc<Answer>> {
        let body = vec![1; self.0.random_range(0..100)];
        let body = self.0.random_bool(0.5).then(|| Bytes::from(body));
        let answer = Answer::record(201, [("Location", &b"/1"[..])], body);
        self.0.random_bool(0.5).then(|| Arc::new(answer))
    }

    fn transfer_request(&mut self) -> TransferRequest {
        TransferRequest {
            bucket: Bucket(self.0.random_range(0..Bucket::COUNT)),
            former: Epoch(self.number()),
            epoch: Epoch(self.number()),
            after: self.0.random_bool(0.5).then(|| self.key()),
        }
    }

    fn request(&mut self) -> HomeRequest {
        let attempt = AttemptId(self.number());
        match self.0.random_range(0..4) {
            0 => HomeRequest::Vote(once::VoteRequest {
                key: self.key(),
                fingerprint: self.fingerprint(),
                attempt,
                claimant: self.member(),
                epoch: Epoch(self.number()),
            }),
            1 => HomeRequest::Release(Release {
                key: self.key(),
                attempt,
            }),
            2 => HomeRequest::Finish(once::Finish {
                key: self.key(),
                fingerprint: self.fingerprint(),
                attempt,
                answer: self.answer(),
            }),
            _ => HomeRequest::Transfer(self.transfer_request()),
        }
    }

    fn reason(&mut self) -> RefusalReason {
        let epoch = Epoch(self.number());
        match self.0.random_range(0..6) {
            0 => RefusalReason::Stale(epoch),
            1 => RefusalReason::Behind(epoch),
            2 => RefusalReason::NotHome,
            3 => RefusalReason::Transferring,
            4 => RefusalReason::Full,
            _ => RefusalReason::Released,
        }
    }

    fn copied(&mut self) -> once::CopiedClaim {
        let finished = ClaimState::Finished {
            fingerprint: self.fingerprint(),
            answer: self.answer(),
        };
        let held = ClaimState::Held(self.holders());
        once::CopiedClaim {
            key: self.key(),
            state: if self.0.random_bool(0.5) {
                held
            } else {
                finished
            },
            remaining: Millis(self.number()),
        }
    }

    fn response(&mut self) -> HomeResponse {
        let epoch = Epoch(self.number());
        match self.0.random_range(0..8) {
            0 => HomeResponse::Vote(epoch, VoteReply::Granted),
            1 => HomeResponse::Vote(epoch, VoteReply::Held(self.holders())),
            2 => HomeResponse::Vote(epoch, VoteReply::Finished(self.answer())),
            3 => HomeResponse::Vote(epoch, VoteReply::KeyReused),
            4 => HomeResponse::Vote(epoch, VoteReply::Refused(self.reason())),
            5 => HomeResponse::Acknowledged(self.0.random()),
            6 => HomeResponse::Page(Err(self.reason())),
            _ => HomeResponse::Page(Ok(TransferPage {
                request: self.transfer_request(),
                claims: (0..3).map(|_| self.copied()).collect(),
                last: self.0.random(),
            })),
        }
    }

    fn strike(&mut self) -> crash::StrikeNotice {
        let count = |_| {
            let numbers = MemberCount {
                total: self.0.random(),
                cleared: self.0.random(),
            };
            (self.member(), numbers)
        };
        crash::StrikeNotice {
            counter: (0..3).map(count).collect(),
            fingerprint: self.fingerprint(),
            age: Millis(self.number()),
        }
    }
}

quickcheck! {
    fn messages_round_trip(seed: u64) -> bool {
        let mut random = Random(SmallRng::seed_from_u64(seed));
        let (sender, epoch) = (random.member(), Epoch(random.number()));
        let request = random.request();
        let bytes = ClaimRequest::new(&sender, epoch, &request).encode_to_vec();
        let read = ClaimRequest::decode(&bytes[..]).map(ClaimRequest::into_parts);
        assert_eq!(read, Ok(Ok((sender.clone(), epoch, request))));
        let response = random.response();
        let bytes = ClaimReply::new(&sender, epoch, &response).encode_to_vec();
        let read = ClaimReply::decode(&bytes[..]).map(ClaimReply::into_parts);
        assert_eq!(read, Ok(Ok((sender, epoch, response))));
        let strikes = vec![random.strike(), random.strike()];
        let bytes = Strikes::from(&strikes[..]).encode_to_vec();
        let read = Strikes::decode(&bytes[..]).map(Vec::<crash::StrikeNotice>::try_from);
        read == Ok(Ok(strikes))
    }

    fn decoding_arbitrary_bytes_does_not_panic(bytes: Vec<u8>) -> bool {
        let _ = ClaimRequest::decode(&bytes[..]).map(ClaimRequest::into_parts);
        let _ = ClaimReply::decode(&bytes[..]).map(ClaimReply::into_parts);
        let _ = Strikes::decode(&bytes[..]).map(Vec::<crash::StrikeNotice>::try_from);
        true
    }
}

#[test]
fn incomplete_messages_are_refused() {
    let errors = [
        ClaimRequest::default()
            .into_parts()
            .expect_err("no request")
            .to_string(),
        ClaimReply::default()
            .into_parts()
            .expect_err("no result")
            .to_string(),
        once::VoteRequest::try_from(Vote::default())
            .expect_err("no key")
            .to_string(),
        once::CopiedClaim::try_from(CopiedClaim::default())
            .expect_err("no state")
            .to_string(),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}

/// Claims of the maximum size must be transferred completely, in pages below the
/// maximum size of a message.
#[test]
fn pages_fit_in_a_message_and_transfer_all_claims() {
    let long = |i: u64| ClaimKey {
        service: "s".repeat(63).parse().expect("a name"),
        key: format!("{i:0>255}").parse().expect("a key"),
    };
    let bucket = long(0).bucket();
    let keys = (0..).map(long).filter(|k| k.bucket() == bucket).take(60);
    let keys: Vec<ClaimKey> = keys.collect();
    let me = |name: &str| Member {
        entry: name.repeat(63).parse().expect("a name"),
        incarnation: Incarnation(u64::MAX),
    };
    let set = |epoch, names: &[&str]| HomeSet {
        epoch: Epoch(epoch),
        members: names.iter().map(|n| me(n)).collect(),
    };
    let limits = ClaimLimits {
        claims: 1000,
        answers: Size::kib(10_000),
    };
    let (former, next) = (set(1, &["a"]), set(2, &["b"]));
    let mut source = ClaimTable::new(me("a"), bucket, limits);
    source.adopt(&HomeSet::default(), &former);
    let header = vec![b'x'; 1024];
    for (i, key) in keys.iter().enumerate() {
        if i % 4 == 0 {
            let vote = once::VoteRequest {
                key: key.clone(),
                fingerprint: Fingerprint(u128::MAX),
                attempt: AttemptId(1),
                claimant: me("c"),
                epoch: Epoch(1),
            };
            assert_eq!(source.vote(&vote, Millis(0)), VoteReply::Granted);
            continue;
        }
        let names = [
            "content-type",
            "content-encoding",
            "content-language",
            "etag",
            "location",
        ];
        let headers = names.map(|n| (n, &header[..]));
        let body = Bytes::from(vec![b'x'; 16 * 1024]);
        let finish = once::Finish {
            key: key.clone(),
            fingerprint: Fingerprint(u128::MAX),
            attempt: AttemptId(1),
            answer: Some(Arc::new(Answer::record(200, headers, Some(body)))),
        };
        assert!(source.finish(&finish, Millis(0)));
    }
    // The reader imports claims beyond its limit, because a key whose claim is left
    // out could be executed again.
    let small = ClaimLimits {
        claims: 1,
        ..limits
    };
    let mut reader = ClaimTable::new(me("b"), bucket, small);
    reader.adopt(&former, &next);
    let mut pages = 0;
    while let Some((from, read)) = reader.transfer_requests().pop() {
        let response = source.handle(&HomeRequest::Transfer(read), Millis(1));
        let size = ClaimReply::new(&from, Epoch(2), &response).encoded_len();
        assert!(size < MESSAGE_MAX, "a page takes {size} bytes");
        let HomeResponse::Page(Ok(page)) = response else {
            panic!("the source is ready");
        };
        reader.on_page(&from, page, Millis(5));
        pages += 1;
    }
    assert!(pages > 1 && reader.is_ready());
    assert_eq!(reader.len(), keys.len());
    for key in &keys {
        let [a, b] = [&source, &reader].map(|r| r.get(key, Millis(6)).map(|c| &c.state));
        assert_eq!(a, b);
    }
}

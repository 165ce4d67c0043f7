//! Measures what a claim costs at its home: time per vote, memory, and bytes on
//! the wire.
//!
//! Run with `cargo run --release --example claim_slope`. The memory is the
//! growth of the resident set, so it includes what the allocator wastes.

use std::{collections::BTreeMap, hint::black_box, sync::Arc, time::Instant};

use bytes::Bytes;
use prost::Message;
use savorybeam::{
    adapters::grpc::claim::{Claim, ClaimReply},
    domain::{Epoch, Incarnation, Millis, Size},
    policy::once::{
        Answer, AttemptId, Bucket, ClaimKey, Fingerprint, Finish, HomeSet, Limits, Member,
        Register, Release, Request, Roster, RosterEntry, Vote,
    },
};

const CLAIMS: u64 = 200_000;
const BODY: usize = 300;

fn member(i: usize) -> Member {
    Member {
        entry: format!("entry-{i}").parse().expect("a name"),
        incarnation: Incarnation(1_700_000_000),
    }
}

/// A vote whose key has the length of a UUID.
fn vote(i: u64) -> Vote {
    let key = ClaimKey {
        service: "payout-ledger".parse().expect("a name"),
        key: format!("{i:036}").parse().expect("a key"),
    };
    Vote {
        key,
        fingerprint: Fingerprint(u128::from(i)),
        attempt: AttemptId(i),
        claimant: member(1),
        epoch: Epoch(1),
    }
}

fn finish(vote: &Vote) -> Finish {
    let headers = [("content-type", &b"application/json"[..])];
    let answer = Answer::record(201, headers, Some(Bytes::from(vec![b'x'; BODY])));
    Finish {
        key: vote.key.clone(),
        fingerprint: vote.fingerprint,
        attempt: vote.attempt,
        answer: Some(Arc::new(answer)),
    }
}

fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok());
    kib.unwrap_or(0) * 1024
}

fn nanos(since: Instant, count: u64) -> u128 {
    since.elapsed().as_nanos() / u128::from(count)
}

fn roster(entries: usize) -> Roster {
    let entry = |i: usize| RosterEntry {
        member: member(i),
        region: format!("region-{}", i % 60).parse().expect("a name"),
        az: format!("az-{}", i % 187).parse().expect("a name"),
    };
    Roster::new(Epoch(1), (0..entries).map(entry))
}

fn main() {
    let homes = HomeSet {
        epoch: Epoch(1),
        members: vec![member(0)],
    };
    let limits = Limits {
        claims: u32::MAX,
        answers: Size(u64::MAX),
    };
    let mut registers: BTreeMap<Bucket, Register> = BTreeMap::new();
    for bucket in Bucket::all() {
        let mut register = Register::new(member(0), bucket, limits);
        register.adopt(&HomeSet::default(), &homes);
        registers.insert(bucket, register);
    }
    // The requests are made beforehand, so that their memory is not counted.
    let votes: Vec<Vote> = (0..CLAIMS).map(vote).collect();
    let mut ask = |request: &Request| {
        let register = registers.get_mut(&request.bucket()).expect("a register");
        black_box(register.handle(request, Millis(1)))
    };
    let before = resident();
    for name in ["first vote", "repeated vote"] {
        let start = Instant::now();
        for vote in &votes {
            ask(&Request::Vote(vote.clone()));
        }
        println!("{name}: {} ns", nanos(start, CLAIMS));
    }
    let claimed = resident();
    println!("memory per claim: {} B", (claimed - before) / CLAIMS);
    let start = Instant::now();
    for vote in &votes {
        ask(&Request::Finish(finish(vote)));
    }
    println!("answer of {BODY} B: {} ns", nanos(start, CLAIMS));
    let total = (resident() - before) / CLAIMS;
    println!("memory per claim with that answer: {total} B");

    let request = Request::Vote(votes[0].clone());
    let release = Release {
        key: votes[0].key.clone(),
        attempt: votes[0].attempt,
    };
    let samples = [
        ("vote", request.clone()),
        ("finish", Request::Finish(finish(&votes[0]))),
        ("release", Request::Release(release)),
    ];
    for (name, request) in &samples {
        let length = Claim::new(&member(1), Epoch(1), request).encoded_len();
        let response = ask(request);
        let reply = ClaimReply::new(&member(0), Epoch(1), &response).encoded_len();
        println!("{name}: {length} B, reply {reply} B, to each of three homes");
    }
    let start = Instant::now();
    for _ in 0..CLAIMS {
        let bytes = Claim::new(&member(1), Epoch(1), &request).encode_to_vec();
        let _ = black_box(Claim::decode(&bytes[..]).map(Claim::into_parts));
    }
    println!("encode and decode a vote: {} ns", nanos(start, CLAIMS));
    for entries in [9, 2800] {
        let roster = roster(entries);
        let start = Instant::now();
        Bucket::all().for_each(|b| drop(black_box(roster.homes(b))));
        let micros = start.elapsed().as_micros();
        println!("homes of all buckets, {entries} entries: {micros} us");
    }
}

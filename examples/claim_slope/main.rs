//! Measures what a claim costs at its home: time per vote, memory, and bytes on
//! the wire.
//!
//! Run with `cargo run --release --example claim_slope`. The memory is the
//! growth of the resident set, so it includes what the allocator wastes. The
//! recorded answer has a body of 300 bytes.

use std::{
    collections::BTreeMap,
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use prost::Message;
use savorybeam::{
    adapters::grpc::claim::{ClaimReply, ClaimRequest},
    domain::{Epoch, Incarnation, Millis, Size},
    policy::once::{
        Answer, AttemptId, Bucket, ClaimKey, ClaimLimits, ClaimTable, Fingerprint, Finish,
        HomeRequest, HomeSet, Member, Release, Roster, RosterEntry, VoteRequest,
    },
};

const CLAIMS: u32 = 200_000;
const BODY: usize = 300;

fn member(i: usize) -> Member {
    Member {
        entry: format!("entry-{i}").parse().expect("a name"),
        incarnation: Incarnation(1_700_000_000),
    }
}

/// A vote whose key has the length of a UUID.
fn vote(i: u32) -> VoteRequest {
    let key = ClaimKey {
        service: "payout-ledger".parse().expect("a name"),
        key: format!("{i:036}").parse().expect("a key"),
    };
    VoteRequest {
        key,
        fingerprint: Fingerprint(u128::from(i)),
        attempt: AttemptId(i.into()),
        claimant: member(1),
        epoch: Epoch(1),
    }
}

fn finish(vote: &VoteRequest) -> Finish {
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
    let limits = ClaimLimits {
        claims: u32::MAX,
        answers: Size(u64::MAX),
    };
    let mut tables: BTreeMap<Bucket, ClaimTable> = BTreeMap::new();
    for bucket in Bucket::all() {
        let mut table = ClaimTable::new(member(0), bucket, limits);
        table.adopt(&HomeSet::default(), &homes);
        tables.insert(bucket, table);
    }
    let mut ask = |request: &HomeRequest| {
        let table = tables.get_mut(&request.bucket()).expect("a table");
        black_box(table.handle(request, Millis(1)))
    };
    let before = resident();
    for name in ["first vote", "repeated vote", "answer"] {
        let mut time = Duration::ZERO;
        for i in 0..CLAIMS {
            // Decoded from a message, so that a claim shares no memory with us.
            let request = match name {
                "answer" => HomeRequest::Finish(finish(&vote(i))),
                _ => HomeRequest::Vote(vote(i)),
            };
            let bytes = ClaimRequest::new(&member(1), Epoch(1), &request).encode_to_vec();
            let claim = ClaimRequest::decode(&bytes[..]).expect("our own message");
            let (_, _, request) = claim.into_parts().expect("our own message");
            let start = Instant::now();
            ask(&request);
            time += start.elapsed();
        }
        let (time, memory) = (time / CLAIMS, (resident() - before) / u64::from(CLAIMS));
        println!("{name}: {time:?}, then {memory} B of memory per claim");
    }

    let fresh = vote(CLAIMS);
    let request = HomeRequest::Vote(fresh.clone());
    let release = Release {
        key: fresh.key.clone(),
        attempt: fresh.attempt,
    };
    let samples = [
        ("vote", request.clone()),
        ("finish", HomeRequest::Finish(finish(&fresh))),
        ("repeat", request.clone()),
        ("release", HomeRequest::Release(release)),
    ];
    for (name, request) in &samples {
        let length = ClaimRequest::new(&member(1), Epoch(1), request).encoded_len();
        let response = ask(request);
        let reply = ClaimReply::new(&member(0), Epoch(1), &response).encoded_len();
        println!("{name}: {length} B, reply {reply} B, to each of three homes");
    }
    let start = Instant::now();
    for _ in 0..CLAIMS {
        let bytes = ClaimRequest::new(&member(1), Epoch(1), &request).encode_to_vec();
        let _ = black_box(ClaimRequest::decode(&bytes[..]).map(ClaimRequest::into_parts));
    }
    println!("encode and decode a vote: {:?}", start.elapsed() / CLAIMS);
    for entries in [9, 2800] {
        let roster = roster(entries);
        let start = Instant::now();
        Bucket::all().for_each(|b| drop(black_box(roster.homes(b))));
        let time = start.elapsed();
        println!("homes of all buckets, {entries} entries: {time:?}");
    }
}

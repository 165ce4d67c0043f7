//! Measures the cost of a claim at the member that stores it, its home: time per
//! vote, memory, and bytes on the wire.
//!
//! Run with `cargo run --release --example claim_slope`. Memory is measured as
//! the growth of the resident set, so it includes allocator overhead. The
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

const CLAIM_COUNT: u32 = 200_000;
const BODY_BYTES: usize = 300;

fn member(i: usize) -> Member {
    Member {
        entry: format!("entry-{i}").parse().expect("a valid name"),
        incarnation: Incarnation(1_700_000_000),
    }
}

/// Returns a vote whose key has 36 characters, as a UUID has.
fn vote(i: u32) -> VoteRequest {
    let key = ClaimKey {
        service: "payout-ledger".parse().expect("a valid name"),
        key: format!("{i:036}").parse().expect("a valid key"),
    };
    VoteRequest {
        key,
        fingerprint: Fingerprint(u128::from(i)),
        attempt: AttemptId(i.into()),
        claimant: member(1),
        epoch: Epoch(1),
    }
}

/// Returns the request that records the answer to the request of `vote`.
fn finish(vote: &VoteRequest) -> Finish {
    let headers = [("content-type", &b"application/json"[..])];
    let answer = Answer::record(201, headers, Some(Bytes::from(vec![b'x'; BODY_BYTES])));
    Finish {
        key: vote.key.clone(),
        fingerprint: vote.fingerprint,
        attempt: vote.attempt,
        answer: Some(Arc::new(answer)),
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kib.unwrap_or(0) * 1024
}

fn roster(entries: usize) -> Roster {
    let entry = |i: usize| RosterEntry {
        member: member(i),
        region: format!("region-{}", i % 60).parse().expect("a valid name"),
        az: format!("az-{}", i % 187).parse().expect("a valid name"),
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
    let mut handle_request = |request: &HomeRequest| {
        let table = tables
            .get_mut(&request.bucket())
            .expect("a table for every bucket");
        black_box(table.handle(request, Millis(1)))
    };
    let initial_bytes = resident_bytes();
    for step in ["first vote", "repeated vote", "answer"] {
        let mut total_time = Duration::ZERO;
        for i in 0..CLAIM_COUNT {
            // Decoding gives the table its own copy of the request, as for a
            // claim from another process, so that its memory is counted.
            let request = match step {
                "answer" => HomeRequest::Finish(finish(&vote(i))),
                _ => HomeRequest::Vote(vote(i)),
            };
            let encoded = ClaimRequest::new(&member(1), Epoch(1), &request).encode_to_vec();
            let claim = ClaimRequest::decode(&encoded[..]).expect("a message encoded here");
            let (_, _, request) = claim.into_parts().expect("a message encoded here");
            let start = Instant::now();
            handle_request(&request);
            total_time += start.elapsed();
        }
        let (mean_time, claim_bytes) = (
            total_time / CLAIM_COUNT,
            resident_bytes().saturating_sub(initial_bytes) / u64::from(CLAIM_COUNT),
        );
        println!("{step}: {mean_time:?}, then {claim_bytes} B of memory per claim");
    }

    let unclaimed_vote = vote(CLAIM_COUNT);
    let request = HomeRequest::Vote(unclaimed_vote.clone());
    let release = Release {
        key: unclaimed_vote.key.clone(),
        attempt: unclaimed_vote.attempt,
    };
    let samples = [
        ("vote", request.clone()),
        ("finish", HomeRequest::Finish(finish(&unclaimed_vote))),
        ("repeat", request.clone()),
        ("release", HomeRequest::Release(release)),
    ];
    for (name, request) in &samples {
        let request_bytes = ClaimRequest::new(&member(1), Epoch(1), request).encoded_len();
        let response = handle_request(request);
        let reply_bytes = ClaimReply::new(&member(0), Epoch(1), &response).encoded_len();
        println!("{name}: {request_bytes} B, reply {reply_bytes} B, to each of three homes");
    }
    let start = Instant::now();
    for _ in 0..CLAIM_COUNT {
        let encoded = ClaimRequest::new(&member(1), Epoch(1), &request).encode_to_vec();
        let _ = black_box(ClaimRequest::decode(&encoded[..]).map(ClaimRequest::into_parts));
    }
    println!(
        "encode and decode a vote: {:?}",
        start.elapsed() / CLAIM_COUNT
    );
    for entries in [9, 2800] {
        let roster = roster(entries);
        let start = Instant::now();
        Bucket::all().for_each(|bucket| drop(black_box(roster.homes(bucket))));
        let elapsed = start.elapsed();
        println!("homes of all buckets, {entries} entries: {elapsed:?}");
    }
}

//! Bounds of the claim ledger, and claims whose key it may have forgotten or missed.

use ebonyspur::{
    once::{
        Claim, ClaimCheck, ClaimId, ClaimLedger, ClaimRecord, IdempotencyKey, Outcome,
        RecordedResponse, SettledClaim, StreamRecord, MAX_ANSWER_BYTES,
    },
    CallKey, Incarnation, Offset, RouterName, ServiceName, TeamName, UnixMillis,
};
use expect_test::expect;

const ISSUED: UnixMillis = UnixMillis(1_800_000_000_000);
const DAY_MS: u64 = 24 * 3_600_000;

fn record(name: &str, nonce: u64) -> ClaimRecord {
    let key = IdempotencyKey {
        team: TeamName::new("kerb").unwrap(),
        service: ServiceName::new("trade").unwrap(),
        call: CallKey::new(name).unwrap(),
    };
    ClaimRecord {
        id: ClaimId {
            key,
            issued: ISSUED,
            router: RouterName::new("router-1").unwrap(),
            incarnation: Incarnation(1),
            nonce,
        },
        made: ISSUED,
        read: Offset(0),
    }
}

/// Applies the claim as the next record of its stream and settles it.
fn claim(ledger: &mut ClaimLedger, record: ClaimRecord) -> &'static str {
    let partition = record.id.key.partition();
    let offset = ledger.applied(partition);
    ledger.apply(partition, offset, Some(StreamRecord::Claim(record.clone())));
    let position = ledger.claim_position(&record.id);
    match Claim::new(record.id).settle(position) {
        SettledClaim::Acquired(_) => "acquired",
        SettledClaim::Duplicate(_) => "duplicate",
        SettledClaim::Indeterminate(_) => "indeterminate",
    }
}

#[test]
fn a_key_that_was_forgotten_is_never_acquired_again() {
    let mut ledger = ClaimLedger::new();
    let mut outcomes = vec![
        claim(&mut ledger, record("a", 1)),
        claim(&mut ledger, record("a", 2)),
    ];
    ledger.evict(UnixMillis(ISSUED.0 + DAY_MS));
    outcomes.push(claim(&mut ledger, record("a", 3)));
    ledger.evict(UnixMillis(ISSUED.0 + DAY_MS + 60_000));
    outcomes.push(claim(&mut ledger, record("a", 4)));
    outcomes.push(if ledger.is_empty() { "empty" } else { "held" });
    expect!["acquired duplicate duplicate indeterminate empty"].assert_eq(&outcomes.join(" "));
}

#[test]
fn a_key_whose_claim_may_be_among_truncated_records_is_not_acquired() {
    let mut ledger = ClaimLedger::new();
    let partition = record("a", 1).id.key.partition();
    ledger.skip_truncated(partition, Offset(50), ISSUED);
    let before = claim(&mut ledger, record("a", 1));
    // A claim made long before the key was issued; only at offset 50 has its router read all
    // truncated records.
    let mut earlier_claim = record("b", 2);
    earlier_claim.made = UnixMillis(ISSUED.0 - DAY_MS);
    earlier_claim.read = Offset(49);
    ledger.apply(
        partition,
        Offset(51),
        Some(StreamRecord::Claim(earlier_claim.clone())),
    );
    let too_few_read = claim(&mut ledger, record("a", 3));
    earlier_claim.read = Offset(50);
    ledger.apply(
        partition,
        Offset(53),
        Some(StreamRecord::Claim(earlier_claim)),
    );
    let mut fresh = record("a", 4);
    while fresh.id.key.partition() != partition || fresh.id.nonce == 4 {
        let nonce = fresh.id.nonce + 1;
        fresh = record(&format!("c{nonce}"), nonce);
    }
    let all_read = claim(&mut ledger, fresh);
    expect!["indeterminate indeterminate acquired"]
        .assert_eq(&format!("{before} {too_few_read} {all_read}"));
}

#[test]
fn recorded_answers_are_bounded_in_memory() {
    let mut ledger = ClaimLedger::new();
    let len = MAX_ANSWER_BYTES / 4;
    for number in 0..8 {
        let mut record = record(&format!("k{number}"), number);
        record.id.issued.0 += number;
        let partition = record.id.key.partition();
        let result = ebonyspur::once::ResultRecord {
            claim: record.id.clone(),
            outcome: Outcome::Answered(RecordedResponse {
                status: 200,
                content_type: "text/plain".into(),
                body: Some("x".repeat(len)),
            }),
        };
        claim(&mut ledger, record);
        let offset = ledger.applied(partition);
        ledger.apply(partition, offset, Some(StreamRecord::Result(result)));
        ledger.evict(ISSUED);
    }
    expect!["4 of 8 held"].assert_eq(&format!("{} of 8 held", ledger.len()));
}

#[test]
fn a_partition_that_is_reset_is_read_from_its_start_before_claims_are_answered() {
    let mut ledger = ClaimLedger::new();
    let (first, later) = (record("a", 1), record("a", 2));
    let partition = first.id.key.partition();
    let mut checks = vec![ledger.check_claim(&later.id)];
    for round in 0..2 {
        ledger.apply(
            partition,
            Offset(0),
            Some(StreamRecord::Claim(first.clone())),
        );
        ledger.record_head(partition, Offset(2));
        checks.push(ledger.check_claim(&later.id));
        ledger.apply(partition, Offset(1), None);
        ledger.record_head(partition, Offset(2));
        checks.push(ledger.check_claim(&later.id));
        if round == 0 {
            ledger.reset_partition(partition);
            checks.push(ledger.check_claim(&later.id));
        }
    }
    let held = ledger.len();
    let checks: Vec<_> = checks
        .iter()
        .map(|check| match check {
            ClaimCheck::NotCaughtUp => "not-caught-up",
            ClaimCheck::Logged(_) => "logged",
            ClaimCheck::Unclaimed => "unclaimed",
            ClaimCheck::Forgotten => "forgotten",
        })
        .collect();
    expect!["not-caught-up not-caught-up logged not-caught-up not-caught-up logged, 1 held"]
        .assert_eq(&format!("{}, {held} held", checks.join(" ")));
}

//! What the ledger may forget, and what that does to claims.

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
    let shown = ledger.claim_position(&record.id);
    match Claim::new(record.id).settle(shown) {
        SettledClaim::Acquired(_) => "won",
        SettledClaim::Duplicate(_) => "lost",
        SettledClaim::Indeterminate(_) => "unknown",
    }
}

#[test]
fn a_key_that_was_forgotten_is_never_won_again() {
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
    expect!["won lost lost unknown empty"].assert_eq(&outcomes.join(" "));
}

#[test]
fn a_key_whose_claim_may_be_among_lost_records_is_not_won() {
    let mut ledger = ClaimLedger::new();
    let partition = record("a", 1).id.key.partition();
    ledger.skip_truncated(partition, Offset(50), ISSUED);
    let before = claim(&mut ledger, record("a", 1));
    // Made long before the issue of the key by a router that had read all lost records.
    let mut witness = record("b", 2);
    witness.made = UnixMillis(ISSUED.0 - DAY_MS);
    witness.read = Offset(49);
    ledger.apply(
        partition,
        Offset(51),
        Some(StreamRecord::Claim(witness.clone())),
    );
    let too_few_read = claim(&mut ledger, record("a", 3));
    witness.read = Offset(50);
    ledger.apply(partition, Offset(53), Some(StreamRecord::Claim(witness)));
    let mut fresh = record("a", 4);
    while fresh.id.key.partition() != partition || fresh.id.nonce == 4 {
        let nonce = fresh.id.nonce + 1;
        fresh = record(&format!("c{nonce}"), nonce);
    }
    let all_read = claim(&mut ledger, fresh);
    expect!["unknown unknown won"].assert_eq(&format!("{before} {too_few_read} {all_read}"));
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
fn a_partition_that_is_taken_over_is_read_from_its_start_before_it_is_answered_for() {
    let mut ledger = ClaimLedger::new();
    let (first, later) = (record("a", 1), record("a", 2));
    let partition = first.id.key.partition();
    let mut reviews = vec![ledger.check_claim(&later.id)];
    for round in 0..2 {
        ledger.apply(
            partition,
            Offset(0),
            Some(StreamRecord::Claim(first.clone())),
        );
        ledger.record_head(partition, Offset(2));
        reviews.push(ledger.check_claim(&later.id));
        ledger.apply(partition, Offset(1), None);
        ledger.record_head(partition, Offset(2));
        reviews.push(ledger.check_claim(&later.id));
        if round == 0 {
            ledger.reset_partition(partition);
            reviews.push(ledger.check_claim(&later.id));
        }
    }
    let held = ledger.len();
    let reviews: Vec<_> = reviews
        .iter()
        .map(|review| match review {
            ClaimCheck::NotCaughtUp => "behind",
            ClaimCheck::Logged(_) => "shown",
            ClaimCheck::Unclaimed => "free",
            ClaimCheck::Forgotten => "forgotten",
        })
        .collect();
    expect!["behind behind shown behind behind shown, 1 held"]
        .assert_eq(&format!("{}, {held} held", reviews.join(" ")));
}

//! What the ledger may forget, and what that does to claims.

use ebonyspur::{
    once::{Claim, ClaimRecord, Key, Ledger, Outcome, Record, Recorded, Settled, MAX_ANSWER_BYTES},
    CallKey, Incarnation, Offset, RouterName, ServiceName, TeamName, UnixMillis,
};
use expect_test::expect;

const ISSUED: UnixMillis = UnixMillis(1_800_000_000_000);
const DAY_MS: u64 = 24 * 3_600_000;

fn record(name: &str, nonce: u64) -> ClaimRecord {
    ClaimRecord {
        key: Key {
            team: TeamName::new("kerb").unwrap(),
            service: ServiceName::new("trade").unwrap(),
            call: CallKey::new(name).unwrap(),
        },
        issued: ISSUED,
        router: RouterName::new("router-1").unwrap(),
        incarnation: Incarnation(1),
        nonce,
        made: ISSUED,
        read: Offset(0),
    }
}

/// Applies the claim as the next record of its stream and settles it.
fn claim(ledger: &mut Ledger, record: ClaimRecord) -> &'static str {
    let partition = record.key.partition();
    let offset = ledger.applied(partition);
    ledger.apply(partition, offset, Some(Record::Claim(record.clone())));
    match Claim::new(record).settle(ledger) {
        Settled::Won(_) => "won",
        Settled::Lost(_) => "lost",
        Settled::Unknown(_) => "unknown",
    }
}

#[test]
fn a_key_that_was_forgotten_is_never_won_again() {
    let mut ledger = Ledger::new();
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
    let mut ledger = Ledger::new();
    let partition = record("a", 1).key.partition();
    ledger.skip_to(partition, Offset(50), ISSUED);
    let before = claim(&mut ledger, record("a", 1));
    // Made long before the issue of the key by a router that had read all lost records.
    let mut witness = record("b", 2);
    witness.made = UnixMillis(ISSUED.0 - DAY_MS);
    witness.read = Offset(49);
    ledger.apply(partition, Offset(51), Some(Record::Claim(witness.clone())));
    let too_few_read = claim(&mut ledger, record("a", 3));
    witness.read = Offset(50);
    ledger.apply(partition, Offset(53), Some(Record::Claim(witness)));
    let mut fresh = record("a", 4);
    while fresh.key.partition() != partition || fresh.nonce == 4 {
        fresh.nonce += 1;
        fresh = record(&format!("c{}", fresh.nonce), fresh.nonce);
    }
    let all_read = claim(&mut ledger, fresh);
    expect!["unknown unknown won"].assert_eq(&format!("{before} {too_few_read} {all_read}"));
}

#[test]
fn recorded_answers_are_bounded_in_memory() {
    let mut ledger = Ledger::new();
    let len = MAX_ANSWER_BYTES / 4;
    for number in 0..8 {
        let mut record = record(&format!("k{number}"), number);
        record.issued.0 += number;
        let partition = record.key.partition();
        let result = ebonyspur::once::ResultRecord {
            claim: record.clone(),
            outcome: Outcome::Answered(Recorded {
                status: 200,
                content_type: "text/plain".into(),
                body: Some("x".repeat(len)),
            }),
        };
        claim(&mut ledger, record);
        let offset = ledger.applied(partition);
        ledger.apply(partition, offset, Some(Record::Result(result)));
        ledger.evict(ISSUED);
    }
    expect!["4 of 8 held"].assert_eq(&format!("{} of 8 held", ledger.len()));
}

//! Authentication and verification of plan tokens.

use ebonyspur::{
    config::Secret,
    intent::PlanToken,
    peer::{Authenticator, Purpose},
};
use expect_test::expect;

use super::fixtures::{drain, fleet, state};

fn authenticator(key: &str, purpose: Purpose) -> Authenticator {
    Authenticator::new(&[Secret::new(key)], purpose)
}

#[test]
fn an_altered_or_foreign_plan_token_is_rejected() {
    let key = authenticator("key", Purpose::Plan);
    let plan = drain(&state(), &fleet(4, 0), "engine-1").expect("a plan");
    let text = PlanToken::new(&plan, &key).to_string();
    let token: PlanToken = text.parse().expect("a token");
    let verified = token.verify(&key).expect("the plan");
    assert_eq!(verified.document(), plan.document());

    let mut altered = text.clone().into_bytes();
    altered[60] = if altered[60] == b'A' { b'B' } else { b'A' };
    let altered = String::from_utf8(altered).expect("text");
    let faults = [
        (altered.as_str(), &key),
        (text.as_str(), &authenticator("other", Purpose::Plan)),
        (text.as_str(), &authenticator("key", Purpose::Checkpoint)),
        ("AAAA", &key),
        ("not base64!", &key),
    ];
    let lines = faults.map(|(text, key)| {
        let verified = text
            .parse::<PlanToken>()
            .and_then(|token| token.verify(key));
        verified.map_or_else(|err| err.to_string(), |_| "opened".into())
    });
    expect![[r#"
        bad_input: the plan token is altered or from another fleet
        bad_input: the plan token is altered or from another fleet
        bad_input: the plan token is altered or from another fleet
        bad_input: the plan token is altered or from another fleet
        bad_input: the plan token is malformed"#]]
    .assert_eq(&lines.join("\n"));
}

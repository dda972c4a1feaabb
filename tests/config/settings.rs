//! Parsing of the settings file, and the report of all its faults.

use ebonyspur::Settings;
use expect_test::expect;

const COMPLETE_FILE: &str = "
router: {name: router-1, failure_domain: d1}
listen: {callers: '127.0.0.1:7000', peers: '127.0.0.1:7001', operators: '127.0.0.1:7002'}
platform: {url: 'http://127.0.0.1:6000'}
peers: {keys: [key-of-the-test-fleet]}
operators: [{name: test, token: token-of-the-operator, teams: [kerb]}]
";

#[test]
fn a_complete_file_is_parsed() {
    let settings = Settings::from_yaml(COMPLETE_FILE).expect("valid settings");
    expect![[r#"
        [
            Operator {
                name: "test",
                token: ***,
                teams: Some(
                    [
                        kerb,
                    ],
                ),
            },
        ]
    "#]]
    .assert_debug_eq(&settings.operators);
}

#[test]
fn all_faults_are_reported_with_their_paths() {
    let text = "
router: {name: 'no spaces allowed', colour: blue}
listen: {callers: 7000, peers: '127.0.0.1:7001'}
platform: {url: 'ftp://127.0.0.1'}
peers: {keys: [short]}
operators: [{name: test, token: token-of-the-operator}, {name: second, tokn: x}]
limits: {body_bytes: 12}
extra: 1
";
    let err = Settings::from_yaml(text).expect_err("invalid settings");
    expect![[r#"
        router.name: must be 1 to 128 bytes of [A-Za-z0-9._:-]
        router.failure_domain: is required
        listen.callers: must be IP:PORT
        listen.operators: is required
        platform.url: must be an http:// URL
        peers.keys: must be text of at least 16 bytes
        operators[1].token: is required
        limits.body_bytes: must be a whole number from 1024 to 67108864
        extra: unknown key
        router.colour: unknown key
        operators[1].tokn: unknown key"#]]
    .assert_eq(err.message());
}

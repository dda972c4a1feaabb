//! Deaths of engines that are restarted before anyone looks.

use ebonyspur::{
    admission::{Crash, CrashHistory, Fingerprint, PossibleCrashes, MAX_POSSIBLE_CRASHES},
    EngineName, Incarnation, Instant,
};
use expect_test::expect;

fn crash(fingerprint: u64, engine: &str, incarnation: u64) -> Crash {
    Crash {
        fingerprint: Fingerprint(fingerprint),
        engine: EngineName::new(engine).unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Shows the requests and lives that a later life of engine `a` proves to have died.
fn ended(suspects: &mut CrashHistory, life: u64, millis: u64) -> Vec<(u64, u64)> {
    let engine = EngineName::new("a").unwrap();
    let ended = suspects.take_confirmed(&engine, Incarnation(life), at(millis));
    let number = |crash: &Crash| (crash.fingerprint.0, crash.incarnation.0);
    ended.iter().map(number).collect()
}

#[test]
fn a_later_life_proves_the_death_of_an_engine_that_broke_off() {
    let mut suspects = CrashHistory::new();
    for number in [1, 2, 3] {
        suspects.record_possible_crash(crash(number, "a", 1), at(0));
    }
    suspects.record_possible_crash(crash(4, "b", 1), at(0));
    suspects.record_success(Fingerprint(2));
    let alone = [1, 2, 4, 5].map(|number| suspects.is_high_risk(Fingerprint(number), at(10)));
    // Broken off twice, by what may have been two lives.
    suspects.record_possible_crash(crash(3, "a", 1), at(10));
    let same = ended(&mut suspects, 1, 20);
    let later = ended(&mut suspects, 9, 30);
    let again = ended(&mut suspects, 10, 40);
    expect![[r#"
        runs alone: 1 true, answered whole false, other engine true, other request false
        same life [], later life [(1, 1), (3, 1), (3, 2)], once more []"#]]
    .assert_eq(&format!(
        "runs alone: 1 {}, answered whole {}, other engine {}, other request {}\n\
         same life {same:?}, later life {later:?}, once more {again:?}",
        alone[0], alone[1], alone[2], alone[3]
    ));
}

#[test]
fn watches_are_bounded_in_time_and_number() {
    let mut suspects = CrashHistory::new();
    suspects.record_possible_crash(crash(1, "a", 1), at(0));
    let late = suspects.is_high_risk(Fingerprint(1), at(5_000));
    let late = (late, ended(&mut suspects, 2, 5_000));
    let mut watched = PossibleCrashes::default();
    for number in 0..2 * MAX_POSSIBLE_CRASHES as u64 {
        watched.insert(crash(number, "a", 1), at(0));
    }
    let newest = Fingerprint(2 * MAX_POSSIBLE_CRASHES as u64 - 1);
    let kept = (watched.len(), watched.count(newest, at(1)));
    expect!["after 5 s: (false, []), held and newest kept: (4096, 1)"].assert_eq(&format!(
        "after 5 s: {late:?}, held and newest kept: {kept:?}"
    ));
}

#[test]
fn no_third_engine_is_risked_while_two_deaths_are_possible() {
    let mut suspects = CrashHistory::new();
    let mut steps = String::new();
    let mut note = |what: &str, suspects: &CrashHistory, millis| {
        let held = suspects.must_wait(Fingerprint(1), at(millis));
        let convicted = suspects.is_quarantined(Fingerprint(1), at(millis));
        steps += &format!("{what}: held {held}, convicted {convicted}\n");
    };
    suspects.record_possible_crash(crash(1, "a", 1), at(0));
    note("broken off by a", &suspects, 0);
    suspects.record_crash(&crash(1, "a", 1), at(10));
    note("a died", &suspects, 10);
    suspects.record_possible_crash(crash(1, "b", 1), at(20));
    note("broken off by b", &suspects, 20);
    note("after 5 s", &suspects, 5_020);
    suspects.record_crash(&crash(1, "b", 1), at(5_030));
    note("b died", &suspects, 5_030);
    expect![[r#"
        broken off by a: held false, convicted false
        a died: held false, convicted false
        broken off by b: held true, convicted false
        after 5 s: held false, convicted false
        b died: held true, convicted true
    "#]]
    .assert_eq(&steps);
}

//! Placement of requests by the parts of their prompts.

use ebonyspur::{
    catalog::{Server, ServerKey},
    placement::{
        pick_by_session, pick_by_two_choices, Candidate, LoadBound, PromptPart, SessionAffinity,
        SessionKey, SharedPrompt,
    },
    DomainName, EngineName, Incarnation, Instant, PoolName,
};
use expect_test::expect;

fn servers(count: usize) -> Vec<Server> {
    let server = |number: usize| Server {
        name: EngineName::new(&format!("e{number}")).unwrap(),
        pool: PoolName::new("writers").unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: DomainName::new("d1").unwrap(),
        incarnation: Incarnation(1),
        slots: 64,
        leaving: false,
    };
    (0..count).map(server).collect()
}

fn candidates<'a>(servers: &'a [Server], loads: &[u32]) -> Vec<Candidate<'a>> {
    let candidate = |(server, load): (&'a Server, &u32)| Candidate {
        server,
        load: *load,
        slowness: 1.0,
        is_avoided: false,
        pending_tokens: 0,
    };
    servers.iter().zip(loads).map(candidate).collect()
}

#[test]
fn the_part_before_the_last_identifies_the_session_and_the_first_is_common_to_sessions() {
    let part = |id: &u64| PromptPart {
        id: *id,
        tokens: 100,
    };
    let lines = [vec![], vec![7], vec![7, 8], vec![7, 8, 9]].map(|ids| {
        let parts: Vec<_> = ids.iter().map(part).collect();
        let shared = SharedPrompt::from_parts(&parts);
        shared.map_or("none".into(), |shared| {
            format!(
                "session {} common {:?} tokens {}",
                shared.session, shared.common_prefix, shared.tokens
            )
        })
    });
    expect![[r#"
        none
        session 7 common None tokens 0
        session 7 common None tokens 100
        session 8 common Some(7) tokens 200"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_session_that_no_engine_holds_goes_to_an_engine_with_few_tokens_to_prefill() {
    let all = servers(12);
    let mut pending = [0_u32; 12];
    let mut by_rank = [0_u32; 12];
    for session in 0..71 {
        let mut candidates = candidates(&all, &[1; 12]);
        let first = pick_by_session(session, &candidates, 10.0, &[]).expect("an engine");
        by_rank[first] += 10_000;
        for (candidate, tokens) in candidates.iter_mut().zip(pending) {
            candidate.pending_tokens = tokens;
        }
        pending[pick_by_session(session, &candidates, 10.0, &[]).expect("an engine")] += 10_000;
    }
    let most = |tokens: &[u32]| tokens.iter().max().copied();
    expect!["71 sessions of 10,000 tokens on 12 engines, most on one: by rank Some(90000), by pending tokens Some(70000)"].assert_eq(&format!(
        "71 sessions of 10,000 tokens on 12 engines, most on one: by rank {:?}, by pending tokens {:?}",
        most(&by_rank),
        most(&pending)
    ));
}

#[test]
fn a_joining_engine_moves_no_warm_session_and_a_leaving_one_only_its_own() {
    let all = servers(13);
    let loads = [4; 13];
    let place = |known: usize, session: u64, warm: &[ServerKey]| {
        let candidates = candidates(&all[..known], &loads);
        pick_by_session(session, &candidates, 10.0, warm).expect("an engine")
    };
    let sessions = 0..500_u64;
    let before: Vec<_> = sessions
        .clone()
        .map(|session| place(12, session, &[]))
        .collect();
    let count = |moved: &dyn Fn(u64) -> bool| sessions.clone().filter(|s| moved(*s)).count();
    let cold = count(&|s| place(13, s, &[]) != before[s as usize]);
    let warm = count(&|s| place(13, s, &[all[before[s as usize]].key()]) != before[s as usize]);
    expect!["moved to the new engine: cold 41, warm 0"].assert_eq(&format!(
        "moved to the new engine: cold {cold}, warm {warm}"
    ));
}

#[test]
fn a_session_uses_a_slot_at_a_cold_engine_when_its_own_have_no_room() {
    let all = servers(6);
    let (home, cold) = (2, 4);
    let place = |loads: [u32; 6], warm: &[usize]| {
        let mut preferred: Vec<_> = warm.iter().map(|index| all[*index].key()).collect();
        preferred.push(all[cold].key());
        pick_by_session(9, &candidates(&all, &loads), 10.0, &preferred)
    };
    let with = |index: usize, load| {
        let mut loads = [1; 6];
        loads[index] = load;
        loads
    };
    let chosen = [
        ("own engine with room", place([1; 6], &[home])),
        ("own engine full", place(with(home, 10), &[home])),
        ("no own engine", place([1; 6], &[])),
        ("cold engine full", place(with(cold, 10), &[])),
    ];
    expect![[r#"[("own engine with room", Some(2)), ("own engine full", Some(4)), ("no own engine", Some(4)), ("cold engine full", Some(2))]"#]].assert_eq(&format!("{chosen:?}"));
}

#[test]
fn a_session_over_the_bound_spills_to_the_engine_that_it_spilled_to_before() {
    let all = servers(6);
    let home = pick_by_session(9, &candidates(&all, &[1; 6]), 10.0, &[]).expect("an engine");
    let mut loads = [1; 6];
    loads[home] = 10;
    let first = pick_by_session(9, &candidates(&all, &loads), 10.0, &[all[home].key()]);
    let first = first.expect("an engine");
    assert_ne!(first, home);
    // The session stays on the engine that it spilled to, even once its first engine is below
    // the bound again.
    let warm = [all[first].key(), all[home].key()];
    assert_eq!(
        pick_by_session(9, &candidates(&all, &loads), 10.0, &warm),
        Some(first)
    );
    loads[home] = 1;
    assert_eq!(
        pick_by_session(9, &candidates(&all, &loads), 10.0, &warm),
        Some(first)
    );
}

#[test]
fn the_least_loaded_engine_is_chosen_when_all_are_over_the_bound() {
    let all = servers(4);
    let mut candidates = candidates(&all, &[9, 7, 8, 9]);
    assert_eq!(pick_by_session(1, &candidates, 5.0, &[]), Some(1));
    candidates[1].is_avoided = true;
    assert_eq!(pick_by_session(1, &candidates, 5.0, &[]), Some(2));
    assert_eq!(pick_by_session(1, &[], 5.0, &[]), None);
}

#[test]
fn the_load_bound_follows_the_mean_load() {
    let bound = LoadBound {
        factor: 1.7,
        extra: 2.0,
    };
    let limits =
        [vec![], vec![0, 0], vec![10, 20], vec![5; 12]].map(|loads| bound.limit(loads.into_iter()));
    expect!["[2.0, 2.0, 27.5, 10.5]"].assert_eq(&format!("{limits:?}"));
}

#[test]
fn the_less_loaded_of_two_servers_that_are_not_avoided_is_chosen() {
    let all = servers(3);
    let mut candidates = candidates(&all, &[5, 2, 9]);
    let choices = |candidates: &[Candidate<'_>]| {
        let mut counts = [0; 3];
        for first in 0..3 {
            for second in 0..2 {
                counts[pick_by_two_choices(candidates, first, second).expect("a server")] += 1;
            }
        }
        counts
    };
    let healthy = choices(&candidates);
    candidates[1].is_avoided = true;
    expect!["[2, 4, 0] [6, 0, 0]"].assert_eq(&format!("{healthy:?} {:?}", choices(&candidates)));
    assert_eq!(pick_by_two_choices(&candidates[..1], 8, 9), Some(0));
    assert_eq!(pick_by_two_choices(&[], 8, 9), None);
}

#[test]
fn a_session_leaves_an_engine_that_is_slow_and_stays_on_one_that_is_a_little_slower() {
    let all = servers(6);
    let mut candidates = candidates(&all, &[8; 6]);
    let home = pick_by_session(9, &candidates, 10.0, &[]).expect("an engine");
    let warm = [all[home].key()];
    let stays = [0.77, 1.3, 2.5, 4.0].map(|slowness| {
        candidates[home].slowness = slowness;
        pick_by_session(9, &candidates, 10.0, &warm) == Some(home)
    });
    expect!["[true, true, false, false]"].assert_eq(&format!("{stays:?}"));
    // A fast engine gets no request beyond the bound on the number of requests.
    candidates[home].slowness = 0.25;
    candidates[home].load = 10;
    assert_ne!(pick_by_session(9, &candidates, 10.0, &warm), Some(home));
    for candidate in &mut candidates {
        candidate.slowness = 4.0;
        candidate.load = 9;
    }
    candidates[home].slowness = 0.25;
    candidates[home].load = 10;
    assert_ne!(pick_by_session(9, &candidates, 10.0, &warm), Some(home));
}

#[test]
fn servers_that_work_as_usual_are_compared_by_load_whatever_their_slots() {
    let mut all = servers(2);
    all[0].slots = 4;
    for loads in [[3, 4], [4, 3]] {
        let candidates = candidates(&all, &loads);
        let less_loaded = usize::from(loads[1] < loads[0]);
        assert_eq!(pick_by_two_choices(&candidates, 0, 0), Some(less_loaded));
    }
}

#[test]
fn placements_are_announced_twice_and_expire_after_a_minute() {
    let (here, there) = (SessionAffinity::default(), SessionAffinity::default());
    let session = SessionKey::new(7);
    let at = Instant::from_millis;
    here.record((session, ServerKey(1)), at(0));
    here.record((session, ServerKey(2)), at(10));
    let announced = [
        here.next_updates(),
        here.next_updates(),
        here.next_updates(),
    ];
    there.receive(&announced[0], at(20));
    let known = [20, 59_000, 61_000].map(|ms| there.engines(session, at(ms)));
    expect![[r#"
        [[(SessionKey(3602224815), ServerKey(1)), (SessionKey(3602224815), ServerKey(2))], [(SessionKey(3602224815), ServerKey(1)), (SessionKey(3602224815), ServerKey(2))], []]
        [[ServerKey(2), ServerKey(1)], [ServerKey(2), ServerKey(1)], []]"#]].assert_eq(&format!("{announced:?}\n{known:?}"));
}

#[test]
fn engines_get_less_while_others_count_in_the_mean_load_without_requests() {
    let bound = LoadBound {
        factor: 2.0,
        extra: 3.0,
    };
    let loads = [6, 6, 6, 6];
    let limits = [1.0, 2.0 / 3.0, 1.0 / 3.0].map(|share| {
        let limit = bound.with_open_share(share).limit(loads.into_iter());
        format!("{limit:.1}")
    });
    expect!["15.0 10.0 5.0"].assert_eq(&limits.join(" "));
}

//! The waiting room in a fleet whose servers get several times their usual requests.

use std::time::Duration;

use ebonyspur::{
    admission::{Crowding, Decision, RoomRequest, Ticket, WaitingRoom},
    Instant, TeamName,
};
use expect_test::expect;

use crate::{
    model::team,
    waiting_room_model::{Model, Trouble},
};

const SEEDS: u64 = 3;

#[test]
fn a_fleet_sends_servers_what_they_take_and_serves_the_urgent_and_the_modest_first() {
    let cases = [
        ("without", false, Trouble::None),
        ("with", true, Trouble::None),
        ("with, half of the routers restart", true, Trouble::Restarts),
        ("with, digests late and lost", true, Trouble::LateDigests),
    ];
    let lines = cases.map(|(name, with_room, trouble)| {
        let runs = (1..=SEEDS).map(|seed| Model::new(with_room, trouble, seed).run().describe());
        format!("{name}\n{}", runs.collect::<Vec<_>>().join("\n"))
    });
    expect![[r#"
        without
        others urgency 0: 1562 asked, on time 0.19, late 0.30
        others urgency 2: 6567 asked, on time 0.19, late 0.28
        greedy urgency 0: 1467 asked, on time 0.20, late 0.31
        greedy urgency 2: 5779 asked, on time 0.20, late 0.29
        servers: turned away 0.773 of 31736, busy 1.00; routers: rejected 0, longest wait 0 ms
        others urgency 0: 1614 asked, on time 0.19, late 0.29
        others urgency 2: 6578 asked, on time 0.18, late 0.31
        greedy urgency 0: 1489 asked, on time 0.19, late 0.29
        greedy urgency 2: 5674 asked, on time 0.18, late 0.29
        servers: turned away 0.775 of 31629, busy 1.00; routers: rejected 0, longest wait 0 ms
        others urgency 0: 1538 asked, on time 0.17, late 0.31
        others urgency 2: 6464 asked, on time 0.18, late 0.30
        greedy urgency 0: 1417 asked, on time 0.19, late 0.29
        greedy urgency 2: 5721 asked, on time 0.18, late 0.31
        servers: turned away 0.772 of 31130, busy 1.00; routers: rejected 0, longest wait 0 ms
        with
        others urgency 0: 1562 asked, on time 0.45, late 0.39
        others urgency 2: 6567 asked, on time 0.22, late 0.22
        greedy urgency 0: 1467 asked, on time 0.36, late 0.39
        greedy urgency 2: 5779 asked, on time 0.09, late 0.08
        servers: turned away 0.013 of 6140, busy 0.86; routers: rejected 25871, longest wait 224 ms
        others urgency 0: 1614 asked, on time 0.45, late 0.41
        others urgency 2: 6578 asked, on time 0.21, late 0.23
        greedy urgency 0: 1489 asked, on time 0.35, late 0.42
        greedy urgency 2: 5674 asked, on time 0.09, late 0.09
        servers: turned away 0.018 of 6194, busy 0.86; routers: rejected 25624, longest wait 224 ms
        others urgency 0: 1538 asked, on time 0.46, late 0.39
        others urgency 2: 6464 asked, on time 0.21, late 0.24
        greedy urgency 0: 1417 asked, on time 0.38, late 0.41
        greedy urgency 2: 5721 asked, on time 0.09, late 0.09
        servers: turned away 0.019 of 6222, busy 0.87; routers: rejected 25043, longest wait 224 ms
        with, half of the routers restart
        others urgency 0: 1562 asked, on time 0.42, late 0.38
        others urgency 2: 6567 asked, on time 0.21, late 0.21
        greedy urgency 0: 1467 asked, on time 0.36, late 0.38
        greedy urgency 2: 5779 asked, on time 0.10, late 0.09
        servers: turned away 0.024 of 5978, busy 0.83; routers: rejected 25952, longest wait 224 ms
        others urgency 0: 1614 asked, on time 0.43, late 0.38
        others urgency 2: 6578 asked, on time 0.20, late 0.21
        greedy urgency 0: 1489 asked, on time 0.36, late 0.39
        greedy urgency 2: 5674 asked, on time 0.10, late 0.09
        servers: turned away 0.031 of 6026, busy 0.83; routers: rejected 25755, longest wait 224 ms
        others urgency 0: 1538 asked, on time 0.41, late 0.39
        others urgency 2: 6464 asked, on time 0.20, late 0.22
        greedy urgency 0: 1417 asked, on time 0.36, late 0.38
        greedy urgency 2: 5721 asked, on time 0.10, late 0.10
        servers: turned away 0.033 of 6023, busy 0.84; routers: rejected 25308, longest wait 224 ms
        with, digests late and lost
        others urgency 0: 1562 asked, on time 0.33, late 0.44
        others urgency 2: 6567 asked, on time 0.14, late 0.20
        greedy urgency 0: 1467 asked, on time 0.24, late 0.42
        greedy urgency 2: 5779 asked, on time 0.06, late 0.07
        servers: turned away 0.085 of 5305, busy 0.69; routers: rejected 28239, longest wait 224 ms
        others urgency 0: 1614 asked, on time 0.34, late 0.45
        others urgency 2: 6578 asked, on time 0.15, late 0.20
        greedy urgency 0: 1489 asked, on time 0.27, late 0.38
        greedy urgency 2: 5674 asked, on time 0.06, late 0.07
        servers: turned away 0.079 of 5462, busy 0.71; routers: rejected 27603, longest wait 224 ms
        others urgency 0: 1538 asked, on time 0.33, late 0.48
        others urgency 2: 6464 asked, on time 0.14, late 0.21
        greedy urgency 0: 1417 asked, on time 0.26, late 0.42
        greedy urgency 2: 5721 asked, on time 0.07, late 0.08
        servers: turned away 0.092 of 5504, busy 0.71; routers: rejected 27259, longest wait 224 ms"#]].assert_eq(&lines.join("\n"));
}

fn time(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Returns a room whose pool takes 9 requests a second, all of which are in use at 1 s.
fn full_room() -> WaitingRoom {
    let mut room = WaitingRoom::new(time(0));
    for ms in (0..1_000).step_by(60) {
        assert!(room.try_admit(time(ms)));
    }
    room.record_response(Crowding::REJECTING, time(1_000));
    while room.try_admit(time(1_000)) {}
    room
}

fn enter(room: &mut WaitingRoom, team: &TeamName, urgency: u8) -> Option<Ticket> {
    let req = RoomRequest {
        urgency,
        team,
        latest: time(1_000) + Duration::from_millis(450),
    };
    room.enter(req, time(1_000))
}

/// Returns the names of `waiting` in the order in which they get room, and those that get none.
fn outcomes(room: &mut WaitingRoom, waiting: &[(&str, Ticket)]) -> String {
    let mut left = waiting.to_vec();
    let mut lines = Vec::new();
    for ms in 1_000..2_000 {
        left.retain(|(name, ticket)| {
            let decision = room.decide(*ticket, time(ms));
            let outcome = match decision {
                Decision::Admit(()) => "admitted",
                Decision::Reject { reason, .. } => reason,
                Decision::Wait { .. } => return true,
            };
            lines.push(format!("{name}: {outcome} at {ms}"));
            false
        });
    }
    lines.join("\n")
}

#[test]
fn room_goes_by_urgency_and_then_fairly_between_teams() {
    let mut room = full_room();
    let (greedy, modest) = (team("greedy"), team("modest"));
    let asked = [
        ("greedy-1", &greedy, 2),
        ("greedy-2", &greedy, 2),
        ("modest", &modest, 2),
        ("urgent", &greedy, 0),
    ];
    let waiting =
        asked.map(|(name, team, urgency)| (name, enter(&mut room, team, urgency).expect("room")));
    expect![[r#"
        urgent: admitted at 1106
        greedy-1: admitted at 1211
        modest: admitted at 1316
        greedy-2: admitted at 1422"#]]
    .assert_eq(&outcomes(&mut room, &waiting));
}

#[test]
fn a_full_queue_keeps_what_is_due_first_and_a_request_that_leaves_gives_its_place_back() {
    let mut room = full_room();
    let (greedy, modest) = (team("greedy"), team("modest"));
    let mut waiting = Vec::new();
    while let Some(ticket) = enter(&mut room, &greedy, 2) {
        waiting.push(("greedy", ticket));
    }
    let len = room.len();
    waiting.push((
        "modest",
        enter(&mut room, &modest, 2).expect("a place of the greedy team"),
    ));
    waiting.push((
        "urgent",
        enter(&mut room, &greedy, 0).expect("a place of a less urgent one"),
    ));
    assert_eq!(room.len(), len);
    room.leave(waiting[0].1);
    assert_eq!(room.len(), len - 1);
    expect![[r#"
        greedy: no room in time at 1000
        greedy: no room in time at 1000
        greedy: no room in time at 1000
        urgent: admitted at 1106
        greedy: admitted at 1211
        modest: admitted at 1316"#]]
    .assert_eq(&outcomes(&mut room, &waiting));
}

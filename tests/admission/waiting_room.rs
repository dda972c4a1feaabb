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
        others urgency 0: 1562 asked, on time 0.36, late 0.33
        others urgency 2: 6567 asked, on time 0.26, late 0.25
        greedy urgency 0: 1467 asked, on time 0.31, late 0.32
        greedy urgency 2: 5779 asked, on time 0.15, late 0.14
        servers: turned away 0.027 of 6929, busy 0.96; routers: rejected 24700, longest wait 119 ms
        others urgency 0: 1614 asked, on time 0.37, late 0.34
        others urgency 2: 6578 asked, on time 0.25, late 0.25
        greedy urgency 0: 1489 asked, on time 0.31, late 0.32
        greedy urgency 2: 5674 asked, on time 0.14, late 0.14
        servers: turned away 0.040 of 6996, busy 0.96; routers: rejected 24486, longest wait 119 ms
        others urgency 0: 1538 asked, on time 0.34, late 0.36
        others urgency 2: 6464 asked, on time 0.26, late 0.26
        greedy urgency 0: 1417 asked, on time 0.32, late 0.31
        greedy urgency 2: 5721 asked, on time 0.15, late 0.14
        servers: turned away 0.026 of 6898, busy 0.96; routers: rejected 24127, longest wait 119 ms
        with, half of the routers restart
        others urgency 0: 1562 asked, on time 0.34, late 0.32
        others urgency 2: 6567 asked, on time 0.26, late 0.24
        greedy urgency 0: 1467 asked, on time 0.32, late 0.31
        greedy urgency 2: 5779 asked, on time 0.16, late 0.14
        servers: turned away 0.029 of 6822, busy 0.94; routers: rejected 24396, longest wait 119 ms
        others urgency 0: 1614 asked, on time 0.36, late 0.32
        others urgency 2: 6578 asked, on time 0.24, late 0.24
        greedy urgency 0: 1489 asked, on time 0.31, late 0.34
        greedy urgency 2: 5674 asked, on time 0.15, late 0.14
        servers: turned away 0.048 of 6897, busy 0.94; routers: rejected 24354, longest wait 119 ms
        others urgency 0: 1538 asked, on time 0.34, late 0.33
        others urgency 2: 6464 asked, on time 0.25, late 0.25
        greedy urgency 0: 1417 asked, on time 0.32, late 0.32
        greedy urgency 2: 5721 asked, on time 0.15, late 0.15
        servers: turned away 0.035 of 6876, busy 0.94; routers: rejected 23946, longest wait 119 ms
        with, digests late and lost
        others urgency 0: 1562 asked, on time 0.24, late 0.32
        others urgency 2: 6567 asked, on time 0.17, late 0.22
        greedy urgency 0: 1467 asked, on time 0.21, late 0.30
        greedy urgency 2: 5779 asked, on time 0.10, late 0.11
        servers: turned away 0.087 of 5659, busy 0.73; routers: rejected 27634, longest wait 119 ms
        others urgency 0: 1614 asked, on time 0.25, late 0.35
        others urgency 2: 6578 asked, on time 0.17, late 0.22
        greedy urgency 0: 1489 asked, on time 0.23, late 0.34
        greedy urgency 2: 5674 asked, on time 0.10, late 0.12
        servers: turned away 0.107 of 6021, busy 0.76; routers: rejected 27109, longest wait 119 ms
        others urgency 0: 1538 asked, on time 0.23, late 0.35
        others urgency 2: 6464 asked, on time 0.17, late 0.23
        greedy urgency 0: 1417 asked, on time 0.21, late 0.32
        greedy urgency 2: 5721 asked, on time 0.11, late 0.12
        servers: turned away 0.122 of 6052, busy 0.75; routers: rejected 26632, longest wait 119 ms"#]].assert_eq(&lines.join("\n"));
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
        urgent: admitted at 1097
        greedy-1: admitted at 1193
        modest: admitted at 1289
        greedy-2: admitted at 1385"#]]
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
        urgent: admitted at 1097
        greedy: admitted at 1193
        modest: admitted at 1289
        greedy: admitted at 1385"#]]
    .assert_eq(&outcomes(&mut room, &waiting));
}

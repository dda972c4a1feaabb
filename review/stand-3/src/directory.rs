//! Callers that ask a router where to connect, and keep their channels open.

use std::{
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{has_trouble, is_ready, CannotRun, Fleet, CONTACT},
    http,
};

const CONFIG: &str = r#"{"version":1,
 "routes":[{"name":"look","host":"chats.example","path_prefix":"/look/","route_kind":"safe","service":"desk","timeout_ms":4000,"latency_goal_ms":300,"priority":1,"max_attempts":2,"anonymous":true,"sticky":false}],
 "services":[{"name":"desk","health_path":"/healthz","max_conns":500,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Callers that ask first.
const CALLERS: usize = 80;

/// Callers that ask then; seven that get no channel for [`CONTACT`] break the rule.
const LATER_CALLERS: usize = 12;

const PATH: &str = "/-/resolve?name=chats.example&region=region-1&zone=zone-1";

/// Asks for addresses on an open channel, within the second that callers allow.
fn ask(channel: &TcpStream) -> Result<u16, String> {
    let headers = [("Host", "directory")];
    let answer = http::exchange(channel, "GET", PATH, &headers, "");
    answer
        .map(|answer| answer.status())
        .map_err(|err| err.to_string())
}

/// Callers ask one router for addresses, and keep their channels, which it announces to keep open for
/// 30 s; others ask then. Without the disruption they close their channels.
pub fn kept_channels() -> Result<bool, CannotRun> {
    let mut fleet = Fleet::start(2, CONFIG)?;
    fleet.add_server(1, |settings| settings)?;
    fleet.start_routers()?;
    thread::sleep(CONTACT + Duration::from_millis(300));
    let directory = fleet.directory(1);
    let second = Duration::from_secs(1);
    let mut kept = Vec::new();
    for caller in 1..=CALLERS {
        let asked = http::connect(directory, second).map_err(|err| err.to_string());
        let asked = asked.and_then(|channel| ask(&channel).map(|status| (channel, status)));
        match asked {
            Ok((channel, status)) => {
                fleet.record.line(format!("caller {caller} asks: {status}"));
                if has_trouble() {
                    kept.push(channel);
                }
            }
            // It goes to another machine.
            Err(err) => {
                fleet.record.line(format!("caller {caller} asks: {err}"));
                break;
            }
        }
    }
    let started = Instant::now();
    let mut unanswered = 0;
    for caller in 1..=LATER_CALLERS {
        let asked = match http::connect(directory, second) {
            Ok(channel) => ask(&channel),
            Err(err) => Err(err.to_string()),
        };
        unanswered += usize::from(asked.is_err());
        let is_ready = is_ready(fleet.ready(1));
        let at = started.elapsed().as_secs_f64();
        fleet.record.line(format!(
            "later caller {caller} asks until {at:.1} s: {asked:?}; the machine says ready: {is_ready}"
        ));
        thread::sleep(Duration::from_millis(100));
    }
    let lasted = started.elapsed();
    let holds = unanswered < LATER_CALLERS || lasted < CONTACT;
    fleet.record.line(format!(
        "{unanswered} of {LATER_CALLERS} callers in {:.1} s were not answered, with {} channels kept",
        lasted.as_secs_f64(),
        kept.len()
    ));
    fleet.record.line(if holds {
        "the rule held"
    } else {
        "RECOVER is broken"
    });
    Ok(holds)
}

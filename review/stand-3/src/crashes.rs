//! Requests, and parts of prompts, that crash the servers that begin to run them.

use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{has_trouble, CannotRun, Fleet, Run, CONTACT, HOST, KEY},
    http,
};

const CONFIG: &str = r#"{"version":1,
 "routes":[
  {"name":"look","host":"chats.example","path_prefix":"/look/","route_kind":"safe","service":"desk","timeout_ms":4000,"latency_goal_ms":300,"priority":1,"max_attempts":2,"anonymous":false,"sticky":false},
  {"name":"book","host":"chats.example","path_prefix":"/book/","route_kind":"unsafe","service":"desk","timeout_ms":4000,"latency_goal_ms":300,"priority":1,"max_attempts":1,"anonymous":false,"sticky":false},
  {"name":"draft","host":"chats.example","path_prefix":"/stream/","route_kind":"streaming","service":"desk","timeout_ms":8000,"latency_goal_ms":800,"priority":1,"max_attempts":2,"anonymous":false,"sticky":true,"resumable":true,"gap_aim_ms":400}],
 "services":[{"name":"desk","health_path":"/healthz","max_conns":500,"protocol":"h1","tls":false ENGINE}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"kerb","api_keys":["key-of-kerb"],"priority":1}]}"#;

const ENGINE: &str = r#","engine":{"slots":64,"kv_capacity":600000,"kv_token_bytes":18432,"link_mbps":550000.0,"moves":false,"backups":false,"stride":5,"most":2,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"model_ids":[{"name":"m"}]}"#;

fn config(has_engines: bool) -> String {
    CONFIG.replace(" ENGINE", if has_engines { ENGINE } else { "" })
}

/// Number of requests that may reach servers once routers have to know.
const MAX_LATE: usize = 3;

/// Callers that book all the while, one booking after the other.
const BOOKERS: usize = 4;

/// Time that a booking takes at its server, in milliseconds.
const BOOKING_MS: u64 = 250;

/// Routers that callers use, and whether bookings go on.
struct Bookings {
    uses_router: Vec<AtomicBool>,
    goes_on: AtomicBool,
}

impl Bookings {
    fn new(routers: usize) -> Self {
        Bookings {
            uses_router: (0..routers).map(|_| AtomicBool::new(true)).collect(),
            goes_on: AtomicBool::new(true),
        }
    }

    fn use_router(&self, number: usize, is_used: bool) {
        self.uses_router[number - 1].store(is_used, Ordering::SeqCst);
    }

    /// Books until the end; these requests run at most once.
    fn run(&self, addresses: &[std::net::SocketAddr], booker: usize) {
        for number in 0.. {
            if !self.goes_on.load(Ordering::SeqCst) {
                return;
            }
            let router = (booker + number) % addresses.len();
            if !self.uses_router[router].load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            let attempt = format!("book-{booker}-{number}");
            let headers = [
                ("Host", HOST),
                ("Authorization", KEY),
                ("X-Attempt-Id", attempt.as_str()),
                ("X-Deadline-Ms", "4000"),
                ("Connection", "close"),
            ];
            let path = format!("/book/{attempt}");
            let timeout = Duration::from_secs(5);
            drop(http::call(
                addresses[router],
                "POST",
                &path,
                &headers,
                "text",
                timeout,
            ));
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Ends the bookings when dropped.
struct EndOfBookings<'a>(&'a Bookings);

impl Drop for EndOfBookings<'_> {
    fn drop(&mut self) {
        self.0.goes_on.store(false, Ordering::SeqCst);
    }
}

/// Runs `events` while callers book.
fn beside_bookings(
    fleet: &mut Fleet,
    events: impl FnOnce(&mut Fleet, &Bookings) -> Result<(), CannotRun>,
) -> Result<(), CannotRun> {
    let routers = fleet.routers.len();
    let addresses: Vec<_> = (1..=routers).map(|router| fleet.callers(router)).collect();
    let bookings = Bookings::new(routers);
    thread::scope(|scope| {
        for booker in 0..BOOKERS {
            let (bookings, addresses) = (&bookings, &addresses);
            scope.spawn(move || bookings.run(addresses, booker));
        }
        let _end = EndOfBookings(&bookings);
        events(fleet, &bookings)
    })
}

/// Returns the number of bookings that servers had begun and whose servers crashed later than
/// [`CONTACT`] after crash `number`.
fn lost_bookings(runs: &[Run], number: usize) -> usize {
    let ran: BTreeSet<_> = runs.iter().filter(|run| run.what == "ran").collect();
    let ran: BTreeSet<_> = ran.iter().map(|run| &run.attempt).collect();
    let late = late_runs(runs, "book", number);
    late.iter()
        .filter(|run| !ran.contains(&run.attempt))
        .count()
}

/// Sends one attempt of a caller and records it; returns whether it was answered with success.
fn send(
    fleet: &Fleet,
    router: usize,
    method: &str,
    path: &str,
    attempt: &str,
    prompt: &str,
) -> bool {
    let mut headers = vec![
        ("Host", HOST),
        ("Authorization", KEY),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", "6000"),
        ("Connection", "close"),
    ];
    if !prompt.is_empty() {
        headers.extend([("X-Model", "m"), ("X-Prefix-Hash", prompt)]);
        headers.push(("X-Token-Usage", "4600,40"));
    }
    fleet.record.line(format!(
        "{attempt} sent to router {router}: {method} {path} {prompt}"
    ));
    let body = if method == "POST" { "text" } else { "" };
    let timeout = Duration::from_secs(7);
    let answer = http::call(fleet.callers(router), method, path, &headers, body, timeout);
    let (text, is_served) = match &answer {
        Ok(answer) => {
            let what = if answer.is_whole {
                "whole"
            } else {
                "broken off"
            };
            let is_served = answer.status() == 200 && answer.is_whole;
            (format!("{} {what}", answer.status()), is_served)
        }
        Err(err) => (format!("no answer: {err}"), false),
    };
    fleet.record.line(format!("{attempt} answered: {text}"));
    is_served
}

/// Returns the times at which servers crashed, one for each life of a server.
fn crash_times(runs: &[Run]) -> Vec<u64> {
    let mut seen = BTreeSet::new();
    let crashes = runs.iter().filter(|run| run.what == "crashed");
    let first = crashes.filter(|run| seen.insert(run.server.clone()));
    first.map(|run| run.at_ms).collect()
}

/// Returns the time of crash `number`, counted from 1, if there were so many.
fn crash_time(runs: &[Run], number: usize) -> Option<u64> {
    crash_times(runs).get(number - 1).copied()
}

/// Returns the requests whose attempt begins with `prefix` and that reached servers later than
/// [`CONTACT`] after crash `number`.
fn late_runs(runs: &[Run], prefix: &str, number: usize) -> Vec<Run> {
    let Some(crashed_at) = crash_time(runs, number) else {
        return Vec::new();
    };
    let from = crashed_at + CONTACT.as_millis() as u64;
    let late = runs
        .iter()
        .filter(|run| run.what == "reached" && run.at_ms > from);
    late.filter(|run| run.attempt.starts_with(prefix))
        .cloned()
        .collect()
}

/// Ends a case: records what ran and the finding; returns whether the rule held.
fn judge(fleet: &Fleet, servers: usize, prefix: &str, crash: usize) -> Result<bool, CannotRun> {
    // What is still at work ends.
    thread::sleep(Duration::from_millis(500));
    fleet.record_runs(servers);
    let runs = fleet.runs(servers);
    let crashes = crash_times(&runs).len();
    let late = late_runs(&runs, prefix, crash);
    fleet.record.line(format!(
        "{crashes} crashes; {} requests reached servers later than {} ms after crash {crash}, {MAX_LATE} may",
        late.len(),
        CONTACT.as_millis()
    ));
    fleet.record.line(format!(
        "{} bookings that had begun were lost with their servers in that time",
        lost_bookings(&runs, crash)
    ));
    if has_trouble() && crash_time(&runs, crash).is_none() {
        return Err(CannotRun(format!("only {crashes} crashes")));
    }
    let holds = late.len() <= MAX_LATE;
    fleet.record.line(if holds {
        "the rule held"
    } else {
        "BUDGET is broken"
    });
    Ok(holds)
}

/// Servers are replaced by new ones, which a request crashes that the old ones have answered; it comes
/// again and again. Without the disruption the new ones answer it as well.
pub fn release() -> Result<bool, CannotRun> {
    const SERVERS: usize = 6;
    let mut fleet = Fleet::start(2, &config(false))?;
    let mut old = Vec::new();
    for number in 1..=SERVERS {
        let address = fleet.add_server(number, |mut settings| {
            settings.work_ms = BOOKING_MS;
            settings
        })?;
        old.push(address);
    }
    fleet.start_routers()?;
    thread::sleep(CONTACT + Duration::from_millis(300));
    // Without these the routers have never seen the request answered.
    if std::env::var("ASKED_BEFORE").as_deref() != Ok("0") {
        for number in 0..4 {
            let attempt = format!("before-{number}");
            if !send(&fleet, number % 2 + 1, "GET", "/look/odd", &attempt, "") {
                return Err(CannotRun("the old servers do not answer".into()));
            }
        }
    }
    // Three releases of a third of the servers each, one server a second.
    for (number, address) in old.into_iter().enumerate() {
        fleet.add_server(SERVERS + number + 1, |mut settings| {
            if has_trouble() {
                settings.deadly_path = "/look/odd".into();
            }
            settings.work_ms = BOOKING_MS;
            settings
        })?;
        thread::sleep(Duration::from_millis(600));
        let second = Duration::from_secs(1);
        http::call(address, "PUT", "/stand/drain", &[], "", second)?;
        fleet
            .record
            .line(format!("old server {} leaves", number + 1));
        thread::sleep(Duration::from_millis(400));
        if number % 2 == 1 {
            thread::sleep(CONTACT);
        }
    }
    thread::sleep(CONTACT + Duration::from_millis(1_500));
    beside_bookings(&mut fleet, |fleet, _| {
        for number in 0..16 {
            let attempt = format!("deadly-{number}");
            send(fleet, number % 2 + 1, "GET", "/look/odd", &attempt, "");
            thread::sleep(Duration::from_millis(900));
        }
        Ok(())
    })?;
    judge(&fleet, 2 * SERVERS, "deadly", 3)
}

/// A request that crashes servers comes again and again; when it is known, the routers are restarted
/// in turn. Without the disruption nothing is restarted.
pub fn restarts() -> Result<bool, CannotRun> {
    const SERVERS: usize = 6;
    let mut fleet = Fleet::start(3, &config(false))?;
    for number in 1..=SERVERS {
        fleet.add_server(number, |mut settings| {
            settings.deadly_path = "/look/odd".into();
            settings.work_ms = BOOKING_MS;
            settings
        })?;
    }
    fleet.start_routers()?;
    thread::sleep(CONTACT + Duration::from_millis(300));
    beside_bookings(&mut fleet, |fleet, bookings| {
        let mut count = 0;
        let mut send_deadly = |fleet: &Fleet, router: usize| {
            count += 1;
            send(
                fleet,
                router,
                "GET",
                "/look/odd",
                &format!("deadly-{count}"),
                "",
            );
            thread::sleep(Duration::from_millis(700));
        };
        for round in 0..6 {
            send_deadly(fleet, round % 3 + 1);
        }
        let runs = fleet.runs(SERVERS);
        if crash_time(&runs, 3).is_none() {
            return Err(CannotRun("no three crashes".into()));
        }
        fleet.record.line("the request has crashed three servers");
        thread::sleep(CONTACT + Duration::from_millis(300));
        for router in 1..=3 {
            if has_trouble() {
                bookings.use_router(router, false);
                fleet.stop_router(router);
                fleet.start_router(router)?;
                bookings.use_router(router, true);
            }
            // The restarted machine is in touch again after this time.
            thread::sleep(CONTACT + Duration::from_millis(300));
            for _ in 0..4 {
                send_deadly(fleet, router);
            }
            let is_served = send(
                fleet,
                router,
                "GET",
                "/look/sound",
                &format!("sound-{router}"),
                "",
            );
            if !is_served {
                fleet.record.line("a sound request was not served");
            }
        }
        Ok(())
    })?;
    judge(&fleet, SERVERS, "deadly", 3)
}

/// The ninth part of a prompt crashes servers; no two requests with it are alike, and sound ones share
/// the other parts. Without the disruption that part crashes none.
pub fn late_part() -> Result<bool, CannotRun> {
    const SERVERS: usize = 6;
    let mut fleet = Fleet::start(2, &config(true))?;
    for number in 1..=SERVERS {
        fleet.add_server(number, |mut settings| {
            if has_trouble() {
                settings.deadly_part = "dead".into();
            }
            settings.work_ms = BOOKING_MS;
            settings
        })?;
    }
    fleet.start_routers()?;
    thread::sleep(CONTACT + Duration::from_millis(300));
    beside_bookings(&mut fleet, |fleet, _| {
        // The place of the part is that after these; another number shows from which one on it fails.
        let before = std::env::var("SOUND_PARTS").ok();
        let before = before.and_then(|text| text.parse().ok()).unwrap_or(8);
        let shared: Vec<_> = (1..=before).map(|part| format!("a{part}:400")).collect();
        let shared = shared.join(",");
        let (mut served, mut sound) = (0, 0);
        for round in 0..22 {
            let router = round % 2 + 1;
            let prompt = format!("{shared},e{round}:200");
            let attempt = format!("sound-{round}");
            let path = format!("/stream/sound-{round}");
            sound += 1;
            served += usize::from(send(fleet, router, "POST", &path, &attempt, &prompt));
            let prompt = format!("{shared},dead:300,c{round}:200");
            let attempt = format!("deadly-{round}");
            let path = format!("/stream/deadly-{round}");
            send(fleet, router, "POST", &path, &attempt, &prompt);
            thread::sleep(Duration::from_millis(700));
        }
        let text = format!("{served} of {sound} sound requests with prompts served");
        fleet.record.line(text);
        Ok(())
    })?;
    judge(&fleet, SERVERS, "deadly", 5)
}

/// Two requests at a time have a part that crashes servers, so that the crashes of one moment lie
/// close together. Without the disruption that part crashes none.
pub fn close_crashes() -> Result<bool, CannotRun> {
    const SERVERS: usize = 8;
    const ROUND: Duration = Duration::from_millis(3_600);
    let mut fleet = Fleet::start(2, &config(true))?;
    for number in 1..=SERVERS {
        fleet.add_server(number, |mut settings| {
            if has_trouble() {
                settings.deadly_part = "dead".into();
            }
            settings.work_ms = BOOKING_MS;
            settings
        })?;
    }
    fleet.start_routers()?;
    thread::sleep(CONTACT + Duration::from_millis(300));
    beside_bookings(&mut fleet, |fleet, _| {
        for round in 0..7 {
            let started = Instant::now();
            for router in 1..=2 {
                let prompt = format!("a1:500,b{router}:900,f{round}{router}:200");
                let attempt = format!("sound-{round}-{router}");
                let path = format!("/stream/{attempt}");
                send(fleet, router, "POST", &path, &attempt, &prompt);
            }
            thread::scope(|scope| {
                for router in 1..=2 {
                    let fleet = &*fleet;
                    scope.spawn(move || {
                        let prompt = format!("a1:500,dead:300,b{router}:900,c{round}{router}:200");
                        let attempt = format!("deadly-{round}-{router}");
                        let path = format!("/stream/{attempt}");
                        send(fleet, router, "POST", &path, &attempt, &prompt);
                    });
                }
            });
            thread::sleep(ROUND.saturating_sub(started.elapsed()));
        }
        Ok(())
    })?;
    judge(&fleet, SERVERS, "deadly", 5)
}

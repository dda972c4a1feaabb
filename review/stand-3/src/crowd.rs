//! A crowd of callers whose bodies stop just short of their end, with long prompts in their heads.

use std::{
    fs,
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{has_trouble, CannotRun, Fleet, CONTACT, HOST, MEMORY_MB},
    http,
};

const CONFIG: &str = r#"{"version":1,
 "routes":[
  {"name":"look","host":"chats.example","path_prefix":"/look/","route_kind":"safe","service":"desk","timeout_ms":8000,"latency_goal_ms":300,"priority":1,"max_attempts":2,"anonymous":true,"sticky":false},
  {"name":"draft","host":"chats.example","path_prefix":"/stream/","route_kind":"streaming","service":"desk","timeout_ms":8000,"latency_goal_ms":800,"priority":1,"max_attempts":2,"anonymous":true,"sticky":true,"resumable":true,"gap_aim_ms":400}],
 "services":[{"name":"desk","health_path":"/healthz","max_conns":800,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Channels of the crowd; the machine has 2,870 descriptors.
const CROWD: usize = 2_200;

/// Parts of each prompt, and further headers; heads are below `max_header_bytes` with them.
const PARTS: usize = 3_840;
const OTHER_HEADERS: usize = 80;

/// Chunks of a byte that are sent of each body.
const CHUNKS: usize = 20;

/// Time for which the crowd stays open.
const STAY: Duration = Duration::from_secs(6);

/// Returns a value of `X-Prefix-Hash` with `count` parts.
fn prompt(count: usize) -> String {
    let parts = (0..count).map(|number| format!("{:x}:1", number % 16));
    parts.collect::<Vec<_>>().join(",")
}

/// Returns the largest resident memory of a process so far, in MB.
fn peak_memory(pid: u32) -> Result<f64, CannotRun> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let mut lines = status.lines();
    let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
    let kilobytes = kilobytes.and_then(|text| text.trim().parse::<u64>().ok());
    let megabytes = kilobytes.map(|kilobytes| kilobytes as f64 * 1_024.0 / 1e6);
    megabytes.ok_or_else(|| CannotRun("no peak of memory is shown".into()))
}

/// Many callers send a legal head and a body in very small chunks that stops short of its end, and stay
/// open. With the disruption their heads are long, without it short.
pub fn long_prompts() -> Result<bool, CannotRun> {
    let mut fleet = Fleet::start(1, CONFIG)?;
    fleet.add_server(1, |settings| settings)?;
    fleet.start_routers()?;
    thread::sleep(CONTACT);
    let (count, others) = if has_trouble() {
        (PARTS, OTHER_HEADERS)
    } else {
        (4, 0)
    };
    let others: String = (0..others).map(|n| format!("a{n}: 1\r\n")).collect();
    let head = format!(
        "POST /stream/c HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: ATTEMPT\r\n\
         Transfer-Encoding: chunked\r\n{others}X-Prefix-Hash: {}\r\n\r\n",
        prompt(count)
    );
    let body = "1\r\nb\r\n".repeat(CHUNKS);
    fleet.record.line(format!(
        "{CROWD} callers: heads of {} bytes with {count} parts, {CHUNKS} chunks of a byte, no last one",
        head.len()
    ));
    let pid = fleet.router_pid(1);
    let pid = pid.ok_or_else(|| CannotRun("no router".into()))?;
    let callers = fleet.callers(1);
    let mut crowd = Vec::new();
    for number in 0..CROWD {
        let Ok(mut stream) = TcpStream::connect_timeout(&callers, Duration::from_secs(1)) else {
            continue;
        };
        let head = head.replace("ATTEMPT", &format!("crowd-{number}"));
        let sent = stream.write_all(head.as_bytes());
        if sent
            .and_then(|()| stream.write_all(body.as_bytes()))
            .is_ok()
        {
            crowd.push(stream);
        }
        if number % 20 == 0 {
            thread::sleep(Duration::from_millis(10));
        }
    }
    fleet
        .record
        .line(format!("{} callers have sent", crowd.len()));
    let started = Instant::now();
    let (mut served, mut asked) = (0, 0);
    while started.elapsed() < STAY {
        let attempt = format!("ordinary-{asked}");
        let headers = [
            ("Host", HOST),
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Deadline-Ms", "4000"),
            ("Connection", "close"),
        ];
        let timeout = Duration::from_secs(4);
        let answer = http::call(callers, "GET", "/look/1", &headers, "", timeout);
        asked += 1;
        let status = answer.map_or(0, |answer| answer.status());
        served += usize::from(status == 200);
        let peak = peak_memory(pid)?;
        fleet
            .record
            .line(format!("{attempt}: {status}; peak memory {peak:.1} MB"));
        thread::sleep(Duration::from_millis(500));
    }
    let peak = peak_memory(pid)?;
    let holds = peak <= f64::from(MEMORY_MB) && !fleet.has_router_ended(1);
    fleet.record.line(format!(
        "{served} of {asked} ordinary requests served; peak memory {peak:.1} MB of {MEMORY_MB} MB"
    ));
    fleet.record.line(match holds {
        true => "the process stayed within the memory of its machine",
        false => "the process exceeded the memory of its machine",
    });
    Ok(holds)
}

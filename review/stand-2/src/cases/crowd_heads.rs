//! A crowd that sends legal heads with many parts of a prompt, and bodies that stop just short of their
//! end, takes more memory than the machine has.

use std::{
    io::Write,
    net::TcpStream,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use super::{config, new_id, one_tenant, plain_request, KEY};
use crate::{
    fleet::{plain_answer, Fleet},
    http, Outcome,
};

/// Clients of the crowd.
const CROWD: usize = 2_000;

/// `limits.max_header_bytes` of the config.
const MAX_HEADER_BYTES: usize = 16_384;

/// Short headers of its own that each request carries.
const EXTRA_HEADERS: usize = 85;

/// `limits.memory_mb` of the settings.
const MEMORY_MB: f64 = 182.0;

/// Time for which the crowd stays.
const STAY: Duration = Duration::from_secs(8);

pub fn play(fleet: &Arc<Fleet>) -> Result<Outcome, String> {
    let pids = std::env::var("ROUTER_PIDS").map_err(|_| "no pids of the routers")?;
    let pid = pids.split(' ').next().unwrap_or_default().to_string();
    fleet.start_server("desk-1", "desk", 6, |request, stream| {
        stream.write_all(plain_answer(request, "desk").as_bytes()).is_ok()
    });
    thread::sleep(Duration::from_millis(500));
    fleet.put_config(&config(1, &one_tenant()))?;
    fleet.await_routers(|| plain_request("GET", "/look/1", &new_id(), KEY))?;
    thread::sleep(Duration::from_millis(3_500));
    let before = memory_mb(&pid, "VmRSS:").ok_or("the router's memory cannot be read")?;
    fleet.note(&format!("router 0 holds {before:.1} MB"));

    let is_over = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let ordinary = thread::spawn({
        let (fleet, is_over, answers) = (fleet.clone(), is_over.clone(), answers.clone());
        move || {
            while !is_over.load(Ordering::SeqCst) {
                let request = plain_request("GET", "/look/1", &new_id(), KEY);
                let answer = http::call(fleet.front(0), &request, Duration::from_secs(3));
                answers.lock().unwrap().push(answer.map_or(0, |answer| answer.status()));
                thread::sleep(Duration::from_millis(200));
            }
        }
    });
    let mut crowd = Vec::new();
    if fleet.has_trouble {
        let head = head();
        fleet.note(&format!("each of {CROWD} clients sends a head of {} bytes and none of its body of 1 byte", head.len()));
        for _ in 0..CROWD {
            let Ok(mut stream) = TcpStream::connect_timeout(&fleet.front(0), Duration::from_secs(2)) else {
                continue;
            };
            let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
            if stream.write_all(head.as_bytes()).is_ok() {
                crowd.push(stream);
            }
        }
        fleet.note(&format!("{} clients have sent theirs and stay", crowd.len()));
    }
    let mut peak = 0.0_f64;
    for _ in 0..STAY.as_millis() / 500 {
        thread::sleep(Duration::from_millis(500));
        let Some(held) = memory_mb(&pid, "VmHWM:") else { break };
        peak = peak.max(held);
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = ordinary.join();
    drop(crowd);
    let answers = answers.lock().unwrap();
    let good = answers.iter().filter(|status| **status == 200).count();
    let what = format!(
        "router 0 held {peak:.1} MB at most, of {MEMORY_MB} MB; {good} of {} ordinary requests were answered",
        answers.len()
    );
    Ok(if peak > MEMORY_MB { Outcome::Broken(what) } else { Outcome::Held(what) })
}

/// Returns the head of a request of the crowd, which is as long as the config allows.
fn head() -> String {
    let mut head = String::from(
        "POST /summary/1 HTTP/1.1\r\nHost: chats.example\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 15000\r\nContent-Length: 1\r\n",
    );
    for number in 0..EXTRA_HEADERS {
        head.push_str(&format!("h{number:02}:\r\n"));
    }
    head.push_str("X-Prefix-Hash: ");
    let end = "1:1\r\n\r\n";
    while head.len() + "1:1,".len() + end.len() <= MAX_HEADER_BYTES {
        head.push_str("1:1,");
    }
    head + end
}

/// Returns a figure of the memory of a process, in MB.
fn memory_mb(pid: &str, field: &str) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    let kib: f64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kib * 1024.0 / 1e6)
}

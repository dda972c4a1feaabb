//! Panics of tasks, and tasks that end: what is logged, and what is started again.

use std::{
    sync::{
        atomic::{AtomicU32, Ordering},
        Mutex, Once,
    },
    time::Duration,
};

use ebonyspur::tasks;
use expect_test::expect;
use log::{Level, Log, Metadata, Record};

/// Lines logged so far; the tests of this file run in one process.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Lines;

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.level() == Level::Error {
            LINES.lock().unwrap().push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

fn start_log() {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| {
        log::set_logger(&Lines).unwrap();
        log::set_max_level(log::LevelFilter::Info);
        tasks::log_panics();
    });
}

/// Returns the lines about the task `name`, without the places in the source.
fn lines_of(name: &str) -> Vec<String> {
    let field = format!("task={name} ");
    let lines = LINES.lock().unwrap();
    let lines = lines.iter().filter(|line| line.contains(&field));
    let without_place = |line: &String| {
        let words = line.split(' ').filter(|word| !word.starts_with("at="));
        words.collect::<Vec<_>>().join(" ")
    };
    lines.map(without_place).collect()
}

#[tokio::test]
async fn panic_is_logged_in_one_line_with_the_name_of_its_task() {
    start_log();
    let outcome = tasks::run("decode", async {
        assert!(LINES.lock().is_err(), "two\nlines");
    });
    let outcome = outcome.await;
    let line = lines_of("decode").join("\n");
    expect![[r#"
        Err(Panicked)
        panic task=decode error="two\nlines""#]]
    .assert_eq(&format!("{outcome:?}\n{line}"));
}

#[tokio::test]
async fn background_task_that_panics_or_returns_is_logged_and_started_again() {
    start_log();
    let (runs, ended) = (AtomicU32::new(0), Mutex::new(Vec::new()));
    let start = || {
        let run = runs.fetch_add(1, Ordering::SeqCst);
        async move {
            match run {
                0 => panic!("first"),
                1 => {}
                _ => std::future::pending().await,
            }
        }
    };
    let running = tasks::keep_running("follow", start, |name| ended.lock().unwrap().push(name));
    let started_twice = async {
        while runs.load(Ordering::SeqCst) < 3 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::select! {
        () = running => {}
        () = started_twice => {}
        () = tokio::time::sleep(Duration::from_secs(20)) => {}
    }
    let runs = runs.load(Ordering::SeqCst);
    let lines = lines_of("follow").join("\n");
    expect![[r#"
        3 runs, ended ["follow", "follow"]
        panic task=follow error="first"
        task ended task=follow reason=panicked restart_ms=500
        task ended task=follow reason=returned restart_ms=500"#]]
    .assert_eq(&format!(
        "{runs} runs, ended {:?}\n{lines}",
        ended.lock().unwrap()
    ));
}

//! Panics of tasks and their log lines.

use std::sync::{Mutex, Once};

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

//! Log lines on standard output, in bounded volume, for which nothing waits.

use std::{
    io,
    sync::{Mutex, MutexGuard},
};

use env_logger::{Env, Logger, Target};
use log::{Level, Log, Metadata, Record};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};

use crate::{sync::lock, Clock, Error, Instant, Result};

/// Lines a second that a router may write for long: some ten for each of 20 requests.
const LINES_PER_SECOND: f64 = 200.0;

/// Lines that it may write at once, such as those of its start or of a burst of failures.
const BURST: f64 = 1_000.0;

/// Part of the burst that is kept for warnings and errors.
const KEPT_FOR_WARNINGS: f64 = 0.25;

/// Lines that wait for a reader of the output that is slow.
const WAITING_LINES: usize = 512;

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// It is written, after word that so many lines were left out since the last one.
    Written(u64),
    /// It is left out.
    Dropped,
}

/// Bounds the lines of a process, with a token bucket.
#[derive(Debug)]
pub struct LogRateLimiter {
    left: f64,
    filled: Instant,
    left_out: u64,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        LogRateLimiter {
            left: BURST,
            filled: Instant::default(),
            left_out: 0,
        }
    }
}

impl LogRateLimiter {
    /// Decides on a line of `level` at `now`.
    pub fn admit(&mut self, level: Level, now: Instant) -> LineDecision {
        let refill = now.since(self.filled).as_secs_f64() * LINES_PER_SECOND;
        self.left = (self.left + refill).min(BURST);
        self.filled = self.filled.max(now);
        let reserve = match level {
            Level::Error | Level::Warn => 0.0,
            _ => BURST * KEPT_FOR_WARNINGS,
        };
        if self.left < reserve + 1.0 {
            self.left_out += 1;
            return LineDecision::Dropped;
        }
        self.left -= 1.0;
        LineDecision::Written(std::mem::take(&mut self.left_out))
    }
}

/// Writes the lines that [`LogRateLimiter`] admits.
struct BoundedLog {
    lines: Logger,
    budget: Mutex<LogRateLimiter>,
    clock: Clock,
}

impl BoundedLog {
    fn budget(&self) -> MutexGuard<'_, LogRateLimiter> {
        lock(&self.budget)
    }
}

impl Log for BoundedLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.lines.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.lines.matches(record) {
            return;
        }
        let admitted = self.budget().admit(record.level(), self.clock.now());
        let LineDecision::Written(left_out) = admitted else {
            return;
        };
        if left_out > 0 {
            let message = format_args!("lines left out count={left_out} reason=volume");
            let word = Record::builder()
                .level(Level::Warn)
                .target(module_path!())
                .args(message)
                .build();
            self.lines.log(&word);
        }
        self.lines.log(record);
    }

    fn flush(&self) {
        self.lines.flush();
    }
}

/// Writes the lines that still wait, for a short time, when dropped.
#[must_use]
pub struct LogGuard(#[expect(dead_code, reason = "kept to be dropped")] WorkerGuard);

/// Starts to write log lines to standard output; the level is taken from the environment.
///
/// Lines that a slow reader has no room for are dropped.
///
/// # Errors
///
/// Returns [`Category::Io`](crate::Category::Io) when a log was started before.
pub fn start_log(clock: Clock) -> Result<LogGuard> {
    let (writer, guard): (NonBlocking, _) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
        .lossy(true)
        .thread_name("log")
        .finish(io::stdout());
    let lines = env_logger::Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(writer)))
        .build();
    log::set_max_level(lines.filter());
    let log = BoundedLog {
        lines,
        budget: Mutex::default(),
        clock,
    };
    log::set_boxed_logger(Box::new(log)).map_err(|err| Error::from(io::Error::other(err)))?;
    Ok(LogGuard(guard))
}

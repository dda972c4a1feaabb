//! Log lines on standard output, rate-limited, and written without blocking the caller.

use std::{
    io,
    sync::{Mutex, MutexGuard},
};

use env_logger::{Env, Logger, Target};
use log::{Level, Log, Metadata, Record};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};

use crate::{sync::lock, tasks, Clock, Error, Instant, Result};

/// Sustained rate of log lines: about ten lines for each of 20 requests a second.
const LINES_PER_SECOND: f64 = 200.0;

/// Lines that may be written in one burst, such as at start or when many requests fail.
const BURST_LINES: f64 = 1_000.0;

/// Share of the burst that is reserved for warnings and errors.
const WARNING_RESERVE_RATIO: f64 = 0.25;

/// Lines queued for a slow reader of standard output; later lines are dropped.
const MAX_QUEUED_LINES: usize = 512;

/// Whether a log line is written or dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written; the count is that of lines dropped since the last written one.
    Written(u64),
    /// The line is dropped.
    Dropped,
}

/// Limits the rate of a process's log lines with a token bucket.
#[derive(Debug)]
pub struct LogRateLimiter {
    tokens: f64,
    refilled_at: Instant,
    dropped: u64,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        LogRateLimiter {
            tokens: BURST_LINES,
            refilled_at: Instant::default(),
            dropped: 0,
        }
    }
}

impl LogRateLimiter {
    /// Decides whether a line of `level` is written at `now`.
    pub fn admit(&mut self, level: Level, now: Instant) -> LineDecision {
        let refill = now.since(self.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        self.tokens = (self.tokens + refill).min(BURST_LINES);
        self.refilled_at = self.refilled_at.max(now);
        let reserve = match level {
            Level::Error | Level::Warn => 0.0,
            _ => BURST_LINES * WARNING_RESERVE_RATIO,
        };
        if self.tokens < reserve + 1.0 {
            self.dropped += 1;
            return LineDecision::Dropped;
        }
        self.tokens -= 1.0;
        LineDecision::Written(std::mem::take(&mut self.dropped))
    }
}

/// Writes the lines that [`LogRateLimiter`] admits.
struct RateLimitedLog {
    lines: Logger,
    limiter: Mutex<LogRateLimiter>,
    clock: Clock,
}

impl RateLimitedLog {
    fn limiter(&self) -> MutexGuard<'_, LogRateLimiter> {
        lock(&self.limiter)
    }
}

impl Log for RateLimitedLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.lines.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.lines.matches(record) {
            return;
        }
        let decision = self.limiter().admit(record.level(), self.clock.now());
        let LineDecision::Written(dropped) = decision else {
            return;
        };
        if dropped > 0 {
            let message = format_args!("log lines dropped count={dropped} reason=volume");
            let notice = Record::builder()
                .level(Level::Warn)
                .target(module_path!())
                .args(message)
                .build();
            self.lines.log(&notice);
        }
        self.lines.log(record);
    }

    fn flush(&self) {
        self.lines.flush();
    }
}

/// Guard of the log: when dropped, it waits a short time for the queued lines to be written.
#[must_use]
pub struct LogGuard(#[expect(dead_code, reason = "kept to be dropped")] WorkerGuard);

/// Installs the logger, which writes to standard output, also for panics.
///
/// `RUST_LOG` sets the level, which is `info` by default. Lines are dropped while the queue of
/// lines to write is full, which happens when the reader of standard output is slow.
///
/// # Errors
///
/// Returns [`Category::Io`](crate::Category::Io) when a logger is already installed.
pub fn start_log(clock: Clock) -> Result<LogGuard> {
    let (writer, guard): (NonBlocking, _) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .thread_name("log")
        .finish(io::stdout());
    let lines = env_logger::Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(writer)))
        .build();
    log::set_max_level(lines.filter());
    let log = RateLimitedLog {
        lines,
        limiter: Mutex::default(),
        clock,
    };
    log::set_boxed_logger(Box::new(log)).map_err(|err| Error::from(io::Error::other(err)))?;
    tasks::log_panics();
    Ok(LogGuard(guard))
}

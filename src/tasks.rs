//! Logs panics with the name of their task, and starts background tasks again when they end.
//!
//! A router keeps what it knows while one of its tasks starts again. Ending the process instead
//! would end all routers at once when the same message reaches each of them.

use std::{
    any::Any,
    future::Future,
    panic::{self, AssertUnwindSafe, PanicHookInfo},
    time::Duration,
};

use futures_util::FutureExt;

/// Time from the unexpected end of a background task until it is started again.
///
/// Less than the time after which other routers take one without digests for silent.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Name in the log of code that runs outside of the named tasks.
const UNNAMED: &str = "-";

tokio::task_local! {
    /// Name of the current task.
    static NAME: &'static str;
}

/// A panic that was caught; the panic hook has logged it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Panicked;

/// Logs each panic of the process in one line, in place of the default message.
pub fn log_panics() {
    panic::set_hook(Box::new(|info| {
        let task = NAME.try_with(|name| *name).unwrap_or(UNNAMED);
        let at = info.location().map(ToString::to_string);
        log::error!(
            "panic task={task} at={} error={:?}",
            at.as_deref().unwrap_or("-"),
            message(info)
        );
    }));
}

/// Runs `f` and catches a panic.
///
/// # Errors
///
/// Returns [`Panicked`] if `f` panics.
pub fn catch<T>(f: impl FnOnce() -> T) -> Result<T, Panicked> {
    panic::catch_unwind(AssertUnwindSafe(f)).map_err(|_| Panicked)
}

/// Runs the task `name` and catches a panic.
///
/// # Errors
///
/// Returns [`Panicked`] if the task panics.
pub async fn run<T>(name: &'static str, task: impl Future<Output = T>) -> Result<T, Panicked> {
    let caught = AssertUnwindSafe(NAME.scope(name, task)).catch_unwind();
    caught.await.map_err(|_| Panicked)
}

/// Runs the task that `start` returns, and a new one each time it ends, which it never should.
///
/// `on_end` is called with the name each time.
pub async fn keep_running<F>(
    name: &'static str,
    start: impl Fn() -> F,
    on_end: impl Fn(&'static str),
) where
    F: Future<Output = ()>,
{
    loop {
        let reason = match run(name, async { start().await }).await {
            Ok(()) => "returned",
            Err(Panicked) => "panicked",
        };
        log::error!(
            "task ended task={name} reason={reason} restart_ms={}",
            RESTART_DELAY.as_millis()
        );
        on_end(name);
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

fn message<'a>(info: &'a PanicHookInfo<'_>) -> &'a str {
    let payload: &dyn Any = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("the panic has no message")
}

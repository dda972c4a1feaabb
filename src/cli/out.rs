//! Writes results to the standard output.

use std::{
    fmt::Display,
    io::{self, ErrorKind, Write},
};

use super::CommandResult;
use crate::Error;

/// Prints `text` and a line end.
///
/// Ends the process with status 0 when the reader has closed the pipe, as in
/// `ebonyspur state ROUTER | head`.
pub(super) fn line(text: impl Display) -> CommandResult {
    print(format_args!("{text}\n"))
}

/// Prints `text` as it is.
///
/// Ends the process with status 0 when the reader has closed the pipe.
pub(super) fn print(text: impl Display) -> CommandResult {
    match write!(io::stdout().lock(), "{text}") {
        Ok(()) => Ok(()),
        Err(err) if err.kind() == ErrorKind::BrokenPipe => std::process::exit(0),
        Err(err) => Err(Error::from(err).into()),
    }
}

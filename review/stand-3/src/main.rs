//! Stand-ins and drivers of the cases of the third review.

mod crashes;
mod directory;
mod fleet;
mod http;
mod replica;

use fleet::CannotRun;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let outcome = match args.first().map(String::as_str) {
        Some("replica") => {
            replica::run(replica::Settings::parse(&args[1..]));
            return;
        }
        Some("release") => crashes::release(),
        Some("restarts") => crashes::restarts(),
        Some("late-part") => crashes::late_part(),
        Some("close-crashes") => crashes::close_crashes(),
        Some("directory") => directory::kept_channels(),
        _ => Err(CannotRun("no such case".into())),
    };
    let status = match outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(CannotRun(reason)) => {
            eprintln!("cannot run: {reason}");
            2
        }
    };
    std::process::exit(status);
}
